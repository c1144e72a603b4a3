package expertmap

import "github.com/anvilpoint/anvilpoint/internal/invariant"

func (r *Rank) newerFormation() bool { return r.incoming.Epoch > r.floor }

func (r *Rank) sameFormation() bool {
	return r.incoming.Epoch == r.join.epoch && r.incoming.From == r.join.from
}

// proposalForThis accepts a proposal only if it counts this incarnation.
func (r *Rank) proposalForThis() bool {
	m := r.incoming.Members
	return r.sameFormation() && r.floor == r.join.epoch && len(m) == r.config.Ranks &&
		m[r.config.Rank] == r.config.Incarnation
}

func (r *Rank) formationCommitted() bool { return r.incoming.Epoch == r.join.epoch }

// holdEngine gives up every promise below the new epoch: from here on the rank
// carries out no decision of a lower epoch.
func (r *Rank) holdEngine() {
	r.join = proposal{epoch: r.incoming.Epoch, from: r.incoming.From}
	r.raiseFloor(r.join.epoch)
	r.change.Fire(r.now, "superseded")
	r.order(Order{Kind: OrderHold, Token: r.join.epoch})
}

// sendReport tells what the engine runs now that it has stopped.
func (r *Rank) sendReport() {
	s := r.engine.state
	w := Wire{Kind: Report, Epoch: r.join.epoch, Current: s.Next, Step: s.Entered}
	if s.Next > r.incoming.Current {
		w.Map = s.Map
	}
	r.send(r.join.from, w)
}

// loadFormation loads the proposed map. A proposal without content names the map
// that the engine has.
func (r *Rank) loadFormation() {
	p := proposal{epoch: r.join.epoch, from: r.join.from, step: r.incoming.Step,
		content: r.incoming.Map, hash: r.incoming.Hash, members: r.incoming.Members}
	if p.content == nil {
		p.content = r.engine.state.Map
	}
	if p.content == nil {
		p.content = r.config.Initial
	}
	r.join = p
	r.order(Order{Kind: OrderLoad, Token: p.epoch, Map: p.content})
	r.order(Order{Kind: OrderArm, Token: p.epoch, Step: p.step})
}

func (r *Rank) sendFormationPromise() {
	r.send(r.join.from, Wire{Kind: Promise, Epoch: r.join.epoch, Hash: r.join.content.Hash()})
}

func (r *Rank) releaseFormation() {
	r.order(Order{Kind: OrderRelease, Token: r.join.epoch, Run: r.join.epoch})
}

func (r *Rank) adoptFormation() {
	invariant.Check(r.join.members[r.config.Rank] == r.config.Incarnation, "member-incarnation",
		"rank %d enters epoch %d with another incarnation", r.config.Rank, r.join.epoch)
	r.adopt(r.join)
	r.view = view{epoch: r.join.epoch, members: r.join.members}
	r.committed = make(map[Epoch]bool)
	r.notice(Formed, r.join.epoch, "")
}
