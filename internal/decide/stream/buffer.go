package stream

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// Window is the maximum number of bytes of one stream that may be in flight
// to a reader without further credit.
const Window = 256 << 10

// pieceOverheadBytes is charged for each piece in addition to its payload, so that
// many tiny pieces are limited too.
const pieceOverheadBytes = 32

// MaxHeldBytes bounds the bytes of one stream that are buffered for later
// readers. Of a longer stream only the end is kept, so a reader can resume only from there.
const MaxHeldBytes = 4 << 20

// Cost returns the credit that a piece uses.
func Cost(payload []byte) int64 { return int64(len(payload)) + pieceOverheadBytes }

// ReaderID identifies a reader of a stream at one sidecar.
type ReaderID uint64

// Piece is one numbered piece of an answer.
type Piece struct {
	Sequence uint64
	Payload  []byte
}

// reader is the state of one reader.
type reader struct {
	// sent is the sequence of the last piece that was sent.
	sent uint64
	// credit is the number of bytes that may still be sent.
	credit int64
}

// Holder stores the answer of one attempt for its readers. It is not safe for
// concurrent use.
type Holder struct {
	lifecycle *chart.Instance[*Holder]
	// base is the sequence before that of the first buffered piece.
	base          uint64
	pieces        [][]byte
	bufferedBytes int64
	readers       map[ReaderID]*reader
	ended         bool
	stopWork      bool
}

// Machine holds the bound chart of a stream, which all streams share.
type Machine struct{ machine *chart.Machine[*Holder] }

// NewMachine binds the chart of a stream.
func NewMachine() (*Machine, error) {
	m, err := chart.Bind(charts.Must("stream"), chart.Binding[*Holder]{
		Guards:  map[string]func(*Holder) bool{"hasReaders": func(b *Holder) bool { return len(b.readers) > 0 }},
		Actions: map[string]func(*Holder){"stopWork": func(b *Holder) { b.stopWork = true }},
	})
	return &Machine{machine: m}, err
}

// NewHolder returns the buffer of an answer that continues after the sequence
// base, with one reader that already has everything up to base.
func (m *Machine) NewHolder(now time.Time, base uint64, first ReaderID) *Holder {
	b := &Holder{base: base, readers: map[ReaderID]*reader{first: {sent: base, credit: Window}}}
	b.lifecycle = m.machine.New(now, b)
	return b
}

// Last returns the sequence of the last piece that was appended.
func (b *Holder) Last() uint64 { return b.base + uint64(len(b.pieces)) }

// Gone reports whether the stream has expired and can be deleted.
func (b *Holder) Gone() bool { return b.lifecycle.Done() }

// Ended reports whether the backend server has ended the answer.
func (b *Holder) Ended() bool { return b.ended }

// StopWork reports whether the backend server should stop, because the stream
// expired without readers.
func (b *Holder) StopWork() bool { return b.stopWork }

// Deadline returns the time at which Tick is due.
func (b *Holder) Deadline() (time.Time, bool) { return b.lifecycle.Deadline() }

// Tick fires the timers that are due.
func (b *Holder) Tick(now time.Time) { b.lifecycle.Tick(now) }

// Append adds pieces that the backend server produced.
func (b *Holder) Append(pieces [][]byte) {
	invariant.Check(!b.ended, "a stream ends once", "pieces after sequence %d", b.Last())
	for _, p := range pieces {
		b.bufferedBytes += Cost(p)
	}
	b.pieces = append(b.pieces, pieces...)
	b.trim()
}

// trim drops the oldest pieces of a stream that exceeds the buffer limit, except
// those that a reader has not been sent yet.
func (b *Holder) trim() {
	for b.bufferedBytes > MaxHeldBytes && len(b.pieces) > 0 && b.minSent() > b.base {
		b.bufferedBytes -= Cost(b.pieces[0])
		b.pieces[0] = nil
		b.pieces = b.pieces[1:]
		b.base++
	}
}

// minSent returns the last sequence that every reader has been sent.
func (b *Holder) minSent() uint64 {
	lowest := b.Last()
	for _, r := range b.readers {
		lowest = min(lowest, r.sent)
	}
	return lowest
}

// Finish ends the stream. It must be called at most once.
func (b *Holder) Finish(now time.Time) {
	invariant.Check(!b.ended, "a stream ends once", "sequence %d", b.Last())
	b.ended = true
	b.lifecycle.Fire(now, "finished")
}

// Attach adds a reader that has everything up to the sequence after. False means
// that the stream has expired or cannot be read on from there.
func (b *Holder) Attach(now time.Time, id ReaderID, after uint64) bool {
	if after < b.base || after > b.Last() || b.Gone() {
		return false
	}
	b.readers[id] = &reader{sent: after, credit: Window}
	b.lifecycle.Fire(now, "attached")
	return true
}

// Detach removes a reader, for example because its link is down.
func (b *Holder) Detach(now time.Time, id ReaderID) {
	if _, known := b.readers[id]; !known {
		return
	}
	delete(b.readers, id)
	b.lifecycle.Fire(now, "detached")
}

// Credit adds to the bytes that may be sent to a reader, up to one window.
func (b *Holder) Credit(id ReaderID, bytes int64) {
	if r, known := b.readers[id]; known && bytes > 0 {
		r.credit = min(r.credit+bytes, Window)
	}
}

// Take appends to out the pieces that may be sent to the reader now. The second
// result is true when all pieces of an ended stream have been taken; the reader
// should then be detached.
func (b *Holder) Take(id ReaderID, out []Piece) ([]Piece, bool) {
	r, known := b.readers[id]
	if !known {
		return out, false
	}
	for r.sent < b.Last() && r.credit > 0 {
		payload := b.pieces[r.sent-b.base]
		r.sent++
		r.credit -= Cost(payload)
		out = append(out, Piece{Sequence: r.sent, Payload: payload})
	}
	return out, b.ended && r.sent == b.Last()
}

// Full reports whether the backend server should pause, because there are
// readers and each of them lags by a window or more.
func (b *Holder) Full() bool {
	if len(b.readers) == 0 {
		return false
	}
	fastest := b.base
	for _, r := range b.readers {
		fastest = max(fastest, r.sent)
	}
	var waiting int64
	for _, p := range b.pieces[fastest-b.base:] {
		waiting += Cost(p)
		if waiting >= Window {
			return true
		}
	}
	return false
}
