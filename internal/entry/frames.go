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

// missingPiecesTimeout is how long the entry waits for the missing pieces of an
// answer whose end has arrived.
const missingPiecesTimeout = 2 * time.Second

// handleLink handles an event of a link to a sidecar.
func (d *dispatch) handleLink(now time.Time, e link.Event) {
	id := e.Link.Peer().Server
	switch e.Kind {
	case link.Up:
		d.linkUp(now, id, e.Link)
	case link.Down:
		d.linkDown(now, id, e.Link)
	case link.Received:
		for _, m := range e.Messages {
			d.handleFrame(now, id, e.Link, m)
		}
		d.flush(now)
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
		if now.Sub(lost.at) < lostAttemptTTL {
			l.Send(&message.Cancel{Request: lost.key.request, Attempt: lost.key.attempt})
		}
	}
	s.lost = nil
	d.picker.linkChanged(now, id, true)
}

func (d *dispatch) linkDown(now time.Time, id ident.ServerID, l *link.Link) {
	if s := d.servers[id]; s != nil && s.link == l {
		s.link = nil
		d.picker.linkChanged(now, id, false)
	}
	for _, r := range d.requests {
		if r.link != l {
			continue
		}
		r.link = nil
		if r.attachTo == "" {
			s := d.servers[id]
			s.lost = append(s.lost, lostAttempt{key: r.key, at: now})
		}
		d.handleBroken(now, r, request.LinkLost{Attempt: r.lifecycle.LatestAttempt()})
	}
	d.flush(now)
}

// handleFrame handles one message from a sidecar. Messages about attempts that are
// over are dropped.
func (d *dispatch) handleFrame(now time.Time, id ident.ServerID, l *link.Link, m message.Message) {
	switch m := m.(type) {
	case *message.Chunk:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.handleChunk(now, r, m)
		}
	case *message.Done:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.handleDone(now, r, m)
		}
	case *message.Failed:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.handleFailed(now, r, m)
		}
	case *message.Accepted:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.reportNoWait(now, r, true)
			d.handleAccepted(now, r)
		}
	case *message.Refused:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.reportNoWait(now, r, m.Reason != outcome.ReasonBusy)
			retry := time.Duration(m.RetryAfterMS) * time.Millisecond
			d.advance(now, r, request.Refused{Attempt: r.lifecycle.LatestAttempt(), Reason: m.Reason, RetryAfter: retry})
		}
	case *message.Withdrawn:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.advance(now, r, request.Withdrawn{Attempt: r.lifecycle.LatestAttempt()})
		}
	case *message.TooLate:
		if r := d.findAttempt(l, m.Request, m.Attempt); r != nil {
			d.advance(now, r, request.TooLate{Attempt: r.lifecycle.LatestAttempt()})
		}
	case *message.Heartbeat:
		d.picker.heartbeat(now, id, m)
	}
}

// handleAccepted handles an attempt that is queued at its sidecar. A reader that
// attached to a stream gets its response headers at once, since the next piece may
// arrive much later.
func (d *dispatch) handleAccepted(now time.Time, r *activeRequest) {
	attempt := r.lifecycle.LatestAttempt()
	if r.attachTo == "" {
		d.advance(now, r, request.Accepted{Attempt: attempt})
		return
	}
	if !r.lifecycle.Answering() {
		r.deliver(now, delivery{id: r.id})
	}
	d.advance(now, r, request.Progress{Attempt: attempt})
}

// findAttempt returns the request whose current attempt a message on this link is
// about, or nil.
func (d *dispatch) findAttempt(l *link.Link, id ident.RequestID, attempt ident.Attempt) *activeRequest {
	r, known := d.attempts[attemptKey{request: id, attempt: attempt}]
	if !known || r.link != l {
		d.metrics.stray.Inc()
		return nil
	}
	return r
}

func (d *dispatch) handleChunk(now time.Time, r *activeRequest, m *message.Chunk) {
	attempt := m.Attempt - r.offset
	delivered := r.receiver.Delivered()
	queued := len(r.readyPieces)
	r.readyPieces = r.receiver.AddChunk(attempt, m.Sequence, m.Payload, r.readyPieces)
	if len(r.readyPieces) == queued {
		return
	}
	if queued == 0 {
		r.firstSequence = delivered + 1
	}
	r.lastPiece = r.readyPieces[len(r.readyPieces)-1]
	d.metrics.chunks.Add(float64(len(r.readyPieces) - queued))
	d.firstOutput(now, r)
	if r.collect {
		r.consume(stream.CreditCost(m.Payload))
	} else if !r.lifecycle.Streaming(attempt) {
		d.advance(now, r, request.Progress{Attempt: attempt})
	}
	d.queueFlush(r)
	if r.receiver.Complete() {
		d.advance(now, r, request.Completed{Attempt: attempt})
		return
	}
	d.holdPieces(now, r, r.readyPieces[queued:])
}

// firstOutput reports to the picker how long the attempt took to its first output.
func (d *dispatch) firstOutput(now time.Time, r *activeRequest) {
	if !r.hasOutput && r.attachTo == "" {
		r.hasOutput = true
		d.noteEvidence(now, d.quarantine.Output(now, r.quarantineKey(), r.traits))
		d.picker.firstOutput(now, r.lifecycle.LatestServer(), r.id, now.Sub(r.offeredAt))
	}
}

// reportNoWait reports to the picker whether the server had a free slot for an
// attempt with no-wait.
func (d *dispatch) reportNoWait(now time.Time, r *activeRequest, free bool) {
	if r.noWait {
		d.picker.noWaitAnswer(now, !free)
	}
}

func (d *dispatch) queueFlush(r *activeRequest) {
	if !r.queuedForFlush && !r.collect {
		r.queuedForFlush = true
		d.toFlush = append(d.toFlush, r)
	}
}

// flush passes the pieces that arrived together to the handlers, in one delivery for
// each request.
func (d *dispatch) flush(now time.Time) {
	for n, r := range d.toFlush {
		r.queuedForFlush = false
		r.deliverReady(now, nil)
		d.toFlush[n] = nil
	}
	d.toFlush = d.toFlush[:0]
}

func (d *dispatch) handleDone(now time.Time, r *activeRequest, m *message.Done) {
	attempt := m.Attempt - r.offset
	r.done = m
	r.receiver.SetLast(attempt, m.Last)
	if r.receiver.Complete() {
		d.advance(now, r, request.Completed{Attempt: attempt})
		return
	}
	r.gapDeadline = now.Add(missingPiecesTimeout)
	d.schedule(r)
}

func (d *dispatch) handleFailed(now time.Time, r *activeRequest, m *message.Failed) {
	attempt := m.Attempt - r.offset
	if m.Reason == outcome.ReasonServerCrashed && !r.hasOutput && r.attachTo == "" {
		r.serverCrashed = true
		r.crashes++
	}
	if m.Kind == outcome.NotRun && !r.lifecycle.Answering() {
		d.advance(now, r, request.Refused{Attempt: attempt, Reason: m.Reason})
		return
	}
	d.handleBroken(now, r, request.Failed{Attempt: attempt, Reason: m.Reason})
}

// handleBroken handles an attempt that ended without Done. If the last piece of a
// streamed answer has arrived, the answer is complete all the same.
func (d *dispatch) handleBroken(now time.Time, r *activeRequest, m request.Input) {
	if !r.collect && r.lifecycle.Answering() && isLastPiece(r.lastPiece) {
		d.advance(now, r, request.Completed{Attempt: r.lifecycle.LatestAttempt()})
		return
	}
	d.advance(now, r, m)
}
