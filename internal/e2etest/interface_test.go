package e2etest_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

func serviceBackend(name string, s *e2etest.PlainService) e2etest.Backend {
	return e2etest.Backend{Server: ident.ServerID(name), Kind: "service", URL: s.URL}
}

// Guards against refused requests with other status codes, outcomes or reasons
// than the documented ones, and against refused requests that reach a backend.
func TestRefusedRequests(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 3})
	defer engine.Close()
	service := e2etest.NewPlainService("")
	defer service.Close()
	f := newFixture(t, engineBackend("e0", engine), serviceBackend("s0", service))
	f.start(1)
	const completions = "/v1/chat/completions"
	valid := e2etest.Completion(true)
	for _, c := range []struct {
		name, method, path, key string
		body                    []byte
		headers                 []string
		want                    problem
	}{
		{"no such key", "POST", completions, "wrong", valid, nil, problem{401, "not-run", "unauthenticated"}},
		{"not JSON", "POST", completions, e2etest.AccountKey, []byte("{"), nil, problem{400, "not-run", "malformed"}},
		{"no messages", "POST", completions, e2etest.AccountKey, []byte(`{"model":"m"}`), nil, problem{400, "not-run", "malformed"}},
		{"unknown model", "POST", completions, e2etest.AccountKey, []byte(`{"model":"x","messages":[]}`), nil, problem{404, "not-run", "not-found"}},
		{"other's model", "POST", completions, e2etest.AccountKey, []byte(`{"model":"other","messages":[]}`), nil, problem{403, "not-run", "forbidden"}},
		{"class of others", "POST", completions, e2etest.AccountKey, valid, []string{"Anvilpoint-Priority-Class", "analytical"}, problem{403, "not-run", "forbidden"}},
		{"no such class", "POST", completions, e2etest.AccountKey, valid, []string{"Anvilpoint-Priority-Class", "gold"}, problem{400, "not-run", "malformed"}},
		{"too large", "POST", completions, e2etest.AccountKey, []byte(strings.Repeat(" ", 1<<20+1)), nil, problem{413, "not-run", "too-large"}},
		{"unknown service", "GET", "/v1/services/x/a", e2etest.AccountKey, nil, nil, problem{404, "not-run", "not-found"}},
		{"no idempotency key", "POST", "/v1/services/logbook/a", e2etest.AccountKey, nil, nil, problem{400, "not-run", "malformed"}},
		{"no such stream", "GET", "/v1/streams/r-1.e0", e2etest.AccountKey, nil, nil, problem{404, "not-run", "stream-gone"}},
		{"bad position", "GET", "/v1/streams/r-1.e0", e2etest.AccountKey, nil, []string{"Last-Event-ID", "x"}, problem{400, "not-run", "malformed"}},
		{"unknown path", "GET", "/v2", e2etest.AccountKey, nil, nil, problem{404, "not-run", "not-found"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, readProblem(t, f.do(0, c.method, c.path, c.key, c.body, c.headers...)))
		})
	}
	must.Eq(t, 0, len(engine.Calls))
	must.Eq(t, 0, len(service.Calls))
}

// Guards against a service's answer that loses its status, type or body.
func TestServiceCall(t *testing.T) {
	service := e2etest.NewPlainService("")
	defer service.Close()
	f := newFixture(t, serviceBackend("s0", service))
	f.start(1)
	must.NoError(t, f.cluster.PublishKeysValidFrom())
	large := strings.Repeat("0123456789", 60_000)
	for n, body := range []string{"", "one load of citrus peel", large} {
		key := "k" + strconv.Itoa(n)
		r := f.book(0, "/loads?day=3", key, []byte(body))
		must.Eq(t, http.StatusCreated, r.StatusCode)
		must.Eq(t, "text/x-test", r.Header.Get("Content-Type"))
		must.Eq(t, "completed", r.Header.Get("Anvilpoint-Outcome"))
		got, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		must.Eq(t, body, string(got))
		must.Eq(t, e2etest.ServiceCall{Method: "POST", Path: "/loads?day=3", Key: key, Body: body}, <-service.Calls)
	}
}

// Guards against a call that is sent again although it may have run: net/http
// retries requests with an Idempotency-Key header when the connection breaks.
func TestServiceDisconnectsAfterTheCall(t *testing.T) {
	service := e2etest.NewPlainService("/loads")
	defer service.Close()
	f := newFixture(t, serviceBackend("s0", service))
	f.start(1)
	must.NoError(t, f.cluster.PublishKeysValidFrom())
	for _, body := range []string{"", "load"} {
		r := f.book(0, "/warm", "warm-"+body, nil)
		must.Eq(t, http.StatusCreated, r.StatusCode)
		<-service.Calls
		r = f.book(0, "/loads", "k-"+body, []byte(body))
		must.Eq(t, problem{http.StatusBadGateway, "unknown", "backend-server-failed"}, readProblem(t, r))
		<-service.Calls
		must.Eq(t, 0, len(service.Calls))
	}
}

// Guards against missing operators' endpoints and a wrong list of models.
func TestOperationsAndModels(t *testing.T) {
	engine := e2etest.NewEngine(e2etest.Behavior{Tokens: 3})
	defer engine.Close()
	f := newFixture(t, engineBackend("e0", engine))
	f.start(1)
	for _, p := range []*e2etest.Process{f.entries[0], f.sidecars[0]} {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			r, err := http.Get("http://" + p.Operations + path)
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, r.StatusCode)
			must.NoError(t, r.Body.Close())
		}
	}
	r := f.do(0, http.MethodGet, "/v1/models", e2etest.AccountKey, nil)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.Eq(t, `{"object":"list","data":[{"id":"m","object":"model","owned_by":"anvilpoint"}]}`+"\n", string(body))
}
