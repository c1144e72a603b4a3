package e2etest_test

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// book sends a booking, and sends it again while the sidecars do not have the
// record with KeysValidFrom. Until then their answer is unknown and they record
// nothing under the key. Other failures have to be the same on a retry.
func (f *fixture) book(entry int, path, key string, body []byte) *http.Response {
	f.Helper()
	for {
		r := f.do(entry, http.MethodPost, "/v1/services/logbook"+path, e2etest.AccountKey, body, "Idempotency-Key", key)
		if r.StatusCode != http.StatusBadGateway {
			return r
		}
		p := readProblem(f.T, r)
		if p.Reason == "key-older-than-memory" || p.Reason == "not-home" {
			continue
		}
		retried := f.do(entry, http.MethodPost, "/v1/services/logbook"+path, e2etest.AccountKey, body, "Idempotency-Key", key)
		must.Eq(f, http.StatusBadGateway, retried.StatusCode)
		return retried
	}
}

// startServices starts plain services with their sidecars, and entries, and
// publishes a record under which sidecars accept opaque keys.
func startServices(t *testing.T, services, entries int) (*fixture, []*e2etest.PlainService) {
	t.Helper()
	var started []*e2etest.PlainService
	var backends []e2etest.Backend
	for n := range services {
		s := e2etest.NewPlainService("")
		t.Cleanup(s.Close)
		started = append(started, s)
		backends = append(backends, serviceBackend("s"+strconv.Itoa(n), s))
	}
	f := newFixture(t, backends...)
	f.start(entries)
	must.NoError(t, f.cluster.PublishKeysValidFrom())
	return f, started
}

func countCalls(services []*e2etest.PlainService) int {
	n := 0
	for _, s := range services {
		n += len(s.Calls)
	}
	return n
}

// Guards against a booking that runs twice when two entries get the same
// idempotency key at once, and against two different answers to it.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	f, services := startServices(t, 3, 2)
	f.book(0, "/loads", "warm", []byte("x"))
	before := countCalls(services)
	for n := range 20 {
		key := "load-" + strconv.Itoa(n)
		var requests sync.WaitGroup
		answers := make([]*http.Response, 2)
		for e := range 2 {
			requests.Go(func() { answers[e] = f.book(e, "/loads", key, []byte(key)) })
		}
		requests.Wait()
		for _, r := range answers {
			must.Eq(t, http.StatusCreated, r.StatusCode)
			body, err := io.ReadAll(r.Body)
			must.NoError(t, err)
			must.Eq(t, key, string(body))
		}
	}
	must.Eq(t, before+20, countCalls(services))
}

// Guards against an idempotency key under which another body or another account
// gets the answer of the first request.
func TestKeyIsBoundToItsRequest(t *testing.T) {
	f, services := startServices(t, 2, 1)
	must.Eq(t, http.StatusCreated, f.book(0, "/loads", "k", []byte("a")).StatusCode)
	repeated := f.book(0, "/loads", "k", []byte("a"))
	must.Eq(t, "true", repeated.Header.Get("Anvilpoint-Replayed"))
	other := f.book(0, "/loads", "k", []byte("b"))
	must.Eq(t, problem{http.StatusUnprocessableEntity, "not-run", "key-reused-with-other-request"}, readProblem(t, other))
	otherAccount := f.do(0, http.MethodPost, "/v1/services/logbook/loads", e2etest.OtherAccountKey, []byte("b"), "Idempotency-Key", "k")
	must.Eq(t, http.StatusCreated, otherAccount.StatusCode)
	must.Eq(t, 2, countCalls(services))
}

// Guards against a booking that is made twice because its service ran it and then failed it
// with 503: the answer has to say that it ran, and the same key must not run it again.
func TestBookingThatItsServiceFailedIsNotRunAgain(t *testing.T) {
	f, services := startServices(t, 2, 1)
	f.book(0, "/loads", "warm", []byte("x"))
	before := countCalls(services)
	for n := range 2 {
		r := f.book(0, e2etest.FailPath, "k", []byte("a"))
		must.Eq(t, http.StatusServiceUnavailable, r.StatusCode)
		must.Eq(t, "completed", r.Header.Get("Anvilpoint-Outcome"))
		must.Eq(t, n == 1, r.Header.Get("Anvilpoint-Replayed") == "true")
	}
	must.Eq(t, before+1, countCalls(services))
}

// Guards against a booking that runs again after the home sidecar of its key was
// restarted and has lost its record of executions.
func TestRestartedHomeAnswersUnknown(t *testing.T) {
	f, services := startServices(t, 1, 1)
	must.Eq(t, http.StatusCreated, f.book(0, "/loads", "k", []byte("a")).StatusCode)
	f.sidecars[0].Kill()
	<-f.sidecars[0].Done
	p, err := f.cluster.StartSidecar(f.backends[0], f.addresses[0])
	must.NoError(t, err)
	f.sidecars[0] = p
	r := f.do(0, http.MethodPost, "/v1/services/logbook/loads", e2etest.AccountKey, []byte("a"), "Idempotency-Key", "k")
	must.Eq(t, "unknown", readProblem(t, r).Outcome)
	must.Eq(t, 1, countCalls(services))
}
