package engine

import (
	"context"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/task"
)

// pieceCapacity is how many tokens a slow reader may lag behind before its
// request pauses.
const pieceCapacity = 512

// piece is one token on its way to the reader.
type piece struct {
	index int
	// last says that the answer ended before this index.
	last bool
}

// sequence is one completion.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	blocks   []uint64
	// work is the number of prompt tokens that are still to be read.
	work int
	// chunk is the part of the work that the current step does.
	chunk int
	// next is the index of the next token, and length the end of the answer.
	next   int
	length int
	pieces *task.Mailbox[piece]
	// canceled is closed when no further piece will come.
	canceled chan struct{}
	life     *chart.Lifecycle[*sequence]
}

// before orders the queue: the smaller priority first, then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// batch holds the queue and the running requests.
type batch struct {
	config   Config
	machine  *chart.Machine[*sequence]
	queue    []*sequence
	running  []*sequence
	byID     map[string]*sequence
	arrivals uint64
	stepping bool
	tokens   uint64
	counts   RequestCounts
}

func newBatch(c Config) *batch {
	return &batch{
		config: c,
		byID:   make(map[string]*sequence),
		machine: chart.MustBind(charts.Must("standin-request"), chart.Binding[*sequence]{
			Actions: map[string]func(*sequence){"cut": func(s *sequence) { close(s.canceled) }},
		}),
	}
}

// add queues a request. It reports false if the queue is full or the id is in use.
func (b *batch) add(now time.Time, s *sequence) bool {
	if len(b.queue) >= b.config.QueueLimit || b.byID[s.id] != nil {
		return false
	}
	b.arrivals++
	b.counts.Accepted++
	s.arrival = b.arrivals
	s.pieces = task.NewMailbox[piece](pieceCapacity, task.RejectNew)
	s.canceled = make(chan struct{})
	s.life = b.machine.New(now, s)
	b.byID[s.id] = s
	at := sort.Search(len(b.queue), func(n int) bool { return s.before(b.queue[n]) })
	b.queue = append(b.queue, nil)
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = s
	return true
}

// cancel ends a request early.
func (b *batch) cancel(now time.Time, id string) bool {
	s := b.byID[id]
	if s == nil {
		return false
	}
	b.counts.Canceled++
	s.life.Fire(now, "cancel")
	b.forget(s)
	return true
}

// cut cancels everything.
func (b *batch) cut(now time.Time) {
	for id := range b.byID {
		b.cancel(now, id)
	}
}

func (b *batch) forget(s *sequence) {
	delete(b.byID, s.id)
	b.queue = without(b.queue, s)
	b.running = without(b.running, s)
}

func without(list []*sequence, s *sequence) []*sequence {
	for n, other := range list {
		if other == s {
			return append(list[:n:n], list[n+1:]...)
		}
	}
	return list
}

// startStep fills the batch and begins a step, unless one is in progress or
// there is nothing to do. It returns how long the step takes.
func (b *batch) startStep(now time.Time, cache *prefixCache, slow float64) (time.Duration, bool) {
	if b.stepping {
		return 0, false
	}
	b.admit(now, cache)
	if len(b.running) == 0 {
		return 0, false
	}
	decoding, prefill := 0, 0
	for _, s := range b.running {
		if s.life.In("decode") {
			decoding++
			continue
		}
		s.chunk = min(s.work, b.config.PrefillChunk-prefill)
		prefill += s.chunk
	}
	b.stepping = true
	duration := b.config.StepBase + time.Duration(decoding)*b.config.StepPerRequest +
		time.Duration(float64(prefill)/b.config.PrefillRate*float64(time.Second))
	return time.Duration(float64(duration) * slow), true
}

func (b *batch) admit(now time.Time, cache *prefixCache) {
	for len(b.queue) > 0 && len(b.running) < b.config.Slots {
		s := b.queue[0]
		b.queue = b.queue[1:]
		s.work = max(1, s.work-cache.use(s.blocks)*BlockTokens)
		s.life.Fire(now, "admit")
		b.running = append(b.running, s)
	}
}

// finishStep hands out the tokens of the step.
func (b *batch) finishStep(now time.Time, cache *prefixCache) {
	b.stepping = false
	for _, s := range append([]*sequence(nil), b.running...) {
		if s.life.In("decode") {
			b.decode(now, s)
			continue
		}
		s.work -= s.chunk
		s.chunk = 0
		if s.work > 0 {
			continue
		}
		cache.store(now, s.blocks)
		s.life.Fire(now, "prefilled")
		// The step that ends the prefill also yields the first token.
		b.decode(now, s)
	}
}

func (b *batch) decode(now time.Time, s *sequence) {
	if s.next < s.length {
		if !s.pieces.Send(context.Background(), piece{index: s.next}).Accepted() {
			return
		}
		s.next++
		b.tokens++
	}
	if s.next < s.length || !s.pieces.Send(context.Background(), piece{index: s.next, last: true}).Accepted() {
		return
	}
	b.counts.Finished++
	s.life.Fire(now, "finish")
	b.forget(s)
}
