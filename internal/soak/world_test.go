package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

const (
	entryCount  = 3
	serverCount = 5
	rankCount   = 4
	expertCount = 12
	// streamEvents and eventPause make a stream of a third of a second.
	streamEvents = 20
	eventPause   = 15 * time.Millisecond
	// lowestPort and highestPort lie below the range from which Linux takes the local
	// ports of connections, so that no connection takes a port while its process is
	// between two lives.
	lowestPort  = 10000
	highestPort = 30000
)

// world is the whole system of one run.
type world struct {
	t       *testing.T
	seed    uint64
	history *history
	store   *platformtest.Store
	// storeWay is the proxy before the store.
	storeWay *proxy
	servers  []*server
	entries  []*entry
	ranks    []*rank
	engines  *platformtest.EngineGroup
	version  int
	logs     string
}

// server is a backend server with the proxy before it.
type server struct {
	replica *platformtest.Replica
	way     *proxy
	name    string
	// mode is what the server does with requests.
	mode atomic.Int32
}

// The modes of a server.
const (
	serves int32 = iota
	// loses runs a request and ends the connection without an answer.
	loses
	refuses
	slow
	// breaksOff ends a stream in its middle.
	breaksOff
	modeCount
)

type entry struct {
	process       *process
	listen, ready string
	number        int
}

type rank struct {
	process *process
	way     *proxy
}

// ports hands out ports that are free at all hosts.
type ports struct{ next int }

func (p *ports) take(t *testing.T, hosts ...string) string {
	t.Helper()
	for range highestPort - lowestPort {
		port := strconv.Itoa(lowestPort + p.next%(highestPort-lowestPort))
		p.next++
		if free(port, hosts) {
			return port
		}
	}
	t.Fatal("no free port")
	return ""
}

func free(port string, hosts []string) bool {
	for _, host := range hosts {
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil || l.Close() != nil {
			return false
		}
	}
	return true
}

func newWorld(t *testing.T, seed uint64, logs string) *world {
	t.Helper()
	w := &world{t: t, seed: seed, history: newHistory(), store: platformtest.NewStore(t), version: 1, logs: logs}
	w.storeWay = newProxy(t, "127.0.0.1", w.store.Address())
	var hosts []string
	for n := range rankCount {
		hosts = append(hosts, fmt.Sprint("127.0.0.", 2+n))
	}
	w.engines = platformtest.NewEngineGroup(t, hosts, expertCount)
	w.engines.RegisterEngines(w.store, "model")
	w.publish(1)
	for n := range serverCount {
		w.addServer(n)
	}
	free := &ports{next: rand.IntN(highestPort - lowestPort)}
	w.startEntries(free)
	w.startRanks(free, hosts)
	return w
}

// publish writes a configuration. The name of its account tells its version.
func (w *world) publish(version int) {
	w.store.Put(platform.ConfigurationKey, platformtest.ConfigDocumentFor(version, "svc", fmt.Sprint("account-", version), w.engines.ServiceDocument("model")))
}

func (w *world) addServer(n int) {
	s := &server{name: fmt.Sprint("server-", n)}
	s.replica = platformtest.NewReplica(w.t, s.name)
	s.replica.SetHandler(func(rw http.ResponseWriter, r *http.Request) { w.serve(s, rw, r) })
	s.way = newProxy(w.t, "127.0.0.1", s.replica.Address())
	w.register(s, "ready")
	w.servers = append(w.servers, s)
}

func (w *world) register(s *server, state string) {
	s.replica.RegisterAt(w.store, "svc", state, s.way.address())
}

// serve is the service. It says in each answer which account, and so which version of
// the configuration, the entry applied.
func (w *world) serve(s *server, rw http.ResponseWriter, r *http.Request) {
	x := run{id: platformtest.RequestID(r), server: s.name, at: time.Now()}
	w.history.arrived(x)
	mode := s.mode.Load()
	if mode == refuses {
		platformtest.RefuseNotRun(rw, r)
		return
	}
	w.history.ran(x)
	switch {
	case mode == loses:
		platformtest.DropConnection(rw, r)
	case mode == slow:
		time.Sleep(400 * time.Millisecond)
	}
	if kindOf(r.URL.Path) == "streaming" {
		w.stream(mode, rw, r)
		return
	}
	time.Sleep(5 * time.Millisecond)
	platformtest.SetSeal(rw)
	_, _ = io.WriteString(rw, x.id+" "+platformtest.Account(r))
}

func (w *world) stream(mode int32, rw http.ResponseWriter, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	platformtest.SetSeal(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= streamEvents; n++ {
		if mode == breaksOff && n == streamEvents/2 {
			platformtest.DropConnection(rw, r)
		}
		_, _ = io.WriteString(rw, streamEvent(n))
		if http.NewResponseController(rw).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

func streamEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (w *world) startEntries(free *ports) {
	const host = "127.0.0.1"
	address := func() string { return net.JoinHostPort(host, free.take(w.t, host)) }
	var links []string
	for range entryCount {
		links = append(links, address())
	}
	for n := range entryCount {
		e := &entry{number: n, listen: address(), ready: address()}
		name := fmt.Sprint("entry-", n)
		e.process = w.start(name, "gateway", map[string]any{
			"role": "entry", "instance": name, "failure_domain": "z1", "listen": e.listen, "ready_listen": e.ready,
			"link_listen": links[n], "metrics_listen": address(), "seeds": links, "store": w.storeWay.address(), "grace": "6s",
		})
		w.entries = append(w.entries, e)
	}
}

func (w *world) startRanks(free *ports, hosts []string) {
	links, metrics := free.take(w.t, hosts...), free.take(w.t, hosts...)
	for n, host := range hosts {
		r := &rank{way: newProxy(w.t, host, w.engines.Address(n))}
		name := fmt.Sprint("rank-", n)
		r.process = w.start(name, "rank", map[string]any{
			"role": "sidecar", "instance": name, "failure_domain": "z1", "link_listen": net.JoinHostPort(host, links),
			"metrics_listen": net.JoinHostPort(host, metrics), "store": w.storeWay.address(), "server": r.way.address(),
			"service": "model", "grace": "4s",
		})
		w.ranks = append(w.ranks, r)
	}
}

func (w *world) start(name, command string, settings map[string]any) *process {
	data, err := json.Marshal(settings)
	must.NoError(w.t, err)
	file := filepath.Join(w.logs, name+".json")
	must.NoError(w.t, os.WriteFile(file, data, 0o600))
	return startProcess(w.t, name, command, file, filepath.Join(w.logs, name+".log"), w.history)
}

// stop ends all processes.
func (w *world) stop() {
	for _, e := range w.entries {
		e.process.stop(w.t)
	}
	for _, r := range w.ranks {
		r.process.stop(w.t)
	}
}

func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.t.Fatalf("seed %d: %s: did not come true; logs in %s", w.seed, what, w.logs)
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
