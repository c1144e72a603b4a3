package controlbench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/load/controlbench"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// switchCost is the time, the executed orders and the messages of one switch to another
// record.
type switchCost struct {
	took     time.Duration
	orders   int
	messages uint64
}

// switchTo publishes a value and returns the cost until the processes have converged.
func (r *run) switchTo(n int) switchCost {
	orders, messages := 0, r.sim.Traffic.Messages
	for _, e := range r.sim.Engines {
		orders -= e.Executed
	}
	r.revision++
	r.publish(r.revision, n)
	took, ok := r.sim.RunUntil(time.Minute, 20*time.Millisecond, r.converged)
	must.True(r.t, ok)
	for _, e := range r.sim.Engines {
		orders += e.Executed
	}
	messages = r.sim.Traffic.Messages - messages
	r.sim.Run(20 * time.Second)
	return switchCost{took, orders, messages}
}

// Guards against a rollback to an earlier record, or a roll-forward to the later one, that
// differs from the first change in time, orders or messages, in either schema or as a
// bundle.
func TestRollbackAndRollForwardCostTheSame(t *testing.T) {
	w, err := controlbench.New(controlbench.Config{Seed: 1, Domains: 3, Entries: 3, Sidecars: 6})
	must.NoError(t, err)
	r := &run{t: t, sim: w, values: encodings(t)}
	// Both schemas and the bundle.
	const encodingsPerVariant = record.NewestSchema + 1
	r.sim.Run(2 * time.Second)
	r.switchTo(0)
	var first switchCost
	for i := range 24 {
		variant, encoding := (i+1)%2, (i/2)%encodingsPerVariant
		c := r.switchTo(variant*encodingsPerVariant + encoding)
		if i == 0 {
			first = c
		}
		must.Eq(t, first.orders, c.orders)
		// A jitter of at most 0.5 s is random, and so is the number of heartbeats in it.
		must.Between(t, first.took-500*time.Millisecond, c.took, first.took+500*time.Millisecond)
		must.Between(t, first.messages/2, c.messages, 2*first.messages)
		t.Logf("switch %d to variant %d: %s, %d orders, %d messages", i, variant, c.took, c.orders, c.messages)
	}
}
