package engine

import (
	"context"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/task"
)

// tokenBufferCapacity is the number of undelivered tokens of one request. A request with
// a full buffer produces no tokens until its client has read some.
const tokenBufferCapacity = 512

// outputItem is a token of an answer or, if end is set, the end of the answer, whose
// length is then index.
type outputItem struct {
	index int
	end   bool
}

// sequence is one completion.
type sequence struct {
	id       string
	priority int
	arrival  uint64
	blocks   []uint64
	// prefillLeft is the number of tokens that prefill has still to process: those of the
	// prompt and those of the answer that the client already has.
	prefillLeft int
	// prefillChunk is the number of tokens that the current step prefills.
	prefillChunk int
	// nextToken is the index of the next token, and length the number of tokens of the
	// answer.
	nextToken int
	length    int
	output    *task.Mailbox[outputItem]
	// canceled is closed when the request is canceled: nothing more is put into output.
	canceled  chan struct{}
	lifecycle *chart.Lifecycle[*sequence]
}

// before orders the queue by priority, the smaller value first, and then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// batch holds the queue and the requests of the continuous batch.
type batch struct {
	config      Config
	machine     *chart.Machine[*sequence]
	queue       []*sequence
	running     []*sequence
	byID        map[string]*sequence
	arrivals    uint64
	stepRunning bool
	tokensOut   uint64
	counts      RequestCounts
}

func newBatch(c Config) *batch {
	return &batch{
		config: c,
		byID:   make(map[string]*sequence),
		machine: chart.MustBind(charts.Must("standin-request"), chart.Binding[*sequence]{
			Actions: map[string]func(*sequence){"closeOutput": func(s *sequence) { close(s.canceled) }},
		}),
	}
}

// add queues a request. It returns false if the queue is full or the id is in use.
func (b *batch) add(now time.Time, s *sequence) bool {
	if len(b.queue) >= b.config.QueueLimit || b.byID[s.id] != nil {
		return false
	}
	b.arrivals++
	b.counts.Accepted++
	s.arrival = b.arrivals
	s.output = task.NewMailbox[outputItem](tokenBufferCapacity, task.RejectNew)
	s.canceled = make(chan struct{})
	s.lifecycle = b.machine.New(now, s)
	b.byID[s.id] = s
	at := sort.Search(len(b.queue), func(n int) bool { return s.before(b.queue[n]) })
	b.queue = append(b.queue, nil)
	copy(b.queue[at+1:], b.queue[at:])
	b.queue[at] = s
	return true
}

// cancel cancels a request. It returns false if the id is unknown.
func (b *batch) cancel(now time.Time, id string) bool {
	s := b.byID[id]
	if s == nil {
		return false
	}
	b.counts.Canceled++
	s.lifecycle.Fire(now, "cancel")
	b.remove(s)
	return true
}

func (b *batch) cancelAll(now time.Time) {
	for id := range b.byID {
		b.cancel(now, id)
	}
}

func (b *batch) remove(s *sequence) {
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

// startStep admits queued requests and starts a step, unless one is running or the batch
// is empty. It returns the duration of the step and whether it was started.
func (b *batch) startStep(now time.Time, cache *prefixCache, slowdown float64) (time.Duration, bool) {
	if b.stepRunning {
		return 0, false
	}
	b.admit(now, cache)
	if len(b.running) == 0 {
		return 0, false
	}
	decoding, prefill := 0, 0
	for _, s := range b.running {
		if s.lifecycle.In("decode") {
			decoding++
			continue
		}
		s.prefillChunk = min(s.prefillLeft, b.config.PrefillChunk-prefill)
		prefill += s.prefillChunk
	}
	b.stepRunning = true
	duration := b.config.StepBase + time.Duration(decoding)*b.config.StepPerRequest +
		time.Duration(float64(prefill)/b.config.PrefillRate*float64(time.Second))
	return time.Duration(float64(duration) * slowdown), true
}

func (b *batch) admit(now time.Time, cache *prefixCache) {
	for len(b.queue) > 0 && len(b.running) < b.config.Slots {
		s := b.queue[0]
		b.queue = b.queue[1:]
		s.prefillLeft = max(1, s.prefillLeft-cache.matchPrefix(s.blocks)*BlockTokens)
		s.lifecycle.Fire(now, "admit")
		b.running = append(b.running, s)
	}
}

// finishStep puts the tokens of the step into the output buffers.
func (b *batch) finishStep(now time.Time, cache *prefixCache) {
	b.stepRunning = false
	for _, s := range append([]*sequence(nil), b.running...) {
		if s.lifecycle.In("decode") {
			b.decode(now, s)
			continue
		}
		s.prefillLeft -= s.prefillChunk
		s.prefillChunk = 0
		if s.prefillLeft > 0 {
			continue
		}
		cache.store(now, s.blocks)
		s.lifecycle.Fire(now, "prefilled")
		// The step that ends the prefill also yields the first token.
		b.decode(now, s)
	}
}

// decode outputs the next token of a sequence, or nothing if its output buffer is full.
func (b *batch) decode(now time.Time, s *sequence) {
	if s.nextToken < s.length {
		if !s.output.Send(context.Background(), outputItem{index: s.nextToken}).Accepted() {
			return
		}
		s.nextToken++
		b.tokensOut++
	}
	if s.nextToken < s.length || !s.output.Send(context.Background(), outputItem{index: s.nextToken, end: true}).Accepted() {
		return
	}
	b.counts.Finished++
	s.lifecycle.Fire(now, "finish")
	b.remove(s)
}
