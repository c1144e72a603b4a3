// Package status defines the current state of one process as it is shown to
// operators. It holds no prompt, answer, API key or idempotency key.
package status

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Status is the state of one process and its view of the others.
type Status struct {
	Instance    ident.InstanceID    `json:"instance"`
	Role        message.Role        `json:"role"`
	Domain      ident.FailureDomain `json:"failure_domain"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	// State is the state of the process chart.
	State string `json:"state"`
	// Control is free text: which record is in force, and any problem with it.
	Control string `json:"control"`
	// Members is the process's view of its peers, in order of the instances.
	Members []Member `json:"members"`
	// Servers is an entry's view of the backend servers.
	Servers []Server `json:"servers,omitempty"`
	// Queue is the work at a sidecar.
	Queue *Queue `json:"queue,omitempty"`
	// Group is the state of a sidecar's expert-parallel group, empty without one.
	Group string `json:"group,omitempty"`
	// StepMS is the group's mean step time in milliseconds.
	StepMS float64 `json:"step_ms,omitempty"`
}

// Member is a peer and its state as the process sees it.
type Member struct {
	Instance ident.InstanceID `json:"instance"`
	State    string           `json:"state"`
}

// Server is a backend server as an entry sees it.
type Server struct {
	Server ident.ServerID `json:"server"`
	Linked bool           `json:"linked"`
	// State is the state of the replica chart.
	State string `json:"state"`
	// Pending is the number of this entry's unfinished requests there.
	Pending int `json:"pending"`
}

// Queue is the running and waiting work at a sidecar.
type Queue struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
	Waiting int `json:"waiting"`
	// QueuedCost is the waiting cost in tokens by class, most urgent first.
	QueuedCost [3]int64 `json:"queued_cost"`
}

// SortedMembers returns the states of members as a list in order of the instances.
func SortedMembers(states map[ident.InstanceID]string) []Member {
	list := make([]Member, 0, len(states))
	for id, state := range states {
		list = append(list, Member{Instance: id, State: state})
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// WriteTable writes the status as a text table.
func (s Status) WriteTable(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(t, "process\t%s %s in %s, started %s\n", s.Role, s.Instance, s.Domain, s.Incarnation.Started().UTC().Format("2006-01-02T15:04:05Z"))
	fmt.Fprintf(t, "state\t%s; %s\n", s.State, s.Control)
	if q := s.Queue; q != nil {
		fmt.Fprintf(t, "queue\t%d of %d slots in use, %d waiting\n", q.Running, q.Slots, q.Waiting)
		for n, class := range ident.PriorityClasses() {
			fmt.Fprintf(t, "  %s\t%d tokens\n", class, q.QueuedCost[n])
		}
	}
	if s.Group != "" {
		fmt.Fprintf(t, "group\t%s, step %.1f ms\n", s.Group, s.StepMS)
	}
	for _, x := range s.Servers {
		fmt.Fprintf(t, "server %s\t%s, linked %t, %d pending\n", x.Server, x.State, x.Linked, x.Pending)
	}
	for _, m := range s.Members {
		fmt.Fprintf(t, "member %s\t%s\n", m.Instance, m.State)
	}
	return t.Flush()
}
