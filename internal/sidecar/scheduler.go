package sidecar

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// item is one offer as the scheduler sees it.
type item struct {
	key      execution.Key
	account  ident.ClientAccount
	weight   float64
	class    ident.PriorityClass
	cost     int64
	deadline time.Time
}

// admission is the scheduler's answer to an offer.
type admission struct {
	queued     bool
	reason     outcome.Reason
	retryAfter time.Duration
}

// scheduler orders the waiting work. The run-queue task owns it.
type scheduler interface {
	// offer queues the item or says why not.
	offer(now time.Time, i item) admission
	// next returns the item to run first. It is called while a slot is free.
	next(now time.Time) (item, bool)
	// charge corrects the estimate by the real cost when an item has run.
	charge(now time.Time, key execution.Key, cost int64)
	// withdraw removes a waiting item.
	withdraw(key execution.Key) bool
	// expire removes and returns the waiting items whose deadline has passed.
	expire(now time.Time) []item
	// queuedCost is the waiting cost by class, most urgent first.
	queuedCost() [3]int64
}

// maxWaiting bounds the waiting items of the first-come-first-served scheduler.
const maxWaiting = 256

// fifo runs items in the order of their arrival.
type fifo struct{ waiting []item }

func (f *fifo) offer(_ time.Time, i item) admission {
	if len(f.waiting) >= maxWaiting {
		return admission{reason: outcome.ReasonQueueFull, retryAfter: time.Second}
	}
	f.waiting = append(f.waiting, i)
	return admission{queued: true}
}

func (f *fifo) next(time.Time) (item, bool) {
	if len(f.waiting) == 0 {
		return item{}, false
	}
	first := f.waiting[0]
	f.waiting = f.waiting[1:]
	return first, true
}

func (f *fifo) charge(time.Time, execution.Key, int64) {}

func (f *fifo) withdraw(key execution.Key) bool {
	for n, i := range f.waiting {
		if i.key == key {
			f.waiting = append(f.waiting[:n], f.waiting[n+1:]...)
			return true
		}
	}
	return false
}

func (f *fifo) expire(now time.Time) []item {
	var expired []item
	kept := f.waiting[:0]
	for _, i := range f.waiting {
		if now.Before(i.deadline) {
			kept = append(kept, i)
			continue
		}
		expired = append(expired, i)
	}
	f.waiting = kept
	return expired
}

func (f *fifo) queuedCost() [3]int64 {
	var cost [3]int64
	for _, i := range f.waiting {
		for n, class := range ident.PriorityClasses() {
			if class == i.class {
				cost[n] += i.cost
			}
		}
	}
	return cost
}
