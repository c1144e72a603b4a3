package mapswitch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against processes that answer each other without end: the statuses of a
// group of 72 share the leader's link of 8 Mbit/s with the maps and the choices. At
// about 300 bytes each, 2,400 in a second take two thirds of it.
func TestStatusesStayFew(t *testing.T) {
	w := newWorld(t, 1, 72)
	w.run(5 * time.Second)
	before := w.reports
	w.run(10 * time.Second)
	perSecond := (w.reports - before) / 10
	t.Logf("%d statuses a second, %d changes", perSecond, w.switches)
	must.Less(t, 2400, perSecond)
}
