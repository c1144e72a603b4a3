package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// maxCreditWaiters is the maximum number of requests of one class and account
	// that wait at this entry for credit. Each tries to get a server every 25 ms,
	// and the tries of one account must not overload the entry.
	maxCreditWaiters = 16
	// creditWaitDivisor is the divisor of the first-token target that gives the time
	// a request may wait for credit. After a longer wait it would miss the target.
	creditWaitDivisor = 8
	// minCreditWait leaves time for three tries to get a server, one every 25 ms.
	minCreditWait = 75 * time.Millisecond
)

// creditWaitKey is the key by which waiting requests are counted.
type creditWaitKey struct {
	class   ident.PriorityClass
	account ident.ClientAccount
}

// creditWaiters counts the requests that wait at the entry for credit.
type creditWaiters map[creditWaitKey]int

// noServer handles a request that gets no server now. If only credit is missing, it
// waits for at most its credit wait; if no server is usable, until its deadline.
func (d *dispatch) noServer(now time.Time, r *activeRequest, refusal outcome.Outcome) {
	m := request.NoServer{Outcome: refusal, RetryAfter: time.Second}
	// An answer that has begun must be finished. It waits for a server as long as
	// the lifecycle of the request allows.
	if refusal.Reason == outcome.ReasonQueueFull && !r.lifecycle.Answering() {
		m.Final = !d.waitForCredit(now, r)
	}
	d.advance(now, r, m)
}

// waitForCredit counts the request as waiting. False means that it must not wait, or
// not any longer.
func (d *dispatch) waitForCredit(now time.Time, r *activeRequest) bool {
	key := creditWaitKey{class: r.query.class, account: r.query.account}
	if r.creditWaitSince.IsZero() {
		if d.creditWaiters[key] >= maxCreditWaiters {
			return false
		}
		d.creditWaiters[key]++
		r.creditWaitSince = now
	}
	return now.Sub(r.creditWaitSince) < max(r.query.creditWait, minCreditWait)
}

// endCreditWait stops counting a request as waiting, when it got a server or ended.
func (d *dispatch) endCreditWait(r *activeRequest) {
	if r.creditWaitSince.IsZero() {
		return
	}
	r.creditWaitSince = time.Time{}
	key := creditWaitKey{class: r.query.class, account: r.query.account}
	if d.creditWaiters[key]--; d.creditWaiters[key] == 0 {
		delete(d.creditWaiters, key)
	}
}
