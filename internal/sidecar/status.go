package sidecar

import (
	"context"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/status"
	"github.com/anvilpoint/anvilpoint/task"
)

type askStatus struct{ reply chan<- status.Status }

func (askStatus) isControlMessage() {}

// status collects the status of the control and run-queue tasks.
func (p *process) status(ctx context.Context) (status.Status, bool) {
	s, ok := task.Ask(ctx, p.control.mailbox, func(reply chan<- status.Status) controlMessage { return askStatus{reply: reply} })
	if !ok {
		return s, false
	}
	f, ok := task.Ask(ctx, p.queue.mailbox, func(reply chan<- queueLoad) queueMessage { return askQueueLoad{entries: 1, reply: reply} })
	s.Queue = &status.Queue{Running: f.running, Slots: f.slots, Waiting: f.waiting, QueuedCost: f.queued}
	s.Role, s.Domain, s.Incarnation = message.RoleSidecar, p.options.Settings.Domain, p.incarnation
	return s, ok
}

func (c *control) status() status.Status {
	return status.Status{
		Instance: c.instance, State: c.lifecycle.State(), Control: c.peering.Status(), Members: status.SortedMembers(c.peering.PeerStates()),
		Group: c.groupReport.state, StepMS: c.groupReport.stepMS,
	}
}
