package peering

import (
	"context"
	"fmt"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/source"
)

// FormatDigest formats a digest for logs and status texts: the revision and the hash.
func FormatDigest(d message.Digest) string { return fmt.Sprintf("%d/%016x", d.Revision, d.Hash) }

func (p *Peering) carryOut(ctx context.Context, o control.Action) {
	switch o := o.(type) {
	case control.Send:
		p.send(o)
	case control.Adopt:
		p.inForce(ctx, o)
	case control.Refused:
		p.refused(o)
	case control.Ignored:
		p.ignored(o)
	case control.Ready:
		p.ready = true
		p.config.Ready()
	case control.Read:
		p.config.Reader.Request(ctx, source.ReadRequest{Number: o.Number, After: o.After, Wait: o.Wait})
	case control.CancelRead:
		p.config.Reader.Request(ctx, source.ReadRequest{Cancel: true})
	case control.PeerChanged:
		p.peerChanged(o)
	case control.ReadBack:
		p.config.ReadBack()
	case control.Order:
		p.order(o)
	case control.Reached:
		p.config.Events.Emit(eventlog.Event{Name: "order.reached", Revision: o.Revision, Server: p.config.Server})
	}
}

func (p *Peering) send(o control.Send) {
	links := p.links[o.To]
	if len(links) == 0 {
		return
	}
	if push, ok := o.Message.(*message.RecordPush); ok {
		kind := "patch"
		if len(push.Whole) > 0 {
			kind = "whole"
		}
		p.config.Metrics.pushes.WithLabelValues(kind).Inc()
	}
	links[len(links)-1].Send(o.Message)
}

func (p *Peering) inForce(ctx context.Context, o control.Adopt) {
	d := o.Snapshot.Digest
	from := string(o.From)
	if from == "" {
		from = "configuration service"
	}
	p.lastRefusal = ""
	p.config.Metrics.revision.Set(float64(d.Revision))
	p.config.Events.Emit(eventlog.Event{Name: "record.accepted", Revision: d.Revision, Detail: FormatDigest(d) + " from " + from})
	p.config.Adopt(ctx, o.Snapshot)
	p.config.Events.Emit(eventlog.Event{Name: "record.in-force", Revision: d.Revision, Detail: FormatDigest(d)})
	p.config.Logger.Info().Str("record", FormatDigest(d)).Str("from", from).Msg("configuration record in force")
}

func (p *Peering) refused(o control.Refused) {
	p.lastRefusal = FormatDigest(o.Record) + ": " + o.Reason
	p.config.Metrics.refused.Inc()
	p.config.Events.Emit(eventlog.Event{Name: "record.refused", Revision: o.Record.Revision, Reason: "invalid", Detail: p.lastRefusal})
	p.config.Logger.Error().Str("record", FormatDigest(o.Record)).Str("fault", o.Reason).Msg("invalid configuration record refused")
}

func (p *Peering) ignored(o control.Ignored) {
	if !o.Stale {
		return
	}
	p.config.Metrics.stale.Inc()
	p.config.Events.Emit(eventlog.Event{Name: "record.stale", Revision: o.Record.Revision, Detail: FormatDigest(o.Record)})
	p.config.Logger.Warn().Str("record", FormatDigest(o.Record)).Msg("the configuration service returned an older record; it is ignored")
}

func (p *Peering) peerChanged(o control.PeerChanged) {
	t := o.Transition
	p.config.Metrics.peers.WithLabelValues(t.To).Inc()
	p.config.Events.Emit(eventlog.Event{
		Name: "peer." + t.To, Instance: o.Peer, Chart: t.Chart, From: t.From, To: t.To, Reason: t.Event,
	})
}

func (p *Peering) order(o control.Order) {
	p.config.Metrics.orders.WithLabelValues(string(o.Kind)).Inc()
	p.config.Events.Emit(eventlog.Event{
		Name: "order.sent", Revision: o.Revision, Server: p.config.Server,
		Detail: fmt.Sprintf("%s %s %s%s%s, token %d", o.Kind, o.Model, o.Version, o.Adapter, o.Role, o.Token),
	})
	p.config.Order(o.Order)
}

// PeerState returns the state of a peer in the chart "peer", or "" if it is unknown.
func (p *Peering) PeerState(id ident.InstanceID) string { return p.node.PeerState(id) }
