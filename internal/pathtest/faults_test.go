package pathtest_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/pathtest"
)

// problem is what the tests read of a problem document.
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

// Guards against an answer that is cut off, or that repeats tokens, when every
// engine breaks off in the middle of it.
func TestEngineDiesInTheMiddleOfAStream(t *testing.T) {
	one := pathtest.NewEngine(pathtest.Behavior{Tokens: 60, DieAfter: 17})
	defer one.Close()
	two := pathtest.NewEngine(pathtest.Behavior{Tokens: 60, DieAfter: 23})
	defer two.Close()
	f := newFixture(t, engineBackend("e0", one), engineBackend("e1", two))
	f.start(1)
	for range 5 {
		last, whole := readStream(t, f.complete(0, true).Body, 0, 60)
		must.Eq(t, 60, last)
		must.True(t, whole)
	}
	r := f.complete(0, false)
	must.Eq(t, http.StatusOK, r.StatusCode)
}

// Guards against a request that ends with its sidecar's process.
func TestSidecarIsKilledInTheMiddleOfAStream(t *testing.T) {
	hold := make(chan struct{})
	one := pathtest.NewEngine(pathtest.Behavior{Tokens: 30, Hold: hold, HoldAt: 10})
	defer one.Close()
	f := newFixture(t, engineBackend("e0", one), engineBackend("e1", one))
	f.start(1)
	r := f.complete(0, true)
	first := serverOf(r)
	// The position to resume at is known once the caller has these tokens.
	events := pathtest.NewEvents(r.Body)
	for n := 1; n <= 9; n++ {
		e, ok := events.Next()
		must.True(t, ok)
		must.Eq(t, pathtest.Event(n, 30, ""), e.Data)
	}
	f.sidecars[first].Kill()
	must.NoError(t, <-f.sidecars[first].Done)
	<-one.Calls
	second := <-one.Calls
	must.Eq(t, 9, second.Resume)
	close(hold)
	last, whole := readEvents(t, events, 9, 30)
	must.Eq(t, 30, last)
	must.True(t, whole)
}

// serverOf returns the number of the server that the request id names.
func serverOf(r *http.Response) int {
	id := r.Header.Get("Anvilpoint-Request-Id")
	return int(id[len(id)-1] - '0')
}

// Guards against a stream that is lost with its entry, and against one account
// reading another's answer.
func TestStreamIsReadOnThroughAnotherEntry(t *testing.T) {
	hold := make(chan struct{})
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 40, Hold: hold, HoldAt: 20})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(2)
	r := f.complete(0, true)
	events := pathtest.NewEvents(r.Body)
	for n := 1; n <= 12; n++ {
		e, ok := events.Next()
		must.True(t, ok)
		must.Eq(t, strconv.Itoa(n), e.ID)
	}
	path := "/v1/streams/" + r.Header.Get("Anvilpoint-Request-Id")
	f.entries[0].Kill()
	must.NoError(t, <-f.entries[0].Done)

	stranger := f.do(1, http.MethodGet, path, pathtest.OtherKey, nil, "Last-Event-ID", "12")
	must.Eq(t, problem{http.StatusNotFound, "not-run", "stream-gone"}, readProblem(t, stranger))
	r = f.do(1, http.MethodGet, path, pathtest.Key, nil, "Last-Event-ID", "12")
	must.Eq(t, http.StatusOK, r.StatusCode)
	close(hold)
	last, whole := readStream(t, r.Body, 12, 40)
	must.Eq(t, 40, last)
	must.True(t, whole)
	must.Eq(t, 1, len(engine.Calls))
	// The finished stream is still held.
	last, whole = readStream(t, f.do(1, http.MethodGet, path, pathtest.Key, nil).Body, 0, 40)
	must.Eq(t, 40, last)
	must.True(t, whole)
}

// Guards against work that goes on in the engine for a caller who has left.
func TestCallerLeaves(t *testing.T) {
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 40, Hold: make(chan struct{}), HoldAt: 5})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	r := f.complete(0, true)
	call := <-engine.Calls
	must.NoError(t, r.Body.Close())
	<-call.Closed
	must.Eq(t, call.ID, <-engine.Canceled)
}

// Guards against a request that is said not to have run but runs later: its
// deadline passes while it waits at the sidecar, and it is withdrawn with proof.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	hold := make(chan struct{})
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 10, Hold: hold, HoldAt: 3, Slots: 1})
	defer engine.Close()
	f := newFixtureOf(t, pathtest.Config{Backends: []pathtest.Backend{engineBackend("e0", engine)}, Deadline: 300 * time.Millisecond})
	f.start(1)
	running := f.complete(0, true)
	must.Eq(t, http.StatusOK, running.StatusCode)
	waiting := f.complete(0, true)
	must.Eq(t, problem{http.StatusServiceUnavailable, "not-run", "deadline"}, readProblem(t, waiting))
	must.NotEq(t, "", waiting.Header.Get("Retry-After"))
	close(hold)
	_, whole := readStream(t, running.Body, 0, 10)
	must.True(t, whole)
	must.Eq(t, 1, len(engine.Calls))
}

// Guards against a planned stop that interrupts work, and against new work at a
// sidecar that is draining.
func TestDrain(t *testing.T) {
	hold := make(chan struct{})
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine), engineBackend("e1", engine))
	f.start(1)
	inFlight := f.complete(0, true)
	draining := serverOf(inFlight)
	f.sidecars[draining].Stop()
	for range 20 {
		r := f.complete(0, true)
		must.Eq(t, http.StatusOK, r.StatusCode)
		must.NoError(t, r.Body.Close())
	}
	close(hold)
	last, whole := readStream(t, inFlight.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, whole)
	must.NoError(t, <-f.sidecars[draining].Done)
}

// Guards against a stream that is cut off when it outlasts the grace period of a
// draining sidecar: it moves to another one.
func TestStreamOutlastsTheGracePeriod(t *testing.T) {
	hold := make(chan struct{})
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine), engineBackend("e1", engine))
	f.world.Grace = 200 * time.Millisecond
	f.start(1)
	r := f.complete(0, true)
	<-engine.Calls
	f.sidecars[serverOf(r)].Stop()
	must.NoError(t, <-f.sidecars[serverOf(r)].Done)
	must.Eq(t, 9, (<-engine.Calls).Resume)
	close(hold)
	last, whole := readStream(t, r.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, whole)
}

// Guards against a planned stop of an entry that interrupts its callers.
func TestEntryDrains(t *testing.T) {
	hold := make(chan struct{})
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 20, Hold: hold, HoldAt: 10})
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
	last, whole := readStream(t, r.Body, 0, 20)
	must.Eq(t, 20, last)
	must.True(t, whole)
	must.NoError(t, <-f.entries[0].Done)
}

// Guards against two sidecars of one server at once, and against a restarted
// one that its entry does not find again.
func TestExclusiveAddressAndRestart(t *testing.T) {
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: 5})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	_, err := f.world.StartSidecar(f.backends[0], f.addresses[0])
	must.ErrorContains(t, err, "address already in use")
	f.sidecars[0].Kill()
	must.NoError(t, <-f.sidecars[0].Done)
	_, err = f.world.StartSidecar(f.backends[0], f.addresses[0])
	must.NoError(t, err)
	last, whole := readStream(t, f.complete(0, true).Body, 0, 5)
	must.Eq(t, 5, last)
	must.True(t, whole)
}

// Guards against a slow reader that makes a sidecar or an entry buffer the whole
// answer: the engine must stand still once the credits are used.
func TestSlowReaderHoldsTheEngineBack(t *testing.T) {
	const tokens = 20000
	engine := pathtest.NewEngine(pathtest.Behavior{Tokens: tokens, Padding: strings.Repeat("x", 500)})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	r := f.complete(0, true)
	buffer := make([]byte, 64<<10)
	n, err := io.ReadFull(r.Body, buffer)
	must.NoError(t, err)
	must.Eq(t, len(buffer), n)
	// About 13 MB of answer are left. Credits, socket buffers and the pause hold
	// the engine far before its end, so that it is still running now.
	time.Sleep(300 * time.Millisecond)
	call := <-engine.Calls
	select {
	case <-call.Closed:
		t.Fatal("the engine ended although nobody reads")
	default:
	}
	rest, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.StrContains(t, string(rest[len(rest)-100:]), "[DONE]")
}
