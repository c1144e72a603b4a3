package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// homesToAsk returns the earlier homes that have not sealed the key yet. The
// reason is set if the key cannot be resolved here.
func (h *Home) homesToAsk(e *keyEntry) ([]string, outcome.Reason) {
	if !h.authority.peersKnownFor(e.key) {
		return nil, outcome.ReasonNotHome
	}
	used, reason := h.earliestUse(e.key.Key)
	if reason != outcome.ReasonNone {
		return nil, reason
	}
	homes := h.authority.uncovered(e.key, used)
	for _, address := range e.sealedFor {
		if !slices.Contains(homes, address) {
			homes = append(homes, address)
		}
	}
	homes = slices.DeleteFunc(homes, func(address string) bool { return e.sealedBy[address] })
	if slices.ContainsFunc(homes, h.authority.hasExited) {
		return nil, outcome.ReasonPredecessor
	}
	return homes, outcome.ReasonNone
}

// sendSeals sends Seal to each of the earlier homes, at most once per
// resendInterval.
func (h *Home) sendSeals(e *keyEntry, homes []string) {
	if e.sealRequests == nil {
		e.sealRequests = make(map[string]*sealRequest)
	}
	for _, address := range homes {
		request := e.sealRequests[address]
		if request == nil {
			h.nonceCounter++
			request = &sealRequest{id: h.nonce()}
			e.sealRequests[address] = request
		}
		if !request.sentAt.IsZero() && h.now.Sub(request.sentAt) < resendInterval {
			continue
		}
		request.sentAt = h.now
		h.send(address, &message.Seal{
			Key: e.key, NewHome: h.identity.Self.ID, Address: h.identity.Self.Address,
			Record: h.record, CorrelationID: request.id,
		})
	}
}

// receiveSeal answers another home: either the key is refused here from now on,
// or its result is handed over.
func (h *Home) receiveSeal(from LinkID, m *message.Seal) {
	e := h.keys[m.Key]
	switch {
	case e != nil && e.isFinal():
		h.replySealResult(from, m, e)
	case e != nil && e.lifecycle.In("running"):
		e.sealWaiters = slices.DeleteFunc(e.sealWaiters, func(s sealWaiter) bool { return s.seal.Address == m.Address })
		e.sealWaiters = append(e.sealWaiters, sealWaiter{from: from, seal: m})
	case m.Record.Less(h.record) || m.Record == h.record && h.isHomeOf(m.Key):
		h.replySealState(from, m, message.SealStale, nil)
	case e == nil && h.mayHaveForgotten(m.Key):
		h.sealFor(from, m, message.SealForgotten)
	default:
		h.sealFor(from, m, message.SealSealed)
	}
}

// isHomeOf reports whether the record in force makes this process the key's home.
func (h *Home) isHomeOf(key message.KeyID) bool {
	e := h.authority.current()
	return e != nil && h.authority.isHome(e, key)
}

// mayHaveForgotten reports whether a key that is not in the key table may have
// been run here.
func (h *Home) mayHaveForgotten(key message.KeyID) bool {
	_, reason := h.earliestUse(key.Key)
	return reason == outcome.ReasonKeyTooOld
}

// sealFor seals a key that was not run here for another home.
func (h *Home) sealFor(from LinkID, m *message.Seal, state message.SealState) {
	h.authority.addProcess(m.Address)
	h.authority.noteConfirmedTo(m.Address)
	if h.keys[m.Key] == nil && len(h.keys) >= maxKeys {
		return
	}
	e := h.getOrCreate(m.Key)
	h.refusePending(e, outcome.ReasonKeySealed)
	others := slices.DeleteFunc(slices.Clone(e.sealedFor), func(address string) bool { return address == m.Address })
	e.sealedFor = append(others, m.Address)
	if !e.lifecycle.In("sealed") {
		e.fire(h.now, "seal")
	}
	h.deactivate(e)
	if e.forgotten = e.forgotten || state == message.SealForgotten; e.forgotten {
		state = message.SealForgotten
	}
	h.replySealState(from, m, state, others)
}

func (h *Home) replySealResult(from LinkID, m *message.Seal, e *keyEntry) {
	if e.lifecycle.In("unknown") {
		h.replySealState(from, m, message.SealUnknown, nil)
		return
	}
	h.reply(from, &message.Sealed{
		Key: m.Key, State: message.SealRan, Incarnation: h.identity.Incarnation, Result: e.result, Fingerprint: e.fingerprint,
		Server: h.identity.Self.ID, Address: h.identity.Self.Address, CorrelationID: m.CorrelationID,
	})
}

func (h *Home) replySealState(from LinkID, m *message.Seal, state message.SealState, ceded []string) {
	h.reply(from, &message.Sealed{
		Key: m.Key, State: state, Incarnation: h.identity.Incarnation,
		Server: h.identity.Self.ID, Address: h.identity.Self.Address, CorrelationID: m.CorrelationID, SealedFor: ceded,
	})
}

// receiveSealed handles an earlier home's answer to Seal.
func (h *Home) receiveSealed(m *message.Sealed) {
	e := h.keys[m.Key]
	if e == nil || !e.lifecycle.In("resolving") {
		return
	}
	request := e.sealRequests[m.Address]
	if request == nil || request.id != m.CorrelationID {
		return
	}
	switch {
	case m.State == message.SealRan:
		e.result, e.fingerprint = m.Result, m.Fingerprint
		e.fire(h.now, "ranElsewhere")
		h.deliverResult(e)
	case m.State == message.SealSealed, m.State == message.SealForgotten && h.authority.hasFullMemory(m.Address, m.Incarnation):
		h.recordSealed(e, m)
	case m.State == message.SealUnknown, m.State == message.SealForgotten:
		e.result = message.BookResult{Kind: outcome.Unknown, Reason: outcome.ReasonPredecessor}
		e.fire(h.now, "unknownElsewhere")
		h.deliverResult(e)
	}
}

// recordSealed records that an earlier home sealed the key, and adds the homes
// that it had sealed the key for before.
func (h *Home) recordSealed(e *keyEntry, m *message.Sealed) {
	if e.sealedBy == nil {
		e.sealedBy = make(map[string]bool)
	}
	e.sealedBy[m.Address] = true
	for _, address := range m.SealedFor {
		if address == h.identity.Self.Address || slices.Contains(e.sealedFor, address) {
			continue
		}
		e.sealedFor = append(e.sealedFor, address)
		h.authority.include(address)
	}
	h.advance(e)
}

// tick ends reservations and calls whose time has run out, and removes old keys.
func (h *Home) tick() {
	for _, e := range slices.Clone(h.active) {
		if r := e.reservation; r != nil && elapsed(r.reservedAt, h.now) >= commitTimeout {
			r.fire(h.now, "expire")
			h.expireReservation(e)
		}
		e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
			late := !h.now.Before(w.deadline)
			if late {
				h.answer(w, outcome.MayHaveRun(outcome.ReasonDeadline, ""))
			}
			return late
		})
		h.expireResolving(e)
		h.deactivate(e)
	}
	if h.now.Sub(h.lastSweep) >= time.Minute {
		h.sweep()
	}
}

// expireResolving stops asking earlier homes about a key that no call waits for.
func (h *Home) expireResolving(e *keyEntry) {
	if len(e.waiters) == 0 && e.lifecycle.In("resolving") {
		e.fire(h.now, "resolved")
	}
}

// sweep removes keys that have been idle for longer than the retention time, and
// moves knownFrom forward to match.
func (h *Home) sweep() {
	h.lastSweep = h.now
	retention := max(DefaultOpaqueKeyWindow, h.opaqueWindow) + retentionMargin
	h.knownFrom = latest(h.knownFrom, h.wallClock().Add(MaxClockSkew-retention))
	for key, e := range h.keys {
		if !slices.Contains(h.active, e) && h.now.Sub(e.idleSince) > retention {
			delete(h.nonces, e.runNonce)
			delete(h.keys, key)
		}
	}
}
