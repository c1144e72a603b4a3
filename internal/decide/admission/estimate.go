package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// capacity estimates the cost per second that the backend server gets done
// when all its slots are in use. Rates measured with free slots say nothing
// about capacity, so they only ever raise the estimate.
type capacity struct {
	finished meter
	measured float64
	// seen says that a rate was measured with all slots in use.
	seen bool
}

// capacityGain is the weight of one measurement taken with all slots in use.
const capacityGain = 0.05

func (c *capacity) end(now time.Time, cost float64, full bool) {
	c.finished.add(now, cost)
	rate := c.finished.rate(now)
	switch {
	case rate > c.measured:
		c.measured = rate
	case full && c.seen:
		c.measured += capacityGain * (rate - c.measured)
	}
	c.seen = c.seen || full && rate >= c.measured
}

// estimate returns cost per second: the configured rate or more until the
// capacity has been measured, and at least a tenth of it afterwards, so that a
// stall does not refuse everything for ever.
func (c *capacity) estimate(config Config) float64 {
	if !c.seen {
		return max(c.measured, config.Rate)
	}
	return max(c.measured, config.Rate/10)
}

// laneRate estimates the cost per second that the lane gets while it has work:
// its guarantee, or what the more urgent lanes leave if that is more.
func (s *Scheduler) laneRate(now time.Time, n laneIndex) float64 {
	total := s.rate.estimate(s.config)
	taken := 0.0
	for k, l := range s.lanes {
		if k := laneIndex(k); k == n || (l.items == 0 && k > n) {
			continue
		} else if k < n {
			taken += l.served.rate(now)
		} else {
			// A less urgent lane with work takes its guarantee at most.
			taken += min(l.share*total, max(l.served.rate(now), l.share*total))
		}
	}
	return max(total-taken, s.lanes[n].share*total, total/100)
}

// wait estimates how long the item would queue: until the work that fair
// queueing puts before it is done.
func (s *Scheduler) wait(now time.Time, w *work) time.Duration {
	l := s.lanes[w.lane]
	return time.Duration(l.before(w.item) / s.laneRate(now, w.lane) * float64(time.Second))
}

// refuse applies the early refusals: a deadline that cannot be met, and a queue
// that is longer than its class allows.
func (s *Scheduler) refuse(now time.Time, w *work) (outcome.Reason, time.Duration) {
	wait := s.wait(now, w)
	l := s.lanes[w.lane]
	switch {
	case w.item.NoWait && (l.items > 0 || !s.slotFor(w.lane)):
		return outcome.ReasonBusy, 0
	case now.Add(wait).After(w.item.Deadline):
		return s.overReason(w, outcome.ReasonDeadline), clampRetry(now.Add(wait).Sub(w.item.Deadline))
	case l.maxWait > 0 && wait > l.maxWait:
		return s.overReason(w, outcome.ReasonQueueFull), clampRetry(wait - l.maxWait)
	}
	return outcome.ReasonNone, 0
}

// overReason blames the account if it waits with more than its part of the lane.
func (s *Scheduler) overReason(w *work, other outcome.Reason) outcome.Reason {
	l := s.lanes[w.lane]
	a := l.accounts[w.item.Account]
	if a == nil || len(l.active) < 2 {
		return other
	}
	if float64(a.cost)*l.weights(w.item) > 1.5*float64(l.cost)*w.item.Weight {
		return outcome.ReasonAccountShare
	}
	return other
}

func (s *Scheduler) retryAfter(now time.Time, w *work) time.Duration {
	return clampRetry(s.wait(now, w) / 2)
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// reportInterval is the time for which a credit must last: until the next
// heartbeat.
const reportInterval = time.Second

// defaultWindow is the wait in each class's queue up to which entries get
// credit when the configuration gives no bound.
const defaultWindow = 2 * time.Second

// usualCost is the assumed cost of an item until items have been seen, and
// usualGain the weight of one item in the mean.
const (
	usualCost = 256.0
	usualGain = 0.02
)

// Window returns the credit for each of the given number of entries, by class
// in cost units, most urgent first. It covers the free slots and what the lane
// gets done until the next heartbeat and within its allowed wait.
func (s *Scheduler) Window(now time.Time, entries int) [3]int64 {
	var window [3]int64
	for n, class := range ident.PriorityClasses() {
		lane := laneOf(Item{Class: class})
		wait := s.lanes[lane].maxWait
		if wait == 0 {
			wait = defaultWindow
		}
		free := float64(max(0, s.freeSlots(lane))) * s.usual
		room := free + s.laneRate(now, lane)*(wait+reportInterval).Seconds() - float64(s.lanes[lane].cost)
		window[n] = int64(max(0, room)) / int64(max(1, entries))
	}
	return window
}

// QueuedCost returns the waiting cost by class, most urgent first.
func (s *Scheduler) QueuedCost() [3]int64 {
	return [3]int64{s.lanes[interactiveLane].cost, s.lanes[analyticalLane].cost, s.lanes[batchLane].cost}
}

// Queued returns the number of waiting items, bookings included.
func (s *Scheduler) Queued() int {
	n := 0
	for _, l := range s.lanes {
		n += l.items
	}
	return n
}

// Running returns the number of dispatched items that have not been charged.
func (s *Scheduler) Running() int { return s.running }
