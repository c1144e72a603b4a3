package stream

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// WindowBytes is the maximum number of bytes of one stream that may be in flight
// to a reader without further credit.
const WindowBytes = 256 << 10

// pieceOverheadBytes is charged for each piece in addition to its payload, so that
// many tiny pieces are limited too.
const pieceOverheadBytes = 32

// MaxBufferedBytes bounds the bytes of one stream that are buffered for later
// readers. Of a longer stream only the end is kept, so a reader can resume only from there.
const MaxBufferedBytes = 4 << 20

// CreditCost returns the credit that a piece uses.
func CreditCost(payload []byte) int64 { return int64(len(payload)) + pieceOverheadBytes }

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

// Buffer stores the answer of one attempt for its readers. It is not safe for
// concurrent use.
type Buffer struct {
	lifecycle *chart.Lifecycle[*Buffer]
	// base is the sequence before that of the first buffered piece.
	base          uint64
	pieces        [][]byte
	bufferedBytes int64
	readers       map[ReaderID]*reader
	ended         bool
	stopWork      bool
}

// Machine holds the bound chart of a stream, which all streams share.
type Machine struct{ machine *chart.Machine[*Buffer] }

// NewMachine binds the chart of a stream.
func NewMachine() (*Machine, error) {
	m, err := chart.Bind(charts.Must("stream"), chart.Binding[*Buffer]{
		Guards:  map[string]func(*Buffer) bool{"hasReaders": func(b *Buffer) bool { return len(b.readers) > 0 }},
		Actions: map[string]func(*Buffer){"stopWork": func(b *Buffer) { b.stopWork = true }},
	})
	return &Machine{machine: m}, err
}

// NewBuffer returns the buffer of an answer that continues after the sequence
// base, with one reader that already has everything up to base.
func (m *Machine) NewBuffer(now time.Time, base uint64, first ReaderID) *Buffer {
	b := &Buffer{base: base, readers: map[ReaderID]*reader{first: {sent: base, credit: WindowBytes}}}
	b.lifecycle = m.machine.New(now, b)
	return b
}

// LastSequence returns the sequence of the last piece that was appended.
func (b *Buffer) LastSequence() uint64 { return b.base + uint64(len(b.pieces)) }

// Expired reports whether the stream has expired and can be deleted.
func (b *Buffer) Expired() bool { return b.lifecycle.Done() }

// Ended reports whether the backend server has ended the answer.
func (b *Buffer) Ended() bool { return b.ended }

// StopWork reports whether the backend server should stop, because the stream
// expired without readers.
func (b *Buffer) StopWork() bool { return b.stopWork }

// Deadline returns the time at which Tick is due.
func (b *Buffer) Deadline() (time.Time, bool) { return b.lifecycle.Deadline() }

// Tick fires the timers that are due.
func (b *Buffer) Tick(now time.Time) { b.lifecycle.Tick(now) }

// Append adds pieces that the backend server produced.
func (b *Buffer) Append(pieces [][]byte) {
	invariant.Check(!b.ended, "a stream ends once", "pieces after sequence %d", b.LastSequence())
	for _, p := range pieces {
		b.bufferedBytes += CreditCost(p)
	}
	b.pieces = append(b.pieces, pieces...)
	b.trim()
}

// trim drops the oldest pieces of a stream that exceeds the buffer limit, except
// those that a reader has not been sent yet.
func (b *Buffer) trim() {
	for b.bufferedBytes > MaxBufferedBytes && len(b.pieces) > 0 && b.minSent() > b.base {
		b.bufferedBytes -= CreditCost(b.pieces[0])
		b.pieces[0] = nil
		b.pieces = b.pieces[1:]
		b.base++
	}
}

// minSent returns the last sequence that every reader has been sent.
func (b *Buffer) minSent() uint64 {
	lowest := b.LastSequence()
	for _, r := range b.readers {
		lowest = min(lowest, r.sent)
	}
	return lowest
}

// Finish ends the stream. It must be called at most once.
func (b *Buffer) Finish(now time.Time) {
	invariant.Check(!b.ended, "a stream ends once", "sequence %d", b.LastSequence())
	b.ended = true
	b.lifecycle.Fire(now, "finished")
}

// Attach adds a reader that has everything up to the sequence after. False means
// that the stream has expired or cannot be read on from there.
func (b *Buffer) Attach(now time.Time, id ReaderID, after uint64) bool {
	if after < b.base || after > b.LastSequence() || b.Expired() {
		return false
	}
	b.readers[id] = &reader{sent: after, credit: WindowBytes}
	b.lifecycle.Fire(now, "attached")
	return true
}

// Detach removes a reader, for example because its link is down.
func (b *Buffer) Detach(now time.Time, id ReaderID) {
	if _, known := b.readers[id]; !known {
		return
	}
	delete(b.readers, id)
	b.lifecycle.Fire(now, "detached")
}

// AddCredit adds to the bytes that may be sent to a reader, up to one window.
func (b *Buffer) AddCredit(id ReaderID, bytes int64) {
	if r, known := b.readers[id]; known && bytes > 0 {
		r.credit = min(r.credit+bytes, WindowBytes)
	}
}

// Take appends to out the pieces that may be sent to the reader now. The second
// result is true when all pieces of an ended stream have been taken; the reader
// should then be detached.
func (b *Buffer) Take(id ReaderID, out []Piece) ([]Piece, bool) {
	r, known := b.readers[id]
	if !known {
		return out, false
	}
	for r.sent < b.LastSequence() && r.credit > 0 {
		payload := b.pieces[r.sent-b.base]
		r.sent++
		r.credit -= CreditCost(payload)
		out = append(out, Piece{Sequence: r.sent, Payload: payload})
	}
	return out, b.ended && r.sent == b.LastSequence()
}

// Congested reports whether the backend server should pause, because there are
// readers and each of them lags by a window or more.
func (b *Buffer) Congested() bool {
	if len(b.readers) == 0 {
		return false
	}
	fastest := b.base
	for _, r := range b.readers {
		fastest = max(fastest, r.sent)
	}
	var waiting int64
	for _, p := range b.pieces[fastest-b.base:] {
		waiting += CreditCost(p)
		if waiting >= WindowBytes {
			return true
		}
	}
	return false
}
