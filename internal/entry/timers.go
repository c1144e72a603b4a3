package entry

import (
	"container/heap"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// idleWait is how long the dispatch task waits when no timer runs.
const idleWait = time.Minute

// timerEntry says when a flight wants to be looked at.
type timerEntry struct {
	at     time.Time
	flight *flight
}

// timerHeap holds the earliest wanted time of each flight. Entries that were
// overtaken stay until they are due and are then ignored.
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

// schedule puts the flight's next deadline into the heap.
func (d *dispatch) schedule(f *flight) {
	if f.life.Done() {
		return
	}
	at, running := f.life.Deadline()
	if !f.gapAt.IsZero() && (!running || f.gapAt.Before(at)) {
		at, running = f.gapAt, true
	}
	if !running || (!f.due.IsZero() && !at.Before(f.due)) {
		return
	}
	f.due = at
	heap.Push(&d.timers, timerEntry{at: at, flight: f})
}

// tick looks at every flight whose time has come.
func (d *dispatch) tick(now time.Time) {
	for len(d.timers) > 0 && !d.timers[0].at.After(now) {
		e := heap.Pop(&d.timers).(timerEntry)
		f := e.flight
		if f.life.Done() || !e.at.Equal(f.due) {
			continue
		}
		f.due = time.Time{}
		d.due(now, f)
	}
	d.flush()
}

func (d *dispatch) due(now time.Time, f *flight) {
	if !f.gapAt.IsZero() && !now.Before(f.gapAt) {
		f.gapAt = time.Time{}
		d.advance(now, f, request.Failed{Attempt: f.life.LatestAttempt(), Reason: outcome.ReasonServerFailed})
		return
	}
	d.stepping = f
	actions := f.life.Tick(now)
	d.stepping = nil
	d.carryOut(now, f, actions)
}
