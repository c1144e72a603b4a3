package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// receive takes a message from a rank, which may be this one.
func (r *Rank) receive(w PeerMessage) {
	if !r.isCurrent(w) {
		return
	}
	r.incoming = w
	r.highestSeen = max(r.highestSeen, w.Epoch, w.Floor)
	switch w.Kind {
	case Heartbeat, Collect, Form, Prepare, Arm, Commit, Abort:
		r.handleLeaderMessage(w)
	case Status:
		r.recordStatus(w)
	case Report, Prepared, Promise, Refuse:
		r.recordReply(w)
	case Query:
		if w.View == r.view.epoch && r.isMember(w) {
			r.answerQuery(w)
		}
	case QueryReply:
		if w.View == r.view.epoch && r.isMember(w) && r.formation.In("formed") {
			r.applyQueryReply(w)
		}
	}
}

// isCurrent reports whether both the sender and the addressee are current incarnations.
// It declines a leader's request that was addressed to an earlier incarnation.
func (r *Rank) isCurrent(w PeerMessage) bool {
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
			r.decline(w)
		}
		return false
	}
	return true
}

// isMember reports whether the sender's incarnation is a member of the formation.
func (r *Rank) isMember(w PeerMessage) bool {
	return int(w.From) < len(r.view.members) && r.view.members[w.From] == w.Incarnation
}

func (r *Rank) handleLeaderMessage(w PeerMessage) {
	if w.From != r.config.Rank {
		r.leader.Fire(r.now, "heardLeader")
	}
	inView := w.View == r.view.epoch && w.View != 0 && r.formation.In("formed") && r.isMember(w)
	switch w.Kind {
	case Heartbeat:
		r.sendStatus(w.From)
	case Collect:
		if _, taken := r.formation.Fire(r.now, "collect"); !taken && !r.formation.In("settling") && w.Epoch < r.floor {
			r.send(w.From, PeerMessage{Kind: Refuse, Epoch: w.Epoch, Floor: r.floor})
		}
	case Form:
		if r.formation.In("apart") {
			r.decline(w)
		}
		r.formation.Fire(r.now, "propose")
	case Prepare, Arm:
		r.handleSwitchRequest(w, inView)
	case Commit, Abort:
		r.handleDecision(w, inView)
	}
}

func (r *Rank) handleSwitchRequest(w PeerMessage, inView bool) {
	switch {
	case !inView && (r.joining.epoch != w.View || r.formation.In("apart")):
		r.decline(w)
	case inView && w.Kind == Prepare:
		r.mapSwitch.Fire(r.now, "prepare")
	case inView:
		r.mapSwitch.Fire(r.now, "arm")
	}
}

// decline tells a leader that this rank is not, or no longer, in the formation that the
// message belongs to, so that the leader need not wait. The leader then refuses itself,
// which it can only while it has not promised. A decline says nothing about what an
// earlier incarnation of this rank promised.
func (r *Rank) decline(w PeerMessage) {
	r.send(w.From, PeerMessage{Kind: Refuse, Epoch: w.Epoch, Floor: r.floor})
}

func (r *Rank) handleDecision(w PeerMessage, inView bool) {
	if w.Kind == Commit && w.Epoch == r.joining.epoch {
		r.formation.Fire(r.now, "commit")
		return
	}
	if inView {
		r.applyDecision(w)
	}
}

func (r *Rank) sendStatus(to ident.Rank) {
	w := PeerMessage{Kind: Status, Floor: r.floor, Current: r.engine.state.Next, ComputeMicros: r.engine.state.ComputeMicros}
	switch {
	case r.formation.In("formed"):
		w.View = r.view.epoch
		if r.mapSwitch.In("promised") {
			w.Pending = r.switching.epoch
		}
	case r.formation.In("pledged"), r.formation.In("entering"):
		w.Pending = r.joining.epoch
	}
	r.send(to, w)
}
