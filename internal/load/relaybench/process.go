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

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/pathtest"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// ticksPerSecond is the unit of /proc/PID/stat on Linux.
const ticksPerSecond = 100

// process is a measured process.
type process struct{ command *exec.Cmd }

func startSidecar(binary, dir string, w *pathtest.World, b pathtest.Backend, address string) (*process, error) {
	s, err := w.Settings(message.RoleSidecar, string(b.Server), address)
	if err != nil {
		return nil, err
	}
	s.Backend = b.Settings()
	return start(binary, dir, "sidecar", s.Operations, s)
}

func startEntry(binary, dir string, w *pathtest.World) (*process, string, error) {
	s, err := w.Settings(message.RoleEntry, "entry-0", "")
	if err != nil {
		return nil, "", err
	}
	p, err := start(binary, dir, "entry", s.Operations, s)
	return p, s.Listen, err
}

// settingsFile is the form in which settings are written for a process.
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

func fileOf(s *settings.Settings) settingsFile {
	return settingsFile{
		Role: s.Role, Instance: s.Instance, Domain: s.Domain, Listen: s.Listen, LinkListen: s.LinkListen,
		Operations: s.Operations, ConfigService: s.ConfigService, InstanceList: s.InstanceList,
		Events: os.DevNull, TLS: tlsFile{PlainText: s.TLS.PlainText}, Backend: s.Backend,
	}
}

// start writes the settings, runs the command and waits until it is ready.
func start(binary, dir, command, operations string, settings *settings.Settings) (*process, error) {
	data, err := json.Marshal(fileOf(settings))
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	file := filepath.Join(dir, command+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	p := &process{command: exec.Command(binary, command, "--settings", file)}
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, command)
	}
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		response, err := http.Get("http://" + operations + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return p, nil
		}
	}
	p.end()
	return nil, errors.Errorf("%s did not become ready", command)
}

// end stops the process and waits for it.
func (p *process) end() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
}

// times are the processor times that a process used.
type times struct{ user, system time.Duration }

func (t times) total() time.Duration { return t.user + t.system }

func (t times) minus(other times) times {
	return times{user: t.user - other.user, system: t.system - other.system}
}

// used returns the processor time that the process has used.
func (p *process) used() (times, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return times{}, errors.Wrap(err, "processor time")
	}
	// The second field is the name in parentheses; user and system time are the
	// 12th and 13th after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := ticks(fields[11])
	if err != nil {
		return times{}, err
	}
	system, err := ticks(fields[12])
	return times{user: user, system: system}, err
}

func ticks(text string) (time.Duration, error) {
	v, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(v) * time.Second / ticksPerSecond, errors.Wrap(err, "processor time")
}
