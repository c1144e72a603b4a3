package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// work is a known attempt: queued, running or recently ended.
type work struct {
	item Item
	lane laneIndex
	// now is the time of the event being handled, for the lifecycle's delays.
	now       time.Time
	lifecycle *chart.Lifecycle[*work]
	startedAt time.Time
	// prefilling reports whether the item is counted in Scheduler.prefilling.
	prefilling bool
	// reason is why the attempt never runs, to answer copies of its offer.
	reason outcome.Reason
}

func (w *work) fire(now time.Time, event string) bool {
	w.now = now
	_, taken := w.lifecycle.Fire(now, event)
	return taken
}

// Scheduler queues the work of one backend server. It is owned by one task and
// not safe for concurrent use.
type Scheduler struct {
	config  Config
	machine *chart.Machine[*work]
	lanes   [laneCount]*lane
	known   map[ID]*work
	ended   expiryHeap
	// expired are the items that Next found past their deadline, for Expire.
	expired []Item
	running int
	// prefilling counts the running analytical and batch items without output.
	prefilling int
	// runningBy counts the running items by account.
	runningBy map[ident.ClientAccount]int
	capacity  capacity
	now       time.Time
	// meanCost is the smoothed cost of the offered items.
	meanCost float64
}

// New returns a scheduler with empty queues.
func New(c Config) *Scheduler {
	s := &Scheduler{known: make(map[ID]*work), runningBy: make(map[ident.ClientAccount]int), meanCost: initialMeanCost}
	s.machine = chart.MustBind(charts.Must("work"), chart.Binding[*work]{
		Delays: map[string]func(*work) time.Duration{"retention": func(w *work) time.Duration {
			return max(0, w.item.Deadline.Sub(w.now)) + endedRetention
		}},
	})
	for n := range s.lanes {
		s.lanes[n] = newLane()
	}
	s.Configure(c)
	return s
}

// Configure replaces the configuration. Queued and running items are kept.
func (s *Scheduler) Configure(c Config) {
	s.config = c.withDefaults()
	s.lanes[bookingLane].share = c.BookingShare
	for _, class := range ident.PriorityClasses() {
		l := s.lanes[laneOf(Item{Class: class})]
		l.share = c.Shares[class]
		l.maxWait = c.MaxWait[class]
	}
}

// Offer queues an item or refuses it. A refused attempt stays refused: copies of
// its offer that arrive later get the same answer.
func (s *Scheduler) Offer(now time.Time, item Item) Decision {
	s.advance(now)
	item = item.normalized()
	if w := s.known[item.ID]; w != nil {
		return w.duplicateDecision()
	}
	s.meanCost += meanCostGain * (float64(item.Cost) - s.meanCost)
	w := s.track(now, item)
	if !now.Before(item.Deadline) {
		return s.reject(now, w, outcome.ReasonDeadline, 0)
	}
	if reason, retry := s.earlyRefusal(now, w); reason != outcome.ReasonNone {
		return s.reject(now, w, reason, retry)
	}
	displaced, room := s.makeRoom(now, w)
	if !room {
		return s.reject(now, w, outcome.ReasonAccountShare, s.retryAfter(now, w))
	}
	s.lanes[w.lane].push(w)
	return Decision{Queued: true, Displaced: displaced}
}

// Refuse refuses an item for a reason given by the caller, such as draining. The
// attempt stays refused, as after a refusal by Offer.
func (s *Scheduler) Refuse(now time.Time, item Item, reason outcome.Reason) Decision {
	s.advance(now)
	if w := s.known[item.ID]; w != nil {
		return w.duplicateDecision()
	}
	return s.reject(now, s.track(now, item.normalized()), reason, 0)
}

func (s *Scheduler) track(now time.Time, item Item) *work {
	w := &work{item: item, lane: laneOf(item), now: now}
	w.lifecycle = s.machine.New(now, w)
	s.known[item.ID] = w
	return w
}

func (s *Scheduler) reject(now time.Time, w *work, reason outcome.Reason, retry time.Duration) Decision {
	w.fire(now, "refuse")
	w.reason = reason
	s.remember(w)
	return Decision{Reason: reason, RetryAfter: retry}
}

// duplicateDecision answers a repeated offer of a known attempt.
func (w *work) duplicateDecision() Decision {
	if w.lifecycle.In("notRun") {
		return Decision{Reason: w.reason}
	}
	return Decision{Duplicate: true}
}

// makeRoom makes room for an item in a full lane. The account with the most queued
// cost relative to its weight loses its newest item; if that would be the item's
// own account, there is no room.
func (s *Scheduler) makeRoom(now time.Time, w *work) ([]Item, bool) {
	l := s.lanes[w.lane]
	if l.items < s.config.MaxItems {
		return nil, true
	}
	longest := l.longest()
	own := float64(w.item.Cost) / w.item.Weight
	if a := l.accounts[w.item.Account]; a != nil {
		own += a.load()
	}
	if longest == nil || longest.id == w.item.Account || longest.load() <= own {
		return nil, false
	}
	last := longest.queue[len(longest.queue)-1]
	s.removeQueued(now, last, "displace")
	last.reason = outcome.ReasonAccountShare
	return []Item{last.item}, true
}

// Next dequeues the item that the backend server runs next. The caller calls it
// while the backend server has a free slot. False means that no item may run now.
func (s *Scheduler) Next(now time.Time) (Item, bool) {
	s.advance(now)
	for {
		n, ok := s.chooseLane()
		if !ok {
			return Item{}, false
		}
		l := s.lanes[n]
		a := l.nextAccount(s.mayRun)
		if w := a.queue[0]; !now.Before(w.item.Deadline) {
			s.removeQueued(now, w, "expire")
			s.expired = append(s.expired, w.item)
			continue
		}
		w := l.dequeue(a)
		s.dispatch(now, w)
		return w.item, true
	}
}

func (s *Scheduler) dispatch(now time.Time, w *work) {
	taken := w.fire(now, "dispatch")
	invariant.Check(taken, "an attempt is dispatched once", "request %s attempt %d is %s", w.item.ID.Request, w.item.ID.Attempt, w.lifecycle.State())
	w.startedAt = now
	s.running++
	s.runningBy[w.item.Account]++
	if !w.lane.urgent() {
		w.prefilling = true
		s.prefilling++
	}
	cost := float64(w.item.Cost)
	s.lanes[w.lane].served.add(now, cost)
	s.updateDeficits(w.lane, cost)
}

// FirstOutput records that a running item sent its first output, which ends its
// prefill.
func (s *Scheduler) FirstOutput(now time.Time, id ID) {
	s.advance(now)
	if w := s.known[id]; w != nil {
		s.endPrefill(w)
	}
}

func (s *Scheduler) endPrefill(w *work) {
	if w.prefilling {
		w.prefilling = false
		s.prefilling--
	}
}

// Charge ends a running item, and charges the account and the lane its actual cost
// in tokens in place of the estimate.
func (s *Scheduler) Charge(now time.Time, id ID, cost int64) {
	s.advance(now)
	w := s.known[id]
	if w == nil || !w.fire(now, "finish") {
		return
	}
	s.remember(w)
	s.endPrefill(w)
	s.capacity.observe(now, float64(max(1, cost)), s.full())
	s.running--
	if s.runningBy[w.item.Account]--; s.runningBy[w.item.Account] == 0 {
		delete(s.runningBy, w.item.Account)
	}
	difference := max(1, cost) - w.item.Cost
	s.lanes[w.lane].correct(w.item, difference)
	s.lanes[w.lane].deficit -= float64(difference)
}

// Withdraw cancels a queued item. True means that it has not run and never will.
func (s *Scheduler) Withdraw(id ID) bool {
	w := s.known[id]
	if w == nil {
		return false
	}
	if w.lifecycle.In("notRun") {
		return true
	}
	return s.removeQueued(s.now, w, "withdraw")
}

// Expire removes and returns the queued items whose deadline has passed, including
// those that Next removed, and forgets ended attempts after their retention.
func (s *Scheduler) Expire(now time.Time) []Item {
	s.advance(now)
	for _, l := range s.lanes {
		for _, w := range l.pastDeadline(now) {
			s.removeQueued(now, w, "expire")
			s.expired = append(s.expired, w.item)
		}
	}
	items := s.expired
	s.expired = nil
	return items
}

// removeQueued removes a queued item from its lane. The event says why. False
// means that the item is not queued.
func (s *Scheduler) removeQueued(now time.Time, w *work, event string) bool {
	if !w.fire(now, event) {
		return false
	}
	w.reason = outcome.ReasonWithdrawn
	if event == "expire" {
		w.reason = outcome.ReasonDeadline
	}
	s.lanes[w.lane].remove(w)
	s.resetIdleDeficit(w.lane)
	s.remember(w)
	return true
}

// advance moves the scheduler's clock forward and forgets ended attempts whose
// retention is over.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.forget(s.now)
}
