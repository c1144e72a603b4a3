package gateway_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
)

// serves returns a condition: requests are answered by the replica.
func (f *fixture) serves(id string) func() bool {
	return func() bool { return f.call("GET", "/safe/x", key, "").body == id }
}

// Guards against routes that are missed because the store was restored from a copy and has
// given out again the revision from which an entry watches.
func TestRoutesPublishedAfterARestoreAreNotMissed(t *testing.T) {
	first, second, third := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")
	f := newFixture(t, first)
	second.Register(f.store, "second", "ready")
	third.Register(f.store, "third", "ready")
	backup := f.store.Copy()
	f.store.Put(platform.ConfigurationKey, platformtest.ConfigDocument(2, "second"))
	f.eventually("the second routes are in force", f.serves("i-2"))
	f.store.Restore(backup)
	f.store.Put(platform.ConfigurationKey, platformtest.ConfigDocument(3, "third"))
	f.eventually("the third routes are in force", f.serves("i-3"))
}

// Guards against an entry that starts from a copy of the store and uses older routes, which
// hold withdrawn keys, or a server that has left, though another entry knows better.
func TestEntryThatStartsFromACopyKnowsWhatOthersKnow(t *testing.T) {
	withdrawn, departed, current := platformtest.NewReplica(t, "i-1"), platformtest.NewReplica(t, "i-2"), platformtest.NewReplica(t, "i-3")
	f := newFixture(t, withdrawn)
	departed.Register(f.store, "second", "ready")
	current.Register(f.store, "second", "ready")
	backup := f.store.Copy()
	f.store.Put(platform.ConfigurationKey, platformtest.ConfigDocument(2, "second"))
	f.eventually("the second routes are in force", f.serves("i-2"))
	f.awaitMetric("all servers are listed", `anvilpoint_backend_servers{state="ready"} 3`)
	f.store.Delete("servers/i-2")
	f.awaitMetric("the removed server is not listed", `anvilpoint_backend_servers{state="ready"} 2`)
	f.store.Restore(backup)
	before := len(withdrawn.Received()) + len(departed.Received())
	peer := f.startPeer()
	for range 50 {
		must.Eq(t, "i-3", peer.call("GET", "/safe/x", key, "").body)
	}
	must.Eq(t, before, len(withdrawn.Received())+len(departed.Received()))
}
