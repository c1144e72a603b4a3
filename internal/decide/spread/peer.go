package spread

import (
	"slices"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peer is the other end of one link.
type peer struct {
	owner *Spread
	id    ident.InstanceID
	// record is the newest record that the peer is known to have.
	record message.Digest
	tries  int
	// held says that several processes deliver to this peer.
	held     bool
	delivery *chart.Instance[*peer]
}

func deliveryBinding() chart.Binding[*peer] {
	return chart.Binding[*peer]{
		Guards: map[string]func(*peer) bool{
			"peerBehind":  (*peer).behind,
			"peerCurrent": func(p *peer) bool { return !p.behind() },
			"triesLeft":   func(p *peer) bool { return p.tries < p.owner.config.Tries },
		},
		Actions: map[string]func(*peer){"sendRecord": (*peer).sendRecord},
		Delays: map[string]func(*peer) time.Duration{
			"holdTime":  (*peer).holdTime,
			"retryTime": func(p *peer) time.Duration { return p.owner.config.RetryTime },
		},
	}
}

// holdTime is random for a sidecar, so that mostly one of the entries linked to
// it delivers a record.
func (p *peer) holdTime() time.Duration {
	if !p.held {
		return 0
	}
	return p.owner.upTo(p.owner.config.HoldTime)
}

func (p *peer) behind() bool { return p.record.Less(p.owner.inForce) }

// raise notes a digest that the peer has. Digests that arrive out of order do
// not lower it.
func (p *peer) raise(record message.Digest) {
	if p.record.Less(record) {
		p.record = record
	}
}

// sendRecord sends a patch if this process still has what the peer has. A whole
// record is only announced, so that the peer pulls it from one process.
func (p *peer) sendRecord() {
	p.tries++
	if slices.Contains(p.owner.held, p.record) {
		p.owner.act(SendRecord{To: p.id, Base: p.record})
		return
	}
	p.owner.act(SendDigest{To: p.id})
}

func (s *Spread) linkUp(in LinkUp) {
	p := &peer{owner: s, id: in.Peer, held: in.Sidecar}
	s.peers[in.Peer] = p
	p.delivery = s.deliver.New(s.now, p)
	s.peerRecord(in.Peer, in.Record)
}

func (s *Spread) peerRecord(id ident.InstanceID, record message.Digest) {
	p := s.peers[id]
	if p == nil {
		return
	}
	p.raise(record)
	if record == p.record {
		p.delivery.Fire(s.now, "confirmed")
	}
	if p.behind() && !p.delivery.In("repeating") && !p.delivery.In("holding") {
		// The peer missed the pushes, or it has just linked. One try for each
		// heartbeat is enough, since a peer that refuses the record stays behind.
		p.tries = s.config.Tries - 1
		p.delivery.Fire(s.now, "changed")
	}
	if s.Wants(p.record) && s.pull.In("idle") {
		s.source = id
		s.pull.Fire(s.now, "behind")
	}
	s.checkAnswers()
}

// askedPeers is how many peers must have answered before a new process is ready
// ahead of its time. One peer alone may itself be behind.
const askedPeers = 2

// checkAnswers ends the asking once enough linked peers have announced their
// records and this process has the newest of them.
func (s *Spread) checkAnswers() {
	if len(s.peers) < askedPeers || s.inForce == (message.Digest{}) {
		return
	}
	for _, p := range s.peers {
		if s.Wants(p.record) {
			return
		}
	}
	s.life.Fire(s.now, "answered")
}

// Wants reports whether a record is newer than the one in force and was not
// refused. The content of other records need not be looked at.
func (s *Spread) Wants(record message.Digest) bool {
	return s.inForce.Less(record) && !slices.Contains(s.refused, record)
}

func pullBinding() chart.Binding[*Spread] {
	return chart.Binding[*Spread]{
		Guards: map[string]func(*Spread) bool{"otherSource": func(s *Spread) bool { return s.nextSource() != "" }},
		Actions: map[string]func(*Spread){
			"sendPull":   func(s *Spread) { s.act(SendPull{To: s.source, Have: s.inForce}) },
			"nextSource": func(s *Spread) { s.source = s.nextSource() },
		},
		Delays: map[string]func(*Spread) time.Duration{
			"pullTimeout": func(s *Spread) time.Duration { return s.config.PullTimeout },
		},
	}
}

// nextSource returns the next peer after the current source, in alphabetical
// order, that has a wanted record. It is the source itself if no other has one.
func (s *Spread) nextSource() ident.InstanceID {
	var first, next ident.InstanceID
	for _, id := range s.sortedPeers() {
		if !s.Wants(s.peers[id].record) {
			continue
		}
		if first == "" {
			first = id
		}
		if next == "" && id > s.source {
			next = id
		}
	}
	if next != "" {
		return next
	}
	return first
}

func (s *Spread) afterPull() {
	if s.nextSource() == "" {
		s.pull.Fire(s.now, "caughtUp")
	}
}

// badPush makes this process ask for the whole record.
func (s *Spread) badPush(id ident.InstanceID) {
	p := s.peers[id]
	if p == nil || !s.Wants(p.record) {
		return
	}
	s.act(SendPull{To: id})
}

func (s *Spread) answerPull(in PeerPull) {
	if !in.Have.Less(s.inForce) {
		s.act(SendDigest{To: in.Peer})
		return
	}
	base := in.Have
	if !slices.Contains(s.held, base) {
		base = message.Digest{}
	}
	s.act(SendRecord{To: in.Peer, Base: base})
}

func (s *Spread) sortedPeers() []ident.InstanceID {
	ids := make([]ident.InstanceID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
