package entry

import (
	"container/heap"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// idleWait is how long the dispatch task waits when no timer runs.
	idleWait = time.Minute
	// maxIgnoredTimers is the number of entries of the heap, beyond two a request, at which
	// those to be ignored are removed.
	maxIgnoredTimers = 1024
)

// timerEntry is the time at which a timer of the request is due. It holds the request by its
// ticket, so that a request that has ended is freed before its timer is due.
type timerEntry struct {
	at     time.Time
	ticket ticket
}

// timerHeap orders the requests by their earliest timers. An entry that was replaced
// by an earlier one, or whose request has ended, stays until it is due or until there are
// too many, and is ignored.
type timerHeap []timerEntry

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return last
}

func (h timerHeap) wait(now time.Time) time.Duration {
	if len(h) == 0 {
		return idleWait
	}
	return max(h[0].at.Sub(now), 0)
}

// schedule adds the next deadline of the request to the heap.
func (d *dispatch) schedule(r *activeRequest) {
	if r.lifecycle.Done() {
		return
	}
	at, running := r.lifecycle.Deadline()
	if !r.gapDeadline.IsZero() && (!running || r.gapDeadline.Before(at)) {
		at, running = r.gapDeadline, true
	}
	if !running || (!r.timerAt.IsZero() && !at.Before(r.timerAt)) {
		return
	}
	r.timerAt = at
	heap.Push(&d.timers, timerEntry{at: at, ticket: r.ticket})
	if len(d.timers) > 2*len(d.requests)+maxIgnoredTimers {
		d.timers = slices.DeleteFunc(d.timers, func(e timerEntry) bool { return d.timedRequest(e) == nil })
		heap.Init(&d.timers)
	}
}

// timedRequest returns the request of an entry, or nil if the entry is to be ignored.
func (d *dispatch) timedRequest(e timerEntry) *activeRequest {
	r, active := d.requests[e.ticket]
	if !active || !e.at.Equal(r.timerAt) {
		return nil
	}
	return r
}

// tick runs the timers that are due.
func (d *dispatch) tick(now time.Time) {
	for len(d.timers) > 0 && !d.timers[0].at.After(now) {
		e := heap.Pop(&d.timers).(timerEntry)
		r := d.timedRequest(e)
		if r == nil {
			continue
		}
		r.timerAt = time.Time{}
		d.timerDue(now, r)
	}
	d.flush(now)
}

func (d *dispatch) timerDue(now time.Time, r *activeRequest) {
	if !r.gapDeadline.IsZero() && !now.Before(r.gapDeadline) {
		r.gapDeadline = time.Time{}
		d.advance(now, r, request.Failed{Attempt: r.lifecycle.LatestAttempt(), Reason: outcome.ReasonServerFailed})
		return
	}
	d.stepping = r
	actions := r.lifecycle.Tick(now)
	d.stepping = nil
	d.carryOut(now, r, actions)
}
