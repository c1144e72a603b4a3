// Package instances is the stand-in of the platform's instance list. It lists live
// and leaving instances; each change becomes visible only after a lag.
package instances

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// DefaultLag is the default time from a change to its appearance in the list.
const DefaultLag = time.Second

// mailboxCapacity is the number of requests that wait for the list's task before
// senders block.
const mailboxCapacity = 1024

// State is the state of a listed instance.
type State string

// The states of a listed instance. An instance that has left is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry of the list.
type Instance struct {
	Name   ident.InstanceID    `json:"name"`
	Kind   string              `json:"kind"`
	Domain ident.FailureDomain `json:"domain"`
	// Address is the link address of an entry or a sidecar, or the HTTP address of
	// a backend server.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// change is a change of one instance that readers see from visibleAt on.
type change struct {
	name      ident.InstanceID
	instance  Instance
	removed   bool
	visibleAt time.Time
}

// List holds the instances. Its task, Run, owns them.
type List struct {
	mailbox *task.Mailbox[request]
	lag     time.Duration
	visible map[ident.InstanceID]Instance
	// pending are the changes that readers do not see yet, the oldest first.
	pending []change
}

// New returns a list with the given instances, in which later changes become
// visible after the lag. Run must be running for the other methods to answer.
func New(lag time.Duration, start []Instance) *List {
	l := &List{
		mailbox: task.NewMailbox[request](mailboxCapacity, task.Block),
		lag:     lag,
		visible: make(map[ident.InstanceID]Instance),
	}
	for _, i := range start {
		l.visible[i.Name] = i
	}
	return l
}

// Run serves requests until the context ends.
func (l *List) Run(ctx context.Context) error {
	defer l.mailbox.Close()
	for {
		select {
		case r := <-l.mailbox.Receive():
			r.serve(l, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// ErrStopped means that the list's task has ended.
var ErrStopped = errors.New("the instance list stand-in has stopped")

// Put adds or replaces an instance. The error is ErrStopped.
func (l *List) Put(ctx context.Context, i Instance) error {
	return l.change(ctx, change{name: i.Name, instance: i})
}

// Remove removes an instance. The error is ErrStopped.
func (l *List) Remove(ctx context.Context, name ident.InstanceID) error {
	return l.change(ctx, change{name: name, removed: true})
}

func (l *List) change(ctx context.Context, c change) error {
	_, ok := task.Ask(ctx, l.mailbox, func(reply chan<- struct{}) request {
		return &changeRequest{change: c, reply: reply}
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// Read returns the instances that are visible now, sorted by name. The error is
// ErrStopped.
func (l *List) Read(ctx context.Context) ([]Instance, error) {
	instances, ok := task.Ask(ctx, l.mailbox, func(reply chan<- []Instance) request { return &readRequest{reply: reply} })
	if !ok {
		return nil, ErrStopped
	}
	return instances, nil
}

// request is a message to the list's task.
type request interface {
	serve(l *List, now time.Time)
}

type changeRequest struct {
	change change
	reply  chan<- struct{}
}

type readRequest struct{ reply chan<- []Instance }

func (c *changeRequest) serve(l *List, now time.Time) {
	c.change.visibleAt = now.Add(l.lag)
	l.pending = append(l.pending, c.change)
	c.reply <- struct{}{}
}

func (r *readRequest) serve(l *List, now time.Time) {
	l.applyDueChanges(now)
	instances := make([]Instance, 0, len(l.visible))
	for _, i := range l.visible {
		instances = append(instances, i)
	}
	sort.Slice(instances, func(a, b int) bool { return instances[a].Name < instances[b].Name })
	r.reply <- instances
}

// applyDueChanges makes the changes visible that are due, the oldest first.
func (l *List) applyDueChanges(now time.Time) {
	due := 0
	for _, c := range l.pending {
		if c.visibleAt.After(now) {
			break
		}
		due++
		if c.removed {
			delete(l.visible, c.name)
			continue
		}
		l.visible[c.name] = c.instance
	}
	l.pending = append([]change(nil), l.pending[due:]...)
}
