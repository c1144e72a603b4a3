package sidecar

import (
	"context"
	"math/rand/v2"

	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

// assembleGroup creates the group task if the backend server is an engine. The task
// is idle until a record names the server as a rank.
func (p *process) assembleGroup() {
	if p.engine == nil {
		return
	}
	t := &groupTask{
		mailbox: task.NewMailbox[groupMessage](groupMailboxCapacity, task.Block),
		records: task.NewMailbox[*record.Snapshot](1, task.DropOldest),
		server:  p.options.Settings.Backend.Server, codec: p.linkConfig.Codec,
		control: p.control.mailbox, events: p.options.Events, logger: p.options.Logger,
		metrics: newGroupMetrics(p.metrics.registry),
	}
	t.caller = newGroupCaller(p.engine, t.mailbox)
	p.expertGroup = t
	p.control.groupRecords = t.records
}

// startGroup starts the tasks of the group.
func (p *process) startGroup() {
	if p.expertGroup == nil {
		return
	}
	random := rand.New(rand.NewPCG(uint64(p.incarnation), 4))
	p.expertGroup.links = newGroupLinks(p.tasks.Context(), func(ctx context.Context, address string) {
		dialer := &link.Dialer{Config: p.linkConfig, Address: address, Network: p.options.Network, TLS: p.certificates,
			Random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
		p.tasks.Go("rank link", func(context.Context) error { return dialer.Run(ctx) })
	})
	p.tasks.Go("group", p.expertGroup.run)
	p.tasks.Go("group engine calls", p.expertGroup.caller.run)
}

// deliverGroup passes link changes and frames from other sidecars to the group task.
func (p *process) deliverGroup(ctx context.Context, e link.Event) {
	if p.expertGroup == nil || e.Link.Peer().Role != message.RoleSidecar {
		return
	}
	if e.Kind != link.Received {
		p.expertGroup.mailbox.Send(ctx, groupLink{event: e})
	}
	for _, m := range e.Messages {
		if frame, ok := m.(*message.ExpertMap); ok {
			p.expertGroup.mailbox.Send(ctx, groupFrame{link: e.Link, frame: frame})
		}
	}
}
