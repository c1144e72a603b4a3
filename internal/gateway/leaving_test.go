package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// Guards against new work for a replica that says in its answers that it is leaving, while
// the store still lists it as ready, or has lost that it is draining; from the entry that
// heard it and from one that did not.
func TestServerThatAnnouncesItsLeavingGetsNoNewWork(t *testing.T) {
	leaving, other := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2")
	leaving.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		platformtest.AnnounceLeaving(w)
		platformtest.SetSeal(w)
	})
	f := newFixture(t, leaving, other)
	backup := f.store.Copy()
	peer := f.startPeer()
	for len(leaving.Received()) == 0 {
		must.Eq(t, http.StatusOK, f.call(http.MethodGet, "/safe/x", key, "").status)
	}
	peer.awaitMetric("the other entry knows", `anvilpoint_backend_servers{state="leaving"} 1`)
	heard := len(leaving.Received())
	f.store.Restore(backup)
	leaving.Register(f.store, service, "ready")
	other.Register(f.store, service, "ready")
	f.awaitMetric("the list is read again", `anvilpoint_store_restores_total 2`)
	for range 40 {
		must.Eq(t, "i-2", f.call(http.MethodGet, "/safe/x", key, "").body)
		must.Eq(t, "i-2", peer.call(http.MethodGet, "/safe/x", key, "").body)
	}
	must.Eq(t, heard, len(leaving.Received()))
}

// Guards against a server that is taken for leaving because another one, which is, has its
// address now.
func TestLeavingOfAMisdirectedAnswerIsIgnored(t *testing.T) {
	misdirected, other := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2")
	misdirected.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		platformtest.AnnounceLeaving(w)
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	f := newFixture(t, misdirected, other)
	for len(misdirected.Received()) == 0 {
		must.Eq(t, "i-2", f.call(http.MethodGet, "/safe/x", key, "").body)
	}
	time.Sleep(300 * time.Millisecond)
	f.awaitMetric("no server is leaving", `anvilpoint_backend_servers{state="leaving"} 0`)
}
