package booking

import (
	"slices"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// receiveBook handles Book, the first message of a call.
func (h *Home) receiveBook(from LinkID, m *message.Book) {
	key := m.Key
	key.Key = CanonicalKey(key.Key)
	w := waiter{
		from: from, request: m.Request, fingerprint: m.Fingerprint,
		deadline: h.now.Add(time.Duration(m.RemainingMS) * time.Millisecond),
	}
	e := h.keys[key]
	if e != nil && !e.lifecycle.In("undispatched") {
		h.awaitResult(e, w)
		return
	}
	if !h.authority.peersKnownFor(key) || h.record.Less(m.Record) {
		h.answer(w, outcome.MayHaveRun(outcome.ReasonNotHome, ""))
		return
	}
	used, reason := h.earliestUse(key.Key)
	switch reason {
	case outcome.ReasonKeyFuture:
		h.answer(w, outcome.DidNotRun(reason, ""))
		return
	case outcome.ReasonKeyTooOld:
		h.answer(w, outcome.MayHaveRun(reason, ""))
		return
	}
	if e == nil && (h.draining || len(h.keys) >= maxKeys) {
		h.refuseNewKey(w, len(h.authority.uncovered(key, used)) == 0)
		return
	}
	h.enqueue(h.getOrCreate(key), w)
}

// refuseNewKey refuses a key that is not in the key table. The answer is not-run
// if this home has authority over the key, and unknown otherwise.
func (h *Home) refuseNewKey(w waiter, proven bool) {
	reason := outcome.ReasonQueueFull
	if h.draining {
		reason = outcome.ReasonDraining
	}
	if proven {
		h.answer(w, outcome.DidNotRun(reason, ""))
	} else {
		h.answer(w, outcome.MayHaveRun(reason, ""))
	}
}

// enqueue makes a call wait for the reservation of a key that has not been run. A
// resent Book of the call that holds the reservation gets the same answer again.
func (h *Home) enqueue(e *keyEntry, w waiter) {
	if r := e.reservation; r != nil && r.call.request == w.request {
		r.call.from = w.from
		h.reserved(r)
		return
	}
	if !e.add(w) {
		h.answer(w, outcome.MayHaveRun(outcome.ReasonQueueFull, ""))
		return
	}
	h.advance(e)
}

// awaitResult makes a call wait for a running key, or replies with the result if
// it is known.
func (h *Home) awaitResult(e *keyEntry, w waiter) {
	switch {
	case e.isFinal():
		h.replyResult(e, w)
	case w.fingerprint != e.fingerprint:
		h.answer(w, outcome.DidNotRun(outcome.ReasonKeyReused, ""))
	case !e.add(w):
		h.answer(w, outcome.MayHaveRun(outcome.ReasonQueueFull, ""))
	}
}

// replyResult answers a call with the result in the key table.
func (h *Home) replyResult(e *keyEntry, w waiter) {
	if w.nonce == 0 && e.lifecycle.In("answered") && w.fingerprint != e.fingerprint {
		h.answer(w, outcome.DidNotRun(outcome.ReasonKeyReused, ""))
		return
	}
	result := e.result
	result.Request, result.Nonce = w.request, w.nonce
	result.Replayed = w.nonce == 0 || w.nonce != e.runNonce
	h.reply(w.from, &result)
}

// answer ends a call. A call that may succeed later is told to retry after 1 s.
func (h *Home) answer(w waiter, o outcome.Outcome) {
	result := &message.BookResult{Request: w.request, Kind: o.Kind, Reason: o.Reason, Nonce: w.nonce}
	if o.Reason == outcome.ReasonDraining || o.Reason == outcome.ReasonQueueFull || o.Reason == outcome.ReasonNotHome {
		result.RetryAfterMS = time.Second.Milliseconds()
	}
	h.reply(w.from, result)
}

// advance takes an undispatched key as far as possible: it asks earlier homes to
// seal the key and, when all have, reserves it for the call that has waited longest.
func (h *Home) advance(e *keyEntry) {
	if !e.lifecycle.In("undispatched") || e.reservation != nil {
		return
	}
	homes, reason := h.homesToAsk(e)
	switch {
	case reason != outcome.ReasonNone:
		h.abandon(e, reason)
	case len(homes) > 0:
		e.fire(h.now, "resolve")
		h.sendSeals(e, homes)
	default:
		if !e.lifecycle.In("open") {
			e.fire(h.now, "resolve")
			e.fire(h.now, "resolved")
		}
		e.sealedFor = nil
		h.reserve(e)
	}
}

// reserve reserves the key for the call that has waited longest.
func (h *Home) reserve(e *keyEntry) {
	if len(e.waiters) == 0 {
		h.deactivate(e)
		return
	}
	w := e.waiters[0]
	e.waiters = e.waiters[1:]
	h.nonceCounter++
	r := &reservation{nonce: h.nonce(), call: w, reservedAt: h.now, decidedAt: h.now}
	r.lifecycle = h.charts.reservation.New(h.now, r)
	e.reservation = r
	h.nonces[r.nonce] = e
	e.fire(h.now, "reserve")
	h.reserved(r)
}

// nonce returns a value that is unique over all processes and incarnations, so
// that an answer for one reservation cannot be mistaken for that of another.
func (h *Home) nonce() uint64 {
	return hashStrings(string(h.identity.Service), h.identity.Self.Address, strconv.FormatUint(uint64(h.identity.Incarnation), 36), strconv.FormatUint(h.nonceCounter, 36))
}

// reserved tells the entry that the key is reserved for its call.
func (h *Home) reserved(r *reservation) {
	h.reply(r.call.from, &message.Reserved{Request: r.call.request, Incarnation: h.identity.Incarnation, Nonce: r.nonce})
}

// receiveCommit runs a reserved key, or answers a resent commit.
func (h *Home) receiveCommit(from LinkID, m *message.BookCommit) {
	w := waiter{from: from, request: m.Request, nonce: m.Nonce, deadline: h.now.Add(time.Duration(m.RemainingMS) * time.Millisecond)}
	if m.Incarnation != h.identity.Incarnation {
		h.answer(w, outcome.MayHaveRun(outcome.ReasonKeyTooOld, ""))
		return
	}
	e := h.nonces[m.Nonce]
	switch {
	case e == nil:
		h.answer(w, outcome.DidNotRun(outcome.ReasonReservationExpired, ""))
	case e.runNonce == m.Nonce && e.isFinal():
		h.replyResult(e, w)
	case e.runNonce == m.Nonce:
		e.add(w)
	default:
		h.dispatch(e, w, m)
	}
}

// dispatch runs the key, unless its reservation or the call has expired.
func (h *Home) dispatch(e *keyEntry, w waiter, m *message.BookCommit) {
	r := e.reservation
	if m.RemainingMS > 0 {
		r.fire(h.now, "commit")
	} else {
		r.fire(h.now, "revoke")
	}
	if !r.lifecycle.In("committed") {
		h.expireReservation(e)
		h.answer(w, outcome.DidNotRun(outcome.ReasonReservationExpired, ""))
		return
	}
	e.reservation, e.runNonce, e.fingerprint = nil, r.nonce, r.call.fingerprint
	e.fire(h.now, "commit")
	h.actions = append(h.actions, Run{Nonce: r.nonce, Key: e.key, Commit: m})
	others := e.waiters
	e.waiters = []waiter{w}
	for _, o := range others {
		h.awaitResult(e, o)
	}
}

// expireReservation ends a reservation that was not used. Its nonce is removed, so
// a late commit is refused.
func (h *Home) expireReservation(e *keyEntry) {
	delete(h.nonces, e.reservation.nonce)
	e.reservation = nil
	e.fire(h.now, "expire")
	h.advance(e)
	h.deactivate(e)
}

// abandon refuses the pending calls of a key that this home has no authority to
// run, so that they retry elsewhere or later.
func (h *Home) abandon(e *keyEntry, reason outcome.Reason) {
	h.refusePending(e, reason)
	h.deactivate(e)
}

// refusePending ends the reservation and the waiting calls of an undispatched key.
func (h *Home) refusePending(e *keyEntry, reason outcome.Reason) {
	if r := e.reservation; r != nil {
		r.fire(h.now, "revoke")
		delete(h.nonces, r.nonce)
		e.reservation = nil
		e.fire(h.now, "expire")
	}
	if e.lifecycle.In("resolving") {
		e.fire(h.now, "resolved")
	}
	for _, w := range e.waiters {
		h.answer(w, outcome.MayHaveRun(reason, ""))
	}
	e.waiters = nil
}

// finish handles the end of a call to the service.
func (h *Home) finish(in CallFinished) {
	e := h.nonces[in.Nonce]
	if e == nil || e.runNonce != in.Nonce || !e.lifecycle.In("running") {
		return
	}
	e.result = message.BookResult{Kind: in.Kind, Reason: in.Reason, Status: in.Status, Header: in.Header, Body: in.Body}
	switch in.Kind {
	case outcome.Completed:
		e.fire(h.now, "completed")
	case outcome.NotRun:
		h.neverWritten(e, in.Reason)
		return
	default:
		e.fire(h.now, "outcomeUnknown")
	}
	h.deliverResult(e)
}

// neverWritten makes a key available again after a call that was never written
// to the service.
func (h *Home) neverWritten(e *keyEntry, reason outcome.Reason) {
	e.fire(h.now, "notSent")
	e.runs--
	delete(h.nonces, e.runNonce)
	nonce := e.runNonce
	e.runNonce = 0
	e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
		if w.nonce == nonce {
			h.answer(w, outcome.DidNotRun(reason, ""))
		}
		return w.nonce == nonce
	})
	sealWaiters := e.sealWaiters
	e.sealWaiters = nil
	for _, s := range sealWaiters {
		h.receiveSeal(s.from, s.seal)
	}
	h.advance(e)
	h.deactivate(e)
}

// deliverResult sends the final result to all calls and homes that wait for it.
func (h *Home) deliverResult(e *keyEntry) {
	for _, w := range e.waiters {
		h.replyResult(e, w)
	}
	for _, s := range e.sealWaiters {
		h.replySealResult(s.from, s.seal, e)
	}
	e.waiters, e.sealWaiters = nil, nil
	h.deactivate(e)
}
