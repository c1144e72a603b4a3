// Package expertmap decides, for one rank of an expert-parallel group, how the
// group agrees on its expert map. Step takes a message and returns actions; the
// package has no clock, no network and no engine of its own.
//
// All ranks promise before any rank switches (two-phase commit with cooperative
// termination, Skeen 1981). A promise is kept by the engine, which stops before
// the switch step until it is released. A change of membership, that is a new
// incarnation of a sidecar or of an engine, re-forms the group: every rank
// stops and reports, as in the first phase of Paxos (Lamport 1998), and the map
// of the highest epoch that any engine runs is proposed under a greater epoch.
package expertmap

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Config describes one rank. All fields but Settle are required.
type Config struct {
	Rank        ident.Rank
	Ranks       int
	Incarnation ident.Incarnation
	// Initial is the map of a group that never ran, equal on all ranks.
	Initial *Map
	// ChecksFencing says that the engine refuses orders with an old token. The
	// state of an engine that does not is read back before each release.
	ChecksFencing bool
	// Settle is how long an order of a predecessor may still take effect.
	Settle time.Duration
	// Beat is the interval of the leader's beats.
	Beat time.Duration
	// Retry is the interval at which unanswered messages are sent again.
	Retry time.Duration
	// ExchangeTimeout bounds one exchange of messages, LoadTimeout the loading of a map.
	ExchangeTimeout time.Duration
	LoadTimeout     time.Duration
	// Takeover is how long rank 1 waits for a leader; rank n waits n times as long,
	// up to eight times. Rank 0 leads at once.
	Takeover time.Duration
	// Margin is the number of steps between the order to arm and the switch step.
	Margin uint64
}

// Rank decides for one rank. One task owns it.
type Rank struct {
	config    Config
	now       time.Time
	formation *chart.Instance[*Rank]
	change    *chart.Instance[*Rank]
	leader    *chart.Instance[*Rank]
	actions   []Action
	local     []Wire
	incoming  Wire
	// proposed is the change that Propose asks for.
	proposed []Change

	// floor is the greatest epoch below which, and at which, the rank gives no
	// new promise.
	floor Epoch
	// seen is the greatest epoch in any message, so that a new one is greater.
	seen   Epoch
	view   view
	engine engine
	peers  []peer
	join   proposal
	next   proposal
	// committed lists the epochs of switches that the rank adopted in this view.
	committed map[Epoch]bool
	// promises are the ranks known to have promised next, for a rank in doubt.
	promises map[ident.Rank]bool
	lead     leading
}

// view is a formation: the ranks' incarnations under an epoch.
type view struct {
	epoch   Epoch
	members []ident.Incarnation
}

// peer is what the rank knows of another rank.
type peer struct {
	incarnation ident.Incarnation
	heard       time.Time
	view        Epoch
	pending     Epoch
	compute     uint32
}

// proposal is a map under an epoch, of a formation or a switch.
type proposal struct {
	epoch   Epoch
	from    ident.Rank
	step    uint64
	content *Map
	hash    uint64
	members []ident.Incarnation
}

// New returns a rank that has read nothing from its engine yet.
func New(now time.Time, c Config) *Rank {
	r := &Rank{config: c, now: now, peers: make([]peer, c.Ranks), committed: make(map[Epoch]bool)}
	m := bind()
	r.formation = m.formation.New(now, r)
	r.change = m.change.New(now, r)
	r.leader = m.leader.New(now, r)
	return r
}

// Step takes one message and returns what to do, in order.
func (r *Rank) Step(now time.Time, m Message) []Action {
	r.now = now
	r.actions = nil
	switch m := m.(type) {
	case Tick:
	case Wire:
		r.receive(m)
	case EngineState:
		r.observe(m)
	case OrderReply:
		r.reply(m)
	case Propose:
		r.proposed = m.Changes
		r.leader.Fire(now, "change")
	}
	r.formation.Tick(now)
	r.change.Tick(now)
	r.leader.Tick(now)
	for len(r.local) > 0 {
		w := r.local[0]
		r.local = r.local[1:]
		r.receive(w)
	}
	r.issue()
	return r.actions
}

// Deadline returns when Step wants a Tick at the latest.
func (r *Rank) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	for _, i := range []*chart.Instance[*Rank]{r.formation, r.change, r.leader} {
		if at, ok := i.Deadline(); ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// State returns the innermost states of the formation and of the switch.
func (r *Rank) State() (formation, change string) {
	return r.formation.State(), r.change.State()
}

// Formed reports whether the rank belongs to a formation that runs.
func (r *Rank) Formed() bool { return r.formation.In("formed") }

// Leads reports whether the rank leads the formation and can start a switch.
func (r *Rank) Leads() bool { return r.leader.In("watching") && r.leadsView() }

// Map returns the epoch and the content of the map that the rank adopted last.
func (r *Rank) Map() (Epoch, *Map) { return r.engine.epoch, r.engine.content }

// ComputeMicros returns each rank's own time for an expert's work, zero if unknown.
func (r *Rank) ComputeMicros() []uint32 {
	times := make([]uint32, len(r.peers))
	for i, p := range r.peers {
		times[i] = p.compute
	}
	times[r.config.Rank] = r.engine.state.ComputeMicros
	return times
}

func (r *Rank) notice(name NoticeName, epoch Epoch, detail string) {
	r.actions = append(r.actions, Notice{Name: name, Epoch: epoch, Detail: detail})
}

// send fills in the sender and sends to a rank, which may be the rank itself.
func (r *Rank) send(to ident.Rank, w Wire) {
	w.From, w.Incarnation = r.config.Rank, r.config.Incarnation
	if to == r.config.Rank {
		r.local = append(r.local, w)
		return
	}
	// A beat reaches a new incarnation that this rank has not heard from yet.
	if w.Kind != Beat {
		w.Addressee = r.peers[to].incarnation
	}
	r.actions = append(r.actions, Send{To: to, Wire: w})
}

func (r *Rank) toAll(w Wire) {
	for to := range r.peers {
		r.send(ident.Rank(to), w)
	}
}

func (r *Rank) raiseFloor(e Epoch) {
	r.floor = max(r.floor, e)
	r.seen = max(r.seen, e)
}
