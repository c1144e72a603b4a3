package e2etest_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// deadlyText stands in the body of completions that crash engines.
const deadlyText = "deadly"

// deadlyCompletion returns the body of a completion that crashes engines.
func deadlyCompletion() []byte {
	return bytes.Replace(e2etest.Completion(true), []byte("{"), []byte(`{"user":"`+deadlyText+`",`), 1)
}

// awaitQuarantine waits until the entry holds a request that crashed a server.
func (f *fixture) awaitQuarantine(entry int) {
	f.Helper()
	for range 600 {
		response, err := http.Get("http://" + f.entries[entry].Operations + "/metrics")
		must.NoError(f, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(f, err)
		must.NoError(f, response.Body.Close())
		if bytes.Contains(text, []byte("\nanvilpoint_entry_quarantined_requests 1\n")) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.Fatalf("entry %d does not learn of the crash", entry)
}

// Guards against a completion that crashes one engine after the other, through its own entry
// or another one, and against a refusal of sound completions beside it.
func TestCompletionThatCrashedAnEngineIsNotOfferedAgain(t *testing.T) {
	var engines []*e2etest.Engine
	var backends []e2etest.Backend
	for _, name := range []string{"e0", "e1", "e2"} {
		e := e2etest.NewEngine(e2etest.Behavior{Tokens: 3, CrashOn: deadlyText})
		defer e.Close()
		engines, backends = append(engines, e), append(backends, engineBackend(name, e))
	}
	f := newFixture(t, backends...)
	f.start(2)
	send := func(entry int) *http.Response {
		return f.do(entry, http.MethodPost, "/v1/chat/completions", e2etest.AccountKey, deadlyCompletion())
	}
	must.Eq(t, http.StatusBadGateway, send(0).StatusCode)
	f.awaitQuarantine(1)
	for _, entry := range []int{0, 1} {
		refused := send(entry)
		must.Eq(t, http.StatusServiceUnavailable, refused.StatusCode)
		must.NotEq(t, "", refused.Header.Get("Retry-After"))
		last, complete := readStream(t, f.complete(entry, true).Body, 0, 3)
		must.Eq(t, 3, last)
		must.True(t, complete)
	}
	calls := 0
	for _, e := range engines {
		calls += len(e.Calls)
	}
	must.Eq(t, 3, calls, must.Sprint("one deadly completion and two sound ones"))
}

// Guards against a call that takes down all servers of a plain service one after the other.
func TestCallThatCrashedAServiceIsNotOfferedAgain(t *testing.T) {
	var services []*e2etest.PlainService
	var backends []e2etest.Backend
	for _, name := range []string{"s0", "s1", "s2"} {
		s := e2etest.NewPlainService("")
		defer s.Close()
		services, backends = append(services, s), append(backends, serviceBackend(name, s))
	}
	f := newFixture(t, backends...)
	f.start(2)
	get := func(entry int, path string) int {
		return f.do(entry, http.MethodGet, "/v1/services/"+string(e2etest.Service)+path, e2etest.AccountKey, nil).StatusCode
	}
	must.Eq(t, http.StatusBadGateway, get(0, e2etest.CrashPath))
	f.awaitQuarantine(1)
	must.Eq(t, http.StatusServiceUnavailable, get(0, e2etest.CrashPath))
	must.Eq(t, http.StatusServiceUnavailable, get(1, e2etest.CrashPath))
	must.Eq(t, http.StatusCreated, get(1, "/sound"))
	calls := 0
	for _, s := range services {
		calls += len(s.Calls)
	}
	must.Eq(t, 2, calls, must.Sprint("one deadly call and a sound one"))
}

// Guards against a part of an answer that reaches the caller as the whole one, because only
// the end of the connection marks its end and the service crashed.
func TestAnswerWithoutLengthOfACrashedServiceIsIncomplete(t *testing.T) {
	s := e2etest.NewPlainService("")
	defer s.Close()
	f := newFixture(t, serviceBackend("s0", s))
	f.start(1)
	r := f.do(0, http.MethodGet, "/v1/services/"+string(e2etest.Service)+e2etest.CrashInAnswerPath, e2etest.AccountKey, nil)
	must.Eq(t, http.StatusBadGateway, r.StatusCode)
}
