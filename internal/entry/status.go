package entry

import (
	"cmp"
	"context"
	"slices"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/status"
	"github.com/anvilpoint/anvilpoint/task"
)

type (
	askStatus  struct{ reply chan<- status.Status }
	askServers struct{ reply chan<- []status.Server }
)

func (askStatus) isControlMessage()   {}
func (askServers) isDispatchMessage() {}

// status combines the status of the control and dispatch tasks.
func (p *process) status(ctx context.Context) (status.Status, bool) {
	s, ok := task.Ask(ctx, p.control.mailbox, func(reply chan<- status.Status) controlMessage { return askStatus{reply: reply} })
	if !ok {
		return s, false
	}
	s.Servers, ok = task.Ask(ctx, p.dispatch.mailbox, func(reply chan<- []status.Server) dispatchMessage { return askServers{reply: reply} })
	s.Role, s.Domain, s.Incarnation = message.RoleEntry, p.options.Settings.Domain, p.incarnation
	return s, ok
}

func (c *control) status() status.Status {
	return status.Status{
		Instance: c.instance, State: c.lifecycle.State(), Control: c.peering.Status(), Members: status.SortedMembers(c.peering.PeerStates()),
	}
}

// servers lists the backend servers of the record in force.
func (p *picker) servers() []status.Server {
	if p.snapshot == nil {
		return nil
	}
	var list []status.Server
	for _, s := range routingServers(p.snapshot) {
		state, pending, _ := p.router.ServerState(s.ID)
		list = append(list, status.Server{Server: s.ID, Linked: p.linked[s.ID], State: state, Pending: pending})
	}
	slices.SortFunc(list, func(a, b status.Server) int { return cmp.Compare(a.Server, b.Server) })
	return list
}
