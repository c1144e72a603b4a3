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

// roleVariable makes the test binary run as the program, with the command that the
// variable names. So the processes are built with the race detector if the test is.
const roleVariable = "SOAK_COMMAND"

// restartPause is the time between the end of a process and its next start.
const restartPause = 300 * time.Millisecond

func TestMain(m *testing.M) {
	if name := os.Getenv(roleVariable); name != "" {
		os.Exit(command.Main([]string{name, "--settings", os.Getenv("SOAK_SETTINGS")}))
	}
	os.Exit(m.Run())
}

// process supervises one process of the program: it starts it again whenever it ends.
type process struct {
	name, command, settings string
	log                     *os.File
	group                   *task.Group
	signals                 chan syscall.Signal
	history                 *history
	life                    int
	stopped                 bool
}

func startProcess(t *testing.T, name, command, settings, log string, h *history) *process {
	t.Helper()
	file, err := os.Create(log)
	must.NoError(t, err)
	p := &process{
		name: name, command: command, settings: settings, log: file, history: h,
		group: task.NewGroup(context.Background()), signals: make(chan syscall.Signal, 16),
	}
	p.group.Go(name, p.supervise)
	t.Cleanup(func() { p.stop(t) })
	return p
}

// stop ends the process by force. It may be called again.
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
		if err := p.once(); err != nil {
			return err
		}
		select {
		case <-time.After(restartPause):
		case <-p.group.Draining():
			return nil
		}
	}
}

// once runs the process until it ends, and passes signals on to it.
func (p *process) once() error {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), roleVariable+"="+p.command, "SOAK_SETTINGS="+p.settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	p.life++
	p.history.note(event{at: time.Now(), process: p.name, life: p.life, what: "start"})
	ended := make(chan error, 1)
	p.group.Go(p.name+" wait", func(context.Context) error {
		ended <- c.Wait()
		return nil
	})
	stop := p.group.Draining()
	for {
		select {
		case s := <-p.signals:
			p.history.note(event{at: time.Now(), process: p.name, life: p.life, what: s.String()})
			// The process may have ended meanwhile.
			_ = c.Process.Signal(s)
		case err := <-ended:
			p.history.note(event{at: time.Now(), process: p.name, life: p.life, what: "end", err: err})
			return nil
		case <-stop:
			stop = nil
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
		}
	}
}
