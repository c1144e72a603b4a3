package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// fcfsLimit bounds the waiting items of a first-come-first-served queue.
const fcfsLimit = 256

// fcfs runs items in the order of their arrival.
type fcfs struct {
	waiting []admission.Item
	expired []admission.Item
}

// Offer implements Queue.
func (f *fcfs) Offer(now time.Time, i admission.Item) admission.Decision {
	if len(f.waiting) >= fcfsLimit {
		return admission.Decision{Reason: outcome.ReasonQueueFull, RetryAfter: time.Second}
	}
	f.waiting = append(f.waiting, i)
	return admission.Decision{Queued: true}
}

// Next implements Queue.
func (f *fcfs) Next(now time.Time) (admission.Item, bool) {
	for len(f.waiting) > 0 {
		i := f.waiting[0]
		f.waiting = f.waiting[1:]
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
	list := f.expired
	f.expired = nil
	return list
}

// QueuedCost implements Queue.
func (f *fcfs) QueuedCost() [3]int64 {
	var cost [3]int64
	for _, i := range f.waiting {
		for n, class := range ident.PriorityClasses() {
			if class == i.Class {
				cost[n] += i.Cost
			}
		}
	}
	return cost
}

// Window implements Queue.
func (f *fcfs) Window(time.Time, int) [3]int64 { return [3]int64{1 << 40, 1 << 40, 1 << 40} }
