// Package expertmap implements the protocol by which the ranks of an
// expert-parallel group agree on the group's expert map, seen from one rank. Step
// takes a message and returns actions; the package has no clock, no network and no
// engine of its own.
//
// A step is one forward pass of the group. A switch replaces the map from an agreed
// step on, the switch step. All ranks promise a switch before any rank switches
// (two-phase commit with cooperative termination, Skeen 1981). The engine enforces the
// promise: it stops before the switch step until it is released. A change of
// membership, that is a new incarnation of a sidecar or of an engine, re-forms the
// group: every rank stops its engine and reports, as in the first phase of Paxos
// (Lamport 1998), and the map of the highest epoch that any engine runs is proposed
// under a greater epoch.
package expertmap

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Config describes one rank. All fields but the settle time are required.
type Config struct {
	Rank        ident.Rank
	Ranks       int
	Incarnation ident.Incarnation
	// Initial is the map of a group that has never run, equal on all ranks.
	Initial *Map
	// ChecksFencing is true if the engine refuses orders with an old fencing token. The
	// state of an engine that does not is read before each release.
	ChecksFencing bool
	// SettleTime is how long an order of an earlier incarnation may still take
	// effect. A new rank waits for it before it joins a formation.
	SettleTime time.Duration
	// HeartbeatInterval is the interval of the leader's heartbeats.
	HeartbeatInterval time.Duration
	// RetryInterval is the interval at which unanswered messages are resent.
	RetryInterval time.Duration
	// ExchangeTimeout bounds one exchange of messages, and LoadTimeout the loading of a
	// map.
	ExchangeTimeout time.Duration
	LoadTimeout     time.Duration
	// TakeoverTimeout is how long rank 1 waits for a leader before it leads itself;
	// rank n waits n times as long, up to eight times. Rank 0 waits only for one retry
	// interval.
	TakeoverTimeout time.Duration
	// StepsAhead is the number of steps between the order to arm and the switch step.
	StepsAhead uint64
}

// Rank is the state of the protocol at one rank. One task owns it.
type Rank struct {
	config Config
	now    time.Time
	// formation, mapSwitch and leader are the lifecycles of the rank's formation, of its
	// current switch and of its leadership.
	formation *chart.Lifecycle[*Rank]
	mapSwitch *chart.Lifecycle[*Rank]
	leader    *chart.Lifecycle[*Rank]
	actions   []Action
	// selfMessages are messages from this rank to itself.
	selfMessages []PeerMessage
	// incoming is the message being handled.
	incoming PeerMessage
	// proposed are the changes of the last Propose.
	proposed []Change

	// floor is the epoch up to which the rank gives no new promises; it promises only
	// greater epochs.
	floor Epoch
	// highestSeen is the greatest epoch in any message; a new epoch must be greater.
	highestSeen Epoch
	// view is the formation that the rank entered last.
	view   view
	engine engine
	peers  []peer
	// joining is the proposal of the formation that the rank takes part in, and switching
	// that of the last switch.
	joining   proposal
	switching proposal
	// committed holds the epochs of the switches that the rank adopted in this view.
	committed map[Epoch]bool
	// promises are the ranks known to have promised the switch. If all have, a rank that
	// did not hear the decision can commit.
	promises   map[ident.Rank]bool
	leadership leadership
}

// view is a committed formation: its epoch and the incarnation of each rank.
type view struct {
	epoch   Epoch
	members []ident.Incarnation
}

// peer is what the rank knows about another rank.
type peer struct {
	incarnation ident.Incarnation
	// heardAt is when the last status arrived.
	heardAt       time.Time
	view          Epoch
	pending       Epoch
	computeMicros uint32
}

// proposal is a map proposed under an epoch, for a formation or a switch.
type proposal struct {
	epoch     Epoch
	from      ident.Rank
	step      uint64
	expertMap *Map
	hash      uint64
	members   []ident.Incarnation
}

// New returns a rank that has not observed its engine yet.
func New(now time.Time, c Config) *Rank {
	r := &Rank{config: c, now: now, peers: make([]peer, c.Ranks), committed: make(map[Epoch]bool)}
	m := bindCharts()
	r.formation = m.formation.New(now, r)
	r.mapSwitch = m.mapSwitch.New(now, r)
	r.leader = m.leader.New(now, r)
	return r
}

// Step takes one message and returns what to do, in order.
func (r *Rank) Step(now time.Time, m Message) []Action {
	r.now = now
	r.actions = nil
	switch m := m.(type) {
	case Tick:
	case PeerMessage:
		r.receive(m)
	case EngineState:
		r.observe(m)
	case OrderReply:
		r.handleReply(m)
	case Propose:
		r.proposed = m.Changes
		r.leader.Fire(now, "propose")
	}
	r.formation.Tick(now)
	r.mapSwitch.Tick(now)
	r.leader.Tick(now)
	for len(r.selfMessages) > 0 {
		w := r.selfMessages[0]
		r.selfMessages = r.selfMessages[1:]
		r.receive(w)
	}
	r.sendNextOrder()
	return r.actions
}

// Deadline returns the time by which Step must be called with a Tick.
func (r *Rank) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	for _, i := range []*chart.Lifecycle[*Rank]{r.formation, r.mapSwitch, r.leader} {
		if at, ok := i.Deadline(); ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// State returns the innermost states of the formation and of the switch.
func (r *Rank) State() (formation, mapSwitch string) {
	return r.formation.State(), r.mapSwitch.State()
}

// Formed reports whether the rank is a member of a running formation.
func (r *Rank) Formed() bool { return r.formation.In("formed") }

// Leads reports whether the rank leads its formation and has no exchange in progress.
func (r *Rank) Leads() bool { return r.leader.In("watching") && r.leadsView() }

// Map returns the epoch and the content of the map that the rank adopted last.
func (r *Rank) Map() (Epoch, *Map) { return r.engine.epoch, r.engine.expertMap }

// ComputeMicros returns each rank's compute time for an expert's work in microseconds,
// zero if unknown.
func (r *Rank) ComputeMicros() []uint32 {
	times := make([]uint32, len(r.peers))
	for i, p := range r.peers {
		times[i] = p.computeMicros
	}
	times[r.config.Rank] = r.engine.state.ComputeMicros
	return times
}

func (r *Rank) notice(name NoticeName, epoch Epoch, detail string) {
	r.actions = append(r.actions, Notice{Name: name, Epoch: epoch, Detail: detail})
}

// send fills in the sender and sends the message to a rank, which may be this one.
func (r *Rank) send(to ident.Rank, w PeerMessage) {
	w.From, w.Incarnation = r.config.Rank, r.config.Incarnation
	if to == r.config.Rank {
		r.selfMessages = append(r.selfMessages, w)
		return
	}
	// A heartbeat has no addressee, so that it also reaches a new incarnation that this
	// rank has not heard from.
	if w.Kind != Heartbeat {
		w.Addressee = r.peers[to].incarnation
	}
	r.actions = append(r.actions, Send{To: to, Message: w})
}

func (r *Rank) broadcast(w PeerMessage) {
	for to := range r.peers {
		r.send(ident.Rank(to), w)
	}
}

func (r *Rank) raiseFloor(e Epoch) {
	r.floor = max(r.floor, e)
	r.highestSeen = max(r.highestSeen, e)
}
