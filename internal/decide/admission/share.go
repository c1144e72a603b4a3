package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// burst bounds, in seconds of a lane's guarantee, how far its account may run
// ahead or behind. It keeps a lane that was served well for a long time from
// losing its guarantee when a flood begins, and one that could not be served
// from taking everything afterwards.
const burst = 2.0

// largestDecay forgets the largest item of a lane over some hundred items.
const largestDecay = 0.99

// choose returns the lane to serve: the one that is owed most of its guarantee,
// or else the most urgent one with work. A guarantee may use the slots kept for
// urgent work, because urgent work in a flood leaves no others.
func (s *Scheduler) choose() (laneIndex, bool) {
	if s.config.Slots > 0 && s.running >= s.config.Slots {
		return 0, false
	}
	owed, urgent := laneIndex(-1), laneIndex(-1)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		if l.items == 0 || l.head(s.mayRun) == nil {
			continue
		}
		if urgent < 0 && s.slotFor(n) {
			urgent = n
		}
		if l.owed > 0 && (owed < 0 || l.owed > s.lanes[owed].owed) {
			owed = n
		}
	}
	if owed >= 0 {
		return owed, true
	}
	return urgent, urgent >= 0
}

// greedyFactor is how many times its equal part of the slots an account may use
// before the last slots are kept for others.
const greedyFactor = 2

// mayRun reports whether work of the account may take a slot now. The slots kept
// for urgent work are closed to an account that already uses far more than its
// part, so that others find one without waiting for an item of it to end.
func (s *Scheduler) mayRun(id ident.ClientAccount) bool {
	if s.config.Slots <= 0 || s.config.Slots-s.running > s.config.UrgentSlots {
		return true
	}
	return s.runningBy[id]*len(s.runningBy) < greedyFactor*s.config.Slots
}

// paceSlots is how many free slots allow one more prompt at the same time: the
// emptier the backend server, the less its prompts are spread.
const paceSlots = 4

// slotFor reports whether an item of the lane may take a slot now.
func (s *Scheduler) slotFor(n laneIndex) bool {
	if s.config.Slots <= 0 {
		return true
	}
	free := s.config.Slots - s.running
	if !n.urgent() {
		free -= s.config.UrgentSlots
		if s.config.Pace && s.starting > free/paceSlots {
			return false
		}
	}
	return free > 0
}

// settle books a dispatched cost: each lane earns its share of it, and the lane
// that was served pays all of it.
func (s *Scheduler) settle(served laneIndex, cost float64) {
	rate := s.rate.estimate(s.config)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		l.owed += l.share * cost
		if n == served {
			l.owed -= cost
			l.largest = max(cost, largestDecay*l.largest)
		}
		// The bound leaves room for two items, or large items would be forgiven.
		limit := max(burst*rate*l.share, 2*l.largest)
		l.owed = min(max(l.owed, -limit), limit)
		s.settleIdle(n)
	}
}

// settleIdle drops what an idle lane is owed: a guarantee holds only while the
// lane has work and is not saved up.
func (s *Scheduler) settleIdle(n laneIndex) {
	if l := s.lanes[n]; l.items == 0 {
		l.owed = min(l.owed, 0)
	}
}

// full reports whether the backend server has as much work as it takes.
func (s *Scheduler) full() bool {
	if s.config.Slots <= 0 {
		return s.Queued() > 0
	}
	return s.running >= s.config.Slots-s.config.UrgentSlots
}

// late returns the lane's items whose deadline has passed.
func (l *lane) late(now time.Time) []*work {
	var late []*work
	for _, a := range l.active {
		for _, w := range a.queue {
			if !now.Before(w.item.Deadline) {
				late = append(late, w)
			}
		}
	}
	return late
}
