package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
)

const (
	// uncountedBytes is the largest last delivery that is not counted.
	uncountedBytes = 16 << 10
	// maxEnded is the number of requests that have ended at which those whose answer was
	// taken are forgotten.
	maxEnded = 64
)

// heldAnswers bounds the pieces of answers that the dispatch task holds, for all clients
// together. What a handler writes is counted with its connection (see package clientconn).
type heldAnswers struct {
	// maxBytes is the most that is held.
	maxBytes int64
	// bytes is at least what is held. It is counted anew when it exceeds maxBytes, since
	// handlers take deliveries without a message.
	bytes int64
	// ended are the requests that have ended and whose last delivery may not be taken yet.
	ended map[*activeRequest]struct{}
}

// holdPieces counts pieces that have arrived for a request. If too much is held, the clients
// that make the least progress lose their answers.
func (d *dispatch) holdPieces(now time.Time, r *activeRequest, pieces [][]byte) {
	for _, p := range pieces {
		r.readyBytes += stream.CreditCost(p)
		d.held.bytes += stream.CreditCost(p)
	}
	for d.held.bytes > d.held.maxBytes {
		// Handlers take deliveries meanwhile, so it is counted anew after each one.
		d.countHeld()
		least := d.leastTaken()
		if d.held.bytes <= d.held.maxBytes || least == nil {
			return
		}
		d.dropAnswer(now, least)
	}
}

// holdEnded counts the last delivery of a request until its handler has taken it. A small one
// fits into the allowance of the connection.
func (d *dispatch) holdEnded(r *activeRequest) {
	if r.deliveredBytes <= uncountedBytes {
		return
	}
	d.held.ended[r] = struct{}{}
	if len(d.held.ended) >= maxEnded {
		d.countHeld()
	}
}

// countHeld counts what is held.
func (d *dispatch) countHeld() {
	d.held.bytes = 0
	for _, r := range d.requests {
		d.held.bytes += r.heldBytes()
	}
	for r := range d.held.ended {
		if bytes := r.heldBytes(); bytes > 0 {
			d.held.bytes += bytes
		} else {
			delete(d.held.ended, r)
		}
	}
}

// heldBytes returns how many bytes of the answer are held for the handler.
func (r *activeRequest) heldBytes() int64 {
	if len(r.deliveries) == 0 {
		r.deliveredBytes = 0
	}
	return r.readyBytes + r.deliveredBytes
}

// leastTaken returns the request whose handler has taken nothing for longest, although
// something is there for it. If there is none, it returns the one with the most bytes of an
// answer that is not complete.
func (d *dispatch) leastTaken() *activeRequest {
	var least *activeRequest
	consider := func(r *activeRequest) {
		switch {
		case r.heldBytes() == 0:
		case least == nil, r.deliveredBytes > 0 && least.deliveredBytes == 0:
			least = r
		case r.deliveredBytes > 0 && r.deliveredSince.Before(least.deliveredSince):
			least = r
		case least.deliveredBytes == 0 && r.readyBytes > least.readyBytes:
			least = r
		}
	}
	for _, r := range d.requests {
		consider(r)
	}
	for r := range d.held.ended {
		consider(r)
	}
	return least
}

// dropAnswer drops what is held for a request and closes the connection of its client.
func (d *dispatch) dropAnswer(now time.Time, r *activeRequest) {
	select {
	case <-r.deliveries:
	default:
	}
	r.readyPieces, r.readyBytes, r.deliveredBytes = nil, 0, 0
	r.hangUp()
	delete(d.held.ended, r)
	if _, active := d.requests[r.ticket]; active {
		d.advance(now, r, request.ClientLeft{})
	}
}
