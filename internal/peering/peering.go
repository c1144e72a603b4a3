// Package peering carries out the decisions of package control for the control
// tasks of entry and sidecar: it sends messages over links, reads the configuration
// service, and updates the event log and the metrics.
package peering

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/source"
)

// Config holds the identity of the process and what its Peering uses.
type Config struct {
	Self        ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Address     string
	Server      ident.ServerID
	Incarnation ident.Incarnation
	Seed        int64
	// SendsOrders reports whether the process is a sidecar beside an engine, to which
	// it sends orders.
	SendsOrders bool
	Logger      zerolog.Logger
	Events      *eventlog.Log
	Metrics     *Metrics
	// Reader reads the configuration service.
	Reader *source.Reader
	// Adopt, Ready, ReadBack and Order are called in the control task.
	Adopt    func(ctx context.Context, s *record.Snapshot)
	Ready    func()
	ReadBack func()
	Order    func(o orders.Order)
}

// Peering connects a control.Node to the links, the configuration service and the
// event log of its process. The control task owns it.
type Peering struct {
	config Config
	node   *control.Node
	// links are the open links to the latest incarnation of each peer. Two
	// entries that dial each other at the same time have two.
	links       map[ident.InstanceID][]*link.Link
	lastRefusal string
	ready       bool
}

// New returns a Peering without links.
func New(now time.Time, config Config) *Peering {
	members := membership.DefaultConfig(config.Self, config.Role, config.Domain, config.Incarnation)
	members.Address = config.Address
	members.HeartbeatInterval = link.HeartbeatInterval(message.RoleEntry, config.Role)
	nodeConfig := control.Config{
		Seed: config.Seed, Membership: members, Server: config.Server,
		RecordSync: recordsync.DefaultConfig(config.Self, config.Role == message.RoleEntry),
	}
	if config.SendsOrders {
		constants := orders.DefaultConfig()
		nodeConfig.Orders = &constants
	}
	return &Peering{config: config, node: control.New(now, nodeConfig), links: make(map[ident.InstanceID][]*link.Link)}
}

// Step passes an input to the Node and carries out its outputs.
func (p *Peering) Step(ctx context.Context, now time.Time, in control.Input) {
	for _, o := range p.node.Step(now, in) {
		p.carryOut(ctx, o)
	}
}

// HandleLink handles an event of a link. Links to an earlier incarnation of a peer than
// the latest are ignored.
func (p *Peering) HandleLink(ctx context.Context, now time.Time, e link.Event) {
	peer := e.Link.Peer()
	switch e.Kind {
	case link.Up:
		p.linkUp(ctx, now, e.Link)
	case link.Down:
		p.linkDown(ctx, now, e.Link)
	case link.Received:
		if !slices.Contains(p.links[peer.Instance], e.Link) {
			return
		}
		for _, m := range e.Messages {
			if Handles(m) {
				p.Step(ctx, now, control.PeerMessage{From: peer.Instance, Message: m})
			}
		}
	}
}

func (p *Peering) linkUp(ctx context.Context, now time.Time, l *link.Link) {
	peer := l.Peer()
	known := p.links[peer.Instance]
	if len(known) > 0 {
		switch latest := known[0].Peer().Incarnation; {
		case latest > peer.Incarnation:
			return
		case latest < peer.Incarnation:
			known = nil
		}
	}
	p.links[peer.Instance] = append(known, l)
	p.Step(ctx, now, control.LinkUp{Hello: peer})
}

func (p *Peering) linkDown(ctx context.Context, now time.Time, l *link.Link) {
	id := l.Peer().Instance
	known := p.links[id]
	index := slices.Index(known, l)
	if index < 0 {
		return
	}
	if known = slices.Delete(known, index, index+1); len(known) > 0 {
		p.links[id] = known
		return
	}
	delete(p.links, id)
	p.Step(ctx, now, control.LinkDown{Peer: id})
}

// Handles reports whether HandleLink handles messages of this kind.
func Handles(m message.Message) bool {
	switch message.KindOf(m) {
	case message.KindHeartbeat, message.KindMembers, message.KindRecordDigest, message.KindRecordPull, message.KindRecordPush:
		return true
	default:
		return false
	}
}

// HandleRead handles the result of a read of the configuration service.
func (p *Peering) HandleRead(ctx context.Context, now time.Time, a source.ReadAnswer) {
	switch {
	case a.Value.Err != nil:
		p.config.Metrics.reads.WithLabelValues("failed").Inc()
		p.config.Logger.Warn().Err(a.Value.Err).Msg("read of the configuration service failed")
		p.Step(ctx, now, control.ReadWithoutValue{Number: a.Number, Result: recordsync.ReadFailed})
	case !a.Changed:
		p.config.Metrics.reads.WithLabelValues("unchanged").Inc()
		p.Step(ctx, now, control.ReadWithoutValue{Number: a.Number, Result: recordsync.ReadUnchanged, StoreRevision: a.Value.StoreRevision})
	default:
		p.config.Metrics.reads.WithLabelValues("value").Inc()
		p.Step(ctx, now, control.ReadValue{Number: a.Number, StoreRevision: a.Value.StoreRevision, Data: a.Value.Data})
	}
}

// HandleInstances handles the result of a read of the instance list. Only live entries
// become members.
func (p *Peering) HandleInstances(ctx context.Context, now time.Time, list []source.Instance) {
	var members []message.Member
	for _, i := range list {
		if i.Kind == string(message.RoleEntry) && i.State == source.Live {
			members = append(members, message.Member{Instance: i.Name, Role: message.RoleEntry, Domain: i.Domain, Address: i.Address})
		}
	}
	p.Step(ctx, now, control.Instances{Members: members, Total: len(list)})
}

// Targets returns the entries to which an entry should hold links.
func (p *Peering) Targets(round uint64) []membership.Target { return p.node.Targets(round) }

// Linked reports whether a link to the peer is open.
func (p *Peering) Linked(id ident.InstanceID) bool { return len(p.links[id]) > 0 }

// AliveEntries returns the entries in state alive, this one included.
func (p *Peering) AliveEntries() []ident.InstanceID { return p.node.Members().AliveEntries() }

// PeerStates returns the state of every known peer in the chart "peer".
func (p *Peering) PeerStates() map[ident.InstanceID]string { return p.node.Members().States() }

// Digest returns the digest of the record in force.
func (p *Peering) Digest() message.Digest { return p.node.Digest() }

// Ready reports whether the process has asked its peers and holds a record.
func (p *Peering) Ready() bool { return p.ready }

// Status describes, for /readyz, the record in force, the latest refused record and
// whether the process is cut off from other entries.
func (p *Peering) Status() string {
	text := "no record in force"
	if d := p.node.Digest(); d != (message.Digest{}) {
		text = "record " + FormatDigest(d) + " in force"
	}
	if p.lastRefusal != "" {
		text += "; refused record " + p.lastRefusal
	}
	if p.node.Members().Isolated() {
		text += "; cut off from other entries, so no orders are sent"
	}
	return text
}
