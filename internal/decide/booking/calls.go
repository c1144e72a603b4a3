package booking

import (
	"slices"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// book answers the first message of a call.
func (h *Home) book(from Party, m *message.Book) {
	key := m.Key
	key.Key = CanonicalKey(key.Key)
	w := waiter{
		from: from, request: m.Request, fingerprint: m.Fingerprint,
		deadline: h.now.Add(time.Duration(m.RemainingMS) * time.Millisecond),
	}
	e := h.keys[key]
	if e != nil && !e.life.In("undispatched") {
		h.join(e, w)
		return
	}
	if !h.auth.informed(key) || h.record.Less(m.Record) {
		h.answer(w, outcome.CannotTell(outcome.ReasonNotHome, ""))
		return
	}
	used, reason := h.firstUse(key.Key)
	switch reason {
	case outcome.ReasonKeyFuture:
		h.answer(w, outcome.DidNotRun(reason, ""))
		return
	case outcome.ReasonKeyTooOld:
		h.answer(w, outcome.CannotTell(reason, ""))
		return
	}
	if e == nil && (h.draining || len(h.keys) >= maxKeys) {
		h.turnAway(w, len(h.auth.uncovered(key, used)) == 0)
		return
	}
	h.enlist(h.obtain(key), w)
}

// turnAway refuses a new key. Only a home with authority can say that it was
// not run.
func (h *Home) turnAway(w waiter, proven bool) {
	reason := outcome.ReasonQueueFull
	if h.draining {
		reason = outcome.ReasonDraining
	}
	if proven {
		h.answer(w, outcome.DidNotRun(reason, ""))
	} else {
		h.answer(w, outcome.CannotTell(reason, ""))
	}
}

// enlist makes a call wait for a key that has not been dispatched.
func (h *Home) enlist(e *entry, w waiter) {
	if r := e.held; r != nil && r.call.request == w.request {
		r.call.from = w.from
		h.reserved(r)
		return
	}
	if !e.add(w) {
		h.answer(w, outcome.CannotTell(outcome.ReasonQueueFull, ""))
		return
	}
	h.pursue(e)
}

// join makes a call wait for a running key, or gives it the known result.
func (h *Home) join(e *entry, w waiter) {
	switch {
	case e.settled():
		h.conclude(e, w)
	case w.fingerprint != e.fingerprint:
		h.answer(w, outcome.DidNotRun(outcome.ReasonKeyReused, ""))
	case !e.add(w):
		h.answer(w, outcome.CannotTell(outcome.ReasonQueueFull, ""))
	}
}

// conclude answers a call from the table.
func (h *Home) conclude(e *entry, w waiter) {
	if w.nonce == 0 && e.life.In("answered") && w.fingerprint != e.fingerprint {
		h.answer(w, outcome.DidNotRun(outcome.ReasonKeyReused, ""))
		return
	}
	result := e.result
	result.Request, result.Nonce = w.request, w.nonce
	result.Replayed = w.nonce == 0 || w.nonce != e.used
	h.reply(w.from, &result)
}

func (h *Home) answer(w waiter, o outcome.Outcome) {
	result := &message.BookResult{Request: w.request, Kind: o.Kind, Reason: o.Reason, Nonce: w.nonce}
	if o.Reason == outcome.ReasonDraining || o.Reason == outcome.ReasonQueueFull || o.Reason == outcome.ReasonNotHome {
		result.RetryAfterMS = time.Second.Milliseconds()
	}
	h.reply(w.from, result)
}

// pursue brings an undispatched key as far as it can: it resolves what earlier
// homes know and then reserves the key for the call that has waited longest.
func (h *Home) pursue(e *entry) {
	if !e.life.In("undispatched") || e.held != nil {
		return
	}
	open, reason := h.unresolved(e)
	switch {
	case reason != outcome.ReasonNone:
		h.giveUp(e, reason)
	case len(open) > 0:
		e.fire(h.now, "resolve")
		h.askSeals(e, open)
	default:
		if !e.life.In("open") {
			e.fire(h.now, "resolve")
			e.fire(h.now, "resolved")
		}
		e.ceded = nil
		h.reserve(e)
	}
}

func (h *Home) reserve(e *entry) {
	if len(e.waiters) == 0 {
		h.rest(e)
		return
	}
	w := e.waiters[0]
	e.waiters = e.waiters[1:]
	h.counter++
	r := &reservation{nonce: h.nonce(), call: w, since: h.now, decided: h.now}
	r.life = h.charts.reservation.New(h.now, r)
	e.held = r
	h.nonces[r.nonce] = e
	e.fire(h.now, "reserve")
	h.reserved(r)
}

// nonce is unique over all processes and incarnations, so that an answer for
// one reservation cannot be taken for another.
func (h *Home) nonce() uint64 {
	return hashStrings(string(h.id.Service), h.id.Self.Address, strconv.FormatUint(uint64(h.id.Incarnation), 36), strconv.FormatUint(h.counter, 36))
}

func (h *Home) reserved(r *reservation) {
	h.reply(r.call.from, &message.Reserved{Request: r.call.request, Incarnation: h.id.Incarnation, Nonce: r.nonce})
}

// commit runs a reserved key.
func (h *Home) commit(from Party, m *message.BookCommit) {
	w := waiter{from: from, request: m.Request, nonce: m.Nonce, deadline: h.now.Add(time.Duration(m.RemainingMS) * time.Millisecond)}
	if m.Incarnation != h.id.Incarnation {
		h.answer(w, outcome.CannotTell(outcome.ReasonKeyTooOld, ""))
		return
	}
	e := h.nonces[m.Nonce]
	switch {
	case e == nil:
		h.answer(w, outcome.DidNotRun(outcome.ReasonReserveExpired, ""))
	case e.used == m.Nonce && e.settled():
		h.conclude(e, w)
	case e.used == m.Nonce:
		e.add(w)
	default:
		h.dispatch(e, w, m)
	}
}

func (h *Home) dispatch(e *entry, w waiter, m *message.BookCommit) {
	r := e.held
	if m.RemainingMS > 0 {
		r.fire(h.now, "commit")
	} else {
		r.fire(h.now, "revoke")
	}
	if !r.life.In("used") {
		h.lapse(e)
		h.answer(w, outcome.DidNotRun(outcome.ReasonReserveExpired, ""))
		return
	}
	e.held, e.used, e.fingerprint = nil, r.nonce, r.call.fingerprint
	e.fire(h.now, "commit")
	h.out = append(h.out, Run{Nonce: r.nonce, Key: e.key, Commit: m})
	others := e.waiters
	e.waiters = []waiter{w}
	for _, o := range others {
		h.join(e, o)
	}
}

// lapse ends a reservation that was not used. Its nonce is unknown from now on,
// so a late commit is refused.
func (h *Home) lapse(e *entry) {
	delete(h.nonces, e.held.nonce)
	e.held = nil
	e.fire(h.now, "lapse")
	h.pursue(e)
	h.rest(e)
}

// giveUp tells the waiting calls to ask elsewhere or later, because this home
// has no authority over the key.
func (h *Home) giveUp(e *entry, reason outcome.Reason) {
	h.clearOut(e, reason)
	h.rest(e)
}

// clearOut ends the reservation and the waiting calls of an undispatched key.
func (h *Home) clearOut(e *entry, reason outcome.Reason) {
	if r := e.held; r != nil {
		r.fire(h.now, "revoke")
		delete(h.nonces, r.nonce)
		e.held = nil
		e.fire(h.now, "lapse")
	}
	if e.life.In("resolving") {
		e.fire(h.now, "resolved")
	}
	for _, w := range e.waiters {
		h.answer(w, outcome.CannotTell(reason, ""))
	}
	e.waiters = nil
}

// finish takes in the end of a call to the service.
func (h *Home) finish(in Finished) {
	e := h.nonces[in.Nonce]
	if e == nil || e.used != in.Nonce || !e.life.In("running") {
		return
	}
	e.result = message.BookResult{Kind: in.Kind, Reason: in.Reason, Status: in.Status, Header: in.Header, Body: in.Body}
	switch in.Kind {
	case outcome.Completed:
		e.fire(h.now, "finish")
	case outcome.NotRun:
		h.neverWritten(e, in.Reason)
		return
	default:
		e.fire(h.now, "lose")
	}
	h.settle(e)
}

// neverWritten returns a key to the table's open state: the service never saw
// the call.
func (h *Home) neverWritten(e *entry, reason outcome.Reason) {
	e.fire(h.now, "refuse")
	e.runs--
	delete(h.nonces, e.used)
	used := e.used
	e.used = 0
	e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
		if w.nonce == used {
			h.answer(w, outcome.DidNotRun(reason, ""))
		}
		return w.nonce == used
	})
	sealers := e.sealers
	e.sealers = nil
	for _, s := range sealers {
		h.seal(s.from, s.seal)
	}
	h.pursue(e)
	h.rest(e)
}

// settle gives the final result to all that wait for it.
func (h *Home) settle(e *entry) {
	for _, w := range e.waiters {
		h.conclude(e, w)
	}
	for _, s := range e.sealers {
		h.replySeal(s.from, s.seal, e)
	}
	e.waiters, e.sealers = nil, nil
	h.rest(e)
}
