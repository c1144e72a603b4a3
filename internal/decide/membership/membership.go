// Package membership is the failure detector of a process. A peer is suspected
// after three missed heartbeats. Entries forward the suspicion to each other, and
// the peer is declared dead once a second process has missed it too and none
// reports it alive. A new heartbeat or a later incarnation refutes the suspicion.
// During a partial or one-way partition some process still receives the peer's
// heartbeats, so the peer stays suspected where the link is cut and alive elsewhere.
package membership

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// maxMissedHeartbeats is the number of missed heartbeats after which a peer is
// suspected.
const maxMissedHeartbeats = 3

// quorum is the number of processes that must have missed a peer before it is
// declared dead.
const quorum = 2

// Config holds the identity of one process and its timing.
type Config struct {
	Self        ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Address     string
	Incarnation ident.Incarnation
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// ConfirmTimeout is how long a process that suspects a peer waits for the reports of
	// others before it decides or asks again.
	ConfirmTimeout time.Duration
	// ReportTTL is how long a report from another process counts.
	ReportTTL time.Duration
}

// DefaultConfig returns the configuration of a process with the default timing.
func DefaultConfig(self ident.InstanceID, role message.Role, domain ident.FailureDomain, incarnation ident.Incarnation) Config {
	return Config{
		Self: self, Role: role, Domain: domain, Incarnation: incarnation,
		HeartbeatInterval: time.Second, ConfirmTimeout: 2 * time.Second, ReportTTL: 6 * time.Second,
	}
}

// Message is an input of Step.
type Message interface{ membershipMessage() }

// Heartbeat reports a heartbeat on a link whose Hello was reported before.
type Heartbeat struct{ Peer ident.InstanceID }

// LinkUp reports the Hello of a new link.
type LinkUp struct {
	Peer        ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Address     string
	Incarnation ident.Incarnation
}

// LinkClosed reports that this process closed the link on purpose.
type LinkClosed struct{ Peer ident.InstanceID }

// InstanceList is the result of one read of the instance list, live instances only.
type InstanceList struct{ Members []message.Member }

// MembersReceived is a Members message from a peer.
type MembersReceived struct {
	From    ident.InstanceID
	Members []message.Member
}

// Tick runs the timers that are due.
type Tick struct{}

func (Heartbeat) membershipMessage()       {}
func (LinkUp) membershipMessage()          {}
func (LinkClosed) membershipMessage()      {}
func (InstanceList) membershipMessage()    {}
func (MembersReceived) membershipMessage() {}
func (Tick) membershipMessage()            {}

// Action is an output of Step.
type Action interface{ membershipAction() }

// SendMembers sends reports to one linked entry.
type SendMembers struct {
	To      ident.InstanceID
	Members []message.Member
}

// StateChanged reports that the state of a peer changed.
type StateChanged struct {
	Peer       ident.InstanceID
	Role       message.Role
	Domain     ident.FailureDomain
	Transition chart.Transition
}

func (SendMembers) membershipAction()  {}
func (StateChanged) membershipAction() {}

// Membership holds the state of all peers as one process sees them. One task owns it.
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

// New returns a membership without peers.
func New(config Config) *Membership {
	return &Membership{
		config:   config,
		machine:  chart.MustBind(charts.Must("peer"), peerBinding()),
		peers:    make(map[ident.InstanceID]*peer),
		outgoing: make(map[ident.InstanceID][]message.Member),
	}
}

// Step handles one message and returns the actions to carry out.
func (m *Membership) Step(now time.Time, in Message) []Action {
	m.now = now
	m.actions = nil
	switch in := in.(type) {
	case LinkUp:
		m.heard(in)
	case Heartbeat:
		if p := m.peers[in.Peer]; p != nil {
			p.missed = false
			p.lifecycle.Fire(now, "heard")
		}
	case LinkClosed:
		if p := m.peers[in.Peer]; p != nil {
			p.lifecycle.Fire(now, "unlinked")
		}
	case InstanceList:
		m.listed(in.Members)
	case MembersReceived:
		for _, member := range in.Members {
			m.received(in.From, member)
		}
	case Tick:
		m.tick()
	}
	m.flush()
	return m.actions
}

// tick fires the timers that are due, in the order of the peers' ids.
func (m *Membership) tick() {
	due := make(map[ident.InstanceID]*peer)
	for id, p := range m.peers {
		if at, ok := p.lifecycle.Deadline(); ok && !at.After(m.now) {
			due[id] = p
		}
	}
	for _, id := range sortedIDs(due) {
		due[id].lifecycle.Tick(m.now)
	}
}

// Deadline returns the time of the earliest running timer.
func (m *Membership) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	for _, p := range m.peers {
		if at, ok := p.lifecycle.Deadline(); ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// emit appends an action to the result of Step.
func (m *Membership) emit(a Action) { m.actions = append(m.actions, a) }

// nextSequence returns the sequence number of the next report. It increases across
// restarts too, since it is at least the time in microseconds.
func (m *Membership) nextSequence() uint64 {
	m.sequence = max(m.sequence+1, uint64(m.now.UnixMicro()))
	return m.sequence
}

// peer returns the known peer with this id, or adds one.
func (m *Membership) peer(id ident.InstanceID, role message.Role, domain ident.FailureDomain) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{owner: m, id: id, role: role, domain: domain, reports: make(map[ident.InstanceID]report)}
		m.peers[id] = p
		p.lifecycle = m.machine.New(m.now, p)
	}
	return p
}

// heard handles the Hello of a new link, unless it is of an earlier incarnation.
func (m *Membership) heard(in LinkUp) {
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
	p.missed = false
	p.lifecycle.Fire(m.now, "heard")
}

// listed adds the listed instances. An instance that is no longer listed has left,
// unless its heartbeats still arrive, since the list lags.
func (m *Membership) listed(members []message.Member) {
	shown := make(map[ident.InstanceID]bool, len(members))
	for _, member := range members {
		if member.Instance == m.config.Self {
			continue
		}
		shown[member.Instance] = true
		p := m.peer(member.Instance, member.Role, member.Domain)
		p.listed, p.address = true, member.Address
	}
	for _, id := range m.sortedPeers() {
		p := m.peers[id]
		if shown[id] || p.lifecycle.In("linked") || !(p.listed || p.lifecycle.In("dead")) {
			continue
		}
		p.lifecycle.Fire(m.now, "left")
		delete(m.peers, id)
	}
}

// received handles one report and forwards it if it is new.
func (m *Membership) received(from ident.InstanceID, member message.Member) {
	if member.Observer == m.config.Self {
		return
	}
	if member.Instance == m.config.Self {
		m.refuteOwn(member)
		return
	}
	p := m.peer(member.Instance, member.Role, member.Domain)
	if old, ok := p.reports[member.Observer]; ok && old.sequence >= member.Sequence {
		return
	}
	p.reports[member.Observer] = report{
		state: member.State, incarnation: member.Incarnation, sequence: member.Sequence, at: m.now,
	}
	m.queueReport(from, member)
	if member.Incarnation < p.incarnation {
		return
	}
	m.applyReport(p, member)
}

// applyReport updates the state of a peer from a new report.
func (m *Membership) applyReport(p *peer, member message.Member) {
	switch {
	case member.Incarnation > p.incarnation:
		p.incarnation, p.missed = member.Incarnation, false
		if member.Address != "" {
			p.address = member.Address
		}
		p.lifecycle.Fire(m.now, "vouched")
	case member.State == message.MemberAlive:
		p.lifecycle.Fire(m.now, "vouched")
	case p.lifecycle.In("linked"):
		p.refute()
	default:
		p.lifecycle.Fire(m.now, "reported")
	}
}

// refuteOwn refutes a suspicion of this process, at most once per heartbeat interval.
func (m *Membership) refuteOwn(member message.Member) {
	if member.State == message.MemberAlive || member.Incarnation > m.config.Incarnation {
		return
	}
	if m.now.Sub(m.refuted) < m.config.HeartbeatInterval {
		return
	}
	m.refuted = m.now
	own := message.Member{
		Instance: m.config.Self, Role: m.config.Role, Domain: m.config.Domain, Address: m.config.Address,
		Incarnation: m.config.Incarnation, State: message.MemberAlive, Observer: m.config.Self, Sequence: m.nextSequence(),
	}
	m.queueReport("", own)
}

// queueReport queues a report for every linked entry except its sender and its
// observer.
func (m *Membership) queueReport(from ident.InstanceID, member message.Member) {
	for id, p := range m.peers {
		if id == from || id == member.Observer || p.role != message.RoleEntry || !p.lifecycle.In("linked") {
			continue
		}
		m.outgoing[id] = append(m.outgoing[id], member)
	}
}

// flush emits the queued reports, one message per entry.
func (m *Membership) flush() {
	for _, id := range sortedIDs(m.outgoing) {
		m.emit(SendMembers{To: id, Members: m.outgoing[id]})
		delete(m.outgoing, id)
	}
}
