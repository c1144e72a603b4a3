package routing

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// maxNoWaitTries is how many replicas an urgent request may find without a free
	// slot before it queues.
	maxNoWaitTries = 2
	// maxBusyShare is the share of no-wait requests without a free slot above which
	// requests queue at once: slots are then scarce everywhere, and a request that
	// moves on to the next replica only loses a slot to less urgent work.
	maxBusyShare = 0.5
	// busyGain is the weight of one answer in the smoothed busy share.
	busyGain = 0.05
	// probeShare is the share of requests that stay no-wait above maxBusyShare, to
	// detect that slots are free again.
	probeShare = 0.05
)

// NoWaitAnswer reports a replica's answer to a no-wait request. Busy means that it had
// no free slot.
type NoWaitAnswer struct{ Busy bool }

func (NoWaitAnswer) routing() {}

// NoWait reports whether a replica without a free slot should refuse the request, so
// that another replica gets it. This holds only for interactive requests, and only if
// another replica is usable.
func (r *Router) NoWait(now time.Time, q Request) bool {
	if r.config.Baseline != "" || q.Class != ident.Interactive || len(q.Tried) >= maxNoWaitTries {
		return false
	}
	if len(r.usable(now, q)) < 2 {
		return false
	}
	return r.busyShare <= maxBusyShare || r.random.Float64() < probeShare
}

// answered updates the busy share with an answer to a no-wait request.
func (r *Router) answered(m NoWaitAnswer) {
	value := 0.0
	if m.Busy {
		value = 1
	}
	r.busyShare += busyGain * (value - r.busyShare)
}
