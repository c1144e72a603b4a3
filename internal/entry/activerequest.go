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

// ticket names a request between its HTTP handler and the dispatch task.
type ticket uint64

// delivery is what the dispatch task hands to the handler of a request. Pieces
// that arrive before the handler takes a delivery join it.
type delivery struct {
	id ident.RequestID
	// first is the sequence of the first piece.
	first  uint64
	pieces [][]byte
	end    *ending
}

// ending is the last thing that a handler hears.
type ending struct {
	outcome    outcome.Outcome
	retryAfter time.Duration
	// done is the sidecar's end of the answer, if it completed.
	done *message.Done
}

// submission is a request as its handler gives it to the dispatch task.
type submission struct {
	// offer is sent with each attempt; request, attempt, remaining time and
	// resume position are filled in.
	offer message.Offer
	query query
	plan  request.Plan
	// collect means that the answer is passed on only when it is whole.
	collect bool
	// attach means that a stream is read on instead of work being offered.
	attach ident.RequestID
	after  uint64
}

// flight is a request that the dispatch task works on.
type flight struct {
	submission
	ticket   ticket
	unique   string
	id       ident.RequestID
	life     *request.Request
	receiver stream.Receiver
	link     *link.Link
	// offset is added to attempt numbers on the wire. It keeps the attempts of
	// an attached reader apart from those of the request itself.
	offset ident.Attempt
	// wire is the key under which frames of the current attempt arrive.
	wire     wireKey
	out      chan delivery
	ready    [][]byte
	first    uint64
	touched  bool
	last     []byte
	done     *message.Done
	credited int64
	// heldSince is when the request began to wait for credit, zero if it does not.
	heldSince time.Time
	// noWait says that the current attempt is refused by a busy server.
	noWait bool
	// offered is when the current attempt was offered; answered says that it has
	// begun to answer.
	offered  time.Time
	answered bool
	// gapAt is when an answer whose end is known but whose pieces are missing is
	// given up. Zero means that nothing is missing.
	gapAt time.Time
	// due is the time for which the flight stands in the timer heap, if any.
	due time.Time
}

// wireKey finds a flight by a frame.
type wireKey struct {
	request ident.RequestID
	attempt ident.Attempt
}

// hand passes what is ready to the handler.
func (f *flight) hand(end *ending) {
	if len(f.ready) == 0 && end == nil {
		return
	}
	f.put(delivery{id: f.id, first: f.first, pieces: f.ready, end: end})
	f.ready = nil
}

// put sends a delivery without blocking: the mailbox holds one delivery, and one
// that was not taken yet is joined with the new one. The dispatch task is the
// only sender. Credits bound the joined size.
func (f *flight) put(d delivery) {
	select {
	case waiting := <-f.out:
		if len(waiting.pieces) > 0 {
			d.first = waiting.first
			d.pieces = append(waiting.pieces, d.pieces...)
		}
	default:
	}
	f.out <- d
}

// offerFrame returns the frame that starts the attempt.
func (f *flight) offerFrame(a request.Offer) message.Message {
	if f.attach != "" {
		return &message.Attach{
			Request: f.id, Attempt: f.wire.attempt, Account: f.offer.Account, After: f.receiver.Delivered(),
		}
	}
	offer := f.offer
	offer.Request, offer.Attempt = f.id, f.wire.attempt
	offer.RemainingMS = max(a.Remaining.Milliseconds(), 0)
	offer.Resume = f.receiver.Delivered()
	offer.NoWait = f.noWait
	return &offer
}
