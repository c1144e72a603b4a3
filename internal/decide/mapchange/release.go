package mapchange

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// armUnresponsive arms the engines of ranks whose agents do not follow a commit, for
// example because they are frozen.
func (l *Leader) armUnresponsive() {
	if !l.lifecycle.In("committing") || l.now.Sub(l.stateEntered) < assistTimeout {
		return
	}
	for i, r := range l.ranks {
		if l.hasArmed(r) || r.status.Server == "" || l.now.Sub(r.armSent) < assistResendInterval {
			continue
		}
		l.ranks[i].armSent = l.now
		l.orderEngine(i, OrderArm, l.step)
	}
}

func (l *Leader) orderEngine(i int, kind OrderKind, step uint64) {
	l.actions = append(l.actions, SendLeaderOrder{
		Rank: ident.Rank(i), Server: l.ranks[i].status.Server,
		Order: Order{Kind: kind, Epoch: l.epoch, Version: l.version, Step: step},
	})
}

// release releases the engine of rank 0 at the end of a change, and any engine that a
// late duplicate of an order holds for no change.
func (l *Leader) release() {
	if len(l.ranks) == 0 || l.lifecycle.In("collecting") || l.now.Sub(l.releaseSent) < releaseResendInterval {
		return
	}
	if l.lifecycle.In("releasing") || l.lifecycle.In("aborting") && l.step != 0 && !l.released {
		l.releaseSent = l.now
		l.orderEngine(0, OrderRelease, l.step)
		return
	}
	for i, r := range l.ranks {
		if r.status.Held == 0 || l.needsHold(r.status.Held) {
			continue
		}
		if l.lifecycle.In("watching") && r.status.Held != l.step && l.partlyArmed() {
			// An earlier leader committed a change that is not complete. A hold for
			// this leader's own last step is excluded: that change was complete when
			// it was released, and the status may be older.
			l.fire("collect")
			return
		}
		l.releaseSent = l.now
		l.orderEngine(i, OrderRelease, r.status.Held)
	}
}

// needsHold reports whether the change in progress needs the engine to stay held before
// the step.
func (l *Leader) needsHold(step uint64) bool {
	return step == l.step && (l.lifecycle.In("holding") || l.lifecycle.In("settling") || l.lifecycle.In("confirming") || l.lifecycle.In("committing"))
}

// partlyArmed reports whether some but not all ranks have armed a change.
func (l *Leader) partlyArmed() bool {
	armed := func(s Status) bool { return s.Armed != 0 }
	return l.anyStatus(armed) && !l.allStatuses(armed)
}

// hasArmed reports whether the rank's engine has armed the change or already uses it.
func (l *Leader) hasArmed(r rankView) bool {
	return r.armed || r.status.Armed == l.version || r.status.Map >= l.version
}

// OrderEnded takes the result of an order that the leader sent to a rank's engine.
func (l *Leader) OrderEnded(now time.Time, rank ident.Rank, o Order, result Result) []Action {
	l.now = now
	if o.Epoch != l.epoch || int(rank) >= len(l.ranks) || result != Accepted {
		return l.take()
	}
	switch {
	case o.Kind == OrderArm && o.Version == l.version && l.lifecycle.In("committing"):
		l.ranks[rank].armed = true
	case o.Kind == OrderRelease && rank == 0 && o.Step == l.step && (l.lifecycle.In("releasing") || l.lifecycle.In("aborting")):
		l.released = true
	}
	l.advance()
	return l.take()
}
