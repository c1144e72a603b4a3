package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// fcfsMaxItems is the largest number of items in a first-come, first-served queue.
const fcfsMaxItems = 256

// fcfs is a first-come, first-served queue.
type fcfs struct {
	queued  []admission.Item
	expired []admission.Item
}

// Offer implements Queue.
func (f *fcfs) Offer(now time.Time, i admission.Item) admission.Decision {
	if len(f.queued) >= fcfsMaxItems {
		return admission.Decision{Reason: outcome.ReasonQueueFull, RetryAfter: time.Second}
	}
	f.queued = append(f.queued, i)
	return admission.Decision{Queued: true}
}

// Next implements Queue.
func (f *fcfs) Next(now time.Time) (admission.Item, bool) {
	for len(f.queued) > 0 {
		i := f.queued[0]
		f.queued = f.queued[1:]
		if now.Before(i.Deadline) {
			return i, true
		}
		f.expired = append(f.expired, i)
	}
	return admission.Item{}, false
}

// FirstOutput implements Queue.
func (f *fcfs) FirstOutput(time.Time, admission.ID) {}

// Charge implements Queue.
func (f *fcfs) Charge(time.Time, admission.ID, int64) {}

// Expire implements Queue.
func (f *fcfs) Expire(time.Time) []admission.Item {
	expired := f.expired
	f.expired = nil
	return expired
}

// QueuedCost implements Queue.
func (f *fcfs) QueuedCost() [3]int64 {
	var cost [3]int64
	for _, i := range f.queued {
		for n, class := range ident.PriorityClasses() {
			if class == i.Class {
				cost[n] += i.Cost
			}
		}
	}
	return cost
}

// Window implements Queue. It grants credit that no load uses up.
func (f *fcfs) Window(time.Time, int) [3]int64 { return [3]int64{1 << 40, 1 << 40, 1 << 40} }
