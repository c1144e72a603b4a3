package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peerIdle is how long a link to a sidecar that is not a neighbour is kept after
// the last question to it.
const peerIdle = 30 * time.Second

// peers are the links of the bookings task: those that it opens to other
// sidecars, by address, and those on which questions arrive, by party.
type peers struct {
	dial    func(ctx context.Context, address string)
	ctx     context.Context
	dialled map[string]*peer
	kept    map[string]bool
	parties map[*link.Link]booking.LinkID
	links   map[booking.LinkID]*link.Link
	next    uint64
}

// peer is a sidecar to which this one opens a link.
type peer struct {
	link   *link.Link
	cancel context.CancelFunc
	used   time.Time
}

func newPeers(ctx context.Context, dial func(ctx context.Context, address string)) *peers {
	return &peers{
		dial: dial, ctx: ctx, dialled: make(map[string]*peer), kept: make(map[string]bool),
		parties: make(map[*link.Link]booking.LinkID), links: make(map[booking.LinkID]*link.Link),
	}
}

// keep opens links to the neighbours and lets go of those of former ones once
// they are idle.
func (p *peers) keep(addresses []string) {
	clear(p.kept)
	for _, a := range addresses {
		p.kept[a] = true
		p.open(a)
	}
}

func (p *peers) open(address string) *peer {
	if one := p.dialled[address]; one != nil {
		return one
	}
	ctx, cancel := context.WithCancel(p.ctx)
	one := &peer{cancel: cancel, used: time.Now()}
	p.dialled[address] = one
	p.dial(ctx, address)
	return one
}

// send sends to a sidecar by address. Without a link the message is dropped; the
// sender asks again.
func (p *peers) send(address string, m message.Message) {
	one := p.open(address)
	one.used = time.Now()
	if one.link != nil {
		one.link.Send(m)
	}
}

// party names a link on which a question arrived.
func (p *peers) party(l *link.Link) booking.LinkID {
	if name, known := p.parties[l]; known {
		return name
	}
	p.next++
	name := booking.LinkID(strconv.FormatUint(p.next, 10))
	p.parties[l], p.links[name] = name, l
	return name
}

func (p *peers) reply(to booking.LinkID, m message.Message) {
	if l := p.links[to]; l != nil {
		l.Send(m)
	}
}

// event follows the links. A link that this task dialled has the address that
// was dialled; that of an accepted link is not a listening address.
func (p *peers) event(e link.Event) {
	one := p.dialled[e.Link.Address()]
	switch e.Kind {
	case link.Up:
		if one != nil {
			one.link = e.Link
		}
	case link.Down:
		if one != nil && one.link == e.Link {
			one.link = nil
		}
		delete(p.links, p.parties[e.Link])
		delete(p.parties, e.Link)
	}
}

func (p *peers) tick(now time.Time) {
	for address, one := range p.dialled {
		if !p.kept[address] && now.Sub(one.used) > peerIdle {
			one.cancel()
			delete(p.dialled, address)
		}
	}
}
