package recordsync

import (
	"slices"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peer is the process at the other end of one link.
type peer struct {
	owner *Synchronizer
	id    ident.InstanceID
	// record is the newest record that the peer is known to have.
	record message.Digest
	// pushes counts the pushes of the record in force to the peer.
	pushes int
	// delayed reports whether pushes to this peer are delayed, as they are if several
	// processes push to it.
	delayed bool
	// lifecycle has the states of the chart "delivery".
	lifecycle *chart.Lifecycle[*peer]
}

func deliveryBinding() chart.Binding[*peer] {
	return chart.Binding[*peer]{
		Guards: map[string]func(*peer) bool{
			"peerBehind":  (*peer).behind,
			"peerCurrent": func(p *peer) bool { return !p.behind() },
			"retriesLeft": func(p *peer) bool { return p.pushes < p.owner.config.MaxPushes },
		},
		Actions: map[string]func(*peer){"sendRecord": (*peer).sendRecord},
		Delays: map[string]func(*peer) time.Duration{
			"pushDelay":   (*peer).pushDelay,
			"pushTimeout": func(p *peer) time.Duration { return p.owner.config.PushTimeout },
		},
	}
}

// pushDelay returns the delay before the first push of a record. It is random for a
// sidecar, so that usually only one of the entries linked to it pushes the record.
func (p *peer) pushDelay() time.Duration {
	if !p.delayed {
		return 0
	}
	return p.owner.randomUpTo(p.owner.config.MaxPushDelay)
}

// behind reports whether the peer has an older record than this process.
func (p *peer) behind() bool { return p.record.Less(p.owner.inForce) }

// noteRecord notes a record that the peer has. An older one, whose digest arrived
// out of order, is ignored.
func (p *peer) noteRecord(record message.Digest) {
	if p.record.Less(record) {
		p.record = record
	}
}

// sendRecord sends a patch if this process still has the peer's record as its base.
// Otherwise it only announces the digest, so that the peer pulls the whole record
// from one process.
func (p *peer) sendRecord() {
	p.pushes++
	if slices.Contains(p.owner.bases, p.record) {
		p.owner.emit(SendRecord{To: p.id, Base: p.record})
		return
	}
	p.owner.emit(SendDigest{To: p.id})
}

func (s *Synchronizer) linkUp(in LinkUp) {
	p := &peer{owner: s, id: in.Peer, delayed: in.Sidecar}
	s.peers[in.Peer] = p
	p.lifecycle = s.deliveryMachine.New(s.now, p)
	s.peerRecord(in.Peer, in.Record)
}

func (s *Synchronizer) peerRecord(id ident.InstanceID, record message.Digest) {
	p := s.peers[id]
	if p == nil {
		return
	}
	p.noteRecord(record)
	if record == p.record {
		p.lifecycle.Fire(s.now, "confirmed")
	}
	if p.behind() && !p.lifecycle.In("pushing") && !p.lifecycle.In("delayed") {
		// The peer missed the pushes, or the link is new. One push per heartbeat is
		// enough, since a peer that refuses the record stays behind.
		p.pushes = s.config.MaxPushes - 1
		p.lifecycle.Fire(s.now, "changed")
	}
	if s.Wants(p.record) && s.pullLifecycle.In("idle") {
		s.source = id
		s.pullLifecycle.Fire(s.now, "behind")
	}
	s.checkAnswers()
}

// minAnswers is the number of linked peers from which a new process can become ready
// before its start-up wait times out. A single peer may itself be behind.
const minAnswers = 2

// checkAnswers ends the start-up wait once minAnswers peers are linked and this
// process has the newest of their records.
func (s *Synchronizer) checkAnswers() {
	if len(s.peers) < minAnswers || s.inForce == (message.Digest{}) {
		return
	}
	for _, p := range s.peers {
		if s.Wants(p.record) {
			return
		}
	}
	s.lifecycle.Fire(s.now, "answered")
}

// Wants reports whether a record is newer than the one in force and was not
// refused. Other records need not be parsed.
func (s *Synchronizer) Wants(record message.Digest) bool {
	return s.inForce.Less(record) && !slices.Contains(s.refused, record)
}

func pullBinding() chart.Binding[*Synchronizer] {
	return chart.Binding[*Synchronizer]{
		Guards: map[string]func(*Synchronizer) bool{"hasSource": func(s *Synchronizer) bool { return s.nextSource() != "" }},
		Actions: map[string]func(*Synchronizer){
			"sendPull":   func(s *Synchronizer) { s.emit(SendPull{To: s.source, Have: s.inForce}) },
			"nextSource": func(s *Synchronizer) { s.source = s.nextSource() },
		},
		Delays: map[string]func(*Synchronizer) time.Duration{
			"pullTimeout": func(s *Synchronizer) time.Duration { return s.config.PullTimeout },
		},
	}
}

// nextSource returns the next peer after the current source, in cyclic alphabetical
// order, that has a wanted record. It is the source itself if only that has one, and
// empty if no peer has one.
func (s *Synchronizer) nextSource() ident.InstanceID {
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

// finishPull ends the pull if no peer has a wanted record.
func (s *Synchronizer) finishPull() {
	if s.nextSource() == "" {
		s.pullLifecycle.Fire(s.now, "caughtUp")
	}
}

// badPush asks the peer for the whole record.
func (s *Synchronizer) badPush(id ident.InstanceID) {
	p := s.peers[id]
	if p == nil || !s.Wants(p.record) {
		return
	}
	s.emit(SendPull{To: id})
}

// answerPull sends the record in force, as a patch if possible, or only its digest if
// it is not newer than the peer's record.
func (s *Synchronizer) answerPull(in PeerPull) {
	if !in.Have.Less(s.inForce) {
		s.emit(SendDigest{To: in.Peer})
		return
	}
	base := in.Have
	if !slices.Contains(s.bases, base) {
		base = message.Digest{}
	}
	s.emit(SendRecord{To: in.Peer, Base: base})
}

func (s *Synchronizer) sortedPeers() []ident.InstanceID {
	ids := make([]ident.InstanceID, 0, len(s.peers))
	for id := range s.peers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
