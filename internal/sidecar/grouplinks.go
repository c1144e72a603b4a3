package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// rankLinkIdleTimeout is how long a dialed link to another rank stays open after the
// last message sent on it. The leader's heartbeats keep its links open: they are at
// most 12.8 s apart, with 256 ranks.
const rankLinkIdleTimeout = 30 * time.Second

// groupLinks are the links to the other ranks, owned by the group task. In normal
// operation only the leader opens links, one to each rank.
type groupLinks struct {
	// dial keeps a link to the address open until the context ends.
	dial      func(ctx context.Context, address string)
	context   context.Context
	ranks     []ident.ServerID
	addresses map[ident.ServerID]string
	// open are the open links, dialed by either side.
	open   map[ident.ServerID]*link.Link
	dialed map[ident.ServerID]*dialedLink
}

// dialedLink is a link that this sidecar dials and keeps open.
type dialedLink struct {
	address  string
	cancel   context.CancelFunc
	lastUsed time.Time
}

func newGroupLinks(ctx context.Context, dial func(context.Context, string)) *groupLinks {
	return &groupLinks{dial: dial, context: ctx, addresses: make(map[ident.ServerID]string),
		open: make(map[ident.ServerID]*link.Link), dialed: make(map[ident.ServerID]*dialedLink)}
}

// setRanks sets the ranks and their addresses from a record. It closes the dialed
// links whose address has changed.
func (l *groupLinks) setRanks(s *record.Snapshot, g record.Group) {
	l.ranks = g.Ranks
	clear(l.addresses)
	for _, id := range g.Ranks {
		l.addresses[id] = s.Replicas[id].Address
	}
	for id, d := range l.dialed {
		if l.addresses[id] != d.address {
			l.closeDialed(id)
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

// linkEvent tracks which links to other sidecars are open.
func (l *groupLinks) linkEvent(e link.Event) {
	id := e.Link.Peer().Server
	switch {
	case e.Kind == link.Up:
		l.open[id] = e.Link
	case e.Kind == link.Down && l.open[id] == e.Link:
		delete(l.open, id)
	}
}

// send sends a message to a rank. Without an open link it dials one and drops the
// message, which the protocol resends.
func (l *groupLinks) send(now time.Time, to ident.Rank, m *message.ExpertMap) {
	id := l.ranks[to]
	if d := l.dialed[id]; d != nil {
		d.lastUsed = now
	}
	if open := l.open[id]; open != nil {
		open.Send(m)
		return
	}
	if l.dialed[id] != nil || l.addresses[id] == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.context)
	l.dialed[id] = &dialedLink{address: l.addresses[id], cancel: cancel, lastUsed: now}
	l.dial(ctx, l.addresses[id])
}

// closeIdle closes dialed links on which nothing was sent for rankLinkIdleTimeout.
func (l *groupLinks) closeIdle(now time.Time) {
	for id, d := range l.dialed {
		if now.Sub(d.lastUsed) > rankLinkIdleTimeout {
			l.closeDialed(id)
		}
	}
}

func (l *groupLinks) closeDialed(id ident.ServerID) {
	l.dialed[id].cancel()
	delete(l.dialed, id)
}
