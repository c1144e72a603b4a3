package e2etest_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// fixture is the cluster of one test with its processes.
type fixture struct {
	*testing.T
	ctx       context.Context
	cluster   *e2etest.Cluster
	backends  []e2etest.Backend
	addresses []string
	sidecars  []*e2etest.Process
	entries   []*e2etest.Process
}

func newFixture(t *testing.T, backends ...e2etest.Backend) *fixture {
	t.Helper()
	return newFixtureWithConfig(t, e2etest.Config{Backends: backends})
}

func newFixtureWithConfig(t *testing.T, c e2etest.Config) *fixture {
	t.Helper()
	c.Logger = zerolog.Nop()
	ctx, cancel := context.WithCancel(t.Context())
	cluster, addresses, err := e2etest.NewCluster(ctx, c)
	must.NoError(t, err)
	f := &fixture{T: t, ctx: ctx, cluster: cluster, backends: c.Backends, addresses: addresses}
	t.Cleanup(func() { cancel(); cluster.Close() })
	return f
}

// start starts the sidecars of all backends and the given number of entries.
func (f *fixture) start(entries int) {
	f.Helper()
	for n, b := range f.backends {
		p, err := f.cluster.StartSidecar(b, f.addresses[n])
		must.NoError(f, err)
		f.sidecars = append(f.sidecars, p)
	}
	for n := range entries {
		p, err := f.cluster.StartEntry("entry-" + strconv.Itoa(n))
		must.NoError(f, err)
		f.entries = append(f.entries, p)
	}
}

func engineBackend(name string, e *e2etest.Engine) e2etest.Backend {
	return e2etest.Backend{Server: ident.ServerID(name), Kind: "engine", URL: e.URL}
}

func (f *fixture) do(entry int, method, path, key string, body []byte, headers ...string) *http.Response {
	f.Helper()
	r, err := e2etest.Request(f.ctx, method, "http://"+f.entries[entry].Address+path, key, body)
	must.NoError(f, err)
	for n := 0; n < len(headers); n += 2 {
		r.Header.Set(headers[n], headers[n+1])
	}
	response, err := http.DefaultClient.Do(r)
	must.NoError(f, err)
	f.Cleanup(func() { response.Body.Close() })
	return response
}

func (f *fixture) complete(entry int, stream bool) *http.Response {
	f.Helper()
	return f.do(entry, http.MethodPost, "/v1/chat/completions", e2etest.AccountKey, e2etest.Completion(stream))
}

// readStream checks that the tokens follow each other without a gap, and returns
// the number of the last one and whether the stream was complete, that is, ended
// with [DONE].
func readStream(t *testing.T, body io.Reader, after, tokens int) (last int, complete bool) {
	t.Helper()
	return readEvents(t, e2etest.NewEventReader(body), after, tokens)
}

// readEvents is readStream for a body of which some events have been read.
func readEvents(t *testing.T, events *e2etest.EventReader, after, tokens int) (last int, complete bool) {
	t.Helper()
	last = after
	for {
		e, ok := events.Next()
		if !ok {
			return last, false
		}
		if e.Data == "[DONE]" {
			return last, true
		}
		if e.Name == "error" {
			t.Logf("error event: %s", e.Data)
			return last, false
		}
		last++
		must.Eq(t, strconv.Itoa(last), e.ID)
		must.Eq(t, e2etest.EventData(last, tokens, ""), e.Data)
	}
}

// Guards against tokens that are lost, doubled or reordered between engine and
// caller when nothing fails.
func TestStreamedAndUnstreamedCompletion(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 50})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)

	r := f.complete(0, true)
	must.Eq(t, http.StatusOK, r.StatusCode)
	must.StrHasPrefix(t, "r-", r.Header.Get("Anvilpoint-Request-Id"))
	last, complete := readStream(t, r.Body, 0, 50)
	must.Eq(t, 50, last)
	must.True(t, complete)

	r = f.complete(0, false)
	must.Eq(t, http.StatusOK, r.StatusCode)
	must.Eq(t, "completed", r.Header.Get("Anvilpoint-Outcome"))
	var answer struct {
		Choices []struct {
			Message      struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	must.NoError(t, json.NewDecoder(r.Body).Decode(&answer))
	must.Eq(t, e2etest.AnswerText(50, ""), answer.Choices[0].Message.Content)
	must.Eq(t, "stop", answer.Choices[0].FinishReason)
}
