package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// unresolved returns the earlier homes that have not sealed the key yet. The
// reason is set if the key cannot be resolved here.
func (h *Home) unresolved(e *entry) ([]string, outcome.Reason) {
	if !h.auth.informed(e.key) {
		return nil, outcome.ReasonNotHome
	}
	used, reason := h.firstUse(e.key.Key)
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	list := h.auth.uncovered(e.key, used)
	for _, r := range e.ceded {
		if !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	list = slices.DeleteFunc(list, func(r string) bool { return e.sealed[r] })
	if slices.ContainsFunc(list, h.auth.isGone) {
		return nil, outcome.ReasonPredecessor
	}
	return list, outcome.ReasonNone
}

// askSeals asks earlier homes, and asks again those that do not answer.
func (h *Home) askSeals(e *entry, homes []string) {
	if e.needs == nil {
		e.needs = make(map[string]*need)
	}
	for _, r := range homes {
		n := e.needs[r]
		if n == nil {
			h.counter++
			n = &need{ask: h.nonce()}
			e.needs[r] = n
		}
		if !n.asked.IsZero() && h.now.Sub(n.asked) < resendAfter {
			continue
		}
		n.asked = h.now
		h.send(r, &message.Seal{
			Key: e.key, NewTo: h.id.Self.ID, Address: h.id.Self.Address,
			Record: h.record, Ask: n.ask,
		})
	}
}

// seal answers a later home: the key is refused here from now on, or its result
// is handed over.
func (h *Home) seal(from Party, m *message.Seal) {
	e := h.keys[m.Key]
	switch {
	case e != nil && e.settled():
		h.replySeal(from, m, e)
	case e != nil && e.life.In("running"):
		e.sealers = slices.DeleteFunc(e.sealers, func(s sealer) bool { return s.seal.Address == m.Address })
		e.sealers = append(e.sealers, sealer{from: from, seal: m})
	case m.Record.Less(h.record) || m.Record == h.record && h.homeHere(m.Key):
		h.replySealState(from, m, message.SealStale, nil)
	case e == nil && h.forgotten(m.Key):
		h.cede(from, m, message.SealForgotten)
	default:
		h.cede(from, m, message.SealSealed)
	}
}

func (h *Home) homeHere(key message.KeyID) bool {
	e := h.auth.current()
	return e != nil && h.auth.holds(e, key)
}

// forgotten reports whether a key that is not in the table may have been run.
func (h *Home) forgotten(key message.KeyID) bool {
	_, reason := h.firstUse(key.Key)
	return reason == outcome.ReasonKeyTooOld
}

// cede seals a key that was not run here.
func (h *Home) cede(from Party, m *message.Seal, state message.SealState) {
	h.auth.learn(m.Address)
	h.auth.confirm(m.Address)
	if h.keys[m.Key] == nil && len(h.keys) >= maxKeys {
		return
	}
	e := h.obtain(m.Key)
	h.clearOut(e, outcome.ReasonKeySealed)
	others := slices.DeleteFunc(slices.Clone(e.ceded), func(r string) bool { return r == m.Address })
	e.ceded = append(others, m.Address)
	if !e.life.In("ceded") {
		e.fire(h.now, "cede")
	}
	h.rest(e)
	if e.forgotten = e.forgotten || state == message.SealForgotten; e.forgotten {
		state = message.SealForgotten
	}
	h.replySealState(from, m, state, others)
}

func (h *Home) replySeal(from Party, m *message.Seal, e *entry) {
	if e.life.In("undecided") {
		h.replySealState(from, m, message.SealUnknown, nil)
		return
	}
	h.reply(from, &message.Sealed{
		Key: m.Key, State: message.SealRan, Incarnation: h.id.Incarnation, Result: e.result, Fingerprint: e.fingerprint,
		Server: h.id.Self.ID, Address: h.id.Self.Address, Ask: m.Ask,
	})
}

func (h *Home) replySealState(from Party, m *message.Seal, state message.SealState, ceded []string) {
	h.reply(from, &message.Sealed{
		Key: m.Key, State: state, Incarnation: h.id.Incarnation,
		Server: h.id.Self.ID, Address: h.id.Self.Address, Ask: m.Ask, Ceded: ceded,
	})
}

// sealed takes in an earlier home's answer.
func (h *Home) sealed(m *message.Sealed) {
	e := h.keys[m.Key]
	if e == nil || !e.life.In("resolving") {
		return
	}
	n := e.needs[m.Address]
	if n == nil || n.ask != m.Ask {
		return
	}
	switch {
	case m.State == message.SealRan:
		e.result, e.fingerprint = m.Result, m.Fingerprint
		e.fire(h.now, "learnRan")
		h.settle(e)
	case m.State == message.SealSealed, m.State == message.SealForgotten && h.auth.remembers(m.Address, m.Incarnation):
		h.agree(e, m)
	case m.State == message.SealUnknown, m.State == message.SealForgotten:
		e.result = message.BookResult{Kind: outcome.Unknown, Reason: outcome.ReasonPredecessor}
		e.fire(h.now, "learnUnknown")
		h.settle(e)
	}
}

func (h *Home) agree(e *entry, m *message.Sealed) {
	if e.sealed == nil {
		e.sealed = make(map[string]bool)
	}
	e.sealed[m.Address] = true
	for _, r := range m.Ceded {
		if r == h.id.Self.Address || slices.Contains(e.ceded, r) {
			continue
		}
		e.ceded = append(e.ceded, r)
		h.auth.include(r)
	}
	h.pursue(e)
}

// tick ends reservations and calls that are out of time, and forgets old keys.
func (h *Home) tick() {
	for _, e := range slices.Clone(h.active) {
		if r := e.held; r != nil && elapsed(r.since, h.now) >= commitLimit {
			r.fire(h.now, "lapse")
			h.lapse(e)
		}
		e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
			late := !h.now.Before(w.deadline)
			if late {
				h.answer(w, outcome.CannotTell(outcome.ReasonDeadline, ""))
			}
			return late
		})
		h.expireResolving(e)
		h.rest(e)
	}
	if h.now.Sub(h.swept) >= time.Minute {
		h.sweep()
	}
}

// expireResolving ends the questions for a key that no call waits for any more.
func (h *Home) expireResolving(e *entry) {
	if len(e.waiters) == 0 && e.life.In("resolving") {
		e.fire(h.now, "resolved")
	}
}

// sweep forgets keys after the memory time and raises the floor to match.
func (h *Home) sweep() {
	h.swept = h.now
	memory := max(DefaultOpaqueWindow, h.window) + memoryMargin
	h.floor = later(h.floor, h.wall().Add(Skew-memory))
	for key, e := range h.keys {
		if !slices.Contains(h.active, e) && h.now.Sub(e.ended) > memory {
			delete(h.nonces, e.used)
			delete(h.keys, key)
		}
	}
}
