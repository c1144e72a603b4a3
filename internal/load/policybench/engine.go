package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// request is one request of a run.
type request struct {
	id    admission.ID
	load  *Load
	entry int
	// home is the replica that runs a booking.
	home    int
	arrived time.Time
	prompt  int64
	output  int64
	prefix  uint64
	tried   []ident.ServerID
	// prefill and decode are the tokens that the engine has not processed yet.
	prefill, decode int64
	// firstToken is when the engine produced the first token, and completed when the
	// entry had the whole answer.
	firstToken, completed time.Time
	refused               bool
	cacheHit              bool
	// waitsForCredit reports whether the request waits at its entry for credit.
	waitsForCredit bool
	noWait         bool
}

// cost is the cost in tokens as admission estimates it.
func (q *request) cost() int64 { return admission.EstimateCost(q.prompt, q.output) }

// server is one replica: its sidecar's queue and its engine.
type server struct {
	id       ident.ServerID
	queue    Queue
	running  []*request
	stepping bool
	// prefillChunks are the prompt tokens that each running request prefills in the
	// current step.
	prefillChunks []int64
	// cache holds the last use of each cached prefix, as a value of useCount.
	cache    map[uint64]int
	useCount int
	// tokensSinceReport are the output tokens since the last load report.
	tokensSinceReport float64
	lastReport        time.Time
	produced          int64
}

// start puts a request into the batch.
func (s *server) start(r *request) {
	r.prefill, r.decode = max(1, r.prompt), max(1, r.output)
	if r.prefix != 0 {
		if _, cached := s.cache[r.prefix]; cached {
			r.cacheHit = true
			r.prefill = max(1, r.prefill-r.load.PrefixTokens)
		}
		s.cachePrefix(r.prefix)
	}
	s.running = append(s.running, r)
}

// cachePrefix adds the prefix to the cache, which evicts the least recently used one
// beyond cachedPrefixes.
func (s *server) cachePrefix(prefix uint64) {
	s.useCount++
	s.cache[prefix] = s.useCount
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

// planStep sets the prefill chunks of the next step and returns the time it takes.
func (s *server) planStep() time.Duration {
	s.prefillChunks = s.prefillChunks[:0]
	decoding, prefill := 0, int64(0)
	for _, r := range s.running {
		chunk := int64(0)
		if r.prefill > 0 {
			chunk = min(r.prefill, prefillChunk-prefill)
			prefill += chunk
		} else {
			decoding++
		}
		s.prefillChunks = append(s.prefillChunks, chunk)
	}
	return stepBase + time.Duration(decoding)*stepPerRequest + time.Duration(float64(prefill)/prefillRate*float64(time.Second))
}

// finishStep applies the planned step to the batch and returns the requests that
// completed in it.
func (s *server) finishStep(now time.Time) []*request {
	var completed []*request
	kept := s.running[:0:0]
	for n, r := range s.running {
		if n < len(s.prefillChunks) && s.advance(now, r, s.prefillChunks[n]) {
			completed = append(completed, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = kept
	return completed
}

// advance applies one step to a request and reports whether that completed it.
func (s *server) advance(now time.Time, r *request, chunk int64) bool {
	if r.prefill > 0 {
		r.prefill -= chunk
		if r.prefill > 0 {
			return false
		}
	}
	if r.firstToken.IsZero() {
		r.firstToken = now
	}
	r.decode--
	s.produced++
	s.tokensSinceReport++
	return r.decode <= 0
}
