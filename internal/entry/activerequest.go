package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// ticket identifies a request between its HTTP handler and the dispatch task.
type ticket uint64

// delivery is a message from the dispatch task to the handler of a request. Pieces
// that arrive before the handler has received it are added to it.
type delivery struct {
	id ident.RequestID
	// first is the sequence number of the first piece.
	first  uint64
	pieces [][]byte
	end    *requestEnd
}

// requestEnd is the end of a request, in its last delivery.
type requestEnd struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
	// done is the sidecar's Done message, or nil if none arrived.
	done *message.Done
}

// submission is a request that a handler submits to the dispatch task.
type submission struct {
	// offer is the common part of the offers of all attempts. Request, attempt,
	// remaining time, resume position and no-wait are filled in for each.
	offer message.Offer
	query query
	// traits are what the request may have in common with one that crashes servers.
	traits quarantine.Traits
	plan   request.Plan
	// collect reports whether the answer is delivered only when it is complete.
	collect bool
	// attachTo, if not empty, is the request whose stream is read, from the piece
	// after the sequence number after. No work is then offered.
	attachTo ident.RequestID
	after    uint64
	// hangUp closes the connection of the client.
	hangUp func()
}

// activeRequest is a request in flight.
type activeRequest struct {
	submission
	ticket ticket
	// unique is the random part of the id.
	unique    string
	id        ident.RequestID
	lifecycle *request.Request
	receiver  stream.Receiver
	link      *link.Link
	// offset is added to attempt numbers in messages, to keep the attempts of an
	// attached reader apart from those of the request itself.
	offset ident.Attempt
	// key identifies the current attempt in messages.
	key         attemptKey
	deliveries  chan delivery
	readyPieces [][]byte
	// readyBytes is the size of readyPieces, deliveredBytes that of the pieces in deliveries
	// or of those that the handler took last, and deliveredSince when the handler had taken
	// everything before them.
	readyBytes, deliveredBytes int64
	deliveredSince             time.Time
	firstSequence              uint64
	queuedForFlush             bool
	lastPiece                  []byte
	done                       *message.Done
	uncredited                 int64
	// creditWaitSince is when the request began to wait for credit, or zero if it
	// does not wait.
	creditWaitSince time.Time
	// noWait reports whether a server without a free slot is to refuse the current
	// attempt.
	noWait bool
	// offeredAt is when the current attempt was offered. hasOutput means that it has
	// produced output.
	offeredAt time.Time
	hasOutput bool
	// serverCrashed reports whether the server of the current attempt crashed before any
	// output. crashes counts such attempts.
	serverCrashed bool
	crashes       int
	// trial are the accused traits that the request tries, if any.
	trial quarantine.Traits
	// gapDeadline is when an answer whose end has arrived counts as failed because
	// pieces are still missing. Zero means that no pieces are missing.
	gapDeadline time.Time
	// timerAt is the time of the valid entry for this request in the timer heap, or
	// zero.
	timerAt time.Time
}

// attemptKey identifies an attempt in messages.
type attemptKey struct {
	request ident.RequestID
	attempt ident.Attempt
}

// deliverReady passes the pieces that are in order, and the end if it is not nil, to
// the handler.
func (r *activeRequest) deliverReady(now time.Time, end *requestEnd) {
	if len(r.readyPieces) == 0 && end == nil {
		return
	}
	r.deliver(now, delivery{id: r.id, first: r.firstSequence, pieces: r.readyPieces, end: end})
	r.deliveredBytes += r.readyBytes
	r.readyPieces, r.readyBytes = nil, 0
}

// deliver sends a delivery without blocking: the channel has room for one, and one
// that was not received yet is merged with the new one. The dispatch task is the
// only sender. Credit bounds the size of the merged delivery.
func (r *activeRequest) deliver(now time.Time, d delivery) {
	select {
	case waiting := <-r.deliveries:
		if len(waiting.pieces) > 0 {
			d.first = waiting.first
			d.pieces = append(waiting.pieces, d.pieces...)
		}
	default:
		r.deliveredBytes, r.deliveredSince = 0, now
	}
	r.deliveries <- d
}

// attemptFrame returns the message that starts the attempt.
func (r *activeRequest) attemptFrame(a request.Offer) message.Message {
	if r.attachTo != "" {
		return &message.Attach{
			Request: r.id, Attempt: r.key.attempt, Account: r.offer.Account, After: r.receiver.Delivered(),
		}
	}
	offer := r.offer
	offer.Request, offer.Attempt = r.id, r.key.attempt
	offer.RemainingMS = max(a.Remaining.Milliseconds(), 0)
	offer.Resume = r.receiver.Delivered()
	offer.NoWait = r.noWait
	return &offer
}
