// Package membership decides what a process believes of the others. A peer is
// suspected after three missed heartbeats; the suspicion spreads, and the peer
// is declared dead once a second process confirms it and none refutes it. A
// fresh heartbeat or a later incarnation refutes. With a partial or one-way cut
// some process still hears the peer, so it stays suspected where the cut is and
// alive elsewhere.
package membership

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// missedLimit is the number of missed heartbeats after which a peer is suspected.
const missedLimit = 3

// quorum is the number of processes that must have missed a peer before it is
// declared dead.
const quorum = 2

// Config holds the constants of one process.
type Config struct {
	Self        ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Address     string
	Incarnation ident.Incarnation
	// Interval is the time between heartbeats.
	Interval time.Duration
	// ConfirmTime is how long a suspicion waits for other processes.
	ConfirmTime time.Duration
	// OpinionTime is how long the opinion of another process counts.
	OpinionTime time.Duration
}

// Defaults returns the constants of the design page for a process.
func Defaults(self ident.InstanceID, role message.Role, domain ident.FailureDomain, incarnation ident.Incarnation) Config {
	return Config{
		Self: self, Role: role, Domain: domain, Incarnation: incarnation,
		Interval: time.Second, ConfirmTime: 2 * time.Second, OpinionTime: 6 * time.Second,
	}
}

// Message is an input of Step.
type Message interface{ membershipMessage() }

// Alive reports a heartbeat on a link whose Hello was Heard before.
type Alive struct{ Peer ident.InstanceID }

// Heard reports the Hello of a new link.
type Heard struct {
	Peer        ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Address     string
	Incarnation ident.Incarnation
}

// Unlinked reports that this process closed the link on purpose.
type Unlinked struct{ Peer ident.InstanceID }

// Listed is one read of the instance list. It holds the live instances only.
type Listed struct{ Members []message.Member }

// Received is a Members message from a peer.
type Received struct {
	From    ident.InstanceID
	Members []message.Member
}

// Tick lets time pass.
type Tick struct{}

func (Alive) membershipMessage()    {}
func (Heard) membershipMessage()    {}
func (Unlinked) membershipMessage() {}
func (Listed) membershipMessage()   {}
func (Received) membershipMessage() {}
func (Tick) membershipMessage()     {}

// Action is an output of Step.
type Action interface{ membershipAction() }

// Send passes opinions to one linked entry.
type Send struct {
	To      ident.InstanceID
	Members []message.Member
}

// Changed reports a new belief about a peer.
type Changed struct {
	Peer       ident.InstanceID
	Role       message.Role
	Domain     ident.FailureDomain
	Transition chart.Transition
}

func (Send) membershipAction()    {}
func (Changed) membershipAction() {}

// Membership holds the beliefs of one process. One task owns it.
type Membership struct {
	config   Config
	machine  *chart.Machine[*peer]
	peers    map[ident.InstanceID]*peer
	now      time.Time
	sequence uint64
	// refuted is when this process last refuted a suspicion of itself.
	refuted  time.Time
	actions  []Action
	outgoing map[ident.InstanceID][]message.Member
}

// New returns a membership that knows only the process itself.
func New(config Config) *Membership {
	return &Membership{
		config:   config,
		machine:  chart.MustBind(charts.Must("peer"), peerBinding()),
		peers:    make(map[ident.InstanceID]*peer),
		outgoing: make(map[ident.InstanceID][]message.Member),
	}
}

// Step takes one message in and returns what to do.
func (m *Membership) Step(now time.Time, in Message) []Action {
	m.now = now
	m.actions = nil
	switch in := in.(type) {
	case Heard:
		m.heard(in)
	case Alive:
		if p := m.peers[in.Peer]; p != nil {
			p.evidence = false
			p.belief.Fire(now, "heard")
		}
	case Unlinked:
		if p := m.peers[in.Peer]; p != nil {
			p.belief.Fire(now, "unlinked")
		}
	case Listed:
		m.listed(in.Members)
	case Received:
		for _, member := range in.Members {
			m.received(in.From, member)
		}
	case Tick:
		m.tick()
	}
	m.flush()
	return m.actions
}

// tick fires the timers that are due, in a fixed order.
func (m *Membership) tick() {
	due := make(map[ident.InstanceID]*peer)
	for id, p := range m.peers {
		if at, ok := p.belief.Deadline(); ok && !at.After(m.now) {
			due[id] = p
		}
	}
	for _, id := range sortedIDs(due) {
		due[id].belief.Tick(m.now)
	}
}

// Deadline returns the time of the earliest running timer.
func (m *Membership) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	for _, p := range m.peers {
		if at, ok := p.belief.Deadline(); ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

func (m *Membership) act(a Action) { m.actions = append(m.actions, a) }

// nextSequence grows with every opinion and with every restart.
func (m *Membership) nextSequence() uint64 {
	m.sequence = max(m.sequence+1, uint64(m.now.UnixMicro()))
	return m.sequence
}

func (m *Membership) peer(id ident.InstanceID, role message.Role, domain ident.FailureDomain) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{owner: m, id: id, role: role, domain: domain, opinions: make(map[ident.InstanceID]opinion)}
		m.peers[id] = p
		p.belief = m.machine.New(m.now, p)
	}
	return p
}

func (m *Membership) heard(in Heard) {
	if in.Peer == m.config.Self {
		return
	}
	p := m.peer(in.Peer, in.Role, in.Domain)
	if in.Incarnation < p.incarnation {
		return
	}
	p.incarnation, p.domain, p.role = in.Incarnation, in.Domain, in.Role
	if in.Address != "" {
		p.address = in.Address
	}
	p.evidence = false
	p.belief.Fire(m.now, "heard")
}

// listed adds new instances. An instance that the list no longer shows has
// left, unless its heartbeats still arrive, since the list lags.
func (m *Membership) listed(members []message.Member) {
	shown := make(map[ident.InstanceID]bool, len(members))
	for _, member := range members {
		if member.Instance == m.config.Self {
			continue
		}
		shown[member.Instance] = true
		p := m.peer(member.Instance, member.Role, member.Domain)
		p.onList, p.address = true, member.Address
	}
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		if shown[id] || p.belief.In("linked") || !(p.onList || p.belief.In("dead")) {
			continue
		}
		p.belief.Fire(m.now, "left")
		delete(m.peers, id)
	}
}

// received takes in one opinion and passes it on if it is new.
func (m *Membership) received(from ident.InstanceID, member message.Member) {
	if member.Observer == m.config.Self {
		return
	}
	if member.Instance == m.config.Self {
		m.refute(member)
		return
	}
	p := m.peer(member.Instance, member.Role, member.Domain)
	if old, ok := p.opinions[member.Observer]; ok && old.sequence >= member.Sequence {
		return
	}
	p.opinions[member.Observer] = opinion{
		state: member.State, incarnation: member.Incarnation, sequence: member.Sequence, at: m.now,
	}
	m.spread(from, member)
	if member.Incarnation < p.incarnation {
		return
	}
	m.weigh(p, member)
}

func (m *Membership) weigh(p *peer, member message.Member) {
	switch {
	case member.Incarnation > p.incarnation:
		p.incarnation, p.evidence = member.Incarnation, false
		if member.Address != "" {
			p.address = member.Address
		}
		p.belief.Fire(m.now, "vouched")
	case member.State == message.MemberAlive:
		p.belief.Fire(m.now, "vouched")
	case p.belief.In("linked"):
		p.vouch()
	default:
		p.belief.Fire(m.now, "reported")
	}
}

// refute answers a suspicion of this process itself.
func (m *Membership) refute(member message.Member) {
	if member.State == message.MemberAlive || member.Incarnation > m.config.Incarnation {
		return
	}
	if m.now.Sub(m.refuted) < m.config.Interval {
		return
	}
	m.refuted = m.now
	own := message.Member{
		Instance: m.config.Self, Role: m.config.Role, Domain: m.config.Domain, Address: m.config.Address,
		Incarnation: m.config.Incarnation, State: message.MemberAlive, Observer: m.config.Self, Sequence: m.nextSequence(),
	}
	m.spread("", own)
}

// spread queues an opinion for every linked entry but the one it came from.
func (m *Membership) spread(from ident.InstanceID, member message.Member) {
	for id, p := range m.peers {
		if id == from || id == member.Observer || p.role != message.RoleEntry || !p.belief.In("linked") {
			continue
		}
		m.outgoing[id] = append(m.outgoing[id], member)
	}
}

func (m *Membership) flush() {
	for _, id := range sortedIDs(m.outgoing) {
		m.act(Send{To: id, Members: m.outgoing[id]})
		delete(m.outgoing, id)
	}
}
