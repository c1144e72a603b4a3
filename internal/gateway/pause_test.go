package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that waits although no server takes it before it must be refused,
// and against one that is refused, or told to come back, before a server takes it.
func TestRequestWaitsOnlyForAPauseThatEndsInTime(t *testing.T) {
	f := newDispatchFixture(t, 2)
	pause := func(length time.Duration) {
		f.d.step(testStart, pauseRequested{service: "s", server: "0", length: length})
		f.d.step(testStart, pauseRequested{service: "s", server: "1", length: length})
	}
	pause(time.Second)
	waiting := f.ask(0, 0, 0)
	must.False(t, answered(waiting))
	f.serveWaiting(time.Second)
	must.True(t, answered(waiting))
	must.Eq(t, 0, (<-waiting).status)
	pause(5 * time.Second)
	refused := f.ask(2*time.Second, 0, 0)
	must.True(t, answered(refused))
	a := <-refused
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.GreaterEq(t, 3*time.Second, a.retryAfter)
}
