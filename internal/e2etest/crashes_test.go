package e2etest_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// Guards against answers that are cut off, mixed or repeated while sidecars are
// killed and restarted with a new incarnation 12 times and engines close the
// connection after 70 tokens of each call.
func TestAnswersStayCompleteWhileSidecarsCrash(t *testing.T) {
	const tokens, callers, crashes, seed = 120, 24, 12, 7
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	var backends []e2etest.Backend
	for _, name := range []string{"e0", "e1", "e2"} {
		engine := e2etest.NewEngine(e2etest.Behavior{Tokens: tokens, TokenInterval: 10 * time.Millisecond, DisconnectAfter: 70})
		t.Cleanup(engine.Close)
		backends = append(backends, engineBackend(name, engine))
	}
	f := newFixture(t, backends...)
	f.start(2)
	type answer struct {
		status, last int
		complete     bool
	}
	answers := make(chan answer, callers)
	for n := range callers {
		go func() {
			r := f.complete(n%2, true)
			last, complete := readStream(t, r.Body, 0, tokens)
			answers <- answer{r.StatusCode, last, complete}
		}()
	}
	for range crashes {
		n := random.IntN(len(f.sidecars))
		f.sidecars[n].Kill()
		must.NoError(t, <-f.sidecars[n].Done)
		p, err := f.cluster.StartSidecar(f.backends[n], f.addresses[n])
		must.NoError(t, err)
		f.sidecars[n] = p
	}
	for range callers {
		must.Eq(t, answer{http.StatusOK, tokens, true}, <-answers)
	}
}

// Guards against a stream that is lost when the grace period of its entry ends:
// the caller must see that the stream is incomplete and can resume it through
// another entry.
func TestStreamOutlastsItsEntry(t *testing.T) {
	hold := make(chan struct{})
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 30, Hold: hold, HoldAt: 10})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.cluster.Grace = 200 * time.Millisecond
	f.start(2)
	r := f.complete(0, true)
	f.entries[0].Stop()
	must.NoError(t, <-f.entries[0].Done)
	last, complete := readStream(t, r.Body, 0, 30)
	must.Eq(t, 9, last)
	must.False(t, complete)
	path := "/v1/streams/" + r.Header.Get("Anvilpoint-Request-Id")
	r = f.do(1, http.MethodGet, path, e2etest.AccountKey, nil, "Last-Event-ID", "9")
	must.Eq(t, http.StatusOK, r.StatusCode)
	close(hold)
	last, complete = readStream(t, r.Body, 9, 30)
	must.Eq(t, 30, last)
	must.True(t, complete)
	must.Eq(t, 1, len(engine.Calls))
}

// Guards against an empty answer with status 200 when the grace period of the
// entry ends before the first token: the outcome is unknown.
func TestEntryEndsBeforeTheFirstToken(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 3, Hold: make(chan struct{}), HoldAt: 1})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.cluster.Grace = 200 * time.Millisecond
	f.start(1)
	responses := make(chan *http.Response, 2)
	for _, stream := range []bool{true, false} {
		go func() { responses <- f.complete(0, stream) }()
		<-engine.Calls
	}
	f.entries[0].Stop()
	for range 2 {
		must.Eq(t, problem{http.StatusBadGateway, "unknown", "draining"}, readProblem(t, <-responses))
	}
}

// Guards against a sidecar that still attracts requests while its engine is down,
// and then refuses them.
func TestSidecarLeavesWhileItsEngineIsDown(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 3})
	f := newFixture(t, engineBackend("e0", engine))
	f.start(0)
	engine.Close()
	for {
		r, err := http.Get("http://" + f.sidecars[0].Operations + "/readyz")
		must.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		must.NoError(t, r.Body.Close())
		if r.StatusCode == http.StatusServiceUnavailable {
			must.StrHasPrefix(t, "leaving", string(body))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
