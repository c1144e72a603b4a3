// Program world3 plays the cases of the review: it starts the project's own processes, stands
// in for the platform, the backend servers and the clients, and checks one rule.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "world3:", err)
		endAll()
		for _, folder := range folders {
			_ = os.RemoveAll(folder)
		}
		os.Exit(2)
	}
}

// folders are the temporary folders of this run.
var folders []string

// newFolder makes a temporary folder.
func newFolder() string {
	folder, err := os.MkdirTemp("", "world3-")
	check(err)
	folders = append(folders, folder)
	return folder
}

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

func started(c *exec.Cmd) {
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, c)
}

// endAll kills the processes that this one started.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, c := range processes {
		_ = c.Process.Kill()
	}
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE FOLDER")
		os.Exit(2)
	}
	if os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	cases := map[string]func(r *record, trouble bool) (broken bool){
		"deadly": playDeadly, "drain": playDrain, "born": playBorn, "maps": playMaps, "newpart": playNewPart,
	}
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	r := &record{file: file, begin: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go func() {
		check(fmt.Errorf("ended by signal %v", <-signals))
	}()
	time.AfterFunc(115*time.Second, func() { check(fmt.Errorf("the case took too long")) })
	broken := play(r, os.Getenv("TROUBLE") != "0")
	endAll()
	if broken {
		r.printf("the rule was broken")
		os.Exit(1)
	}
	r.printf("the rule held")
}

// entry is a process of the project's gateway command.
type entry struct {
	process *exec.Cmd
	// clients and ready are its addresses for clients and for the readiness check, links for
	// other entries.
	clients, ready, links string
}

// The ports of the project's processes are below those that the system gives to outgoing
// connections, which could take a port before its process listens.
const (
	firstPort = 12000
	portCount = 18000
)

// reserved holds the listeners that keep the addresses taken until release.
var reserved = make(map[string]net.Listener)

// release frees the addresses for the process that is to listen there.
func release(addresses ...string) {
	for _, a := range addresses {
		if l := reserved[a]; l != nil {
			_ = l.Close()
		}
		delete(reserved, a)
	}
}

// freeAddress returns an address on which nothing else listens. It is kept taken until release.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		reserved[l.Addr().String()] = l
		return l.Addr().String()
	}
	check(errors.New("no free port"))
	return ""
}

// newEntry chooses the addresses of an entry.
func newEntry() *entry {
	return &entry{clients: freeAddress(), ready: freeAddress(), links: freeAddress()}
}

// start starts the entry with settings as deploy/entry.settings.json gives them, and waits
// until it is ready.
func (e *entry) start(folder, name, store string, seeds []string) {
	metrics := freeAddress()
	settings := map[string]any{
		"role": "entry", "instance": name, "failure_domain": "z1", "region": "r1", "listen": e.clients,
		"ready_listen": e.ready, "link_listen": e.links, "metrics_listen": metrics, "seeds": seeds,
		"store": store, "grace": "8s", "retry_ratio": 0.2, "retry_slack": 188, "retry_window": "10s",
	}
	data, err := json.Marshal(settings)
	check(err)
	path := filepath.Join(folder, name+".json")
	check(os.WriteFile(path, data, 0o600))
	e.process = exec.Command("target/anvilpoint", "gateway")
	e.process.Env = append(os.Environ(), names["settings"]+"="+path)
	log, err := os.Create(filepath.Join(folder, name+".log"))
	check(err)
	e.process.Stdout, e.process.Stderr = log, log
	release(e.clients, e.ready, e.links, metrics)
	check(e.process.Start())
	started(e.process)
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			check(fmt.Errorf("entry %s did not get ready", name))
		}
		response, err := http.Get("http://" + e.ready + names["ready"])
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
	}
}

// route returns a route of the configuration.
func route(name, kind, service string, attempts int, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "host.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": 500,
		"gapTargetMs": 120, "priority": 0, "service": service, "maxAttempts": attempts, "resumeStreams": kind == "streaming",
		"enableAffinity": kind == "streaming",
	}
}

// configure publishes a configuration without tenants.
func (s *store) configure(version int, services []string, routes ...map[string]any) {
	s.configureWith(version, services, nil, routes...)
}

// configureWith publishes a configuration.
func (s *store) configureWith(version int, services []string, tenants []any, routes ...map[string]any) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 200})
	}
	document := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		document["tenants"] = tenants
	}
	s.put("op/config", document)
}

// newRequest returns a client's request.
func newRequest(ctx context.Context, method, address, path, id string, deadlineMS int) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	check(err)
	request.Host = "host.example"
	request.Header.Set(names["id"], id)
	request.Header.Set(names["deadline"], fmt.Sprint(deadlineMS))
	return request
}

// newClient returns a client that opens a connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}
