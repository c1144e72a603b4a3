package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// idleLink is how long a link to another rank stays open without a message.
// The leader's beats, at most every 12.8 s with 256 ranks, keep its links open.
const idleLink = 30 * time.Second

// groupLinks are the links to the other ranks. In normal operation only the
// leader opens any, one to each rank. The group task owns it.
type groupLinks struct {
	// dial keeps a link to the address open until the context ends.
	dial    func(ctx context.Context, address string)
	context context.Context
	ranks   []ident.ServerID
	address map[ident.ServerID]string
	// up are the links that are open, whoever opened them.
	up     map[ident.ServerID]*link.Link
	dialed map[ident.ServerID]*dialed
}

// dialed is a link that this sidecar keeps open.
type dialed struct {
	address string
	cancel  context.CancelFunc
	used    time.Time
}

func newGroupLinks(ctx context.Context, dial func(context.Context, string)) *groupLinks {
	return &groupLinks{dial: dial, context: ctx, address: make(map[ident.ServerID]string),
		up: make(map[ident.ServerID]*link.Link), dialed: make(map[ident.ServerID]*dialed)}
}

// addresses takes the ranks and their addresses from a record.
func (l *groupLinks) addresses(s *record.Snapshot, g record.Group) {
	l.ranks = g.Ranks
	clear(l.address)
	for _, id := range g.Ranks {
		l.address[id] = s.Replicas[id].Address
	}
	for id, d := range l.dialed {
		if l.address[id] != d.address {
			l.hangUp(id)
		}
	}
}

func (l *groupLinks) rankOf(id ident.ServerID) (ident.Rank, bool) {
	for r, other := range l.ranks {
		if other == id {
			return ident.Rank(r), true
		}
	}
	return 0, false
}

// event notes that a link to another sidecar opened or closed.
func (l *groupLinks) event(e link.Event) {
	id := e.Link.Peer().Server
	switch {
	case e.Kind == link.Up:
		l.up[id] = e.Link
	case e.Kind == link.Down && l.up[id] == e.Link:
		delete(l.up, id)
	}
}

// send sends to a rank. Without a link it opens one and drops the message; the
// protocol sends it again.
func (l *groupLinks) send(now time.Time, to ident.Rank, m *message.ExpertMap) {
	id := l.ranks[to]
	if d := l.dialed[id]; d != nil {
		d.used = now
	}
	if open := l.up[id]; open != nil {
		open.Send(m)
		return
	}
	if l.dialed[id] != nil || l.address[id] == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.context)
	l.dialed[id] = &dialed{address: l.address[id], cancel: cancel, used: now}
	l.dial(ctx, l.address[id])
}

// closeIdle closes links that the protocol no longer uses.
func (l *groupLinks) closeIdle(now time.Time) {
	for id, d := range l.dialed {
		if now.Sub(d.used) > idleLink {
			l.hangUp(id)
		}
	}
}

func (l *groupLinks) hangUp(id ident.ServerID) {
	l.dialed[id].cancel()
	delete(l.dialed, id)
}
