package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// startSwitch starts a switch to the map with the proposed changes. Changes that do not
// fit the map are dropped, and the switch then keeps the present map.
func (r *Rank) startSwitch() {
	epoch := max(r.highestSeen, r.floor).Next(r.config.Rank)
	r.highestSeen = epoch
	expertMap, ok := r.engine.expertMap.Apply(r.proposed)
	if !ok {
		expertMap = r.engine.expertMap
	}
	r.leadership.proposal = proposal{epoch: epoch, expertMap: expertMap, hash: expertMap.Hash(), members: r.view.members}
	r.leadership.changes = r.proposed
	if !ok {
		r.leadership.changes = nil
	}
	r.proposed = nil
	r.leadership.replies = make([]PeerMessage, r.config.Ranks)
}

func (r *Rank) sendPrepare() {
	r.forEachUnanswered(func(to ident.Rank) {
		r.send(to, PeerMessage{Kind: Prepare, Epoch: r.leadership.epoch, View: r.view.epoch, Current: r.engine.epoch,
			Hash: r.leadership.hash, Changes: r.leadership.changes})
	})
}

// readStep reads the engine's current step.
func (r *Rank) readStep() {
	r.enqueue(Order{Kind: OrderReadState, Token: r.leadership.epoch})
}

// chooseStep picks a switch step far enough ahead that the decision normally
// arrives before the ranks reach it.
func (r *Rank) chooseStep() {
	r.notice(SwitchPrepared, r.leadership.epoch, "")
	r.leadership.step = r.engine.state.Entered + r.config.StepsAhead
	r.leadership.replies = make([]PeerMessage, r.config.Ranks)
}

func (r *Rank) sendArm() {
	r.forEachUnanswered(func(to ident.Rank) {
		if !r.lastToPromise(to) {
			r.send(to, r.armMessage())
		}
	})
}

func (r *Rank) armMessage() PeerMessage {
	return PeerMessage{Kind: Arm, Epoch: r.leadership.epoch, View: r.view.epoch, Step: r.leadership.step}
}

// armSelf asks this rank to promise after all others have.
func (r *Rank) armSelf() { r.send(r.config.Rank, r.armMessage()) }

// abortSwitch refuses the switch at this rank and aborts it at the others. It does
// nothing once this rank may have promised.
func (r *Rank) abortSwitch() {
	if r.mapSwitch.In("open") && r.switching.epoch == r.leadership.epoch {
		if !r.mapSwitch.In("loading") && !r.mapSwitch.In("loaded") {
			return
		}
		r.mapSwitch.Fire(r.now, "abort")
	}
	r.raiseFloor(r.leadership.epoch)
	r.broadcast(PeerMessage{Kind: Abort, Epoch: r.leadership.epoch, View: r.view.epoch})
}

func (r *Rank) commitSwitch() {
	r.checkPromises()
	r.broadcast(PeerMessage{Kind: Commit, Epoch: r.leadership.epoch, View: r.view.epoch, Hash: r.leadership.hash})
}
