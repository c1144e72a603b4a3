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

// Home decides about the keys of one service at one sidecar. One task owns it.
type Home struct {
	id     Identity
	life   *chart.Instance[*Home]
	charts machines
	auth   authority
	record message.Digest
	// validFrom and window are the record's statements about keys.
	validFrom time.Time
	window    time.Duration
	// floor is the first-use time from which on this incarnation knows every
	// key that it or a predecessor ran.
	floor  time.Time
	keys   map[message.KeyID]*entry
	nonces map[uint64]*entry
	// active are the keys with calls, seals or reservations under way.
	active   []*entry
	counter  uint64
	draining bool
	now      time.Time
	last     time.Time
	swept    time.Time
	out      []Action
}

// machines are the bound charts of a Home.
type machines struct {
	home        *chart.Machine[*Home]
	booking     *chart.Machine[*entry]
	reservation *chart.Machine[*reservation]
}

// NewHome returns the home part of a sidecar that has just started.
func NewHome(now time.Time, id Identity) *Home {
	h := &Home{
		id:     id,
		charts: bindMachines(),
		auth:   newAuthority(now, id.Self),
		window: DefaultOpaqueWindow,
		floor:  id.Incarnation.Started().Add(Skew),
		keys:   make(map[message.KeyID]*entry),
		nonces: make(map[uint64]*entry),
		now:    now, last: now, swept: now,
	}
	h.life = h.charts.home.New(now, h)
	return h
}

func bindMachines() machines {
	return machines{
		home: chart.MustBind(charts.Must("home"), chart.Binding[*Home]{
			Guards: map[string]func(*Home) bool{"member": (*Home).member},
		}),
		booking: chart.MustBind(charts.Must("booking"), chart.Binding[*entry]{
			Actions: map[string]func(*entry){"run": (*entry).countRun},
		}),
		reservation: chart.MustBind(charts.Must("reservation"), chart.Binding[*reservation]{
			Guards: map[string]func(*reservation) bool{"inTime": (*reservation).inTime},
			Delays: map[string]func(*reservation) time.Duration{"commitLimit": func(*reservation) time.Duration { return commitLimit }},
		}),
	}
}

// member reports whether the record names this process.
func (h *Home) member() bool { return slices.Contains(h.auth.current().replicas, h.id.Self) }

// Step takes in one message and returns what is to be done.
func (h *Home) Step(now time.Time, in Input) []Action {
	h.now, h.out = now, nil
	if elapsed(h.last, now) > pauseLimit {
		h.doubt()
	}
	h.last = now
	switch in := in.(type) {
	case Received:
		h.receive(in)
	case Adopted:
		h.adopt(in)
	case Learned:
		h.include(in.Addresses)
	case Listed:
		h.list(in)
	case Finished:
		h.finish(in)
	case Drain:
		h.draining = in.On
	case Tick:
		h.tick()
	}
	h.progress()
	return h.out
}

// Clear reports whether all other processes of the service have confirmed that
// they gave up this home's keys.
func (h *Home) Clear() bool { return h.life.In("clear") }

// Keys returns the number of keys in the table.
func (h *Home) Keys() int { return len(h.keys) }

func (h *Home) receive(in Received) {
	switch m := in.Message.(type) {
	case *message.Book:
		h.book(in.From, m)
	case *message.BookCommit:
		h.commit(in.From, m)
	case *message.Release:
		h.release(in.From, m)
	case *message.Released:
		h.released(m)
	case *message.Seal:
		h.seal(in.From, m)
	case *message.Sealed:
		h.sealed(m)
	}
}

// adopt takes a newer record. Keys that it moves away are given up at once.
func (h *Home) adopt(a Adopted) {
	if !h.record.Less(a.Record) {
		return
	}
	h.record, h.validFrom = a.Record, a.ValidFrom
	h.window = a.OpaqueWindow
	if h.window <= 0 {
		h.window = DefaultOpaqueWindow
	}
	if e := h.auth.current(); e != nil && e.hash == hashReplicas(a.Replicas) {
		return
	}
	h.auth.begin(slices.Clone(a.Replicas), false)
	h.life.Fire(h.now, "adopt")
	for _, e := range slices.Clone(h.active) {
		if e.life.In("undispatched") && !h.auth.holds(h.auth.current(), e.key) {
			h.giveUp(e, outcome.ReasonNotHome)
		}
	}
}

// doubt drops what may have changed while the process was paused. The keys that
// it ran stay known.
func (h *Home) doubt() {
	h.auth.doubt(h.now)
	current := h.auth.current()
	if current == nil {
		return
	}
	h.auth.begin(current.replicas, true)
	h.life.Fire(h.now, "doubt")
	for _, e := range slices.Clone(h.active) {
		if e.life.In("undispatched") {
			h.giveUp(e, outcome.ReasonNotHome)
		}
	}
}

func (h *Home) include(addresses []string) {
	for _, a := range addresses {
		h.auth.include(a)
	}
}

func (h *Home) list(in Listed) {
	h.include(in.Candidates)
	listed := make(map[string]bool, len(in.Addresses))
	for _, a := range in.Addresses {
		listed[a] = true
	}
	h.auth.listed(h.now, listed)
}

// progress asks the processes that have not confirmed yet, and looks again at
// the keys that wait for others.
func (h *Home) progress() {
	e := h.auth.current()
	if e == nil || !h.life.In("member") {
		return
	}
	h.ask(e)
	if e.complete() {
		h.life.Fire(h.now, "gathered")
	} else {
		h.life.Fire(h.now, "missing")
	}
	for _, k := range slices.Clone(h.active) {
		if k.life.In("resolving") {
			h.pursue(k)
		}
	}
}

func (h *Home) ask(e *epoch) {
	for _, r := range e.ordered() {
		g := e.grants[r]
		if g.given || !g.asked.IsZero() && h.now.Sub(g.asked) < resendAfter {
			continue
		}
		g.asked = h.now
		h.send(r, &message.Release{
			Service: h.id.Service, Server: h.id.Self.ID, Address: h.id.Self.Address,
			Record: h.record, Replicas: e.hash, Ask: e.ask,
			Incarnation: h.id.Incarnation,
		})
	}
}

// release answers another process that asks for its keys. A process that the
// record does not name runs no key before it has asked in turn, so it agrees in
// any case; one that it names agrees only to the same replicas.
func (h *Home) release(from Party, m *message.Release) {
	h.auth.learn(m.Address)
	h.auth.heard(m.Address, m.Incarnation)
	e := h.auth.current()
	same := e != nil && e.hash == m.Replicas
	granted := same || !h.life.In("member")
	if granted {
		h.auth.confirm(m.Address)
	}
	h.reply(from, &message.Released{
		Service: h.id.Service, Server: h.id.Self.ID, Address: h.id.Self.Address,
		Incarnation: h.id.Incarnation, Record: h.record, Ask: m.Ask,
		Granted: granted,
		FloorMS: h.floor.UnixMilli() + 1,
		Clean:   h.clean(m.Address, same),
		Known:   slices.Clone(h.auth.known),
	})
}

// clean reports whether the table holds no key of the asking process.
func (h *Home) clean(address string, same bool) bool {
	for key := range h.keys {
		if !same {
			return false
		}
		if home, ok := HomeOf(key, h.auth.current().replicas); ok && home.Address == address {
			return false
		}
	}
	return true
}

func (h *Home) released(m *message.Released) {
	h.include(m.Known)
	if !m.Granted {
		return
	}
	h.auth.heard(m.Address, m.Incarnation)
	from := h.wall().Add(Skew)
	switch floor := time.UnixMilli(m.FloorMS); {
	case m.Clean && h.auth.remembers(m.Address, m.Incarnation):
		from = time.Time{}
	case m.Clean && floor.Before(from):
		from = floor
	}
	h.auth.granted(m.Address, m.Ask, from)
}

// firstUse returns a time before which the key was certainly not used. A reason
// is set if there is none that this incarnation can rely on.
func (h *Home) firstUse(key ident.IdempotencyKey) (time.Time, outcome.Reason) {
	wall, started := h.wall(), h.id.Incarnation.Started()
	used, dated := Created(key)
	if dated && used.After(wall.Add(Skew)) {
		return used, outcome.ReasonKeyFuture
	}
	if !h.validFrom.IsZero() && started.Before(h.validFrom) && !h.validFrom.After(wall) {
		used = later(used, h.validFrom.Add(Skew))
	}
	if !dated && wall.Sub(started) >= h.window {
		used = later(used, wall.Add(Skew-h.window))
	}
	if used.Before(h.floor) {
		return used, outcome.ReasonKeyTooOld
	}
	return used, outcome.ReasonNone
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wall is the wall-clock time without the monotonic reading, for comparison
// with times from other processes.
func (h *Home) wall() time.Time { return h.now.Round(0) }

// elapsed is the greater of the monotonic and the wall-clock difference. The
// monotonic clock stands still while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func (h *Home) reply(to Party, m message.Message) { h.out = append(h.out, Reply{To: to, Message: m}) }

func (h *Home) send(to string, m message.Message) { h.out = append(h.out, Ask{To: to, Message: m}) }
