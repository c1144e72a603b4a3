package rank

import (
	"context"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// rankLink is the state of a link to the agent of another rank.
type rankLink struct {
	// session numbers the links in the order in which they came up.
	session uint64
	// sent and received are the last maps sent and received on the link.
	sent, received lastMap
}

// localSession is the session number of commands that the leader passes to the rank in
// the same process.
const localSession = 1 << 62

func (a *agent) sendFrame(l *link.Link, f frame) {
	state := a.links[l]
	if state == nil {
		return
	}
	s, _ := a.rank.Engine()
	f.Rank = s.Rank
	payload, err := encodeFrame(f, &state.sent)
	if err != nil {
		a.logger.Error().Err(err).Msg("could not encode a map change message")
		return
	}
	a.write(l, &message.MapChange{Payload: payload})
}

// sendCommand sends a command to a rank. It returns false if no link to the rank is
// known.
func (a *agent) sendCommand(ctx context.Context, now time.Time, m mapchange.Send) bool {
	if m.To == 0 {
		a.execute(ctx, now, a.rank.Receive(now, localSession, m.Command))
		return true
	}
	l := a.linkByRank[m.To]
	if l == nil {
		return false
	}
	a.sendFrame(l, frame{Command: &m.Command})
	return true
}

// askUnknownRanks asks the agents whose ranks are not known yet for their statuses. It
// asks each agent once, not once per unknown rank: in a group of 72 ranks that would be
// 5,000 messages per round.
func (a *agent) askUnknownRanks(c mapchange.Command) {
	known := make(map[*link.Link]bool, len(a.linkByRank))
	for _, l := range a.linkByRank {
		known[l] = true
	}
	c.Kind, c.Map, c.WantCounts = mapchange.Heartbeat, nil, false
	for l := range a.links {
		if !known[l] {
			a.sendFrame(l, frame{Command: &c})
		}
	}
}

func (a *agent) handleLink(ctx context.Context, now time.Time, e link.Event) {
	peer := string(e.Link.Peer().Instance)
	switch e.Kind {
	case link.Up:
		a.logger.Info().Str("peer", peer).Msg("link up")
		if e.Link.Peer().Role == message.RoleEntry {
			a.entryLinks[e.Link] = struct{}{}
			return
		}
		a.lastSession++
		a.links[e.Link] = &rankLink{session: a.lastSession}
	case link.Down:
		a.removeLink(e.Link)
		a.logger.Info().Str("peer", peer).AnErr("cause", e.Err).Msg("link down")
	}
	for _, m := range e.Messages {
		if mapChange, ok := m.(*message.MapChange); ok {
			a.receive(ctx, now, e.Link, mapChange.Payload)
		}
	}
}

func (a *agent) removeLink(l *link.Link) {
	delete(a.links, l)
	delete(a.entryLinks, l)
	if a.linkToLeader == l {
		a.linkToLeader = nil
	}
	for r, known := range a.linkByRank {
		if known == l {
			delete(a.linkByRank, r)
		}
	}
}

func (a *agent) receive(ctx context.Context, now time.Time, from *link.Link, payload []byte) {
	state := a.links[from]
	if state == nil {
		return
	}
	f, err := decodeFrame(payload, &state.received)
	if err != nil {
		a.logger.Error().Err(err).Msg("could not decode a map change message")
		return
	}
	switch {
	case f.Command != nil:
		a.linkToLeader = from
		a.execute(ctx, now, a.rank.Receive(now, state.session, *f.Command))
	case f.Status != nil:
		if s, known := a.rank.Engine(); known && f.Status.Epoch == s.Epoch && f.Status.Group == s.Group {
			a.linkByRank[f.Status.Rank] = from
		}
		a.receiveStatus(ctx, now, *f.Status)
	}
}

// updateDialers dials the agents of the other ranks and some entries if this agent
// leads, and stops dialling the addresses that are no longer needed.
func (a *agent) updateDialers(ctx context.Context) {
	wanted := make(map[string]bool, len(a.peerAddresses)+len(a.entryAddresses))
	for _, address := range slices.Concat(a.peerAddresses, a.entryAddresses) {
		if !a.isLeader || address == a.address {
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
