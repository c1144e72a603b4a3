package soak_test

import (
	"context"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/command"
	"github.com/anvilpoint/anvilpoint/task"
)

// commandVariable is the environment variable that makes the test binary run as the
// program, with the command that the value names. So the processes are built with the
// race detector if the test is.
const commandVariable = "SOAK_COMMAND"

// settingsVariable is the environment variable with the path of the process's settings
// file.
const settingsVariable = "SOAK_SETTINGS"

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 300 * time.Millisecond

func TestMain(m *testing.M) {
	if name := os.Getenv(commandVariable); name != "" {
		os.Exit(command.Main([]string{name, "--settings", os.Getenv(settingsVariable)}))
	}
	os.Exit(m.Run())
}

// process supervises one process of the program and restarts it whenever it ends.
type process struct {
	name, command, settings string
	log                     *os.File
	group                   *task.Group
	signals                 chan syscall.Signal
	recorder                *recorder
	// incarnation is the number of the latest start, from 1.
	incarnation int
	stopped     bool
}

func startProcess(t *testing.T, name, command, settings, log string, r *recorder) *process {
	t.Helper()
	file, err := os.Create(log)
	must.NoError(t, err)
	p := &process{
		name: name, command: command, settings: settings, log: file, recorder: r,
		group: task.NewGroup(context.Background()), signals: make(chan syscall.Signal, 16),
	}
	p.group.Go(name, p.supervise)
	t.Cleanup(func() { p.stop(t) })
	return p
}

// stop kills the process and ends its supervision. Further calls do nothing.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.stopped {
		return
	}
	p.stopped = true
	must.NoError(t, p.group.Stop(20*time.Second))
	must.NoError(t, p.log.Close())
}

func (p *process) signal(s syscall.Signal) { p.signals <- s }

func (p *process) supervise(context.Context) error {
	for {
		if err := p.runOnce(); err != nil {
			return err
		}
		select {
		case <-time.After(restartDelay):
		case <-p.group.Draining():
			return nil
		}
	}
}

// runOnce starts the process, passes signals on to it and returns when it has ended.
func (p *process) runOnce() error {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), commandVariable+"="+p.command, settingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	p.incarnation++
	p.recorder.event(event{at: time.Now(), process: p.name, incarnation: p.incarnation, what: "start"})
	ended := make(chan error, 1)
	p.group.Go(p.name+" wait", func(context.Context) error {
		ended <- c.Wait()
		return nil
	})
	stop := p.group.Draining()
	for {
		select {
		case s := <-p.signals:
			p.recorder.event(event{at: time.Now(), process: p.name, incarnation: p.incarnation, what: s.String()})
			// An error means that the process has ended meanwhile.
			_ = c.Process.Signal(s)
		case err := <-ended:
			p.recorder.event(event{at: time.Now(), process: p.name, incarnation: p.incarnation, what: "end", err: err})
			return nil
		case <-stop:
			stop = nil
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
		}
	}
}
