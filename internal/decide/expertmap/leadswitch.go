package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// startSwitch begins a switch to the proposed changes.
func (r *Rank) startSwitch() {
	epoch := max(r.seen, r.floor).Next(r.config.Rank)
	r.seen = epoch
	content, ok := r.engine.content.Apply(r.proposed)
	if !ok {
		content = r.engine.content
	}
	r.lead.proposal = proposal{epoch: epoch, content: content, hash: content.Hash(), members: r.view.members}
	r.lead.changes = r.proposed
	if !ok {
		r.lead.changes = nil
	}
	r.proposed = nil
	r.lead.replies = make([]Wire, r.config.Ranks)
}

func (r *Rank) sendPrepare() {
	r.missing(func(to ident.Rank) {
		r.send(to, Wire{Kind: Prepare, Epoch: r.lead.epoch, View: r.view.epoch, Current: r.engine.epoch,
			Hash: r.lead.hash, Changes: r.lead.changes})
	})
}

// readStep asks the engine which step it is in.
func (r *Rank) readStep() {
	r.order(Order{Kind: OrderCurrent, Token: r.lead.epoch})
}

// chooseStep picks a switch step far enough ahead that the decision normally
// arrives before the ranks reach it.
func (r *Rank) chooseStep() {
	r.notice(SwitchPrepared, r.lead.epoch, "")
	r.lead.step = r.engine.state.Entered + r.config.Margin
	r.lead.replies = make([]Wire, r.config.Ranks)
}

func (r *Rank) sendArm() {
	r.missing(func(to ident.Rank) {
		if !r.lastToPromise(to) {
			r.send(to, r.armMessage())
		}
	})
}

func (r *Rank) armMessage() Wire {
	return Wire{Kind: Arm, Epoch: r.lead.epoch, View: r.view.epoch, Step: r.lead.step}
}

// armOwn makes this rank promise, the last one to do so.
func (r *Rank) armOwn() { r.send(r.config.Rank, r.armMessage()) }

// abortSwitch refuses for this rank and tells the others.
func (r *Rank) abortSwitch() {
	if r.change.In("open") && r.next.epoch == r.lead.epoch {
		if !r.change.In("loading") && !r.change.In("loaded") {
			return
		}
		r.change.Fire(r.now, "abort")
	}
	r.raiseFloor(r.lead.epoch)
	r.toAll(Wire{Kind: Abort, Epoch: r.lead.epoch, View: r.view.epoch})
}

func (r *Rank) commitSwitch() {
	r.checkPromises()
	r.toAll(Wire{Kind: Commit, Epoch: r.lead.epoch, View: r.view.epoch, Hash: r.lead.hash})
}
