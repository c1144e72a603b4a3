package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// ticksPerSecond is the unit of the CPU times in /proc/PID/stat on Linux (USER_HZ).
const ticksPerSecond = 100

// Polling of /readyz after a process has been started.
const (
	readyTimeout  = 10 * time.Second
	readyInterval = 50 * time.Millisecond
)

// process is a running entry or sidecar.
type process struct{ command *exec.Cmd }

func startSidecar(binary, dir string, w *e2etest.Cluster, b e2etest.Backend, address string) (*process, error) {
	s, err := w.Settings(message.RoleSidecar, string(b.Server), address)
	if err != nil {
		return nil, err
	}
	s.Backend = b.Settings()
	return start(binary, dir, "sidecar", s.Operations, s)
}

func startEntry(binary, dir string, w *e2etest.Cluster) (*process, string, error) {
	s, err := w.Settings(message.RoleEntry, "entry-0", "")
	if err != nil {
		return nil, "", err
	}
	p, err := start(binary, dir, "entry", s.Operations, s)
	return p, s.Listen, err
}

// settingsFile is the JSON form of the settings of a process.
type settingsFile struct {
	Role          message.Role        `json:"role"`
	Instance      ident.InstanceID    `json:"instance"`
	Domain        ident.FailureDomain `json:"failure_domain"`
	Listen        string              `json:"listen,omitempty"`
	LinkListen    string              `json:"link_listen"`
	Operations    string              `json:"operations"`
	ConfigService string              `json:"config_service"`
	InstanceList  string              `json:"instance_list"`
	Events        string              `json:"events"`
	TLS           tlsFile             `json:"tls"`
	Backend       *settings.Backend   `json:"backend,omitempty"`
}

type tlsFile struct {
	PlainText bool `json:"plain_text"`
}

func newSettingsFile(s *settings.Settings) settingsFile {
	return settingsFile{
		Role: s.Role, Instance: s.Instance, Domain: s.Domain, Listen: s.Listen, LinkListen: s.LinkListen,
		Operations: s.Operations, ConfigService: s.ConfigService, InstanceList: s.InstanceList,
		Events: os.DevNull, TLS: tlsFile{PlainText: s.TLS.PlainText}, Backend: s.Backend,
	}
}

// start writes the settings to a file, starts the command and waits up to
// readyTimeout until /readyz answers 200.
func start(binary, dir, command, operations string, settings *settings.Settings) (*process, error) {
	data, err := json.Marshal(newSettingsFile(settings))
	if err != nil {
		return nil, errors.Wrapf(err, "encode settings of %s", command)
	}
	file := filepath.Join(dir, command+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrapf(err, "write settings of %s", command)
	}
	p := &process{command: exec.Command(binary, command, "--settings", file)}
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", command)
	}
	for range readyTimeout / readyInterval {
		time.Sleep(readyInterval)
		response, err := http.Get("http://" + operations + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return p, nil
		}
	}
	p.kill()
	return nil, errors.Errorf("%s: %s/readyz did not answer 200 within %v", command, operations, readyTimeout)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// cpuTime is the CPU time that a process used.
type cpuTime struct{ user, system time.Duration }

func (t cpuTime) total() time.Duration { return t.user + t.system }

func (t cpuTime) minus(other cpuTime) cpuTime {
	return cpuTime{user: t.user - other.user, system: t.system - other.system}
}

// cpuTime returns the CPU time that the process has used since its start.
func (p *process) cpuTime() (cpuTime, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return cpuTime{}, errors.Wrap(err, "read CPU time")
	}
	// The second field is the command name in parentheses; user and system time are the
	// 12th and 13th after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := parseTicks(fields[11])
	if err != nil {
		return cpuTime{}, err
	}
	system, err := parseTicks(fields[12])
	return cpuTime{user: user, system: system}, err
}

// parseTicks parses a CPU time in clock ticks.
func parseTicks(text string) (time.Duration, error) {
	v, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(v) * time.Second / ticksPerSecond, errors.Wrapf(err, "parse CPU time %q", text)
}
