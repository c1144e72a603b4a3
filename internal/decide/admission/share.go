package admission

import "time"

// burst bounds, in seconds of the backend server's capacity, how far a lane's
// account of its guarantee may run ahead or behind. It keeps a lane that has
// been served well for a long time from losing its guarantee, and one that
// could not be served from taking everything afterwards.
const burst = 2.0

// choose returns the lane to serve: the one that is owed most of its guarantee,
// or else the most urgent one with work.
func (s *Scheduler) choose() (laneIndex, bool) {
	owed, urgent := laneIndex(-1), laneIndex(-1)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		if l.items == 0 || !s.slotFor(n) {
			continue
		}
		if urgent < 0 {
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

// slotFor reports whether an item of the lane may take a slot now.
func (s *Scheduler) slotFor(n laneIndex) bool {
	if s.config.Slots <= 0 {
		return true
	}
	free := s.config.Slots - s.running
	if !n.urgent() {
		free -= s.config.UrgentSlots
	}
	return free > 0
}

// settle books a dispatched cost: each lane earns its share of it, and the lane
// that was served pays all of it.
func (s *Scheduler) settle(served laneIndex, cost float64) {
	limit := burst * s.rate.estimate(s.config)
	for n := laneIndex(0); n < laneCount; n++ {
		l := s.lanes[n]
		l.owed += l.share * cost
		if n == served {
			l.owed -= cost
		}
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

// backlogged reports whether any lane has waiting work.
func (s *Scheduler) backlogged() bool {
	for _, l := range s.lanes {
		if l.items > 0 {
			return true
		}
	}
	return false
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
