// Package control combines the decisions of a process about other processes: recordsync
// (distribution of the configuration record), membership, and at a sidecar the
// orders to its engine. It does no I/O: the control tasks of entry and sidecar carry
// out what Step returns, and load/controlbench runs the same code in virtual time.
package control

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// History stores the values of records and converts them to and from pushes.
type History interface {
	Add(digest message.Digest, value []byte)
	// Push returns a push of the latest record: a patch against base if possible,
	// otherwise the whole record.
	Push(base message.Digest) (message.RecordPush, error)
	// Open returns the value that a push carries.
	Open(push *message.RecordPush) ([]byte, error)
}

// Config configures the Node of one process.
type Config struct {
	Seed       int64
	Membership membership.Config
	RecordSync recordsync.Config
	// Server is the backend server beside a sidecar. Orders is the configuration of
	// the orders to it; it is nil for an entry and for a sidecar beside a plain
	// service, which send no orders.
	Server ident.ServerID
	Orders *orders.Config
	// Parse parses a value; the default is record.Parse.
	Parse   func(file string, value []byte) (*record.Snapshot, jsonc.Faults)
	History History
}

// Node is the control state of one process. One task owns it.
type Node struct {
	config     Config
	members    *membership.Membership
	recordSync *recordsync.Synchronizer
	orders     *orders.Reconciler
	snapshot   *record.Snapshot
	// candidate is the record that recordsync currently decides about, and value its
	// encoded form. Both are nil otherwise.
	candidate *record.Snapshot
	value     []byte
	now       time.Time
	actions   []Action
}

// New returns the state of a process without peers and without a record.
func New(now time.Time, config Config) *Node {
	if config.Parse == nil {
		config.Parse = record.Parse
	}
	if config.History == nil {
		config.History = record.NewHistory()
	}
	n := &Node{
		config:     config,
		members:    membership.New(config.Membership),
		recordSync: recordsync.New(now, config.Seed, config.RecordSync),
	}
	if config.Orders != nil {
		n.orders = orders.New(now, config.Seed, *config.Orders)
	}
	return n
}

// Step handles one input and returns the outputs to carry out, in order.
func (n *Node) Step(now time.Time, in Input) []Action {
	n.now = now
	n.actions = nil
	switch in := in.(type) {
	case LinkUp:
		n.linkUp(in.Hello)
	case LinkDown:
		n.stepRecordSync(recordsync.LinkDown{Peer: in.Peer})
		if in.OnPurpose {
			n.stepMembers(membership.LinkClosed{Peer: in.Peer})
		}
	case PeerMessage:
		n.receive(in)
	case ReadValue:
		n.readValue(in)
	case ReadWithoutValue:
		n.stepRecordSync(recordsync.ReadDone{Number: in.Number, Result: in.Result, StoreRevision: in.StoreRevision})
	case Instances:
		n.stepRecordSync(recordsync.InstanceCount{Instances: in.Total})
		n.stepMembers(membership.InstanceList{Members: in.Members})
		n.stepRecordSync(recordsync.AliveEntries{Entries: n.members.AliveInDomain()})
	case EngineMessage:
		n.stepOrders(in.Message)
	case Tick:
		n.tick()
	}
	return n.actions
}

func (n *Node) tick() {
	n.stepMembers(membership.Tick{})
	n.stepRecordSync(recordsync.Tick{})
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
	take(n.recordSync.Deadline())
	if n.orders != nil {
		take(n.orders.Deadline())
	}
	return first, found
}

// Snapshot returns the record in force, or nil without one.
func (n *Node) Snapshot() *record.Snapshot { return n.snapshot }

// Digest returns the digest of the record in force, or zero without one.
func (n *Node) Digest() message.Digest { return n.recordSync.InForce() }

// Members returns the states of other processes. The caller must not change them.
func (n *Node) Members() *membership.Membership { return n.members }

// RecordSync returns the state of record synchronization. The caller must not change it.
func (n *Node) RecordSync() *recordsync.Synchronizer { return n.recordSync }

// Orders returns the reconciler of the engine, or nil without one. The caller must
// not change it.
func (n *Node) Orders() *orders.Reconciler { return n.orders }

func (n *Node) emit(o Action) { n.actions = append(n.actions, o) }

func (n *Node) linkUp(h message.Hello) {
	// Sidecars do not monitor each other, because links between them may be idle
	// for a long time.
	if n.config.Membership.Role == message.RoleEntry || h.Role == message.RoleEntry {
		n.heard(h)
	}
	n.stepRecordSync(recordsync.LinkUp{Peer: h.Instance, Record: h.Record, Sidecar: h.Role == message.RoleSidecar})
}

func (n *Node) heard(h message.Hello) {
	n.stepMembers(membership.LinkUp{
		Peer: h.Instance, Role: h.Role, Domain: h.Domain, Incarnation: h.Incarnation,
	})
}

func (n *Node) receive(in PeerMessage) {
	switch m := in.Message.(type) {
	case *message.Heartbeat:
		n.stepMembers(membership.Heartbeat{Peer: in.From})
		n.stepRecordSync(recordsync.PeerDigest{Peer: in.From, Record: m.Record})
	case *message.RecordDigest:
		n.stepRecordSync(recordsync.PeerDigest{Peer: in.From, Record: m.Record})
	case *message.RecordPull:
		n.stepRecordSync(recordsync.PeerPull{Peer: in.From, Have: m.Have})
	case *message.RecordPush:
		n.receivePush(in.From, m)
	case *message.Members:
		n.stepMembers(membership.MembersReceived{From: in.From, Members: m.Members})
	}
}

// receivePush handles a record pushed by a peer. The record is parsed only if it is
// newer than the one in force and was not refused before.
func (n *Node) receivePush(from ident.InstanceID, m *message.RecordPush) {
	if !n.recordSync.Wants(m.Record) {
		n.stepRecordSync(recordsync.Candidate{From: from, Record: m.Record, Lineage: m.Lineage})
		return
	}
	value, err := n.config.History.Open(m)
	if err != nil {
		n.stepRecordSync(recordsync.InvalidPush{Peer: from})
		return
	}
	n.consider(from, m.Record, value, m.Lineage)
}

func (n *Node) readValue(in ReadValue) {
	n.consider("", record.Peek(in.Data), in.Data, nil)
	n.stepRecordSync(recordsync.ReadDone{Number: in.Number, Result: recordsync.ReadValue, StoreRevision: in.StoreRevision})
}

// originName returns the name of a value's origin for the faults of its parsing.
func originName(from ident.InstanceID) string {
	if from == "" {
		return "configuration service"
	}
	return "record from " + string(from)
}

// consider parses a value that was read or received, and lets recordsync decide about
// it. The digest announced is the one that the sender named, or the one peeked from
// the value.
func (n *Node) consider(from ident.InstanceID, announced message.Digest, value []byte, lineage []message.Lineage) {
	if announced == n.recordSync.InForce() {
		return
	}
	snapshot, faults := n.config.Parse(originName(from), value)
	if len(faults) > 0 {
		n.stepRecordSync(recordsync.Candidate{From: from, Record: announced, Refusal: faults[0].String()})
		return
	}
	n.candidate, n.value = snapshot, value
	n.stepRecordSync(recordsync.Candidate{From: from, Record: snapshot.Digest, Lineage: lineage, Services: replicasOf(snapshot)})
	n.candidate, n.value = nil, nil
}

// replicasOf returns the replica set of each service in the record.
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
