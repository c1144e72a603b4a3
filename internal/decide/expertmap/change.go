package expertmap

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// acceptable reports whether the rank can take part in the offered switch: it is in a
// formation, the epoch is new, and the switch starts from the map that the rank runs.
func (r *Rank) acceptable() bool {
	w := r.incoming
	if !r.formation.In("formed") || w.Epoch <= r.floor || w.Current != r.engine.epoch {
		return false
	}
	expertMap, ok := r.engine.expertMap.Apply(w.Changes)
	return ok && expertMap.Hash() == w.Hash
}

// newerSwitch reports whether a newer acceptable switch is offered. A rank that has not
// promised then abandons the older switch, whose decision it missed.
func (r *Rank) newerSwitch() bool { return r.incoming.Epoch > r.switching.epoch && r.acceptable() }

func (r *Rank) sameSwitch() bool { return r.incoming.Epoch == r.switching.epoch }

func (r *Rank) loadMap() {
	w := r.incoming
	expertMap, _ := r.engine.expertMap.Apply(w.Changes)
	r.switching = proposal{epoch: w.Epoch, from: w.From, expertMap: expertMap, hash: w.Hash}
	r.promises = make(map[ident.Rank]bool)
	r.highestSeen = max(r.highestSeen, r.switching.epoch)
	r.enqueue(Order{Kind: OrderLoad, Token: r.switching.epoch, Map: r.switching.expertMap})
}

func (r *Rank) sendPrepared() {
	r.send(r.switching.from, PeerMessage{Kind: Prepared, Epoch: r.switching.epoch, View: r.view.epoch})
}

func (r *Rank) armEngine() {
	r.switching.step = r.incoming.Step
	r.enqueue(Order{Kind: OrderArm, Token: r.switching.epoch, Step: r.switching.step})
}

// sendPromise is called only after the engine has confirmed that it will stop before the
// switch step.
func (r *Rank) sendPromise() {
	r.promises[r.config.Rank] = true
	r.send(r.switching.from, PeerMessage{Kind: Promise, Epoch: r.switching.epoch, View: r.view.epoch, Hash: r.switching.expertMap.Hash()})
}

// recordRefusal makes sure that the rank never promises this epoch or an older one.
func (r *Rank) recordRefusal() {
	r.raiseFloor(r.switching.epoch)
	r.notice(SwitchAborted, r.switching.epoch, "")
}

func (r *Rank) sendRefusal() {
	r.send(r.switching.from, PeerMessage{Kind: Refuse, Epoch: r.switching.epoch, View: r.view.epoch, Floor: r.floor})
}

// queryPeers asks the other ranks for the decision when the leader's message does not
// arrive.
func (r *Rank) queryPeers() {
	for to := range r.peers {
		if ident.Rank(to) != r.config.Rank {
			r.send(ident.Rank(to), PeerMessage{Kind: Query, Epoch: r.switching.epoch, View: r.view.epoch})
		}
	}
}

func (r *Rank) releaseNew() {
	r.enqueue(Order{Kind: OrderRelease, Token: r.switching.epoch, RunEpoch: r.switching.epoch})
}

func (r *Rank) releaseOld() {
	r.enqueue(Order{Kind: OrderRelease, Token: r.switching.epoch, RunEpoch: r.engine.epoch})
}

func (r *Rank) adoptMap() {
	r.adopt(r.switching)
	r.raiseFloor(r.switching.epoch)
	r.committed[r.switching.epoch] = true
	r.notice(Switched, r.switching.epoch, "")
}

// switchState returns what the rank knows about a switch of its formation. A rank that
// has not promised refuses first, so that its answer stays true.
func (r *Rank) switchState(e Epoch) SwitchState {
	open := r.mapSwitch.In("open") && r.switching.epoch == e
	switch {
	case r.committed[e], open && r.mapSwitch.In("committing"):
		return StateCommitted
	case open && r.mapSwitch.In("promised"):
		return StatePromised
	case open && r.mapSwitch.In("arming"):
		return StateUnknown
	case open && r.mapSwitch.In("reverting"):
		return StateAborted
	}
	if open {
		r.mapSwitch.Fire(r.now, "abort")
	}
	r.raiseFloor(e)
	return StateAborted
}

// answerQuery tells a rank that waits for the decision what this rank knows. A rank
// outside the formation does not answer, since it does not know what an earlier
// incarnation promised.
func (r *Rank) answerQuery(w PeerMessage) {
	if !r.formation.In("formed") {
		return
	}
	if v := r.switchState(w.Epoch); v != StateUnknown {
		r.send(w.From, PeerMessage{Kind: QueryReply, Epoch: w.Epoch, View: r.view.epoch, SwitchState: v, Hash: r.switching.hash})
	}
}

// applyQueryReply takes what another rank knows about the switch that this rank has
// promised.
func (r *Rank) applyQueryReply(w PeerMessage) {
	if w.Epoch != r.switching.epoch || !r.mapSwitch.In("promised") {
		return
	}
	switch w.SwitchState {
	case StateCommitted:
		r.mapSwitch.Fire(r.now, "commit")
	case StateAborted:
		r.mapSwitch.Fire(r.now, "abort")
	case StatePromised:
		r.promises[w.From] = true
		if len(r.promises) == r.config.Ranks {
			r.mapSwitch.Fire(r.now, "commit")
		}
	}
}

// applyDecision takes the leader's decision on a switch.
func (r *Rank) applyDecision(w PeerMessage) {
	if w.Epoch != r.switching.epoch || !r.mapSwitch.In("open") {
		return
	}
	if w.Kind == Abort {
		r.mapSwitch.Fire(r.now, "abort")
		return
	}
	invariant.Check(w.Hash == r.switching.hash, "one-map", "rank %d prepared map hash %x for epoch %d, but the leader commits hash %x",
		r.config.Rank, r.switching.hash, w.Epoch, w.Hash)
	r.mapSwitch.Fire(r.now, "commit")
}
