// Package control joins the decisions that a process takes about the others:
// spread (the configuration record), membership, and at a sidecar the orders to
// its engine. It is pure like they are; the tasks of entry and sidecar carry
// out what it returns, and the measurements run the same code in virtual time.
package control

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/spread"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// History keeps values and turns them into pushes.
type History interface {
	Add(digest message.Digest, value []byte)
	Push(base message.Digest) (message.RecordPush, error)
	Open(push *message.RecordPush) ([]byte, error)
}

// Config describes one process.
type Config struct {
	Seed       int64
	Membership membership.Config
	Spread     spread.Config
	// Server is the backend server beside a sidecar, and Orders its constants.
	// An entry, and a sidecar beside a plain service, send no orders.
	Server ident.ServerID
	Orders *orders.Config
	// Parse reads a value; the default is record.Parse.
	Parse   func(file string, value []byte) (*record.Snapshot, jsonc.Faults)
	History History
}

// Node is the control state of one process. One task owns it.
type Node struct {
	config   Config
	members  *membership.Membership
	spread   *spread.Spread
	orders   *orders.Reconciler
	snapshot *record.Snapshot
	// candidate is the snapshot that Spread is asked about, with its value.
	candidate *record.Snapshot
	value     []byte
	now       time.Time
	out       []Out
}

// New returns a process that knows nothing.
func New(now time.Time, config Config) *Node {
	if config.Parse == nil {
		config.Parse = record.Parse
	}
	if config.History == nil {
		config.History = record.NewHistory()
	}
	n := &Node{
		config:  config,
		members: membership.New(config.Membership),
		spread:  spread.New(now, config.Seed, config.Spread),
	}
	if config.Orders != nil {
		n.orders = orders.New(now, config.Seed, *config.Orders)
	}
	return n
}

// Step takes one input in and returns what to do.
func (n *Node) Step(now time.Time, in In) []Out {
	n.now = now
	n.out = nil
	switch in := in.(type) {
	case LinkUp:
		n.linkUp(in.Hello)
	case LinkDown:
		n.stepSpread(spread.LinkDown{Peer: in.Peer})
		if in.OnPurpose {
			n.stepMembers(membership.LinkClosed{Peer: in.Peer})
		}
	case Frame:
		n.frame(in)
	case Value:
		n.read(in)
	case NoValue:
		n.stepSpread(spread.ReadDone{Number: in.Number, Result: in.Result, StoreRevision: in.StoreRevision})
	case Instances:
		n.stepSpread(spread.InstanceCount{Instances: in.Total})
		n.stepMembers(membership.InstanceList{Members: in.Members})
		n.stepSpread(spread.AliveEntries{Entries: n.members.AliveInDomain()})
	case Engine:
		n.stepOrders(in.Message)
	case Tick:
		n.tick()
	}
	return n.out
}

func (n *Node) tick() {
	n.stepMembers(membership.Tick{})
	n.stepSpread(spread.Tick{})
	n.stepOrders(orders.Connectivity{Connected: !n.members.Isolated()})
	n.stepOrders(orders.Tick{})
}

// Deadline returns the time of the earliest running timer.
func (n *Node) Deadline() (time.Time, bool) {
	first, found := n.members.Deadline()
	take := func(at time.Time, ok bool) {
		if ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	take(n.spread.Deadline())
	if n.orders != nil {
		take(n.orders.Deadline())
	}
	return first, found
}

// Snapshot returns the record in force, or nil without one.
func (n *Node) Snapshot() *record.Snapshot { return n.snapshot }

// Digest returns the digest of the record in force, or zero without one.
func (n *Node) Digest() message.Digest { return n.spread.InForce() }

// Members returns the beliefs about other processes, for reading only.
func (n *Node) Members() *membership.Membership { return n.members }

// Spread returns the knowledge of records, for reading only.
func (n *Node) Spread() *spread.Spread { return n.spread }

// Orders returns the orders to the engine, for reading only, or nil.
func (n *Node) Orders() *orders.Reconciler { return n.orders }

func (n *Node) emit(o Out) { n.out = append(n.out, o) }

func (n *Node) linkUp(h message.Hello) {
	// Sidecars do not watch each other; links between them may be quiet for long.
	if n.config.Membership.Role == message.RoleEntry || h.Role == message.RoleEntry {
		n.heard(h)
	}
	n.stepSpread(spread.LinkUp{Peer: h.Instance, Record: h.Record, Sidecar: h.Role == message.RoleSidecar})
}

func (n *Node) heard(h message.Hello) {
	n.stepMembers(membership.LinkUp{
		Peer: h.Instance, Role: h.Role, Domain: h.Domain, Incarnation: h.Incarnation,
	})
}

func (n *Node) frame(in Frame) {
	switch m := in.Message.(type) {
	case *message.Heartbeat:
		n.stepMembers(membership.Heartbeat{Peer: in.From})
		n.stepSpread(spread.PeerDigest{Peer: in.From, Record: m.Record})
	case *message.RecordDigest:
		n.stepSpread(spread.PeerDigest{Peer: in.From, Record: m.Record})
	case *message.RecordPull:
		n.stepSpread(spread.PeerPull{Peer: in.From, Have: m.Have})
	case *message.RecordPush:
		n.push(in.From, m)
	case *message.Members:
		n.stepMembers(membership.MembersReceived{From: in.From, Members: m.Members})
	}
}

// push takes a record from a peer. It is parsed only if it is wanted.
func (n *Node) push(from ident.InstanceID, m *message.RecordPush) {
	if !n.spread.Wants(m.Record) {
		n.stepSpread(spread.Candidate{From: from, Record: m.Record, Lineage: m.Lineage})
		return
	}
	value, err := n.config.History.Open(m)
	if err != nil {
		n.stepSpread(spread.InvalidPush{Peer: from})
		return
	}
	n.consider(from, m.Record, value, m.Lineage)
}

func (n *Node) read(in Value) {
	n.consider("", record.Peek(in.Data), in.Data, nil)
	n.stepSpread(spread.ReadDone{Number: in.Number, Result: spread.ReadValue, StoreRevision: in.StoreRevision})
}

// source names where a value came from in its faults.
func source(from ident.InstanceID) string {
	if from == "" {
		return "configuration service"
	}
	return "record from " + string(from)
}

// consider parses a value that was read or received under the given name.
func (n *Node) consider(from ident.InstanceID, name message.Digest, value []byte, lineage []message.Lineage) {
	if name == n.spread.InForce() {
		return
	}
	snapshot, faults := n.config.Parse(source(from), value)
	if len(faults) > 0 {
		n.stepSpread(spread.Candidate{From: from, Record: name, Refusal: faults[0].String()})
		return
	}
	n.candidate, n.value = snapshot, value
	n.stepSpread(spread.Candidate{From: from, Record: snapshot.Digest, Lineage: lineage, Services: replicasOf(snapshot)})
	n.candidate, n.value = nil, nil
}

func replicasOf(s *record.Snapshot) []message.Lineage {
	var out []message.Lineage
	for name, service := range s.Services {
		l := message.Lineage{Service: name, Revision: s.Digest.Revision}
		for _, r := range service.Replicas {
			l.Replicas = append(l.Replicas, r.ID)
		}
		out = append(out, l)
	}
	return out
}
