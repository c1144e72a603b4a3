package control

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

func (n *Node) stepMembers(in membership.Message) {
	changed := false
	for _, a := range n.members.Step(n.now, in) {
		switch a := a.(type) {
		case membership.SendMembers:
			n.emit(Send{To: a.To, Message: &message.Members{Members: a.Members}})
		case membership.StateChanged:
			changed = true
			n.emit(PeerChanged{a})
		}
	}
	if changed {
		n.stepRecordSync(recordsync.AliveEntries{Entries: n.members.AliveInDomain()})
	}
}

func (n *Node) stepRecordSync(in recordsync.Message) {
	for _, a := range n.recordSync.Step(n.now, in) {
		n.carryOut(a)
	}
}

func (n *Node) carryOut(a recordsync.Action) {
	switch a := a.(type) {
	case recordsync.Adopt:
		n.adopt(a)
	case recordsync.Refuse:
		n.emit(Refused(a))
	case recordsync.Ignore:
		n.emit(Ignored{Record: a.Record, Stale: n.value != nil && a.Record.Less(n.recordSync.InForce())})
	case recordsync.Ready:
		n.emit(Ready{})
	case recordsync.SendRecord:
		n.sendRecord(a)
	case recordsync.SendDigest:
		n.emit(Send{To: a.To, Message: &message.RecordDigest{Record: n.recordSync.InForce()}})
	case recordsync.SendPull:
		n.emit(Send{To: a.To, Message: &message.RecordPull{Have: a.Have}})
	case recordsync.Read:
		n.emit(Read{a})
	case recordsync.CancelRead:
		n.emit(CancelRead{})
	}
}

func (n *Node) adopt(a recordsync.Adopt) {
	before := n.snapshot
	n.snapshot = n.candidate
	n.config.History.Add(a.Record, n.value)
	n.emit(Adopt{Snapshot: n.snapshot, Before: before, From: a.From})
	if n.orders == nil {
		return
	}
	if desired, ok := orders.DesiredFor(before, n.snapshot, n.config.Server); ok {
		n.stepOrders(desired)
	}
}

// sendRecord pushes the record in force to a peer, with the replica sets that the
// peer may not know: those of records later than its base.
func (n *Node) sendRecord(a recordsync.SendRecord) {
	push, err := n.config.History.Push(a.Base)
	if err != nil {
		return
	}
	for _, l := range n.recordSync.Lineage() {
		if l.Revision > push.Base.Revision {
			push.Lineage = append(push.Lineage, l)
		}
	}
	n.emit(Send{To: a.To, Message: &push})
}

func (n *Node) stepOrders(in orders.Message) {
	if n.orders == nil {
		return
	}
	for _, a := range n.orders.Step(n.now, in) {
		switch a := a.(type) {
		case orders.ReadBack:
			n.emit(ReadBack{})
		case orders.Order:
			n.emit(Order{a})
		case orders.Reached:
			n.emit(Reached{Revision: a.Revision})
		}
	}
}

// Targets returns the entries to which an entry should hold links.
func (n *Node) Targets(round uint64) []membership.Target { return n.members.Targets(round) }

// PeerState returns the state of a peer in the chart "peer", or "" if it is unknown.
func (n *Node) PeerState(id ident.InstanceID) string { return n.members.State(id) }
