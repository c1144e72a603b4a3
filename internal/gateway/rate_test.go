package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// Guards against an announced rate that is read from answers or passed between entries but
// does not reach the choice of a server.
func TestServerGetsNoMoreThanItsAnnouncedRate(t *testing.T) {
	limited, other := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2")
	limited.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		platformtest.AnnounceRate(w, "0")
		platformtest.SetSeal(w)
	})
	f := newFixture(t, limited, other)
	peer := f.startPeer()
	for len(limited.Received()) == 0 {
		must.Eq(t, http.StatusOK, f.call(http.MethodGet, "/safe/x", key, "").status)
	}
	peer.awaitMetric("the peer knows the rate", "anvilpoint_rate_limited_servers 1")
	begin := time.Now()
	for range 30 {
		must.Eq(t, http.StatusOK, f.call(http.MethodGet, "/safe/x", key, "").status)
		must.Eq(t, http.StatusOK, peer.call(http.MethodGet, "/safe/x", key, "").status)
	}
	// A rate of zero is tried about once in the four seconds over which requests are counted.
	tries := 1 + int(time.Since(begin)/(4*time.Second))
	must.LessEq(t, 1+2*tries, len(limited.Received()))
}
