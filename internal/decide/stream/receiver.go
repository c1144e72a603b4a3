// Package stream decides how the answer of a request passes from a sidecar to
// its readers. The Receiver at the entry puts frames in order and drops those
// of other attempts; the Holder at the sidecar keeps the answer for its readers
// and limits each of them by credits.
package stream

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// maxEarly bounds the frames that wait for an earlier one. Credits keep a
// correct sidecar far below it.
const maxEarly = 4096

// Receiver orders the frames of one answer over all its attempts.
type Receiver struct {
	attempt ident.Attempt
	// delivered is the last sequence that was passed on without a gap.
	delivered uint64
	early     map[uint64][]byte
	// last is the last sequence of the whole answer, known once ended is true.
	last  uint64
	ended bool
}

// Begin starts the attempt that continues after the delivered position. Frames
// of every earlier attempt are dropped from now on.
func (r *Receiver) Begin(attempt ident.Attempt) {
	invariant.Check(attempt > r.attempt, "attempts grow", "attempt %d after %d", attempt, r.attempt)
	r.attempt = attempt
	r.early = nil
	r.ended = false
}

// Delivered returns the number of pieces that were passed on in order.
func (r *Receiver) Delivered() uint64 { return r.delivered }

// Skip makes the receiver continue after the position, for a caller that
// already has the pieces before it. It is called before any piece arrives.
func (r *Receiver) Skip(delivered uint64) {
	invariant.Check(r.delivered == 0, "skip comes first", "delivered %d", r.delivered)
	r.delivered = delivered
}

// Restart forgets what was delivered, for an answer that is collected whole and
// begins anew with each attempt.
func (r *Receiver) Restart() { r.delivered = 0 }

// Chunk takes a piece and appends the pieces that are now in order to out. A
// piece of another attempt, a repeated one and one past the end change nothing.
func (r *Receiver) Chunk(attempt ident.Attempt, sequence uint64, payload []byte, out [][]byte) [][]byte {
	if attempt != r.attempt || sequence <= r.delivered || (r.ended && sequence > r.last) {
		return out
	}
	if sequence != r.delivered+1 {
		r.keepEarly(sequence, payload)
		return out
	}
	r.delivered = sequence
	out = append(out, payload)
	return r.takeEarly(out)
}

func (r *Receiver) keepEarly(sequence uint64, payload []byte) {
	if len(r.early) >= maxEarly {
		return
	}
	if r.early == nil {
		r.early = make(map[uint64][]byte)
	}
	if _, known := r.early[sequence]; !known {
		r.early[sequence] = payload
	}
}

func (r *Receiver) takeEarly(out [][]byte) [][]byte {
	for len(r.early) > 0 {
		payload, ok := r.early[r.delivered+1]
		if !ok {
			return out
		}
		r.delivered++
		delete(r.early, r.delivered)
		out = append(out, payload)
	}
	return out
}

// Done says how long the answer is. An end of another attempt changes nothing,
// and so does a second end. Pieces that may still be missing are awaited.
func (r *Receiver) Done(attempt ident.Attempt, last uint64) {
	if attempt != r.attempt || r.ended || last < r.delivered {
		return
	}
	r.last, r.ended = last, true
	for sequence := range r.early {
		if sequence > last {
			delete(r.early, sequence)
		}
	}
}

// Whole reports whether every piece of the answer was passed on.
func (r *Receiver) Whole() bool { return r.ended && r.delivered == r.last }
