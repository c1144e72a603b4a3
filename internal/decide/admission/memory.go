package admission

import (
	"container/heap"
	"time"
)

// remembered is an ended attempt and the time at which it is forgotten.
type remembered struct {
	at   time.Time
	work *work
}

// expiryHeap orders ended attempts by the time at which they are forgotten.
type expiryHeap []remembered

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(a, b int) bool { return h[a].at.Before(h[b].at) }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(remembered)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func (s *Scheduler) remember(w *work) {
	at, _ := w.life.Deadline()
	heap.Push(&s.ended, remembered{at: at, work: w})
}

func (s *Scheduler) forget(now time.Time) {
	for len(s.ended) > 0 && !s.ended[0].at.After(now) {
		w := heap.Pop(&s.ended).(remembered).work
		w.now = now
		w.life.Tick(now)
		delete(s.known, w.item.ID)
	}
}
