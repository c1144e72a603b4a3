package e2etest_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// problem holds the fields of a problem document that the tests compare.
type problem struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

func readProblem(t *testing.T, r *http.Response) problem {
	t.Helper()
	must.Eq(t, "application/problem+json", r.Header.Get("Content-Type"))
	var p problem
	must.NoError(t, json.NewDecoder(r.Body).Decode(&p))
	must.Eq(t, p.Status, r.StatusCode)
	must.Eq(t, p.Outcome, r.Header.Get("Anvilpoint-Outcome"))
	return p
}

// Guards against an answer that is cut off or repeats tokens when both engines
// close the connection in the middle of it.
func TestEngineDiesInTheMiddleOfAStream(t *testing.T) {
	one := e2etest.NewEngine(e2etest.Behavior{Tokens: 60, DisconnectAfter: 17})
	defer one.Close()
	two := e2etest.NewEngine(e2etest.Behavior{Tokens: 60, DisconnectAfter: 23})
	defer two.Close()
	f := newFixture(t, engineBackend("e0", one), engineBackend("e1", two))
	f.start(1)
	for range 5 {
		last, complete := readStream(t, f.complete(0, true).Body, 0, 60)
		must.Eq(t, 60, last)
		must.True(t, complete)
	}
	r := f.complete(0, false)
	must.Eq(t, http.StatusOK, r.StatusCode)
}

// Guards against a request that is lost with its sidecar's process: it must resume
// at another sidecar after the last token that the caller has.
func TestSidecarIsKilledInTheMiddleOfAStream(t *testing.T) {
	hold := make(chan struct{})
	one := e2etest.NewEngine(e2etest.Behavior{Tokens: 30, Hold: hold, HoldAt: 10})
	defer one.Close()
	f := newFixture(t, engineBackend("e0", one), engineBackend("e1", one))
	f.start(1)
	r := f.complete(0, true)
	first := serverIndexOf(r)
	// The entry resumes after these 9 tokens once the caller has them.
	events := e2etest.NewEventReader(r.Body)
	for n := 1; n <= 9; n++ {
		e, ok := events.Next()
		must.True(t, ok)
		must.Eq(t, e2etest.EventData(n, 30, ""), e.Data)
	}
	f.sidecars[first].Kill()
	must.NoError(t, <-f.sidecars[first].Done)
	<-one.Calls
	second := <-one.Calls
	must.Eq(t, 9, second.Resume)
	close(hold)
	last, complete := readEvents(t, events, 9, 30)
	must.Eq(t, 30, last)
	must.True(t, complete)
}

// serverIndexOf returns the index of the backend server that the request id names
// in its last digit.
func serverIndexOf(r *http.Response) int {
	id := r.Header.Get("Anvilpoint-Request-Id")
	return int(id[len(id)-1] - '0')
}

// Guards against a stream that is lost with its entry, and against an account that
// reads the answer of another one.
func TestStreamResumesThroughAnotherEntry(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 40, Hold: hold, HoldAt: 20})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(2)
	r := f.complete(0, true)
	events := e2etest.NewEventReader(r.Body)
	for n := 1; n <= 12; n++ {
		e, ok := events.Next()
		must.True(t, ok)
		must.Eq(t, strconv.Itoa(n), e.ID)
	}
	path := "/v1/streams/" + r.Header.Get("Anvilpoint-Request-Id")
	f.entries[0].Kill()
	must.NoError(t, <-f.entries[0].Done)

	otherAccount := f.do(1, http.MethodGet, path, e2etest.OtherAccountKey, nil, "Last-Event-ID", "12")
	must.Eq(t, problem{http.StatusNotFound, "not-run", "stream-gone"}, readProblem(t, otherAccount))
	r = f.do(1, http.MethodGet, path, e2etest.AccountKey, nil, "Last-Event-ID", "12")
	must.Eq(t, http.StatusOK, r.StatusCode)
	close(hold)
	last, complete := readStream(t, r.Body, 12, 40)
	must.Eq(t, 40, last)
	must.True(t, complete)
	must.Eq(t, 1, len(engine.Calls))
	// The sidecar still has the buffer of the finished stream.
	last, complete = readStream(t, f.do(1, http.MethodGet, path, e2etest.AccountKey, nil).Body, 0, 40)
	must.Eq(t, 40, last)
	must.True(t, complete)
}

// Guards against an engine that goes on with a request whose caller has closed the
// connection.
func TestCallerDisconnects(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 40, Hold: make(chan struct{}), HoldAt: 5})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	r := f.complete(0, true)
	call := <-engine.Calls
	must.NoError(t, r.Body.Close())
	<-call.Closed
	must.Eq(t, call.ID, <-engine.Canceled)
}

// Guards against a request that is answered with not-run and runs later: its
// deadline passes while it waits at the sidecar, and the entry answers only after
// the sidecar has confirmed the withdrawal.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 10, Hold: hold, HoldAt: 3, Slots: 1})
	defer engine.Close()
	f := newFixtureWithConfig(t, e2etest.Config{Backends: []e2etest.Backend{engineBackend("e0", engine)}, Deadline: 300 * time.Millisecond})
	f.start(1)
	running := f.complete(0, true)
	must.Eq(t, http.StatusOK, running.StatusCode)
	waiting := f.complete(0, true)
	must.Eq(t, problem{http.StatusServiceUnavailable, "not-run", "deadline"}, readProblem(t, waiting))
	must.NotEq(t, "", waiting.Header.Get("Retry-After"))
	close(hold)
	_, complete := readStream(t, running.Body, 0, 10)
	must.True(t, complete)
	must.Eq(t, 1, len(engine.Calls))
}

// Guards against a drain that interrupts running requests, and against new
// requests at a sidecar that is draining.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine), engineBackend("e1", engine))
	f.start(1)
	inFlight := f.complete(0, true)
	draining := serverIndexOf(inFlight)
	f.sidecars[draining].Stop()
	for range 20 {
		r := f.complete(0, true)
		must.Eq(t, http.StatusOK, r.StatusCode)
		must.NoError(t, r.Body.Close())
	}
	close(hold)
	last, complete := readStream(t, inFlight.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, complete)
	must.NoError(t, <-f.sidecars[draining].Done)
}

// Guards against a stream that is cut off when it outlasts the grace period of a
// draining sidecar: it must resume at another one.
func TestStreamOutlastsTheGracePeriod(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine), engineBackend("e1", engine))
	f.cluster.Grace = 200 * time.Millisecond
	f.start(1)
	r := f.complete(0, true)
	<-engine.Calls
	f.sidecars[serverIndexOf(r)].Stop()
	must.NoError(t, <-f.sidecars[serverIndexOf(r)].Done)
	must.Eq(t, 9, (<-engine.Calls).Resume)
	close(hold)
	last, complete := readStream(t, r.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, complete)
}

// Guards against a drain of an entry that interrupts running requests or accepts
// new ones.
func TestEntryDrains(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	r := f.complete(0, true)
	f.entries[0].Stop()
	for {
		refused := f.complete(0, true)
		if refused.StatusCode == http.StatusServiceUnavailable {
			must.Eq(t, problem{http.StatusServiceUnavailable, "not-run", "draining"}, readProblem(t, refused))
			break
		}
	}
	close(hold)
	last, complete := readStream(t, r.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, complete)
	must.NoError(t, <-f.entries[0].Done)
}

// Guards against two sidecars of one backend server at a time, and against a
// restarted sidecar that the entry does not reconnect to.
func TestExclusiveAddressAndRestart(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 5})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	_, err := f.cluster.StartSidecar(f.backends[0], f.addresses[0])
	must.ErrorContains(t, err, "address already in use")
	f.sidecars[0].Kill()
	must.NoError(t, <-f.sidecars[0].Done)
	_, err = f.cluster.StartSidecar(f.backends[0], f.addresses[0])
	must.NoError(t, err)
	last, complete := readStream(t, f.complete(0, true).Body, 0, 5)
	must.Eq(t, 5, last)
	must.True(t, complete)
}

// Guards against a sidecar or an entry that buffers the whole answer of a slow
// reader: the engine must wait once the credits are used.
func TestSlowReaderAppliesBackpressure(t *testing.T) {
	const tokens = 20000
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: tokens, Padding: strings.Repeat("x", 500)})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	r := f.complete(0, true)
	buffer := make([]byte, 64<<10)
	n, err := io.ReadFull(r.Body, buffer)
	must.NoError(t, err)
	must.Eq(t, len(buffer), n)
	// About 13 MB of the answer are left. Credits and socket buffers stop the engine
	// long before the end, so that its call is still open after the sleep.
	time.Sleep(300 * time.Millisecond)
	call := <-engine.Calls
	select {
	case <-call.Closed:
		t.Fatal("the engine's call ended although the caller has stopped reading")
	default:
	}
	rest, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.StrContains(t, string(rest[len(rest)-100:]), "[DONE]")
}
