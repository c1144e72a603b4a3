package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// waiter is a call that waits for the result of a key. The nonce is non-zero if
// the call has committed.
type waiter struct {
	from        LinkID
	request     ident.RequestID
	fingerprint uint64
	nonce       uint64
	deadline    time.Time
}

// sealRequest is an unanswered Seal to an earlier home.
type sealRequest struct {
	id     uint64
	sentAt time.Time
}

// reservation is the right of one call to run the key.
type reservation struct {
	lifecycle  *chart.Lifecycle[*reservation]
	nonce      uint64
	call       waiter
	reservedAt time.Time
	// decidedAt is the time of the latest event, for the guard beforeCommitTimeout.
	decidedAt time.Time
}

func (r *reservation) beforeCommitTimeout() bool {
	return elapsed(r.reservedAt, r.decidedAt) <= commitTimeout
}

func (r *reservation) fire(now time.Time, event string) {
	r.decidedAt = now
	r.lifecycle.Fire(now, event)
}

// keyEntry is one key in the key table.
type keyEntry struct {
	key       message.KeyID
	lifecycle *chart.Lifecycle[*keyEntry]
	// reservation is nil unless the state is reserved.
	reservation *reservation
	// runNonce is the nonce with which the key was run, or 0.
	runNonce uint64
	runs     int
	waiters  []waiter
	// sealWaiters are later homes that wait for the running call to end.
	sealWaiters []sealWaiter
	// sealRequests are the unanswered questions to earlier homes, by link address.
	sealRequests map[string]*sealRequest
	// sealedBy are the link addresses of earlier homes that sealed the key for
	// this one.
	sealedBy map[string]bool
	// sealedFor are the link addresses of homes that the key was sealed for, by
	// this home or by an earlier one. They must be asked before the key is run here.
	sealedFor []string
	// forgotten reports whether the key was sealed here although an earlier
	// incarnation may have run it.
	forgotten bool
	// fingerprint and result are set once the key has been run.
	fingerprint uint64
	result      message.BookResult
	// idleSince is when the entry last left the active list.
	idleSince time.Time
}

// sealWaiter is a Seal that is answered when the running call ends.
type sealWaiter struct {
	from LinkID
	seal *message.Seal
}

// countRun asserts that a key runs at most once.
func (e *keyEntry) countRun() {
	invariant.Check(e.runs == 0, "a booking runs at most once", "a key of account %s at service %s is run again with nonce %d", e.key.Account, e.key.Service, e.runNonce)
	e.runs++
}

func (e *keyEntry) fire(now time.Time, event string) bool {
	_, taken := e.lifecycle.Fire(now, event)
	return taken
}

// isFinal reports whether the key's result, or that it is unknown, is final.
func (e *keyEntry) isFinal() bool { return e.lifecycle.Done() }

// idle reports whether the key is final, or has no reservation, no running call
// and no waiting call.
func (e *keyEntry) idle() bool {
	return e.isFinal() || e.reservation == nil && len(e.waiters) == 0 && !e.lifecycle.In("running")
}

// add queues a call, or updates the link and deadline of one that was resent.
// False means that the queue is full.
func (e *keyEntry) add(w waiter) bool {
	for n := range e.waiters {
		if e.waiters[n].request == w.request && e.waiters[n].nonce == w.nonce {
			e.waiters[n] = w
			return true
		}
	}
	if len(e.waiters) >= maxWaitersPerKey {
		return false
	}
	e.waiters = append(e.waiters, w)
	return true
}

// getOrCreate returns the table entry of a key and puts it on the active list.
func (h *Home) getOrCreate(key message.KeyID) *keyEntry {
	e := h.keys[key]
	if e == nil {
		e = &keyEntry{key: key}
		e.lifecycle = h.charts.booking.New(h.now, e)
		h.keys[key] = e
	}
	if !slices.Contains(h.active, e) {
		h.active = append(h.active, e)
	}
	return e
}

// deactivate takes an idle key off the active list, and out of the table if
// nothing about it needs to be remembered.
func (h *Home) deactivate(e *keyEntry) {
	if !e.idle() {
		return
	}
	h.active = slices.DeleteFunc(h.active, func(a *keyEntry) bool { return a == e })
	e.sealRequests, e.sealedBy, e.idleSince = nil, nil, h.now
	if e.isFinal() || e.lifecycle.In("sealed") {
		return
	}
	if len(e.sealedFor) > 0 {
		// The homes that the key was sealed for must be asked again before it is
		// run here.
		e.fire(h.now, "seal")
		return
	}
	if h.keys[e.key] == e {
		delete(h.keys, e.key)
	}
}
