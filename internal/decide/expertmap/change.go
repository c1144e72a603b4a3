package expertmap

import (
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// acceptable lets a rank take part in a switch of its own formation only, from
// the map that it runs.
func (r *Rank) acceptable() bool {
	w := r.incoming
	if !r.formation.In("formed") || w.Epoch <= r.floor || w.Current != r.engine.epoch {
		return false
	}
	content, ok := r.engine.content.Apply(w.Changes)
	return ok && content.Hash() == w.Hash
}

// newerSwitch lets a rank that has not promised leave a switch whose end it did
// not hear of.
func (r *Rank) newerSwitch() bool { return r.incoming.Epoch > r.next.epoch && r.acceptable() }

func (r *Rank) sameSwitch() bool { return r.incoming.Epoch == r.next.epoch }

func (r *Rank) loadMap() {
	w := r.incoming
	content, _ := r.engine.content.Apply(w.Changes)
	r.next = proposal{epoch: w.Epoch, from: w.From, content: content, hash: w.Hash}
	r.promises = make(map[ident.Rank]bool)
	r.seen = max(r.seen, r.next.epoch)
	r.order(Order{Kind: OrderLoad, Token: r.next.epoch, Map: r.next.content})
}

func (r *Rank) sendPrepared() {
	r.send(r.next.from, Wire{Kind: Prepared, Epoch: r.next.epoch, View: r.view.epoch})
}

func (r *Rank) armEngine() {
	r.next.step = r.incoming.Step
	r.order(Order{Kind: OrderArm, Token: r.next.epoch, Step: r.next.step})
}

// sendPromise is called only when the engine has confirmed that it stops.
func (r *Rank) sendPromise() {
	r.promises[r.config.Rank] = true
	r.send(r.next.from, Wire{Kind: Promise, Epoch: r.next.epoch, View: r.view.epoch, Hash: r.next.content.Hash()})
}

// refuse records that the rank never promises the epoch or an older one.
func (r *Rank) refuse() {
	r.raiseFloor(r.next.epoch)
	r.notice(SwitchAborted, r.next.epoch, "")
}

func (r *Rank) sendRefusal() {
	r.send(r.next.from, Wire{Kind: Refuse, Epoch: r.next.epoch, View: r.view.epoch, Floor: r.floor})
}

// askOthers looks for the decision when the leader's message does not arrive.
func (r *Rank) askOthers() {
	for to := range r.peers {
		if ident.Rank(to) != r.config.Rank {
			r.send(ident.Rank(to), Wire{Kind: Query, Epoch: r.next.epoch, View: r.view.epoch})
		}
	}
}

func (r *Rank) releaseNew() {
	r.order(Order{Kind: OrderRelease, Token: r.next.epoch, Run: r.next.epoch})
}

func (r *Rank) releaseOld() {
	r.order(Order{Kind: OrderRelease, Token: r.next.epoch, Run: r.engine.epoch})
}

func (r *Rank) adoptMap() {
	r.adopt(r.next)
	r.raiseFloor(r.next.epoch)
	r.committed[r.next.epoch] = true
	r.notice(Switched, r.next.epoch, "")
}

// verdict returns what the rank knows of a switch of its formation. A rank that
// has not promised refuses first, so that the answer cannot change.
func (r *Rank) verdict(e Epoch) Verdict {
	open := r.change.In("open") && r.next.epoch == e
	switch {
	case r.committed[e], open && r.change.In("committing"):
		return VerdictCommitted
	case open && r.change.In("promised"):
		return VerdictPromised
	case open && r.change.In("arming"):
		return VerdictNone
	case open && r.change.In("reverting"):
		return VerdictAborted
	}
	if open {
		r.change.Fire(r.now, "abort")
	}
	r.raiseFloor(e)
	return VerdictAborted
}

// answer replies to a rank in doubt. A rank outside the formation does not know
// what its predecessor promised and stays silent.
func (r *Rank) answer(w Wire) {
	if !r.formation.In("formed") {
		return
	}
	if v := r.verdict(w.Epoch); v != VerdictNone {
		r.send(w.From, Wire{Kind: Known, Epoch: w.Epoch, View: r.view.epoch, Verdict: v, Hash: r.next.hash})
	}
}

// learn takes another rank's knowledge of the switch in doubt.
func (r *Rank) learn(w Wire) {
	if w.Epoch != r.next.epoch || !r.change.In("promised") {
		return
	}
	switch w.Verdict {
	case VerdictCommitted:
		r.change.Fire(r.now, "commit")
	case VerdictAborted:
		r.change.Fire(r.now, "abort")
	case VerdictPromised:
		r.promises[w.From] = true
		if len(r.promises) == r.config.Ranks {
			r.change.Fire(r.now, "commit")
		}
	}
}

// decide takes the leader's decision.
func (r *Rank) decide(w Wire) {
	if w.Epoch != r.next.epoch || !r.change.In("open") {
		return
	}
	if w.Kind == Abort {
		r.change.Fire(r.now, "abort")
		return
	}
	invariant.Check(w.Hash == r.next.hash, "one-map", "rank %d prepared %x for epoch %d, the leader commits %x",
		r.config.Rank, r.next.hash, w.Epoch, w.Hash)
	r.change.Fire(r.now, "commit")
}
