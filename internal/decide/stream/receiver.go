// Package stream implements the transfer of an answer from a sidecar to its
// readers. The sidecar buffers the answer and limits each reader by credit-based
// flow control. The Receiver at the entry puts the pieces in order and drops
// those of other attempts.
package stream

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// maxEarly bounds the pieces that are buffered until an earlier one arrives.
// Credits keep a correct sidecar far below it.
const maxEarly = 4096

// Receiver puts the pieces of one answer in order over all its attempts.
type Receiver struct {
	attempt ident.Attempt
	// delivered is the last sequence that was delivered; all before it were too.
	delivered uint64
	// early are the pieces, by sequence, that arrived before an earlier one.
	early map[uint64][]byte
	// last is the last sequence of the answer, known once ended is true.
	last  uint64
	ended bool
}

// Begin starts an attempt that continues after the delivered pieces. Pieces of
// earlier attempts are dropped from now on.
func (r *Receiver) Begin(attempt ident.Attempt) {
	invariant.Check(attempt > r.attempt, "attempt numbers increase", "attempt %d follows attempt %d", attempt, r.attempt)
	r.attempt = attempt
	r.early = nil
	r.ended = false
}

// Delivered returns the sequence of the last piece that was delivered in order.
func (r *Receiver) Delivered() uint64 { return r.delivered }

// SkipTo makes the receiver continue after the sequence delivered, for a caller
// that already has the pieces up to it. It must be called before any piece arrives.
func (r *Receiver) SkipTo(delivered uint64) {
	invariant.Check(r.delivered == 0, "Skip precedes the first piece", "sequence %d was already delivered", r.delivered)
	r.delivered = delivered
}

// Restart resets the delivered sequence, for an answer that is collected before it
// is sent and starts over with each attempt.
func (r *Receiver) Restart() { r.delivered = 0 }

// AddChunk adds a piece and appends the pieces that are now in order to out. A piece
// of another attempt, a duplicate and one past the end are ignored.
func (r *Receiver) AddChunk(attempt ident.Attempt, sequence uint64, payload []byte, out [][]byte) [][]byte {
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

// SetLast sets the last sequence of the answer; earlier pieces may still be missing.
// The end of another attempt and a second end are ignored.
func (r *Receiver) SetLast(attempt ident.Attempt, last uint64) {
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

// Complete reports whether every piece of the answer was delivered.
func (r *Receiver) Complete() bool { return r.ended && r.delivered == r.last }
