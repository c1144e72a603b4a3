package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// gapLimit is how long missing pieces of an ended answer are awaited.
const gapLimit = 2 * time.Second

// link handles what happened on a link to a sidecar.
func (d *dispatch) link(now time.Time, e link.Event) {
	id := e.Link.Peer().Server
	switch e.Kind {
	case link.Up:
		d.linkUp(now, id, e.Link)
	case link.Down:
		d.linkDown(now, id, e.Link)
	case link.Received:
		for _, m := range e.Messages {
			d.frame(now, id, e.Link, m)
		}
		d.flush()
	}
}

func (d *dispatch) linkUp(now time.Time, id ident.ServerID, l *link.Link) {
	s := d.servers[id]
	if s == nil {
		s = &server{}
		d.servers[id] = s
	}
	s.link = l
	for _, lost := range s.lost {
		if now.Sub(lost.at) < lostMemory {
			l.Send(&message.Cancel{Request: lost.key.request, Attempt: lost.key.attempt})
		}
	}
	s.lost = nil
	d.picker.linked(now, id, true)
}

func (d *dispatch) linkDown(now time.Time, id ident.ServerID, l *link.Link) {
	if s := d.servers[id]; s != nil && s.link == l {
		s.link = nil
		d.picker.linked(now, id, false)
	}
	for _, f := range d.flights {
		if f.link != l {
			continue
		}
		f.link = nil
		if f.attach == "" {
			s := d.servers[id]
			s.lost = append(s.lost, lostAttempt{key: f.wire, at: now})
		}
		d.brokenOff(now, f, request.LinkLost{Attempt: f.life.LatestAttempt()})
	}
	d.flush()
}

// frame handles one frame of a sidecar. Frames of attempts that are over are
// dropped.
func (d *dispatch) frame(now time.Time, id ident.ServerID, l *link.Link, m message.Message) {
	switch m := m.(type) {
	case *message.Chunk:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.chunk(now, f, m)
		}
	case *message.Done:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.doneFrame(now, f, m)
		}
	case *message.Failed:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.failed(now, f, m)
		}
	case *message.Accepted:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.hadSlot(now, f, true)
			d.accepted(now, f)
		}
	case *message.Refused:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.hadSlot(now, f, m.Reason != outcome.ReasonBusy)
			retry := time.Duration(m.RetryAfterMS) * time.Millisecond
			d.advance(now, f, request.Refused{Attempt: f.life.LatestAttempt(), Reason: m.Reason, RetryAfter: retry})
		}
	case *message.Withdrawn:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.advance(now, f, request.Withdrawn{Attempt: f.life.LatestAttempt()})
		}
	case *message.TooLate:
		if f := d.find(l, m.Request, m.Attempt); f != nil {
			d.advance(now, f, request.TooLate{Attempt: f.life.LatestAttempt()})
		}
	case *message.Heartbeat:
		d.picker.heard(now, id, m)
	}
}

// accepted notes that the attempt waits at its sidecar. A reader that was
// attached to a stream is answered at once, since the next piece may be far off.
func (d *dispatch) accepted(now time.Time, f *flight) {
	attempt := f.life.LatestAttempt()
	if f.attach == "" {
		d.advance(now, f, request.Accepted{Attempt: attempt})
		return
	}
	if !f.life.Answering() {
		f.put(delivery{id: f.id})
	}
	d.advance(now, f, request.Progress{Attempt: attempt})
}

// find returns the flight whose current attempt on this link the frame is about.
func (d *dispatch) find(l *link.Link, id ident.RequestID, attempt ident.Attempt) *flight {
	f, known := d.wires[wireKey{request: id, attempt: attempt}]
	if !known || f.link != l {
		d.metrics.stray.Inc()
		return nil
	}
	return f
}

func (d *dispatch) chunk(now time.Time, f *flight, m *message.Chunk) {
	attempt := m.Attempt - f.offset
	before := f.receiver.Delivered()
	had := len(f.ready)
	f.ready = f.receiver.AddChunk(attempt, m.Sequence, m.Payload, f.ready)
	if len(f.ready) == had {
		return
	}
	if had == 0 {
		f.first = before + 1
	}
	f.last = f.ready[len(f.ready)-1]
	d.metrics.chunks.Add(float64(len(f.ready) - had))
	d.firstOutput(now, f)
	if f.collect {
		f.consume(stream.CreditCost(m.Payload))
	} else if !f.life.Streaming(attempt) {
		d.advance(now, f, request.Progress{Attempt: attempt})
	}
	d.touch(f)
	if f.receiver.Complete() {
		d.advance(now, f, request.Completed{Attempt: attempt})
	}
}

// firstOutput tells the picker how long the attempt took to answer.
func (d *dispatch) firstOutput(now time.Time, f *flight) {
	if !f.answered && f.attach == "" {
		f.answered = true
		d.picker.firstOutput(now, f.life.LatestServer(), f.id, now.Sub(f.offered))
	}
}

// hadSlot tells the picker what became of a no-wait attempt.
func (d *dispatch) hadSlot(now time.Time, f *flight, free bool) {
	if f.noWait {
		d.picker.answered(now, !free)
	}
}

func (d *dispatch) touch(f *flight) {
	if !f.touched && !f.collect {
		f.touched = true
		d.touched = append(d.touched, f)
	}
}

// flush hands what arrived together to the handlers, once for each request.
func (d *dispatch) flush() {
	for n, f := range d.touched {
		f.touched = false
		f.hand(nil)
		d.touched[n] = nil
	}
	d.touched = d.touched[:0]
}

func (d *dispatch) doneFrame(now time.Time, f *flight, m *message.Done) {
	attempt := m.Attempt - f.offset
	f.done = m
	f.receiver.SetLast(attempt, m.Last)
	if f.receiver.Complete() {
		d.advance(now, f, request.Completed{Attempt: attempt})
		return
	}
	f.gapAt = now.Add(gapLimit)
	d.schedule(f)
}

func (d *dispatch) failed(now time.Time, f *flight, m *message.Failed) {
	attempt := m.Attempt - f.offset
	if m.Kind == outcome.NotRun && !f.life.Answering() {
		d.advance(now, f, request.Refused{Attempt: attempt, Reason: m.Reason})
		return
	}
	d.brokenOff(now, f, request.Failed{Attempt: attempt, Reason: m.Reason})
}

// brokenOff handles an attempt that ended without Done. If the last piece of
// the answer had arrived, the answer is whole all the same.
func (d *dispatch) brokenOff(now time.Time, f *flight, m request.Input) {
	if !f.collect && f.life.Answering() && isLastPiece(f.last) {
		d.advance(now, f, request.Completed{Attempt: f.life.LatestAttempt()})
		return
	}
	d.advance(now, f, m)
}
