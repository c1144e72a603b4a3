package expertmap

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// statusTTLHeartbeats is how long a rank's status counts as current, in heartbeat
// intervals.
const statusTTLHeartbeats = 3

// leadership is the state of a rank as leader.
type leadership struct {
	proposal
	changes []Change
	// replies are the answers in the current exchange, by rank.
	replies []PeerMessage
	// formed is the last formation that this incarnation has committed.
	formed proposal
}

func (r *Rank) fromLowerRank() bool { return r.incoming.From < r.config.Rank }

func (r *Rank) leadsView() bool {
	return r.formation.In("formed") && r.view.epoch == r.leadership.formed.epoch
}

// canSwitch reports whether a proposed switch can be started.
func (r *Rank) canSwitch() bool {
	return r.leadsView() && r.mapSwitch.In("idle") && len(r.proposed) > 0
}

// abortOwnSwitch aborts the switch that this rank leads if it can still refuse it.
func (r *Rank) abortOwnSwitch() {
	if r.mapSwitch.In("loading") || r.mapSwitch.In("loaded") {
		r.abortSwitch()
	}
}

func (r *Rank) sendHeartbeats() {
	for to := range r.peers {
		if ident.Rank(to) != r.config.Rank {
			r.send(ident.Rank(to), PeerMessage{Kind: Heartbeat, View: r.view.epoch})
		}
	}
}

// recordStatus keeps the status of a rank and sends it a decision that it missed.
func (r *Rank) recordStatus(w PeerMessage) {
	p := &r.peers[w.From]
	p.heardAt, p.view, p.pending, p.computeMicros = r.now, w.View, w.Pending, w.ComputeMicros
	switch {
	case w.Pending == 0 || !r.leader.In("watching"):
	case w.Pending == r.leadership.formed.epoch && r.leadership.formed.members[w.From] == w.Incarnation:
		r.send(w.From, r.formationCommit())
	case r.leadsView() && w.View == r.view.epoch && r.isMember(w):
		r.answerQuery(PeerMessage{From: w.From, Epoch: w.Pending})
	}
}

// formationNeeded reports whether every rank has a current status and either some rank is
// outside this rank's formation or a higher rank led that formation. The latter matters
// because only the rank that formed the group can start a switch, and a higher rank
// yields to this one.
func (r *Rank) formationNeeded() bool {
	needed := !r.formation.In("formed") && !r.waitsForCommit() ||
		r.formation.In("formed") && r.view.epoch.Proposer() > r.config.Rank
	if r.formation.In("settling") {
		return false
	}
	for i, p := range r.peers {
		if ident.Rank(i) == r.config.Rank {
			continue
		}
		if p.heardAt.IsZero() || r.now.Sub(p.heardAt) > statusTTLHeartbeats*r.config.HeartbeatInterval {
			return false
		}
		outside := !r.formation.In("formed") || p.view != r.view.epoch || p.incarnation != r.view.members[i]
		missedCommit := p.pending != 0 && p.pending == r.leadership.formed.epoch
		needed = needed || outside && !missedCommit
	}
	return needed
}

// waitsForCommit reports whether the rank is still entering a formation that it has
// committed itself.
func (r *Rank) waitsForCommit() bool {
	return r.joining.epoch == r.leadership.formed.epoch && r.joining.epoch != 0 &&
		(r.formation.In("pledged") || r.formation.In("entering"))
}

func (r *Rank) startFormation() {
	r.leadership.proposal = proposal{epoch: max(r.highestSeen, r.floor).Next(r.config.Rank)}
	r.highestSeen = r.leadership.epoch
	r.leadership.replies = make([]PeerMessage, r.config.Ranks)
}

// forEachUnanswered calls send for each rank that has not answered in the current
// exchange.
func (r *Rank) forEachUnanswered(send func(to ident.Rank)) {
	for to, w := range r.leadership.replies {
		if w.Kind == 0 {
			send(ident.Rank(to))
		}
	}
}

func (r *Rank) sendCollect() {
	r.forEachUnanswered(func(to ident.Rank) {
		r.send(to, PeerMessage{Kind: Collect, Epoch: r.leadership.epoch, Current: r.engine.state.Next})
	})
}

// chooseMap proposes the map of the highest epoch that any engine runs, from a step that
// no engine has entered. The map is sent only to ranks that reported another epoch.
func (r *Rank) chooseMap() {
	p := proposal{epoch: r.leadership.epoch, members: make([]ident.Incarnation, r.config.Ranks)}
	highest := Epoch(0)
	for i, w := range r.leadership.replies {
		p.members[i] = w.Incarnation
		p.step = max(p.step, w.Step+1)
		highest = max(highest, w.Current)
	}
	p.expertMap = r.mapOf(highest)
	p.hash = p.expertMap.Hash()
	r.leadership.proposal = p
	r.leadership.changes = nil
	reports := r.leadership.replies
	r.leadership.replies = make([]PeerMessage, r.config.Ranks)
	for i := range reports {
		if reports[i].Current != highest {
			r.leadership.replies[i].Map = p.expertMap
		}
	}
}

func (r *Rank) mapOf(e Epoch) *Map {
	if e == 0 {
		return r.config.Initial
	}
	if r.engine.state.Next == e && r.engine.state.Map != nil {
		return r.engine.state.Map
	}
	for _, w := range r.leadership.replies {
		if w.Current == e && w.Map != nil {
			return w.Map
		}
	}
	invariant.Check(false, "formation-map", "no report contains the map of epoch %d", e)
	return nil
}

func (r *Rank) sendProposal() {
	p := r.leadership.proposal
	r.forEachUnanswered(func(to ident.Rank) {
		r.send(to, PeerMessage{Kind: Form, Epoch: p.epoch, Step: p.step, Hash: p.hash, Members: p.members, Map: r.leadership.replies[to].Map})
	})
}

func (r *Rank) formationCommit() PeerMessage {
	return PeerMessage{Kind: Commit, Epoch: r.leadership.formed.epoch, Hash: r.leadership.formed.hash}
}

func (r *Rank) commitFormation() {
	r.checkPromises()
	r.leadership.formed = r.leadership.proposal
	r.broadcast(r.formationCommit())
}

// checkPromises checks before a commit that all ranks have promised the same map.
func (r *Rank) checkPromises() {
	for i, w := range r.leadership.replies {
		invariant.Check(w.Kind == Promise && w.Hash == r.leadership.hash, "one-map",
			"epoch %d: rank %d answered with message kind %d and map hash %x, but the proposed hash is %x", r.leadership.epoch, i, w.Kind, w.Hash, r.leadership.hash)
	}
}

// recordReply takes an answer in the current exchange.
func (r *Rank) recordReply(w PeerMessage) {
	if w.Epoch != r.leadership.epoch || r.leadership.epoch == 0 {
		return
	}
	if w.Kind == Refuse {
		r.leader.Fire(r.now, "refused")
		return
	}
	if w.Kind != r.expectedReply() || r.leadership.members != nil && r.leadership.members[w.From] != w.Incarnation {
		return
	}
	r.leadership.replies[w.From] = w
	complete := true
	r.forEachUnanswered(func(to ident.Rank) { complete = complete && r.lastToPromise(to) })
	if complete {
		r.leader.Fire(r.now, "complete")
	}
}

// lastToPromise reports whether the rank is the leader itself and the other ranks are
// still promising a switch.
func (r *Rank) lastToPromise(to ident.Rank) bool {
	return to == r.config.Rank && r.leader.In("promising")
}

// expectedReply returns the kind of answer that the current exchange waits for.
func (r *Rank) expectedReply() Kind {
	switch {
	case r.leader.In("collecting"):
		return Report
	case r.leader.In("preparing"):
		return Prepared
	case r.leader.In("forming"), r.leader.In("promising"), r.leader.In("deciding"):
		return Promise
	}
	return 0
}
