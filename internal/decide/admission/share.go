package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// maxDeficitSeconds bounds a lane's deficit and its surplus to what its guarantee
// yields in this time. It keeps a lane that was served more than its guarantee for
// long from losing it when a flood begins, and one that could not be served from
// taking every slot afterwards.
const maxDeficitSeconds = 2.0

// maxCostDecay multiplies lane.recentMaxCost at each dispatch, so that a large item
// has faded after some hundred items.
const maxCostDecay = 0.99

// chooseLane returns the lane to serve: the one with the greatest deficit, or else
// the most urgent one with work. A lane with a deficit may use the slots kept for
// urgent work, because a flood of urgent work leaves no others.
func (s *Scheduler) chooseLane() (laneIndex, bool) {
	if s.config.Slots > 0 && s.running >= s.config.Slots {
		return 0, false
	}
	behind, urgent := laneIndex(-1), laneIndex(-1)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		if l.items == 0 || l.nextAccount(s.mayRun) == nil {
			continue
		}
		if urgent < 0 && s.slotFor(n) {
			urgent = n
		}
		if l.deficit > 0 && (behind < 0 || l.deficit > s.lanes[behind].deficit) {
			behind = n
		}
	}
	if behind >= 0 {
		return behind, true
	}
	return urgent, urgent >= 0
}

// maxSlotShare is how many times its equal share of the slots an account may use
// before it gets none of the slots kept for urgent work.
const maxSlotShare = 2

// mayRun reports whether work of the account may take a slot now. An account that
// already uses maxSlotShare times its equal share gets none of the slots kept for
// urgent work, so that others need not wait until one of its items ends.
func (s *Scheduler) mayRun(id ident.ClientAccount) bool {
	if s.config.Slots <= 0 || s.config.Slots-s.running > s.config.UrgentSlots {
		return true
	}
	return s.runningBy[id]*len(s.runningBy) < maxSlotShare*s.config.Slots
}

// slotsPerPrefill is the number of free slots for each analytical or batch prefill
// beyond the first: the emptier the backend server, the more may run at once.
const slotsPerPrefill = 4

// slotFor reports whether an item of the lane may take a slot now.
func (s *Scheduler) slotFor(n laneIndex) bool {
	if s.config.Slots <= 0 {
		return true
	}
	free := s.freeSlots(n)
	if !n.urgent() && s.config.LimitPrefills && s.prefilling > free/slotsPerPrefill {
		return false
	}
	return free > 0
}

// updateDeficits accounts for a dispatched cost: every lane's deficit grows by its
// share of the cost, and that of the served lane falls by the whole cost.
func (s *Scheduler) updateDeficits(served laneIndex, cost float64) {
	rate := s.capacity.estimate(s.config)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		l.deficit += l.share * cost
		if n == served {
			l.deficit -= cost
			l.recentMaxCost = max(cost, maxCostDecay*l.recentMaxCost)
		}
		// The bound holds at least two large items, or part of their cost would be
		// written off.
		limit := max(maxDeficitSeconds*rate*l.share, 2*l.recentMaxCost)
		l.deficit = min(max(l.deficit, -limit), limit)
		s.resetIdleDeficit(n)
	}
}

// resetIdleDeficit clears the deficit of an idle lane: a guarantee holds only while
// the lane has work and does not accumulate.
func (s *Scheduler) resetIdleDeficit(n laneIndex) {
	if l := s.lanes[n]; l.items == 0 {
		l.deficit = min(l.deficit, 0)
	}
}

// freeSlots returns the number of slots that the lane may still take.
func (s *Scheduler) freeSlots(n laneIndex) int {
	free := s.config.Slots - s.running
	if !n.urgent() {
		free -= s.config.UrgentSlots
	}
	return free
}

// full reports whether no slot is free but those kept for urgent work.
func (s *Scheduler) full() bool {
	if s.config.Slots <= 0 {
		return s.Queued() > 0
	}
	return s.running >= s.config.Slots-s.config.UrgentSlots
}

// pastDeadline returns the lane's queued items whose deadline has passed.
func (l *lane) pastDeadline(now time.Time) []*work {
	var past []*work
	for _, a := range l.active {
		for _, w := range a.queue {
			if !now.Before(w.item.Deadline) {
				past = append(past, w)
			}
		}
	}
	return past
}
