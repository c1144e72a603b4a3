package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// request is one request of a run.
type request struct {
	id      admission.ID
	load    *Load
	entry   int
	home    int
	arrived time.Time
	prompt  int64
	output  int64
	prefix  uint64
	tried   []ident.ServerID
	// prefill and decode are what the engine still has to do.
	prefill, decode int64
	first, done     time.Time
	refused         bool
	hit             bool
	waiting         bool
	noWait          bool
}

// cost is the cost in tokens that admission counts.
func (q *request) cost() int64 { return admission.EstimateCost(q.prompt, q.output) }

// server is one replica: its sidecar's queue and its engine.
type server struct {
	id       ident.ServerID
	queue    Queue
	running  []*request
	stepping bool
	// chunks are the prompt tokens of the step in progress.
	chunks []int64
	cache  map[uint64]int
	uses   int
	// tokens is the recent output rate for the load report.
	tokens     float64
	lastReport time.Time
	produced   int64
}

// begin puts a request into the batch.
func (s *server) begin(r *request) {
	r.prefill, r.decode = max(1, r.prompt), max(1, r.output)
	if r.prefix != 0 {
		if _, cached := s.cache[r.prefix]; cached {
			r.hit = true
			r.prefill = max(1, r.prefill-r.load.PrefixTokens)
		}
		s.remember(r.prefix)
	}
	s.running = append(s.running, r)
}

// remember keeps the most recently used prefixes.
func (s *server) remember(prefix uint64) {
	s.uses++
	s.cache[prefix] = s.uses
	if len(s.cache) <= cachedPrefixes {
		return
	}
	oldest := prefix
	for p, use := range s.cache {
		if use < s.cache[oldest] {
			oldest = p
		}
	}
	delete(s.cache, oldest)
}

// plan fixes what the next step works on and returns how long it takes.
func (s *server) plan() time.Duration {
	s.chunks = s.chunks[:0]
	decoding, prefill := 0, int64(0)
	for _, r := range s.running {
		chunk := int64(0)
		if r.prefill > 0 {
			chunk = min(r.prefill, prefillChunk-prefill)
			prefill += chunk
		} else {
			decoding++
		}
		s.chunks = append(s.chunks, chunk)
	}
	return stepBase + time.Duration(decoding)*stepPerRequest + time.Duration(float64(prefill)/prefillRate*float64(time.Second))
}

// finish hands out the tokens of the planned step and returns the requests that
// ended.
func (s *server) finish(now time.Time) []*request {
	var ended []*request
	kept := s.running[:0:0]
	for n, r := range s.running {
		if n < len(s.chunks) && s.advance(now, r, s.chunks[n]) {
			ended = append(ended, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = kept
	return ended
}

func (s *server) advance(now time.Time, r *request, chunk int64) bool {
	if r.prefill > 0 {
		r.prefill -= chunk
		if r.prefill > 0 {
			return false
		}
	}
	if r.first.IsZero() {
		r.first = now
	}
	r.decode--
	s.produced++
	s.tokens++
	return r.decode <= 0
}
