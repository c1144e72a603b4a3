package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peerIdleTimeout is how long a link to a sidecar that is not a neighbour stays
// open after the last message to it.
const peerIdleTimeout = 30 * time.Second

// peerLinks are the links of the bookings task: those that it opens to other
// sidecars, by address, and those on which requests arrive, by ID.
type peerLinks struct {
	// dial keeps a link to the address open until the context ends.
	dial       func(ctx context.Context, address string)
	ctx        context.Context
	dialed     map[string]*dialedPeer
	neighbours map[string]bool
	ids        map[*link.Link]booking.LinkID
	links      map[booking.LinkID]*link.Link
	lastID     uint64
}

// dialedPeer is a sidecar to which this one keeps a link open. Link is nil while
// there is no connection.
type dialedPeer struct {
	link     *link.Link
	cancel   context.CancelFunc
	lastUsed time.Time
}

func newPeerLinks(ctx context.Context, dial func(ctx context.Context, address string)) *peerLinks {
	return &peerLinks{
		dial: dial, ctx: ctx, dialed: make(map[string]*dialedPeer), neighbours: make(map[string]bool),
		ids: make(map[*link.Link]booking.LinkID), links: make(map[booking.LinkID]*link.Link),
	}
}

// setNeighbours opens links to the addresses. Links to former neighbours close once
// they are idle.
func (p *peerLinks) setNeighbours(addresses []string) {
	clear(p.neighbours)
	for _, a := range addresses {
		p.neighbours[a] = true
		p.open(a)
	}
}

func (p *peerLinks) open(address string) *dialedPeer {
	if peer := p.dialed[address]; peer != nil {
		return peer
	}
	ctx, cancel := context.WithCancel(p.ctx)
	peer := &dialedPeer{cancel: cancel, lastUsed: time.Now()}
	p.dialed[address] = peer
	p.dial(ctx, address)
	return peer
}

// send sends to a sidecar by address. Without a connection the message is dropped;
// the sender retries.
func (p *peerLinks) send(address string, m message.Message) {
	peer := p.open(address)
	peer.lastUsed = time.Now()
	if peer.link != nil {
		peer.link.Send(m)
	}
}

// linkID returns the ID of a link on which a request arrived.
func (p *peerLinks) linkID(l *link.Link) booking.LinkID {
	if id, known := p.ids[l]; known {
		return id
	}
	p.lastID++
	id := booking.LinkID(strconv.FormatUint(p.lastID, 10))
	p.ids[l], p.links[id] = id, l
	return id
}

func (p *peerLinks) reply(to booking.LinkID, m message.Message) {
	if l := p.links[to]; l != nil {
		l.Send(m)
	}
}

// linkEvent tracks which links are up. A link that this task dialed has the address
// that was dialed; the address of an accepted link is not a listening address, so it
// matches no dialed peer.
func (p *peerLinks) linkEvent(e link.Event) {
	peer := p.dialed[e.Link.Address()]
	switch e.Kind {
	case link.Up:
		if peer != nil {
			peer.link = e.Link
		}
	case link.Down:
		if peer != nil && peer.link == e.Link {
			peer.link = nil
		}
		delete(p.links, p.ids[e.Link])
		delete(p.ids, e.Link)
	}
}

func (p *peerLinks) tick(now time.Time) {
	for address, peer := range p.dialed {
		if !p.neighbours[address] && now.Sub(peer.lastUsed) > peerIdleTimeout {
			peer.cancel()
			delete(p.dialed, address)
		}
	}
}
