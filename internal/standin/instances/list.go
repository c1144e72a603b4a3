// Package instances is the stand-in of the platform's instance list. It shows
// live and leaving instances, and shows each change only after a lag.
package instances

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// DefaultLag is how late the list shows a change.
const DefaultLag = time.Second

const mailboxCapacity = 1024

// State is what the list says about an instance.
type State string

// The states. An instance that has gone is not in the list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one line of the list.
type Instance struct {
	Name   ident.InstanceID    `json:"name"`
	Kind   string              `json:"kind"`
	Domain ident.FailureDomain `json:"domain"`
	// Address is where links reach an entry or a sidecar, and where HTTP reaches
	// a backend server.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// change is one edit that readers do not see before its time.
type change struct {
	name     ident.InstanceID
	instance Instance
	removed  bool
	visible  time.Time
}

// List is the task that owns the instances.
type List struct {
	mailbox *task.Mailbox[request]
	lag     time.Duration
	shown   map[ident.InstanceID]Instance
	pending []change
}

// New returns a list that shows the given instances at once and later changes
// after the lag. Run serves it.
func New(lag time.Duration, start []Instance) *List {
	l := &List{
		mailbox: task.NewMailbox[request](mailboxCapacity, task.Block),
		lag:     lag,
		shown:   make(map[ident.InstanceID]Instance),
	}
	for _, i := range start {
		l.shown[i.Name] = i
	}
	return l
}

// Run owns the list until the context ends.
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

// Remove takes an instance out.
func (l *List) Remove(ctx context.Context, name ident.InstanceID) error {
	return l.change(ctx, change{name: name, removed: true})
}

func (l *List) change(ctx context.Context, c change) error {
	_, ok := task.Ask(ctx, l.mailbox, func(reply chan<- struct{}) request {
		return &edit{change: c, reply: reply}
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// Read returns what readers see now, in the order of the names.
func (l *List) Read(ctx context.Context) ([]Instance, error) {
	seen, ok := task.Ask(ctx, l.mailbox, func(reply chan<- []Instance) request { return &read{reply: reply} })
	if !ok {
		return nil, ErrStopped
	}
	return seen, nil
}

// request is a message to the list's task.
type request interface {
	serve(l *List, now time.Time)
}

type edit struct {
	change change
	reply  chan<- struct{}
}

type read struct{ reply chan<- []Instance }

func (e *edit) serve(l *List, now time.Time) {
	e.change.visible = now.Add(l.lag)
	l.pending = append(l.pending, e.change)
	e.reply <- struct{}{}
}

func (r *read) serve(l *List, now time.Time) {
	l.show(now)
	seen := make([]Instance, 0, len(l.shown))
	for _, i := range l.shown {
		seen = append(seen, i)
	}
	sort.Slice(seen, func(a, b int) bool { return seen[a].Name < seen[b].Name })
	r.reply <- seen
}

// show applies the changes that are due, in the order in which they were made.
func (l *List) show(now time.Time) {
	due := 0
	for _, c := range l.pending {
		if c.visible.After(now) {
			break
		}
		due++
		if c.removed {
			delete(l.shown, c.name)
			continue
		}
		l.shown[c.name] = c.instance
	}
	l.pending = append([]change(nil), l.pending[due:]...)
}
