package stream

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// Window is the number of bytes of one stream that may be on the way to a
// reader without a credit for more.
const Window = 256 << 10

// pieceOverhead is charged for each piece beside its bytes, so that many tiny
// pieces are limited too.
const pieceOverhead = 32

// MaxHeldBytes bounds the bytes that one stream holds for later readers. A
// longer stream keeps its end and can only be read on from there.
const MaxHeldBytes = 4 << 20

// Cost returns the credit that a piece uses.
func Cost(payload []byte) int64 { return int64(len(payload)) + pieceOverhead }

// ReaderID names one reader of a stream at one sidecar.
type ReaderID uint64

// Piece is one numbered piece of an answer.
type Piece struct {
	Sequence uint64
	Payload  []byte
}

// reader is what the holder knows of one reader.
type reader struct {
	sent   uint64
	credit int64
}

// Holder keeps one answer. One goroutine owns it.
type Holder struct {
	life *chart.Instance[*Holder]
	// base is the sequence before the first held piece.
	base    uint64
	pieces  [][]byte
	bytes   int64
	readers map[ReaderID]*reader
	ended   bool
	stop    bool
}

// Machine binds the chart of a stream. It is shared by all holders.
type Machine struct{ machine *chart.Machine[*Holder] }

// NewMachine returns the machine, or the faults of the chart's binding.
func NewMachine() (*Machine, error) {
	m, err := chart.Bind(charts.Must("stream"), chart.Binding[*Holder]{
		Guards:  map[string]func(*Holder) bool{"read": func(h *Holder) bool { return len(h.readers) > 0 }},
		Actions: map[string]func(*Holder){"stopWork": func(h *Holder) { h.stop = true }},
	})
	return &Machine{machine: m}, err
}

// NewHolder returns a holder of an answer that continues after the base, with
// one reader that has everything up to the base.
func (m *Machine) NewHolder(now time.Time, base uint64, first ReaderID) *Holder {
	h := &Holder{base: base, readers: map[ReaderID]*reader{first: {sent: base, credit: Window}}}
	h.life = m.machine.New(now, h)
	return h
}

// Last returns the last sequence that is held.
func (h *Holder) Last() uint64 { return h.base + uint64(len(h.pieces)) }

// Gone reports whether the stream can be forgotten.
func (h *Holder) Gone() bool { return h.life.Done() }

// Ended reports whether the backend server has ended the answer.
func (h *Holder) Ended() bool { return h.ended }

// StopWork reports whether the backend server works for nobody.
func (h *Holder) StopWork() bool { return h.stop }

// Deadline returns the time at which Tick is due.
func (h *Holder) Deadline() (time.Time, bool) { return h.life.Deadline() }

// Tick lets time pass.
func (h *Holder) Tick(now time.Time) { h.life.Tick(now) }

// Append adds the pieces that the backend server produced.
func (h *Holder) Append(pieces [][]byte) {
	invariant.Check(!h.ended, "a stream ends once", "pieces after sequence %d", h.Last())
	for _, p := range pieces {
		h.bytes += Cost(p)
	}
	h.pieces = append(h.pieces, pieces...)
	h.trim()
}

// trim drops the oldest pieces of a stream that grew too long, unless a reader
// still has to get them.
func (h *Holder) trim() {
	for h.bytes > MaxHeldBytes && len(h.pieces) > 0 && h.slowest() > h.base {
		h.bytes -= Cost(h.pieces[0])
		h.pieces[0] = nil
		h.pieces = h.pieces[1:]
		h.base++
	}
}

func (h *Holder) slowest() uint64 {
	low := h.Last()
	for _, r := range h.readers {
		low = min(low, r.sent)
	}
	return low
}

// Finish ends the stream. It is called once.
func (h *Holder) Finish(now time.Time) {
	invariant.Check(!h.ended, "a stream ends once", "sequence %d", h.Last())
	h.ended = true
	h.life.Fire(now, "finished")
}

// Attach adds a reader that has everything up to after. False means that pieces
// that it lacks are no longer held.
func (h *Holder) Attach(now time.Time, id ReaderID, after uint64) bool {
	if after < h.base || after > h.Last() || h.Gone() {
		return false
	}
	h.readers[id] = &reader{sent: after, credit: Window}
	h.life.Fire(now, "attached")
	return true
}

// Detach removes a reader, for example because its link is down.
func (h *Holder) Detach(now time.Time, id ReaderID) {
	if _, known := h.readers[id]; !known {
		return
	}
	delete(h.readers, id)
	h.life.Fire(now, "detached")
}

// Credit lets a reader have more bytes.
func (h *Holder) Credit(id ReaderID, bytes int64) {
	if r, known := h.readers[id]; known && bytes > 0 {
		r.credit = min(r.credit+bytes, Window)
	}
}

// Take appends to out the pieces that may be sent to the reader now. The second
// result is true when the reader has got all pieces of an ended stream; the
// caller then detaches it.
func (h *Holder) Take(id ReaderID, out []Piece) ([]Piece, bool) {
	r, known := h.readers[id]
	if !known {
		return out, false
	}
	for r.sent < h.Last() && r.credit > 0 {
		payload := h.pieces[r.sent-h.base]
		r.sent++
		r.credit -= Cost(payload)
		out = append(out, Piece{Sequence: r.sent, Payload: payload})
	}
	return out, h.ended && r.sent == h.Last()
}

// Full reports whether the backend server should pause: some reader is attached
// and even the fastest one is a window behind.
func (h *Holder) Full() bool {
	if len(h.readers) == 0 {
		return false
	}
	fastest := h.base
	for _, r := range h.readers {
		fastest = max(fastest, r.sent)
	}
	var waiting int64
	for _, p := range h.pieces[fastest-h.base:] {
		waiting += Cost(p)
		if waiting >= Window {
			return true
		}
	}
	return false
}
