package gateway_test

import (
	"testing"

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
