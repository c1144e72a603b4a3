package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// Guards against requests to a replica that turned one away and asked for a pause, against
// callers that pay for it though another replica is free, and against a pause without an end.
func TestReplicaThatTurnedARequestAwayIsLeftAlone(t *testing.T) {
	full, other := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2")
	full.SetHandler(platformtest.TurnAway("1.5"))
	f := newFixture(t, full, other)
	for len(full.Received()) == 0 {
		must.Eq(t, "i-2", f.call(http.MethodGet, "/safe/x", key, "").body)
	}
	turnedAway := time.Now()
	full.SetHandler(func(w http.ResponseWriter, _ *http.Request) { platformtest.SetSeal(w) })
	calls := 0
	for len(full.Received()) == 1 {
		must.Eq(t, http.StatusOK, f.call(http.MethodGet, "/safe/x", key, "").status)
		calls++
	}
	must.GreaterEq(t, 1400*time.Millisecond, time.Since(turnedAway))
	must.Greater(t, 20, calls)
}
