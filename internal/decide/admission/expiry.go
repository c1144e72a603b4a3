package admission

import (
	"container/heap"
	"time"
)

// endedAttempt is an attempt that is remembered until forgetAt.
type endedAttempt struct {
	forgetAt time.Time
	work     *work
}

// expiryHeap orders ended attempts by the time at which they are forgotten.
type expiryHeap []endedAttempt

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(a, b int) bool { return h[a].forgetAt.Before(h[b].forgetAt) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(endedAttempt)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (s *Scheduler) remember(w *work) {
	forgetAt, _ := w.lifecycle.Deadline()
	heap.Push(&s.ended, endedAttempt{forgetAt: forgetAt, work: w})
}

func (s *Scheduler) forget(now time.Time) {
	for len(s.ended) > 0 && !s.ended[0].forgetAt.After(now) {
		w := heap.Pop(&s.ended).(endedAttempt).work
		w.now = now
		w.lifecycle.Tick(now)
		delete(s.known, w.item.ID)
	}
}
