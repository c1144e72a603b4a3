package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entry is one process of the deploy file's role entry.
type entry struct {
	name, clients, ready, links, metrics string
	settings                             string
	log                                  *os.File
	process                              *exec.Cmd
	exited                               chan struct{}
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startEntries starts the entries of a small deployment and waits until all are ready.
func startEntries(folder string, count int, storeAddress string) ([]*entry, error) {
	var list []*entry
	var seeds []string
	for n := range count {
		e := &entry{name: fmt.Sprintf("front-%d", n+1)}
		for _, address := range []*string{&e.clients, &e.ready, &e.links, &e.metrics} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return list, err
			}
		}
		seeds = append(seeds, e.links)
		list = append(list, e)
	}
	for _, e := range list {
		// The fields of deploy/entry.settings.json, as the platform fills them in.
		settings, err := json.Marshal(map[string]any{
			"role": "entry", "instance": e.name, "failure_domain": "zone-a", "region": "region-a", "listen": e.clients,
			"ready_listen": e.ready, "link_listen": e.links, "metrics_listen": e.metrics, "seeds": seeds[:min(len(seeds), 3)],
			"store": storeAddress, "grace": "8s", "retry_ratio": 0.2, "retry_slack": 188, "retry_window": "10s",
		})
		if err != nil {
			return list, err
		}
		e.settings = filepath.Join(folder, e.name+".json")
		if err := os.WriteFile(e.settings, settings, 0o600); err != nil {
			return list, err
		}
		if e.log, err = os.Create(filepath.Join(folder, e.name+".log")); err != nil {
			return list, err
		}
		if err := e.start(); err != nil {
			return list, err
		}
	}
	for _, e := range list {
		if !e.awaitReady(15 * time.Second) {
			return list, fmt.Errorf("entry %s is not ready after 15 s", e.name)
		}
	}
	return list, nil
}

func (e *entry) start() error {
	e.process = exec.Command("target/anvilpoint", "gateway")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("settings") + "=" + e.settings}
	e.process.Stdout, e.process.Stderr = e.log, e.log
	// The process ends with this one, however this one ends.
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.process.Start(); err != nil {
		return err
	}
	exited, process := make(chan struct{}), e.process
	e.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (e *entry) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + name("ready"))
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

func (e *entry) kill() {
	if e.process != nil && e.process.Process != nil {
		_ = e.process.Process.Kill()
		<-e.exited
	}
}

// residentMB returns the resident memory of the entry's process.
func (e *entry) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
