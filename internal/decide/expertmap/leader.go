package expertmap

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// missedBeats is the number of beats after which a status is no longer fresh.
const missedBeats = 3

// leading is what a rank knows while it leads.
type leading struct {
	proposal
	changes []Change
	// replies are the answers to the exchange under way, by rank.
	replies []Wire
	// formed is the last formation that this incarnation committed.
	formed proposal
}

func (r *Rank) fromLowerRank() bool { return r.incoming.From < r.config.Rank }

func (r *Rank) leadsView() bool {
	return r.formation.In("formed") && r.view.epoch == r.lead.formed.epoch
}

func (r *Rank) canChange() bool {
	return r.leadsView() && r.change.In("idle") && len(r.proposed) > 0
}

// giveUp ends a switch that this rank can still refuse.
func (r *Rank) giveUp() {
	if r.change.In("loading") || r.change.In("loaded") {
		r.abortSwitch()
	}
}

func (r *Rank) sendBeats() {
	for to := range r.peers {
		if ident.Rank(to) != r.config.Rank {
			r.send(ident.Rank(to), Wire{Kind: Beat, View: r.view.epoch})
		}
	}
}

// hearStatus keeps the status of a rank and tells it a decision that it missed.
func (r *Rank) hearStatus(w Wire) {
	p := &r.peers[w.From]
	p.heard, p.view, p.pending, p.compute = r.now, w.View, w.Pending, w.ComputeMicros
	switch {
	case w.Pending == 0 || !r.leader.In("watching"):
	case w.Pending == r.lead.formed.epoch && r.lead.formed.members[w.From] == w.Incarnation:
		r.send(w.From, r.formationCommit())
	case r.leadsView() && w.View == r.view.epoch && r.member(w):
		r.answer(Wire{From: w.From, Epoch: w.Pending})
	}
}

// formationNeeded holds when every rank answers and some rank is not in this
// rank's formation, or a higher rank led it: only the rank that formed it can
// start a switch, and a higher rank yields to this one.
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
		if p.heard.IsZero() || r.now.Sub(p.heard) > missedBeats*r.config.Beat {
			return false
		}
		outside := !r.formation.In("formed") || p.view != r.view.epoch || p.incarnation != r.view.members[i]
		missedCommit := p.pending != 0 && p.pending == r.lead.formed.epoch
		needed = needed || outside && !missedCommit
	}
	return needed
}

// waitsForCommit holds while the rank's own engine enters a formation that it
// has committed itself.
func (r *Rank) waitsForCommit() bool {
	return r.join.epoch == r.lead.formed.epoch && r.join.epoch != 0 &&
		(r.formation.In("pledged") || r.formation.In("entering"))
}

func (r *Rank) startFormation() {
	r.lead.proposal = proposal{epoch: max(r.seen, r.floor).Next(r.config.Rank)}
	r.seen = r.lead.epoch
	r.lead.replies = make([]Wire, r.config.Ranks)
}

// missing calls send for each rank without an answer.
func (r *Rank) missing(send func(to ident.Rank)) {
	for to, w := range r.lead.replies {
		if w.Kind == 0 {
			send(ident.Rank(to))
		}
	}
}

func (r *Rank) sendCollect() {
	r.missing(func(to ident.Rank) {
		r.send(to, Wire{Kind: Collect, Epoch: r.lead.epoch, Current: r.engine.state.Next})
	})
}

// chooseMap takes the map of the highest epoch that any engine runs, and a step
// that no engine has entered.
func (r *Rank) chooseMap() {
	p := proposal{epoch: r.lead.epoch, members: make([]ident.Incarnation, r.config.Ranks)}
	highest := Epoch(0)
	for i, w := range r.lead.replies {
		p.members[i] = w.Incarnation
		p.step = max(p.step, w.Step+1)
		highest = max(highest, w.Current)
	}
	p.content = r.contentOf(highest)
	p.hash = p.content.Hash()
	r.lead.proposal = p
	r.lead.changes = nil
	reports := r.lead.replies
	r.lead.replies = make([]Wire, r.config.Ranks)
	for i := range reports {
		if reports[i].Current != highest {
			r.lead.replies[i].Map = p.content
		}
	}
}

func (r *Rank) contentOf(e Epoch) *Map {
	if e == 0 {
		return r.config.Initial
	}
	if r.engine.state.Next == e && r.engine.state.Map != nil {
		return r.engine.state.Map
	}
	for _, w := range r.lead.replies {
		if w.Current == e && w.Map != nil {
			return w.Map
		}
	}
	invariant.Check(false, "formation-map", "no report holds the map of epoch %d", e)
	return nil
}

func (r *Rank) sendProposal() {
	p := r.lead.proposal
	r.missing(func(to ident.Rank) {
		r.send(to, Wire{Kind: Form, Epoch: p.epoch, Step: p.step, Hash: p.hash, Members: p.members, Map: r.lead.replies[to].Map})
	})
}

func (r *Rank) formationCommit() Wire {
	return Wire{Kind: Commit, Epoch: r.lead.formed.epoch, Hash: r.lead.formed.hash}
}

func (r *Rank) commitFormation() {
	r.checkPromises()
	r.lead.formed = r.lead.proposal
	r.toAll(r.formationCommit())
}

// checkPromises checks, before a decision, that all ranks promised one and the
// same map.
func (r *Rank) checkPromises() {
	for i, w := range r.lead.replies {
		invariant.Check(w.Kind == Promise && w.Hash == r.lead.hash, "one-map",
			"epoch %d: rank %d answered kind %d with hash %x, the map is %x", r.lead.epoch, i, w.Kind, w.Hash, r.lead.hash)
	}
}

// count takes an answer to the exchange under way.
func (r *Rank) count(w Wire) {
	if w.Epoch != r.lead.epoch || r.lead.epoch == 0 {
		return
	}
	if w.Kind == Refuse {
		r.leader.Fire(r.now, "refused")
		return
	}
	if w.Kind != r.awaited() || r.lead.members != nil && r.lead.members[w.From] != w.Incarnation {
		return
	}
	r.lead.replies[w.From] = w
	complete := true
	r.missing(func(to ident.Rank) { complete = complete && r.lastToPromise(to) })
	if complete {
		r.leader.Fire(r.now, "complete")
	}
}

// lastToPromise excepts this rank while the others promise a switch.
func (r *Rank) lastToPromise(to ident.Rank) bool {
	return to == r.config.Rank && r.leader.In("promising")
}

// awaited is the kind of answer that the exchange under way counts.
func (r *Rank) awaited() Kind {
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
