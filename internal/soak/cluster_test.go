package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
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
	// streamEvents is the number of events of a stream. With eventInterval, a stream takes
	// 0.3 s.
	streamEvents  = 20
	eventInterval = 15 * time.Millisecond
	// pauseTime is how long a server that turned a request away wants no others.
	pauseTime = 1500 * time.Millisecond
	// deadlyPart is a prompt part and deadlyPath the path of a read that can crash servers,
	// crashTime is how long one is down.
	deadlyPart = "deadly"
	deadlyPath = "/safe/deadly"
	crashTime  = 500 * time.Millisecond
	// bootHeader is a header of the stand-ins' answers that names the server's process.
	bootHeader = "Soak-Boot"
	// Listening ports are chosen from minPort to maxPort-1. The range lies below the one
	// from which Linux takes the ports of outgoing connections, so that no connection
	// takes the port of a process that is being restarted.
	minPort = 10000
	maxPort = 30000
	// portsPerRun is above the number of ports of one run. Runs at the same time use
	// different ports: with shared ones, requests reached servers of another run while a
	// server was down, or all the time if both had the same seed.
	portsPerRun = 50
)

// cluster is the whole system of one test run: the processes, the stand-ins around them
// and the proxies between them.
type cluster struct {
	t        *testing.T
	seed     uint64
	recorder *recorder
	store    *platformtest.Store
	// storeProxy lies between the processes and the store.
	storeProxy *proxy
	servers    []*server
	entries    []*entry
	ranks      []*rank
	engines    *platformtest.EngineGroup
	// deadly reports whether requests with deadlyPart crash the server that gets them.
	deadly atomic.Bool
	// deadlyRead reports whether the read of deadlyPath does.
	deadlyRead atomic.Bool
	// version is the newest published configuration. Faults that end read it.
	version atomic.Int64
	// logs is the folder of the settings and logs of the processes.
	logs string
}

// server is a backend server. Entries reach it through its proxy.
type server struct {
	replica *platformtest.Replica
	proxy   *proxy
	name    string
	// mode is one of the modes below.
	mode atomic.Int32
	// leaving reports whether the server's answers say that it is leaving. starts counts
	// its restarts.
	leaving atomic.Bool
	starts  atomic.Int32
}

// The modes of a server say what it does with requests.
const (
	modeServe int32 = iota
	// modeDropAnswer runs a request and closes the connection without an answer.
	modeDropAnswer
	// modeRefuse answers that the request was not run.
	modeRefuse
	// modeSlow adds 400 ms to every request.
	modeSlow
	// modeAnnounceRate announces a low rate.
	modeAnnounceRate
	// modeTurnAway turns requests away and wants no others for pauseTime.
	modeTurnAway
	// modeCutStream closes the connection in the middle of a stream.
	modeCutStream
	modeCount
)

type entry struct {
	process *process
	// listen is the address for clients, ready that of the readiness check.
	listen, ready string
	number        int
}

// rank is the agent of a rank. It reaches the engine of the rank through its proxy.
type rank struct {
	process *process
	proxy   *proxy
}

// portAllocator hands out ports on which no process listens, each once until the range
// is used up.
type portAllocator struct{ next int }

// reservePorts reserves portsPerRun ports until the end of the test, the same ones for a seed
// unless another run has them. It returns how many ports lie between minPort and those that
// may be allocated.
func reservePorts(t *testing.T, seed uint64) int {
	t.Helper()
	const ranges = (maxPort - minPort) / portsPerRun
	for n := range ranges {
		first := (int(seed%ranges) + n) % ranges * portsPerRun
		// The first port of the range is held as a lock.
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+first)))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = l.Close() })
		return first + 1
	}
	t.Fatalf("all %d ranges of ports are in use", ranges)
	return 0
}

// allocate returns a port that is free on all the hosts.
func (p *portAllocator) allocate(t *testing.T, hosts ...string) string {
	t.Helper()
	for range maxPort - minPort {
		port := strconv.Itoa(minPort + p.next%(maxPort-minPort))
		p.next++
		if isFree(port, hosts) {
			return port
		}
	}
	t.Fatalf("no port from %d to %d is free on all of %v", minPort, maxPort-1, hosts)
	return ""
}

func isFree(port string, hosts []string) bool {
	for _, host := range hosts {
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil || l.Close() != nil {
			return false
		}
	}
	return true
}

func newCluster(t *testing.T, seed uint64, logs string) *cluster {
	t.Helper()
	c := &cluster{t: t, seed: seed, recorder: newRecorder(), store: platformtest.NewStore(t), logs: logs}
	c.version.Store(1)
	c.storeProxy = newProxy(t, "127.0.0.1", c.store.Address())
	var hosts []string
	for n := range rankCount {
		hosts = append(hosts, fmt.Sprint("127.0.0.", 2+n))
	}
	c.engines = platformtest.NewEngineGroup(t, hosts, expertCount)
	c.engines.RegisterEngines(c.store, "model")
	c.publish(1)
	ports := &portAllocator{next: reservePorts(t, seed)}
	for n := range serverCount {
		c.addServer(n, ports)
	}
	c.startEntries(ports)
	c.startRanks(ports, hosts)
	return c
}

// publish stores a configuration. The name of its client account holds the version, so
// that answers show which version the entry applied.
func (c *cluster) publish(version int) {
	c.store.Put(platform.ConfigurationKey, platformtest.ConfigDocumentFor(version, "svc", fmt.Sprint("account-", version), c.engines.ServiceDocument("model")))
}

func (c *cluster) addServer(n int, ports *portAllocator) {
	s := &server{name: fmt.Sprint("server-", n)}
	s.replica = platformtest.NewReplica(c.t, s.name)
	s.replica.SetHandler(func(rw http.ResponseWriter, r *http.Request) { c.serve(s, rw, r) })
	const host = "127.0.0.1"
	s.proxy = newProxyAt(c.t, net.JoinHostPort(host, ports.allocate(c.t, host)), s.replica.Address())
	c.register(s, "ready")
	c.servers = append(c.servers, s)
}

func (c *cluster) register(s *server, state string) {
	s.replica.RegisterAt(c.store, "svc", state, s.proxy.address())
}

// writeAgain writes what the store may have lost: the newest configuration and the entries
// of all servers.
func (c *cluster) writeAgain() {
	c.publish(int(c.version.Load()))
	for _, s := range c.servers {
		state := "ready"
		if s.leaving.Load() {
			state = "draining"
		}
		c.register(s, state)
	}
}

// boot names one process of the server.
func (s *server) boot() string { return fmt.Sprint(s.name, " start ", s.starts.Load()) }

// serve handles the requests to a server. The answer consists of the request id and the
// client account that the entry determined.
func (c *cluster) serve(s *server, rw http.ResponseWriter, r *http.Request) {
	x := execution{id: platformtest.RequestID(r), server: s.name, boot: s.boot(), at: time.Now()}
	rw.Header().Set(bootHeader, x.boot)
	if s.leaving.Load() {
		platformtest.AnnounceLeaving(rw)
	}
	mode := s.mode.Load()
	x.turnedAway = mode == modeTurnAway
	x.deadly = c.deadly.Load() && platformtest.HasPromptPart(r, deadlyPart)
	x.deadlyRead = c.deadlyRead.Load() && r.URL.Path == deadlyPath
	c.recorder.arrived(x)
	if x.deadly || x.deadlyRead {
		s.proxy.crash(crashTime)
		platformtest.DropConnection(rw, r)
	}
	switch mode {
	case modeRefuse:
		platformtest.RefuseNotRun(rw, r)
		return
	case modeTurnAway:
		platformtest.TurnAway(fmt.Sprint(pauseTime.Seconds()))(rw, r)
		return
	}
	c.recorder.executed(x)
	switch {
	case mode == modeDropAnswer:
		platformtest.DropConnection(rw, r)
	case mode == modeAnnounceRate:
		platformtest.AnnounceRate(rw, "5")
	case mode == modeSlow:
		time.Sleep(400 * time.Millisecond)
	}
	if kindOf(r.URL.Path) == "streaming" {
		c.stream(mode, rw, r)
		return
	}
	time.Sleep(5 * time.Millisecond)
	platformtest.SetSeal(rw)
	_, _ = io.WriteString(rw, x.id+" "+platformtest.Account(r))
}

func (c *cluster) stream(mode int32, rw http.ResponseWriter, r *http.Request) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	platformtest.SetSeal(rw)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= streamEvents; n++ {
		if mode == modeCutStream && n == streamEvents/2 {
			platformtest.DropConnection(rw, r)
		}
		_, _ = io.WriteString(rw, streamEvent(n))
		if http.NewResponseController(rw).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

func streamEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (c *cluster) startEntries(ports *portAllocator) {
	const host = "127.0.0.1"
	address := func() string { return net.JoinHostPort(host, ports.allocate(c.t, host)) }
	var links []string
	for range entryCount {
		links = append(links, address())
	}
	for n := range entryCount {
		e := &entry{number: n, listen: address(), ready: address()}
		name := fmt.Sprint("entry-", n)
		e.process = c.start(name, "gateway", map[string]any{
			"role": "entry", "instance": name, "failure_domain": "z1", "listen": e.listen, "ready_listen": e.ready,
			"link_listen": links[n], "metrics_listen": address(), "seeds": links, "store": c.storeProxy.address(), "grace": "6s",
		})
		c.entries = append(c.entries, e)
	}
}

func (c *cluster) startRanks(ports *portAllocator, hosts []string) {
	links, metrics := ports.allocate(c.t, hosts...), ports.allocate(c.t, hosts...)
	for n, host := range hosts {
		r := &rank{proxy: newProxy(c.t, host, c.engines.Address(n))}
		name := fmt.Sprint("rank-", n)
		r.process = c.start(name, "rank", map[string]any{
			"role": "sidecar", "instance": name, "failure_domain": "z1", "link_listen": net.JoinHostPort(host, links),
			"metrics_listen": net.JoinHostPort(host, metrics), "store": c.storeProxy.address(), "server": r.proxy.address(),
			"service": "model", "grace": "4s",
		})
		c.ranks = append(c.ranks, r)
	}
}

func (c *cluster) start(name, command string, settings map[string]any) *process {
	data, err := json.Marshal(settings)
	must.NoError(c.t, err)
	file := filepath.Join(c.logs, name+".json")
	must.NoError(c.t, os.WriteFile(file, data, 0o600))
	return startProcess(c.t, name, command, file, filepath.Join(c.logs, name+".log"), c.recorder)
}

// stop kills all processes.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.process.stop(c.t)
	}
	for _, r := range c.ranks {
		r.process.stop(c.t)
	}
}

// eventually checks the condition 600 times at intervals of 50 ms, and ends the test if
// it is never met.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("seed %d: condition not met after 600 checks: %s; logs in %s", c.seed, what, c.logs)
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
