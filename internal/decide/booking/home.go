package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Home manages the keys of one service whose home is one sidecar. It is not safe
// for concurrent use.
type Home struct {
	identity  Identity
	lifecycle *chart.Lifecycle[*Home]
	charts    machines
	authority authority
	// record is the digest of the record in force.
	record message.Digest
	// validFrom is a time before which no key was used, as stated in the record.
	validFrom time.Time
	// opaqueWindow is how long opaque keys are protected against a second run.
	opaqueWindow time.Duration
	// knownFrom is the first-use time from which on this incarnation knows every
	// key that it or an earlier incarnation ran.
	knownFrom time.Time
	keys      map[message.KeyID]*keyEntry
	// nonces are the keys by the nonce of their reservation or run.
	nonces map[uint64]*keyEntry
	// active are the keys with calls, seals or reservations in progress.
	active       []*keyEntry
	nonceCounter uint64
	draining     bool
	// now is the time of the current step and lastStep that of the previous one.
	now      time.Time
	lastStep time.Time
	// lastSweep is when old keys were last removed.
	lastSweep time.Time
	// actions are collected by the current step.
	actions []Action
}

// machines holds the bound charts of a Home.
type machines struct {
	home        *chart.Machine[*Home]
	booking     *chart.Machine[*keyEntry]
	reservation *chart.Machine[*reservation]
}

// NewHome returns the Home of a sidecar process that has just started.
func NewHome(now time.Time, id Identity) *Home {
	h := &Home{
		identity:     id,
		charts:       bindMachines(),
		authority:    newAuthority(now, id.Self),
		opaqueWindow: DefaultOpaqueKeyWindow,
		knownFrom:    id.Incarnation.Started().Add(MaxClockSkew),
		keys:         make(map[message.KeyID]*keyEntry),
		nonces:       make(map[uint64]*keyEntry),
		now:          now, lastStep: now, lastSweep: now,
	}
	h.lifecycle = h.charts.home.New(now, h)
	return h
}

func bindMachines() machines {
	return machines{
		home: chart.MustBind(charts.Must("home"), chart.Binding[*Home]{
			Guards: map[string]func(*Home) bool{"member": (*Home).member},
		}),
		booking: chart.MustBind(charts.Must("booking"), chart.Binding[*keyEntry]{
			Actions: map[string]func(*keyEntry){"countRun": (*keyEntry).countRun},
		}),
		reservation: chart.MustBind(charts.Must("reservation"), chart.Binding[*reservation]{
			Guards: map[string]func(*reservation) bool{"beforeCommitTimeout": (*reservation).beforeCommitTimeout},
			Delays: map[string]func(*reservation) time.Duration{"commitTimeout": func(*reservation) time.Duration { return commitTimeout }},
		}),
	}
}

// member reports whether the record names this process as a replica.
func (h *Home) member() bool { return slices.Contains(h.authority.current().replicas, h.identity.Self) }

// Step handles one input and returns the actions to carry out.
func (h *Home) Step(now time.Time, in Input) []Action {
	h.now, h.actions = now, nil
	if elapsed(h.lastStep, now) > pauseThreshold {
		h.resetAfterPause()
	}
	h.lastStep = now
	switch in := in.(type) {
	case Received:
		h.receive(in)
	case RecordAdopted:
		h.adoptRecord(in)
	case ProcessesLearned:
		h.addProcesses(in.Addresses)
	case InstanceListRead:
		h.applyInstanceList(in)
	case CallFinished:
		h.finish(in)
	case Drain:
		h.draining = in.On
	case Tick:
		h.tick()
	}
	h.advanceAll()
	return h.actions
}

// Authoritative reports whether all other known processes of the service have
// confirmed that they gave up this home's keys.
func (h *Home) Authoritative() bool { return h.lifecycle.In("authoritative") }

// KeyCount returns the number of keys in the key table.
func (h *Home) KeyCount() int { return len(h.keys) }

func (h *Home) receive(in Received) {
	switch m := in.Message.(type) {
	case *message.Book:
		h.receiveBook(in.From, m)
	case *message.BookCommit:
		h.receiveCommit(in.From, m)
	case *message.Release:
		h.receiveRelease(in.From, m)
	case *message.Released:
		h.receiveReleased(m)
	case *message.Seal:
		h.receiveSeal(in.From, m)
	case *message.Sealed:
		h.receiveSealed(m)
	}
}

// adoptRecord applies a newer record. Keys that it assigns to other homes are
// given up at once.
func (h *Home) adoptRecord(a RecordAdopted) {
	if !h.record.Less(a.Record) {
		return
	}
	h.record, h.validFrom = a.Record, a.KeysValidFrom
	h.opaqueWindow = a.OpaqueKeyWindow
	if h.opaqueWindow <= 0 {
		h.opaqueWindow = DefaultOpaqueKeyWindow
	}
	if e := h.authority.current(); e != nil && e.replicasHash == hashReplicas(a.Replicas) {
		return
	}
	h.authority.begin(slices.Clone(a.Replicas), false)
	h.lifecycle.Fire(h.now, "recordAdopted")
	for _, e := range slices.Clone(h.active) {
		if e.lifecycle.In("undispatched") && !h.authority.isHome(h.authority.current(), e.key) {
			h.abandon(e, outcome.ReasonNotHome)
		}
	}
}

// resetAfterPause discards the authority that other processes may have taken over
// while this one was paused. The results of keys that were run here are kept.
func (h *Home) resetAfterPause() {
	h.authority.resetView(h.now)
	current := h.authority.current()
	if current == nil {
		return
	}
	h.authority.begin(current.replicas, true)
	h.lifecycle.Fire(h.now, "pauseDetected")
	for _, e := range slices.Clone(h.active) {
		if e.lifecycle.In("undispatched") {
			h.abandon(e, outcome.ReasonNotHome)
		}
	}
}

func (h *Home) addProcesses(addresses []string) {
	for _, a := range addresses {
		h.authority.include(a)
	}
}

func (h *Home) applyInstanceList(in InstanceListRead) {
	h.addProcesses(in.Candidates)
	listed := make(map[string]bool, len(in.Addresses))
	for _, a := range in.Addresses {
		listed[a] = true
	}
	h.authority.applyInstanceList(h.now, listed)
}

// advanceAll requests the missing confirmations and advances the keys that wait
// for other homes.
func (h *Home) advanceAll() {
	e := h.authority.current()
	if e == nil || !h.lifecycle.In("member") {
		return
	}
	h.requestReleases(e)
	if e.complete() {
		h.lifecycle.Fire(h.now, "allReleased")
	} else {
		h.lifecycle.Fire(h.now, "releaseMissing")
	}
	for _, k := range slices.Clone(h.active) {
		if k.lifecycle.In("resolving") {
			h.advance(k)
		}
	}
}

// requestReleases sends Release to each process that has not confirmed yet, at
// most once per resendInterval.
func (h *Home) requestReleases(e *epoch) {
	for _, r := range e.sortedPeers() {
		g := e.grants[r]
		if g.confirmed || !g.requestedAt.IsZero() && h.now.Sub(g.requestedAt) < resendInterval {
			continue
		}
		g.requestedAt = h.now
		h.send(r, &message.Release{
			Service: h.identity.Service, Server: h.identity.Self.ID, Address: h.identity.Self.Address,
			Record: h.record, Replicas: e.replicasHash, CorrelationID: e.id,
			Incarnation: h.identity.Incarnation,
		})
	}
}

// receiveRelease answers another process that asks whether its keys were given
// up. A replica grants this only if both records have the same replicas. A process
// that is no replica always grants it, because it must send Release itself before
// it runs a key.
func (h *Home) receiveRelease(from LinkID, m *message.Release) {
	h.authority.addProcess(m.Address)
	h.authority.noteIncarnation(m.Address, m.Incarnation)
	e := h.authority.current()
	sameReplicas := e != nil && e.replicasHash == m.Replicas
	granted := sameReplicas || !h.lifecycle.In("member")
	if granted {
		h.authority.noteConfirmedTo(m.Address)
	}
	h.reply(from, &message.Released{
		Service: h.identity.Service, Server: h.identity.Self.ID, Address: h.identity.Self.Address,
		Incarnation: h.identity.Incarnation, Record: h.record, CorrelationID: m.CorrelationID,
		Granted:    granted,
		FloorMS:    h.knownFrom.UnixMilli() + 1,
		HoldsNoKey: h.holdsNoKeyOf(m.Address, sameReplicas),
		Known:      slices.Clone(h.authority.processes),
	})
}

// holdsNoKeyOf reports whether the key table holds no key of the asking process.
// If the replicas differ, the keys' homes are uncertain, so any key counts.
func (h *Home) holdsNoKeyOf(address string, sameReplicas bool) bool {
	for key := range h.keys {
		if !sameReplicas {
			return false
		}
		if home, ok := HomeOf(key, h.authority.current().replicas); ok && home.Address == address {
			return false
		}
	}
	return true
}

// receiveReleased records another process's confirmation. It covers keys first
// used from now on. If that process holds no key of this home, it also covers
// earlier keys, as far back as the process knows all keys that it ran.
func (h *Home) receiveReleased(m *message.Released) {
	h.addProcesses(m.Known)
	if !m.Granted {
		return
	}
	h.authority.noteIncarnation(m.Address, m.Incarnation)
	coversFrom := h.wallClock().Add(MaxClockSkew)
	switch knownFrom := time.UnixMilli(m.FloorMS); {
	case m.HoldsNoKey && h.authority.hasFullMemory(m.Address, m.Incarnation):
		coversFrom = time.Time{}
	case m.HoldsNoKey && knownFrom.Before(coversFrom):
		coversFrom = knownFrom
	}
	h.authority.recordRelease(m.Address, m.CorrelationID, coversFrom)
}

// earliestUse returns a time before which the key was certainly not used. The
// reason is set if the key is dated in the future, or if it may have been used
// before this incarnation's memory begins.
func (h *Home) earliestUse(key ident.IdempotencyKey) (time.Time, outcome.Reason) {
	wallClock, started := h.wallClock(), h.identity.Incarnation.Started()
	used, dated := CreationTime(key)
	if dated && used.After(wallClock.Add(MaxClockSkew)) {
		return used, outcome.ReasonKeyFuture
	}
	if !h.validFrom.IsZero() && started.Before(h.validFrom) && !h.validFrom.After(wallClock) {
		used = latest(used, h.validFrom.Add(MaxClockSkew))
	}
	if !dated && wallClock.Sub(started) >= h.opaqueWindow {
		used = latest(used, wallClock.Add(MaxClockSkew-h.opaqueWindow))
	}
	if used.Before(h.knownFrom) {
		return used, outcome.ReasonKeyTooOld
	}
	return used, outcome.ReasonNone
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wallClock returns the current time without its monotonic reading, for
// comparison with times from other processes.
func (h *Home) wallClock() time.Time { return h.now.Round(0) }

// elapsed returns the greater of the monotonic and the wall-clock difference,
// because the monotonic clock stops while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func (h *Home) reply(to LinkID, m message.Message) {
	h.actions = append(h.actions, Reply{To: to, Message: m})
}

func (h *Home) send(to string, m message.Message) {
	h.actions = append(h.actions, SendToSidecar{To: to, Message: m})
}
