package sidecar

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// item is one offer as the scheduler sees it.
type item struct {
	key      execution.Key
	account  ident.ClientAccount
	weight   float64
	class    ident.PriorityClass
	booking  bool
	cost     int64
	deadline time.Time
	// noWait work is refused unless it can run at once.
	noWait bool
}

// answer is the scheduler's answer to an offer.
type answer struct {
	queued     bool
	reason     outcome.Reason
	retryAfter time.Duration
	// displaced is waiting work of other accounts that lost its place.
	displaced []execution.Key
}

// fairQueue orders the waiting work by package admission. The run-queue task
// owns it.
type fairQueue struct {
	config    admission.Config
	scheduler *admission.Scheduler
	// inOrder serves work first come, first served, as a baseline.
	inOrder bool
}

// baselineWait is the deadline of waiting work in the baseline, which refuses
// nothing early.
const baselineWait = 10 * time.Minute

// newFairQueue returns an empty queue. Beside an engine the prompts of less
// urgent work are paced.
func newFairQueue(slots int, engine bool, policy settings.Policy) *fairQueue {
	c := admission.Config{Slots: slots}
	if !policy.Baseline() {
		c.UrgentSlots, c.LimitPrefills = urgentSlots(slots), engine
	}
	return &fairQueue{config: c, scheduler: admission.New(c), inOrder: policy.Baseline()}
}

// sameForAll puts an item into the one queue of the baseline.
func sameForAll(now time.Time, i admission.Item) admission.Item {
	return admission.Item{ID: i.ID, Class: ident.Batch, Weight: 1, Cost: i.Cost, Deadline: now.Add(baselineWait)}
}

// urgentSlots keeps a sixteenth of the slots for urgent work.
func urgentSlots(slots int) int { return slots / 16 }

// configure takes the shares from the record.
func (f *fairQueue) configure(s *record.Snapshot) {
	if f.inOrder {
		return
	}
	f.config.BookingShare = s.BookingShare
	f.config.Shares = make(map[ident.PriorityClass]float64)
	f.config.MaxWait = make(map[ident.PriorityClass]time.Duration)
	for name, class := range s.Classes {
		f.config.Shares[name] = class.Share
		f.config.MaxWait[name] = class.FirstTokenTarget / 4
	}
	f.scheduler.Configure(f.config)
}

func (f *fairQueue) resize(slots int) {
	if slots == f.config.Slots {
		return
	}
	f.config.Slots = slots
	if !f.inOrder {
		f.config.UrgentSlots = urgentSlots(slots)
	}
	f.scheduler.Configure(f.config)
}

// offer queues the item or says why not.
func (f *fairQueue) offer(now time.Time, i item) answer {
	offered := admission.Item{
		ID: admission.ID(i.key), Account: i.account, Weight: i.weight, Class: i.class, Booking: i.booking, Cost: i.cost, Deadline: i.deadline,
		NoWait: i.noWait,
	}
	if f.inOrder {
		offered = sameForAll(now, offered)
	}
	d := f.scheduler.Offer(now, offered)
	a := answer{queued: d.Queued, reason: d.Reason, retryAfter: d.RetryAfter}
	for _, x := range d.Displaced {
		a.displaced = append(a.displaced, execution.Key(x.ID))
	}
	return a
}

// next returns the item to run first. It is called while a slot is free.
func (f *fairQueue) next(now time.Time) (item, bool) {
	i, ok := f.scheduler.Next(now)
	return item{key: execution.Key(i.ID), cost: i.Cost}, ok
}

// charge corrects the estimate by the real cost when an item has run.
func (f *fairQueue) charge(now time.Time, key execution.Key, cost int64) {
	f.scheduler.Charge(now, admission.ID(key), cost)
}

// firstOutput says that an item has begun to answer.
func (f *fairQueue) firstOutput(now time.Time, key execution.Key) {
	f.scheduler.FirstOutput(now, admission.ID(key))
}

// withdraw removes a waiting item.
func (f *fairQueue) withdraw(key execution.Key) bool {
	return f.scheduler.Withdraw(admission.ID(key))
}

// expire removes and returns the waiting items whose deadline has passed.
func (f *fairQueue) expire(now time.Time) []item {
	var list []item
	for _, i := range f.scheduler.Expire(now) {
		list = append(list, item{key: execution.Key(i.ID)})
	}
	return list
}

// queuedCost is the waiting cost by class, most urgent first.
func (f *fairQueue) queuedCost() [3]int64 { return f.scheduler.QueuedCost() }

// window is the credit of each entry by class, most urgent first.
func (f *fairQueue) window(now time.Time, entries int) [3]int64 {
	return f.scheduler.Window(now, entries)
}
