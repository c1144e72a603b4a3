package routing

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// noWaitTries is how many replicas an urgent request may find without a
	// free slot before it queues.
	noWaitTries = 2
	// busyLimit is the share of no-wait requests found no free slot above which
	// requests queue at once: then slots are scarce everywhere, and work that is
	// sent on would only lose its place to less urgent work.
	busyLimit = 0.5
	// busyGain is the weight of one answer in that share.
	busyGain = 0.05
	// probeShare of the requests stay without waiting, to notice when slots are free.
	probeShare = 0.05
)

// Answered says how a replica answered a no-wait request: whether it had a
// free slot.
type Answered struct{ Busy bool }

func (Answered) routing() {}

// NoWait reports whether a request should be refused by a replica without a
// free slot, so that another replica gets it. Only urgent requests are, and only
// if there is another replica.
func (r *Router) NoWait(now time.Time, q Request) bool {
	if r.config.Baseline != "" || q.Class != ident.Interactive || len(q.Tried) >= noWaitTries {
		return false
	}
	if len(r.usable(now, q)) < 2 {
		return false
	}
	return r.busy <= busyLimit || r.random.Float64() < probeShare
}

func (r *Router) answered(m Answered) {
	value := 0.0
	if m.Busy {
		value = 1
	}
	r.busy += busyGain * (value - r.busy)
}
