package expertmap

import "github.com/anvilpoint/anvilpoint/internal/invariant"

func (r *Rank) newerFormation() bool { return r.incoming.Epoch > r.floor }

func (r *Rank) sameFormation() bool {
	return r.incoming.Epoch == r.joining.epoch && r.incoming.From == r.joining.from
}

// includesThisIncarnation reports whether the proposal is of the formation that this rank
// last reported to and has this incarnation as its member.
func (r *Rank) includesThisIncarnation() bool {
	m := r.incoming.Members
	return r.sameFormation() && r.floor == r.joining.epoch && len(m) == r.config.Ranks &&
		m[r.config.Rank] == r.config.Incarnation
}

func (r *Rank) formationCommitted() bool { return r.incoming.Epoch == r.joining.epoch }

// holdEngine stops the engine for a new formation and withdraws every promise of a lower
// epoch: from here on the rank carries out no decision of a lower epoch.
func (r *Rank) holdEngine() {
	r.joining = proposal{epoch: r.incoming.Epoch, from: r.incoming.From}
	r.raiseFloor(r.joining.epoch)
	r.mapSwitch.Fire(r.now, "superseded")
	r.enqueue(Order{Kind: OrderHold, Token: r.joining.epoch})
}

// sendReport reports which map the stopped engine runs. The map itself is included only
// if it is newer than the leader's.
func (r *Rank) sendReport() {
	s := r.engine.state
	w := PeerMessage{Kind: Report, Epoch: r.joining.epoch, Current: s.Next, Step: s.Entered}
	if s.Next > r.incoming.Current {
		w.Map = s.Map
	}
	r.send(r.joining.from, w)
}

// loadFormation loads and arms the proposed map. A proposal without a map means the map
// that the engine already has.
func (r *Rank) loadFormation() {
	p := proposal{epoch: r.joining.epoch, from: r.joining.from, step: r.incoming.Step,
		expertMap: r.incoming.Map, hash: r.incoming.Hash, members: r.incoming.Members}
	if p.expertMap == nil {
		p.expertMap = r.engine.state.Map
	}
	if p.expertMap == nil {
		p.expertMap = r.config.Initial
	}
	r.joining = p
	r.enqueue(Order{Kind: OrderLoad, Token: p.epoch, Map: p.expertMap})
	r.enqueue(Order{Kind: OrderArm, Token: p.epoch, Step: p.step})
}

func (r *Rank) sendFormationPromise() {
	r.send(r.joining.from, PeerMessage{Kind: Promise, Epoch: r.joining.epoch, Hash: r.joining.expertMap.Hash()})
}

func (r *Rank) releaseFormation() {
	r.enqueue(Order{Kind: OrderRelease, Token: r.joining.epoch, RunEpoch: r.joining.epoch})
}

func (r *Rank) adoptFormation() {
	invariant.Check(r.joining.members[r.config.Rank] == r.config.Incarnation, "member-incarnation",
		"rank %d enters epoch %d, whose members name another incarnation of it", r.config.Rank, r.joining.epoch)
	r.adopt(r.joining)
	r.view = view{epoch: r.joining.epoch, members: r.joining.members}
	r.committed = make(map[Epoch]bool)
	r.notice(Formed, r.joining.epoch, "")
}
