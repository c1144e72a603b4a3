package rank

import (
	"context"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// rankLink is a link to the process beside another rank.
type rankLink struct {
	// session is the place in the order in which the links came up.
	session uint64
	// sent and received are the last maps on the link.
	sent, received lastMap
}

// ownSession numbers the way from the leader to the rank in the same process.
const ownSession = 1 << 62

func (a *agent) transmit(l *link.Link, f frame) {
	one := a.links[l]
	if one == nil {
		return
	}
	s, _ := a.rank.Engine()
	f.Rank = s.Rank
	payload, err := encodeFrame(f, &one.sent)
	if err != nil {
		a.logger.Error().Err(err).Msg("map change: a message cannot be encoded")
		return
	}
	a.write(l, &message.MapSwitch{Payload: payload})
}

// send sends a command to a rank. It reports false if the rank's link is not known.
func (a *agent) send(ctx context.Context, now time.Time, m mapswitch.Send) bool {
	if m.To == 0 {
		a.carryOut(ctx, now, a.rank.Receive(now, ownSession, m.Command))
		return true
	}
	l := a.byRank[m.To]
	if l == nil {
		return false
	}
	a.transmit(l, frame{Command: &m.Command})
	return true
}

// greet asks the processes whose ranks are not known yet for their statuses, each
// once however many ranks are not known: with 72 ranks every round would be 5,000
// messages otherwise.
func (a *agent) greet(c mapswitch.Command) {
	ranked := make(map[*link.Link]bool, len(a.byRank))
	for _, l := range a.byRank {
		ranked[l] = true
	}
	c.Kind, c.Map, c.WantCounts = mapswitch.Heartbeat, nil, false
	for l := range a.links {
		if !ranked[l] {
			a.transmit(l, frame{Command: &c})
		}
	}
}

func (a *agent) link(ctx context.Context, now time.Time, e link.Event) {
	peer := string(e.Link.Peer().Instance)
	switch e.Kind {
	case link.Up:
		a.logger.Info().Str("peer", peer).Msg("link up")
		if e.Link.Peer().Role == message.RoleEntry {
			a.entries[e.Link] = struct{}{}
			return
		}
		a.sessions++
		a.links[e.Link] = &rankLink{session: a.sessions}
	case link.Down:
		a.forget(e.Link)
		a.logger.Info().Str("peer", peer).AnErr("cause", e.Err).Msg("link down")
	}
	for _, m := range e.Messages {
		if one, ok := m.(*message.MapSwitch); ok {
			a.received(ctx, now, e.Link, one.Payload)
		}
	}
}

func (a *agent) forget(l *link.Link) {
	delete(a.links, l)
	delete(a.entries, l)
	if a.leaderLink == l {
		a.leaderLink = nil
	}
	for r, one := range a.byRank {
		if one == l {
			delete(a.byRank, r)
		}
	}
}

func (a *agent) received(ctx context.Context, now time.Time, from *link.Link, payload []byte) {
	one := a.links[from]
	if one == nil {
		return
	}
	f, err := decodeFrame(payload, &one.received)
	if err != nil {
		a.logger.Error().Err(err).Msg("map change: a message cannot be decoded")
		return
	}
	switch {
	case f.Command != nil:
		a.leaderLink = from
		a.carryOut(ctx, now, a.rank.Receive(now, one.session, *f.Command))
	case f.Status != nil:
		if s, known := a.rank.Engine(); known && f.Status.Epoch == s.Epoch && f.Status.Group == s.Group {
			a.byRank[f.Status.Rank] = from
		}
		a.heard(ctx, now, *f.Status)
	}
}

// join dials the processes beside the other ranks, and some entries, if this one
// leads.
func (a *agent) join(ctx context.Context) {
	wanted := make(map[string]bool, len(a.peers)+len(a.seeds))
	for _, address := range slices.Concat(a.peers, a.seeds) {
		if !a.leads || address == a.address {
			continue
		}
		wanted[address] = true
		if _, running := a.dialers[address]; running {
			continue
		}
		limited, cancel := context.WithCancel(ctx)
		a.dialers[address] = cancel
		a.dial(limited, address)
	}
	for address, cancel := range a.dialers {
		if !wanted[address] {
			cancel()
			delete(a.dialers, address)
		}
	}
}
