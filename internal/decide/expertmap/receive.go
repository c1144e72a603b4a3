package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// receive takes a message from a rank, perhaps from this one.
func (r *Rank) receive(w Wire) {
	if !r.current(w) {
		return
	}
	r.incoming = w
	r.seen = max(r.seen, w.Epoch, w.Floor)
	switch w.Kind {
	case Beat, Collect, Form, Prepare, Arm, Commit, Abort:
		r.fromLeader(w)
	case Status:
		r.hearStatus(w)
	case Report, Prepared, Promise, Refuse:
		r.count(w)
	case Query:
		if w.View == r.view.epoch && r.member(w) {
			r.answer(w)
		}
	case Known:
		if w.View == r.view.epoch && r.member(w) && r.formation.In("formed") {
			r.learn(w)
		}
	}
}

// current drops messages that an earlier incarnation sent or was meant to get.
func (r *Rank) current(w Wire) bool {
	if int(w.From) < 0 || int(w.From) >= len(r.peers) {
		return false
	}
	p := &r.peers[w.From]
	if w.Incarnation < p.incarnation {
		return false
	}
	p.incarnation = w.Incarnation
	if w.Addressee != 0 && w.Addressee != r.config.Incarnation {
		if w.Kind == Form || w.Kind == Prepare || w.Kind == Arm {
			r.declineAs(w)
		}
		return false
	}
	return true
}

// member reports whether the sender is the incarnation that the formation counts.
func (r *Rank) member(w Wire) bool {
	return int(w.From) < len(r.view.members) && r.view.members[w.From] == w.Incarnation
}

func (r *Rank) fromLeader(w Wire) {
	if w.From != r.config.Rank {
		r.leader.Fire(r.now, "heardLeader")
	}
	inView := w.View == r.view.epoch && w.View != 0 && r.formation.In("formed") && r.member(w)
	switch w.Kind {
	case Beat:
		r.sendStatus(w.From)
	case Collect:
		if _, taken := r.formation.Fire(r.now, "collect"); !taken && !r.formation.In("settling") && w.Epoch < r.floor {
			r.send(w.From, Wire{Kind: Refuse, Epoch: w.Epoch, Floor: r.floor})
		}
	case Form:
		if r.formation.In("apart") {
			r.declineAs(w)
		}
		r.formation.Fire(r.now, "propose")
	case Prepare, Arm:
		r.takePart(w, inView)
	case Commit, Abort:
		r.formationOrSwitch(w, inView)
	}
}

func (r *Rank) takePart(w Wire, inView bool) {
	switch {
	case !inView && (r.join.epoch != w.View || r.formation.In("apart")):
		r.declineAs(w)
	case inView && w.Kind == Prepare:
		r.change.Fire(r.now, "prepare")
	case inView:
		r.change.Fire(r.now, "arm")
	}
}

// declineAs tells a leader that this rank is not, or no longer, in the formation
// that the message belongs to, so that the leader need not wait. The leader takes
// it as a reason to refuse itself, which it can only while it has not promised;
// it says nothing of what a predecessor of this rank promised.
func (r *Rank) declineAs(w Wire) {
	r.send(w.From, Wire{Kind: Refuse, Epoch: w.Epoch, Floor: r.floor})
}

func (r *Rank) formationOrSwitch(w Wire, inView bool) {
	if w.Kind == Commit && w.Epoch == r.join.epoch {
		r.formation.Fire(r.now, "commit")
		return
	}
	if inView {
		r.decide(w)
	}
}

func (r *Rank) sendStatus(to ident.Rank) {
	w := Wire{Kind: Status, Floor: r.floor, Current: r.engine.state.Next, ComputeMicros: r.engine.state.ComputeMicros}
	switch {
	case r.formation.In("formed"):
		w.View = r.view.epoch
		if r.change.In("promised") {
			w.Pending = r.next.epoch
		}
	case r.formation.In("pledged"), r.formation.In("entering"):
		w.Pending = r.join.epoch
	}
	r.send(to, w)
}
