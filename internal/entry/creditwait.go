package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// holdLimit bounds the requests of one class and account that wait at this
	// entry for credit. They look for a server every 25 ms, and a greedy account
	// must not make the entry busy with looking.
	holdLimit = 16
	// creditWaitPart is the part of the first-token target, as a divisor, that a
	// request may wait for credit. Longer, and it would be late when it is served.
	creditWaitPart = 8
	// minCreditWait leaves time for three looks.
	minCreditWait = 75 * time.Millisecond
)

// holdKey counts waiting requests.
type holdKey struct {
	class   ident.PriorityClass
	account ident.ClientAccount
}

// held are the requests that wait at the entry for credit.
type held map[holdKey]int

// noServer handles a request for which there is no server now. Without credit it
// waits a little; without any server that could take it, until its deadline.
func (d *dispatch) noServer(now time.Time, f *flight, why outcome.Outcome) {
	m := request.NoServer{Outcome: why, RetryAfter: time.Second}
	// An answer that has begun is finished; it waits for a server as long as the
	// life of the request allows.
	if why.Reason == outcome.ReasonQueueFull && !f.life.Answering() {
		m.Final = !d.hold(now, f)
	}
	d.advance(now, f, m)
}

// hold counts the request as waiting. False means that it must not wait.
func (d *dispatch) hold(now time.Time, f *flight) bool {
	key := holdKey{class: f.query.class, account: f.query.account}
	if f.heldSince.IsZero() {
		if d.held[key] >= holdLimit {
			return false
		}
		d.held[key]++
		f.heldSince = now
	}
	return now.Sub(f.heldSince) < max(f.query.creditWait, minCreditWait)
}

// release ends the wait of a request that got a server or ended.
func (d *dispatch) release(f *flight) {
	if f.heldSince.IsZero() {
		return
	}
	f.heldSince = time.Time{}
	key := holdKey{class: f.query.class, account: f.query.account}
	if d.held[key]--; d.held[key] == 0 {
		delete(d.held, key)
	}
}
