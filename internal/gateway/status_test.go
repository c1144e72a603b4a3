package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// failWith returns a handler that has run the request and answers with the status, a body
// and the header fields.
func failWith(status int, body string, header ...string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		platformtest.SetSeal(w)
		for n := 0; n < len(header); n += 2 {
			w.Header().Set(header[n], header[n+1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Guards against a false promise: a backend server runs a request that must not run twice
// and fails it with a status by which clients know that it has not run, so that they send
// it again.
func TestStatusOfAServerDoesNotPromiseThatAnUnsafeRequestDidNotRun(t *testing.T) {
	replica := platformtest.NewReplica(t, "i-1")
	f := newFixture(t, replica)
	sent := 0
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, handler := range []func(http.ResponseWriter, *http.Request){
			failWith(status, ""), failWith(status, "the ledger is away", "Content-Type", "text/plain"),
			failWith(status, "", "Connection", "close"), failWith(status, "", "Retry-After", "0.001"),
		} {
			replica.SetHandler(handler)
			for _, body := range []string{"book", strings.Repeat("book", 64<<10)} {
				sent++
				a := f.call(http.MethodPost, "/unsafe/x", key, body)
				must.Eq(t, http.StatusBadGateway, a.status, must.Sprintf("the server answered %d", status))
				must.False(t, platformtest.HasSeal(a.header), must.Sprint("a signature with another status than the server's"))
				must.Eq(t, "", a.header.Get("Retry-After"))
				must.Eq(t, "", a.body)
			}
		}
	}
	must.SliceLen(t, sent, replica.Received())
}

// Guards against a server's answer that is replaced although its status promises nothing,
// or although the request may run twice.
func TestStatusOfAServerIsReturnedUnchangedWhereItPromisesNothing(t *testing.T) {
	replica := platformtest.NewReplica(t, "i-1")
	f := newFixture(t, replica)
	check := func(method, path string, status int) {
		text := fmt.Sprint("failed with ", status)
		replica.SetHandler(failWith(status, text))
		a := f.call(method, path, key, "")
		must.Eq(t, status, a.status, must.Sprint(path))
		must.Eq(t, text, a.body)
		must.True(t, platformtest.HasSeal(a.header))
	}
	for _, status := range []int{200, 400, 404, 409, 413, 422, 500, 502, 504} {
		check(http.MethodPost, "/unsafe/x", status)
	}
	for _, status := range []int{408, 429, 500, 503} {
		check(http.MethodGet, "/safe/x", status)
	}
}

// Guards against 502 for a request that the server says it has not run: its client would
// not send it again.
func TestRequestThatAServerDidNotRunIsRefusedWithAPromise(t *testing.T) {
	replica := platformtest.NewReplica(t, "i-1")
	f := newFixture(t, replica)
	for _, status := range []int{408, 429, 500, 503} {
		replica.SetHandler(failWith(status, "", platformtest.NotRunHeader, "1"))
		must.Eq(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/unsafe/x", key, "book").status, must.Sprintf("the server answered %d", status))
	}
}
