package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// capacity estimates the backend server's throughput, in cost per second, with
// all slots in use. A rate measured with free slots is only a lower bound, so it
// never lowers the estimate.
type capacity struct {
	finished meter
	measured float64
	// calibrated reports whether a rate was measured with all slots in use.
	calibrated bool
}

// capacityGain is the smoothing factor of a measurement with all slots in use.
const capacityGain = 0.05

func (c *capacity) observe(now time.Time, cost float64, full bool) {
	c.finished.add(now, cost)
	rate := c.finished.rate(now)
	switch {
	case rate > c.measured:
		c.measured = rate
	case full && c.calibrated:
		c.measured += capacityGain * (rate - c.measured)
	}
	c.calibrated = c.calibrated || full && rate >= c.measured
}

// estimate returns the throughput in cost per second: at least the configured rate
// until one was measured with all slots in use, and at least a tenth of the
// configured rate afterwards, so that a stall cannot make the scheduler refuse
// everything for good.
func (c *capacity) estimate(config Config) float64 {
	if !c.calibrated {
		return max(c.measured, config.Rate)
	}
	return max(c.measured, config.Rate/10)
}

// laneRate estimates the cost per second that the lane is served while it has
// work: its guarantee, or what the other lanes leave if that is more.
func (s *Scheduler) laneRate(now time.Time, n laneIndex) float64 {
	total := s.capacity.estimate(s.config)
	taken := 0.0
	for k, l := range s.lanes {
		if k := laneIndex(k); k == n || (l.items == 0 && k > n) {
			continue
		} else if k < n {
			taken += l.served.rate(now)
		} else {
			// A less urgent lane with work is served at most its guarantee.
			taken += min(l.share*total, max(l.served.rate(now), l.share*total))
		}
	}
	return max(total-taken, s.lanes[n].share*total, total/100)
}

// wait estimates the item's queueing time: until the work that fair queueing
// orders before it has been served.
func (s *Scheduler) wait(now time.Time, w *work) time.Duration {
	l := s.lanes[w.lane]
	return time.Duration(l.costBefore(w.item) / s.laneRate(now, w.lane) * float64(time.Second))
}

// earlyRefusal returns why the item cannot be queued, and when to retry: no free
// slot for a no-wait item, a deadline that cannot be met, or a wait beyond the
// class's limit. ReasonNone means that the item may be queued.
func (s *Scheduler) earlyRefusal(now time.Time, w *work) (outcome.Reason, time.Duration) {
	wait := s.wait(now, w)
	l := s.lanes[w.lane]
	switch {
	case w.item.NoWait && (l.items > 0 || !s.slotFor(w.lane)):
		return outcome.ReasonBusy, 0
	case now.Add(wait).After(w.item.Deadline):
		return s.refusalReason(w, outcome.ReasonDeadline), clampRetry(now.Add(wait).Sub(w.item.Deadline))
	case l.maxWait > 0 && wait > l.maxWait:
		return s.refusalReason(w, outcome.ReasonQueueFull), clampRetry(wait - l.maxWait)
	}
	return outcome.ReasonNone, 0
}

// refusalReason returns ReasonAccountShare if the account has queued more than 1.5
// times its weighted share of the lane's cost, and the other reason if not.
func (s *Scheduler) refusalReason(w *work, other outcome.Reason) outcome.Reason {
	l := s.lanes[w.lane]
	a := l.accounts[w.item.Account]
	if a == nil || len(l.active) < 2 {
		return other
	}
	if float64(a.cost)*l.totalWeight(w.item) > 1.5*float64(l.cost)*w.item.Weight {
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

// creditInterval is how long a credit must last: until the next heartbeat.
const creditInterval = time.Second

// defaultCreditWait is the estimated wait in a class's queue up to which entries
// get credit if the configuration sets no maximum wait.
const defaultCreditWait = 2 * time.Second

const (
	// initialMeanCost is the assumed mean cost of an item, in tokens, before any
	// item was offered.
	initialMeanCost = 256.0
	// meanCostGain is the smoothing factor of one item in the mean cost.
	meanCostGain = 0.02
)

// Window returns the credit of each of the given number of entries: the cost that
// one may send, by class, most urgent first. It covers the free slots and what
// the lane is served until the next heartbeat and within its maximum wait.
func (s *Scheduler) Window(now time.Time, entries int) [3]int64 {
	var window [3]int64
	for n, class := range ident.PriorityClasses() {
		lane := laneOf(Item{Class: class})
		wait := s.lanes[lane].maxWait
		if wait == 0 {
			wait = defaultCreditWait
		}
		free := float64(max(0, s.freeSlots(lane))) * s.meanCost
		room := free + s.laneRate(now, lane)*(wait+creditInterval).Seconds() - float64(s.lanes[lane].cost)
		window[n] = int64(max(0, room)) / int64(max(1, entries))
	}
	return window
}

// QueuedCost returns the queued cost by class, most urgent first, without bookings.
func (s *Scheduler) QueuedCost() [3]int64 {
	return [3]int64{s.lanes[interactiveLane].cost, s.lanes[analyticalLane].cost, s.lanes[batchLane].cost}
}

// Queued returns the number of queued items, bookings included.
func (s *Scheduler) Queued() int {
	n := 0
	for _, l := range s.lanes {
		n += l.items
	}
	return n
}

// Running returns the number of dispatched items that have not been charged.
func (s *Scheduler) Running() int { return s.running }
