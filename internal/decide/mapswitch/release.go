package mapswitch

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// assist arms the engines of ranks whose processes do not follow a commit, for
// example because they are frozen.
func (l *Leader) assist() {
	if !l.life.In("committing") || l.now.Sub(l.decided) < assistAfter {
		return
	}
	for i, r := range l.ranks {
		if l.hasArmed(r) || r.status.Server == "" || l.now.Sub(r.asked) < assistAgain {
			continue
		}
		l.ranks[i].asked = l.now
		l.assistRank(i, OrderArm, l.step)
	}
}

func (l *Leader) assistRank(i int, kind OrderKind, step uint64) {
	l.actions = append(l.actions, Assist{
		Rank: ident.Rank(i), Server: l.ranks[i].status.Server,
		Order: Order{Kind: kind, Epoch: l.epoch, Version: l.version, Step: step},
	})
}

// release lets the group go on: at the end of a change, and when an engine is held
// for no change, by a late copy of an order.
func (l *Leader) release() {
	if len(l.ranks) == 0 || l.life.In("collecting") || l.now.Sub(l.releaseAsked) < releaseAgain {
		return
	}
	if l.life.In("releasing") || l.life.In("aborting") && l.step != 0 && !l.released {
		l.releaseAsked = l.now
		l.assistRank(0, OrderGo, l.step)
		return
	}
	for i, r := range l.ranks {
		if r.status.Held == 0 || l.wantsHeld(r.status.Held) {
			continue
		}
		if l.life.In("watching") && r.status.Held != l.step && l.partlyArmed() {
			// A predecessor's change was committed and is not complete. The leader's own
			// change was complete when it was released; the status may be older.
			l.fire("lost")
			return
		}
		l.releaseAsked = l.now
		l.assistRank(i, OrderGo, r.status.Held)
	}
}

// wantsHeld reports whether the change under way needs the pass to wait.
func (l *Leader) wantsHeld(step uint64) bool {
	return step == l.step && (l.life.In("holding") || l.life.In("settling") || l.life.In("confirming") || l.life.In("committing"))
}

// partlyArmed reports whether some ranks have armed a change and others have not.
func (l *Leader) partlyArmed() bool {
	armed := func(s Status) bool { return s.Armed != 0 }
	return l.some(armed) && !l.all(armed)
}

// hasArmed reports whether the rank's engine has armed the change, or uses it already.
func (l *Leader) hasArmed(r rankView) bool {
	return r.armed || r.status.Armed == l.version || r.status.Map >= l.version
}

// Assisted takes the end of an order that the leader gave to a rank's engine.
func (l *Leader) Assisted(now time.Time, rank ident.Rank, o Order, result Result) []Action {
	l.now = now
	if o.Epoch != l.epoch || int(rank) >= len(l.ranks) || result != Accepted {
		return l.take()
	}
	switch {
	case o.Kind == OrderArm && o.Version == l.version && l.life.In("committing"):
		l.ranks[rank].armed = true
	case o.Kind == OrderGo && rank == 0 && o.Step == l.step && (l.life.In("releasing") || l.life.In("aborting")):
		l.released = true
	}
	l.advance()
	return l.take()
}
