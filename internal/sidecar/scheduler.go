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

// item is one offer or booking as the scheduler sees it.
type item struct {
	key      execution.Key
	account  ident.ClientAccount
	weight   float64
	class    ident.PriorityClass
	booking  bool
	cost     int64
	deadline time.Time
	// noWait refuses the item unless a slot is free now.
	noWait bool
}

// offerResult tells whether an item was queued and, if not, why.
type offerResult struct {
	queued     bool
	reason     outcome.Reason
	retryAfter time.Duration
	// displaced are waiting items of other accounts that were removed from a full
	// queue to make room. They never run.
	displaced []execution.Key
}

// fairQueue orders the waiting work by the rules of package admission. The
// run-queue task owns it.
type fairQueue struct {
	config    admission.Config
	scheduler *admission.Scheduler
	// fifo serves work first come, first served, as a baseline for comparisons.
	fifo bool
}

// baselineTimeout is how long work may wait in the first come, first served
// baseline, which refuses nothing early.
const baselineTimeout = 10 * time.Minute

// newFairQueue returns an empty queue. Beside an engine it limits how many less
// urgent items are in prefill at once.
func newFairQueue(slots int, engine bool, policy settings.Policy) *fairQueue {
	c := admission.Config{Slots: slots}
	if !policy.Baseline() {
		c.UrgentSlots, c.LimitPrefills = urgentSlots(slots), engine
	}
	return &fairQueue{config: c, scheduler: admission.New(c), fifo: policy.Baseline()}
}

// fifoItem strips the item of its account and gives it the same class, weight and
// time to wait as all others, so that items are served in the order of arrival.
func fifoItem(now time.Time, i admission.Item) admission.Item {
	return admission.Item{ID: i.ID, Class: ident.Batch, Weight: 1, Cost: i.Cost, Deadline: now.Add(baselineTimeout)}
}

// urgentSlots returns the number of slots reserved for urgent work, one sixteenth.
func urgentSlots(slots int) int { return slots / 16 }

// configure applies the shares and first-token targets of the record.
func (f *fairQueue) configure(s *record.Snapshot) {
	if f.fifo {
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
	if !f.fifo {
		f.config.UrgentSlots = urgentSlots(slots)
	}
	f.scheduler.Configure(f.config)
}

// offer queues the item or refuses it with a reason.
func (f *fairQueue) offer(now time.Time, i item) offerResult {
	offered := admission.Item{
		ID: admission.ID(i.key), Account: i.account, Weight: i.weight, Class: i.class, Booking: i.booking, Cost: i.cost, Deadline: i.deadline,
		NoWait: i.noWait,
	}
	if f.fifo {
		offered = fifoItem(now, offered)
	}
	d := f.scheduler.Offer(now, offered)
	a := offerResult{queued: d.Queued, reason: d.Reason, retryAfter: d.RetryAfter}
	for _, x := range d.Displaced {
		a.displaced = append(a.displaced, execution.Key(x.ID))
	}
	return a
}

// next removes and returns the item to run next. It is called only while a slot
// is free.
func (f *fairQueue) next(now time.Time) (item, bool) {
	i, ok := f.scheduler.Next(now)
	return item{key: execution.Key(i.ID), cost: i.Cost}, ok
}

// charge ends a running item and replaces its estimated cost by the actual one.
func (f *fairQueue) charge(now time.Time, key execution.Key, cost int64) {
	f.scheduler.Charge(now, admission.ID(key), cost)
}

// firstOutput records that an item has produced its first output.
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

// queuedCost returns the cost of the waiting work by class, most urgent first.
func (f *fairQueue) queuedCost() [3]int64 { return f.scheduler.QueuedCost() }

// window returns the credit of each entry by class, most urgent first.
func (f *fairQueue) window(now time.Time, entries int) [3]int64 {
	return f.scheduler.Window(now, entries)
}
