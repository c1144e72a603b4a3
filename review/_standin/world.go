// Command standin is the surroundings of the entries in the review cases: the platform's
// store, replicas, clients, and the platform as the starter of processes. It starts the
// project's own programs as separate processes with the commands of the deploy file, plays
// one case, and writes a record of what was sent, answered and run.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of the site file, which the platform fills into the settings.
const (
	drainMS       = 2000
	contactMS     = 3000
	graceS        = 8
	configApplyMS = 2000
)

// world holds the parts of one play.
type world struct {
	trouble bool
	dir     string
	begin   time.Time

	mutex    sync.Mutex
	record   *os.File
	children []*process
	// cleanup ends the other processes of the play.
	cleanup []func()
	closing atomic.Bool
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, begin: time.Now(), record: f}, nil
}

// since returns the seconds since the start of the play.
func (w *world) since() float64 { return time.Since(w.begin).Seconds() }

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", w.since(), fmt.Sprintf(format, args...))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = w.record.WriteString(line)
}

// say writes one line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// startChild starts a process that close ends. It starts none once close has begun.
func (w *world) startChild(c *exec.Cmd) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closing.Load() {
		return fmt.Errorf("the play is over")
	}
	if err := c.Start(); err != nil {
		return err
	}
	w.cleanup = append(w.cleanup, func() { _ = c.Process.Kill() })
	return nil
}

// close ends all processes that the play started.
func (w *world) close() {
	w.mutex.Lock()
	w.closing.Store(true)
	w.mutex.Unlock()
	for _, p := range w.children {
		p.end()
	}
	w.mutex.Lock()
	cleanup := w.cleanup
	w.mutex.Unlock()
	for _, end := range cleanup {
		end()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are kept in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// freeAddress returns a loopback address whose port was free a moment ago. Each has an IP
// address of its own, so that no outgoing connection takes the port meanwhile.
func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254)))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// process is one process of the project.
type process struct {
	world    *world
	name     string
	args     []string
	settings string
	log      *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	stopped bool
}

// start starts the process with the run line of the deploy file.
func (w *world) start(name, settings string, args ...string) (*process, error) {
	p := &process{world: w, name: name, args: args, settings: filepath.Join(w.dir, name+".json")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	w.children = append(w.children, p)
	return p, p.launch()
}

func (p *process) launch() error {
	c := exec.Command("target/anvilpoint", p.args...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("settings") + "=" + p.settings}
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mutex.Lock()
	p.command, p.ended = c, ended
	p.mutex.Unlock()
	p.world.note("process %s started: target/anvilpoint %s", p.name, strings.Join(p.args, " "))
	go func() {
		err := c.Wait()
		p.world.note("process %s ended: %v", p.name, err)
		close(ended)
	}()
	return nil
}

func (p *process) pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command.Process.Pid
}

func (p *process) signal(s syscall.Signal) {
	p.world.note("signal %s to %s", s, p.name)
	_ = syscall.Kill(p.pid(), s)
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.mutex.Lock()
	c, ended := p.command, p.ended
	p.mutex.Unlock()
	if c == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

// rss returns the memory of the process in megabytes, without files, zero if it has ended.
func (p *process) rss() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// entry is one entry process with its addresses.
type entry struct {
	*process
	name, clients, ready, control, metrics string
}

// newEntries chooses the addresses of entries.
func newEntries(n int) []*entry {
	var list []*entry
	for i := range n {
		list = append(list, &entry{
			name: fmt.Sprintf("front-z1-%d", i+1), clients: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(),
		})
	}
	return list
}

// startEntries starts the entries with the settings of deploy/entry.settings.json.
func (w *world) startEntries(list []*entry, store string) error {
	var seeds []string
	for _, e := range list {
		if len(seeds) < 3 {
			seeds = append(seeds, e.control)
		}
	}
	encoded, _ := json.Marshal(seeds)
	template, err := os.ReadFile("deploy/entry.settings.json")
	if err != nil {
		return err
	}
	for _, e := range list {
		text := string(template)
		for name, value := range map[string]string{
			"nodeName": e.name, "zone": "z1", "region": "r1", "listen.front": e.clients, "listen.ready": e.ready,
			"listen.control": e.control, "seeds|json": string(encoded), "platform.address": store,
			"bounds.graceS": strconv.Itoa(graceS), "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "188", "bounds.budgetWindowS": "10",
		} {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
		// The template joins the machine's address and a port; here both are one free address.
		text = strings.ReplaceAll(text, "{{ip}}:{{internalPorts.1}}", e.metrics)
		if e.process, err = w.start(e.name, text, "gateway"); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all entries say that they are ready.
func (w *world) waitReady(list []*entry) error {
	client := &http.Client{Timeout: time.Second}
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range list {
			if r, err := client.Get("http://" + e.ready + name("ready")); err == nil {
				if r.StatusCode == http.StatusOK {
					n++
				}
				_ = r.Body.Close()
			}
		}
		if n == len(list) {
			w.note("all entries are ready")
			return nil
		}
	}
	for _, e := range list {
		log, _ := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
		w.note("log of %s:\n%s", e.name, log)
	}
	return fmt.Errorf("the entries did not get ready within 15 s")
}

// store is the platform's store.
type store struct {
	world   *world
	address string
	// cut returns after how long a watch that waits is cut, and whether it is. Nil means never.
	cut func() (time.Duration, bool)

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	cuts     int
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

func (w *world) newStore() (*store, error) {
	s := &store{world: w, revision: 1, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+name("store-key"), s.get)
	mux.HandleFunc("GET "+name("store-range"), s.list)
	mux.HandleFunc("GET "+name("store-watch"), s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes an item; its return is the store's ack.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) time.Time { return s.change(item{Key: key, IsGone: true}) }

func (s *store) change(i item) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.IsGone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	s.world.note("store: %s, revision %d, gone %t", i.Key, i.Revision, i.IsGone)
	return time.Now()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	found := []item{}
	s.mutex.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	writeJSON(w, map[string]any{"items": found, "hasMore": false, "storeRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	var cut <-chan time.Time
	if s.cut != nil {
		if after, cuts := s.cut(); cuts {
			cut = time.After(after)
		}
	}
	for {
		events := []item{}
		s.mutex.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-cut:
			s.mutex.Lock()
			s.cuts++
			s.mutex.Unlock()
			s.world.note("store: a watch of %s that waits is cut", prefix)
			// The channel is closed without an answer.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// arrival is a request that reached a replica.
type arrival struct {
	id, replica string
	at          time.Time
}

// replica is one replica of a service.
type replica struct {
	world   *world
	id      string
	address string
	born    int64
	slots   int
	service string
	// work is how long a request runs.
	work   time.Duration
	server *http.Server
	// answer, if set, replaces the answer of a request that has run.
	answer func(w http.ResponseWriter, r *http.Request)

	mutex    sync.Mutex
	sequence int
	arrivals []arrival
	runs     map[string]int
}

func (w *world) newReplica(id, service string, slots int, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		world: w, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots, service: service, work: work,
		runs: make(map[string]int),
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// exit ends the replica. Its address refuses connections from then on.
func (r *replica) exit() {
	r.world.note("replica %s: exits", r.id)
	_ = r.server.Close()
}

// register writes the replica's entry to the store.
func (r *replica) register(s *store, state string) time.Time {
	r.mutex.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": r.slots, "state": state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mutex.Unlock()
	return s.put("servers/"+r.id, entry)
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(name("request-id"))
	w.Header().Set(name("request-id"), id)
	w.Header().Set(name("instance"), r.id)
	if expected := request.Header.Get(name("expect-instance")); expected != "" && expected != r.id {
		r.world.note("replica %s: request %s expects %s, answered 421", r.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mutex.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, replica: r.id, at: time.Now()})
	r.runs[id]++
	r.mutex.Unlock()
	r.world.note("replica %s: request %s arrives", r.id, id)
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(r.work)
	if r.answer != nil {
		r.answer(w, request)
		return
	}
	w.Header().Set(name("seal"), "seal."+r.id+"."+id)
	_, _ = io.WriteString(w, "answer of "+r.id+" to "+id)
}

// after returns the arrivals later than the time.
func (r *replica) after(at time.Time) []arrival {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var late []arrival
	for _, a := range r.arrivals {
		if a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// route describes one route of the configuration.
type route struct {
	prefix, kind, service string
	timeoutMS, attempts   int
	// targetMS is the latency objective.
	targetMS int
}

// configuration returns a configuration as the operator writes it.
func configuration(version int, routes []route, services ...string) map[string]any {
	var list, named []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "ficu95.example", "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMS,
			"targetLatencyMs": max(r.targetMS, 300), "priority": 0, "service": r.service, "maxAttempts": r.attempts, "allowAnonymous": false,
			"enableAffinity": false, "resumeStreams": r.kind == "streaming", "gapTargetMs": 120,
		})
	}
	for _, s := range services {
		named = append(named, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 104, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": list, "services": named,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// answerSeen is what a client saw of one request.
type answerSeen struct {
	id     string
	sent   time.Time
	took   time.Duration
	status int
	body   []byte
	err    error
}

// call sends one request through an entry.
func (w *world) call(client *http.Client, e *entry, method, path, id string, body []byte, deadline time.Duration) answerSeen {
	return w.callWith(client, e, method, path, id, body, deadline, "")
}

// callWith is call with the parts of a prompt.
func (w *world) callWith(client *http.Client, e *entry, method, path, id string, body []byte, deadline time.Duration, parts string) answerSeen {
	seen := answerSeen{id: id, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+e.clients+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "ficu95.example"
	request.Header.Set(name("request-id"), id)
	request.Header.Set(name("deadline"), strconv.Itoa(int(deadline.Milliseconds())))
	request.Header.Set(name("key"), apiKey)
	if parts != "" {
		request.Header.Set(name("model"), "m")
		request.Header.Set(name("tokens"), "700,96")
		request.Header.Set(name("parts"), parts)
	}
	w.note("client: %s %s %s sent to %s, %d bytes", id, method, path, e.name, len(body))
	response, err := client.Do(request)
	if err == nil {
		seen.status = response.StatusCode
		seen.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	seen.err, seen.took = err, time.Since(seen.sent)
	w.note("client: %s ends with status %d, %d bytes, %d ms, error %v", id, seen.status, len(seen.body), seen.took.Milliseconds(), err)
	return seen
}

// newClient returns a client with channels of its own.
func newClient(deadline time.Duration) *http.Client {
	return &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
}
