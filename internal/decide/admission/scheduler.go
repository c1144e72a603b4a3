package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// work is a known attempt: waiting, running or lately ended.
type work struct {
	item  Item
	lane  laneIndex
	now   time.Time
	life  *chart.Instance[*work]
	begun time.Time
	// starting says that the item counts in Scheduler.starting.
	starting bool
	// reason is why the attempt will never be run, for copies of its offer.
	reason outcome.Reason
}

func (w *work) fire(now time.Time, event string) bool {
	w.now = now
	_, taken := w.life.Fire(now, event)
	return taken
}

// Scheduler is the queue in front of one backend server. One task owns it.
type Scheduler struct {
	config  Config
	machine *chart.Machine[*work]
	lanes   [laneCount]*lane
	known   map[ID]*work
	ended   expiryHeap
	expired []Item
	running int
	// starting counts the running analytical and batch items without output yet.
	starting int
	// runningBy counts the running items by account.
	runningBy map[ident.ClientAccount]int
	// rate measures the cost that the backend server finishes per second.
	rate capacity
	now  time.Time
}

// New returns an empty queue.
func New(c Config) *Scheduler {
	s := &Scheduler{known: make(map[ID]*work), runningBy: make(map[ident.ClientAccount]int)}
	s.machine = chart.MustBind(charts.Must("work"), chart.Binding[*work]{
		Delays: map[string]func(*work) time.Duration{"proof": func(w *work) time.Duration {
			return max(0, w.item.Deadline.Sub(w.now)) + proofWindow
		}},
	})
	for n := range s.lanes {
		s.lanes[n] = newLane()
	}
	s.Configure(c)
	return s
}

// Configure replaces the configuration. Waiting and running work stays.
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
		return w.answerCopy()
	}
	w := s.admit(now, item)
	if !now.Before(item.Deadline) {
		return s.turnAway(now, w, outcome.ReasonDeadline, 0)
	}
	if reason, retry := s.refuse(now, w); reason != outcome.ReasonNone {
		return s.turnAway(now, w, reason, retry)
	}
	displaced, room := s.makeRoom(now, w)
	if !room {
		return s.turnAway(now, w, outcome.ReasonAccountShare, s.retryAfter(now, w))
	}
	s.lanes[w.lane].push(w)
	return Decision{Queued: true, Displaced: displaced}
}

// Refuse turns an item away for a reason of the caller's, such as draining, and
// remembers it like any other refusal.
func (s *Scheduler) Refuse(now time.Time, item Item, reason outcome.Reason) Decision {
	s.advance(now)
	if w := s.known[item.ID]; w != nil {
		return w.answerCopy()
	}
	return s.turnAway(now, s.admit(now, item.normalized()), reason, 0)
}

func (s *Scheduler) admit(now time.Time, item Item) *work {
	w := &work{item: item, lane: laneOf(item), now: now}
	w.life = s.machine.New(now, w)
	s.known[item.ID] = w
	return w
}

func (s *Scheduler) turnAway(now time.Time, w *work, reason outcome.Reason, retry time.Duration) Decision {
	w.fire(now, "refuse")
	w.reason = reason
	s.remember(w)
	return Decision{Reason: reason, RetryAfter: retry}
}

// answerCopy answers a second offer of a known attempt.
func (w *work) answerCopy() Decision {
	if w.life.In("neverRun") {
		return Decision{Reason: w.reason}
	}
	return Decision{Duplicate: true}
}

// makeRoom gives an item a place in a full lane. The account that waits with the
// most cost for its weight gives up its newest item; if that is the offering
// account, the offer itself is refused.
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
	s.end(now, last, "displace")
	last.reason = outcome.ReasonAccountShare
	return []Item{last.item}, true
}

// Next takes the item that the backend server runs next. It is called while the
// backend server has a free slot. False means that nothing may run now.
func (s *Scheduler) Next(now time.Time) (Item, bool) {
	s.advance(now)
	for {
		n, ok := s.choose()
		if !ok {
			return Item{}, false
		}
		l := s.lanes[n]
		a := l.head(s.mayRun)
		if w := a.queue[0]; !now.Before(w.item.Deadline) {
			s.end(now, w, "expire")
			s.expired = append(s.expired, w.item)
			continue
		}
		w := l.take(a)
		s.dispatch(now, w)
		return w.item, true
	}
}

func (s *Scheduler) dispatch(now time.Time, w *work) {
	taken := w.fire(now, "dispatch")
	invariant.Check(taken, "an attempt is dispatched once", "request %s attempt %d is %s", w.item.ID.Request, w.item.ID.Attempt, w.life.State())
	w.begun = now
	s.running++
	s.runningBy[w.item.Account]++
	if !w.lane.urgent() {
		w.starting = true
		s.starting++
	}
	cost := float64(w.item.Cost)
	s.lanes[w.lane].served.add(now, cost)
	s.settle(w.lane, cost)
}

// FirstOutput says that a running item has begun to answer: its prompt has been
// worked off.
func (s *Scheduler) FirstOutput(now time.Time, id ID) {
	s.advance(now)
	if w := s.known[id]; w != nil {
		s.started(w)
	}
}

func (s *Scheduler) started(w *work) {
	if w.starting {
		w.starting = false
		s.starting--
	}
}

// Charge ends a running item and corrects its estimate by its real cost in tokens.
func (s *Scheduler) Charge(now time.Time, id ID, cost int64) {
	s.advance(now)
	w := s.known[id]
	if w == nil || !w.fire(now, "finish") {
		return
	}
	s.remember(w)
	s.started(w)
	s.rate.end(now, float64(max(1, cost)), s.full())
	s.running--
	if s.runningBy[w.item.Account]--; s.runningBy[w.item.Account] == 0 {
		delete(s.runningBy, w.item.Account)
	}
	difference := max(1, cost) - w.item.Cost
	s.lanes[w.lane].correct(w.item, difference)
	s.lanes[w.lane].owed -= float64(difference)
}

// Withdraw takes an item back. True means that it has not run and never will.
func (s *Scheduler) Withdraw(id ID) bool {
	w := s.known[id]
	if w == nil {
		return false
	}
	if w.life.In("neverRun") {
		return true
	}
	return s.end(s.now, w, "withdraw")
}

// Expire removes the items whose deadline has passed, those found by Next
// included, and forgets ended attempts when their proof window is over.
func (s *Scheduler) Expire(now time.Time) []Item {
	s.advance(now)
	for _, l := range s.lanes {
		for _, w := range l.late(now) {
			s.end(now, w, "expire")
			s.expired = append(s.expired, w.item)
		}
	}
	items := s.expired
	s.expired = nil
	return items
}

// end removes a waiting item from its lane. False means that it does not wait.
func (s *Scheduler) end(now time.Time, w *work, event string) bool {
	if !w.fire(now, event) {
		return false
	}
	w.reason = outcome.ReasonWithdrawn
	if event == "expire" {
		w.reason = outcome.ReasonDeadline
	}
	s.lanes[w.lane].remove(w)
	s.settleIdle(w.lane)
	s.remember(w)
	return true
}

// advance moves the scheduler's time forward and forgets old attempts.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now = now
	}
	s.forget(s.now)
}
