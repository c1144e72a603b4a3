package mapchange_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against agents that answer each other without end. The statuses of a group of
// 72 ranks share the leader's 8 Mbit/s link with the maps and the expert counts; at about
// 300 bytes each, 2,400 per second take two thirds of it.
func TestStatusRateIsBounded(t *testing.T) {
	w := newSimulation(t, 1, 72)
	w.run(5 * time.Second)
	before := w.reports
	w.run(10 * time.Second)
	perSecond := (w.reports - before) / 10
	t.Logf("%d statuses per second, %d changes", perSecond, w.switches)
	must.Less(t, 2400, perSecond)
}
