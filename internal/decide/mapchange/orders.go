package mapchange

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
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

// orderOwnEngine sends the engine of rank 0 the order that the state of the change needs,
// and releases it from a hold that is for no change.
func (l *Leader) orderOwnEngine() {
	if len(l.ranks) == 0 || l.now.Sub(l.ownOrderSent) < ownOrderResendInterval {
		return
	}
	switch held := l.heldStep(); {
	case l.lifecycle.In("deciding"):
		l.sendOwnOrder(Order{Kind: OrderArm, Version: l.version, Step: l.step})
	case l.lifecycle.In("revoking"):
		l.orderRevocation()
	case l.lifecycle.In("releasing") || l.lifecycle.In("aborting") && l.step != 0 && !l.released:
		l.sendOwnOrder(Order{Kind: OrderRelease, Step: l.step})
	case held != 0 && (held == l.settledStep || l.lifecycle.In("aborting")):
		// A late duplicate of the order to hold the engine was carried out.
		l.sendOwnOrder(Order{Kind: OrderRelease, Step: held})
	case l.lifecycle.In("watching") && l.strayHold():
		l.fire("collect")
	}
}

func (l *Leader) sendOwnOrder(o Order) {
	l.ownOrderSent = l.now
	o.Epoch = l.epoch
	l.actions = append(l.actions, SendLeaderOrder{Rank: 0, Server: l.ranks[0].status.Server, Order: o})
}

// orderRevocation orders the engine of rank 0 to prepare the map in use under a later
// version. It waits until the experts of all ranks are known.
func (l *Leader) orderRevocation() {
	m := l.mapBefore
	if m == nil {
		m = mapOf(l.Statuses())
	}
	if m != nil {
		l.sendOwnOrder(Order{Kind: OrderPrepare, Version: l.revocationOrdered, Map: m})
	}
}

// strayHold reports whether the engine of rank 0 is held for a change whose outcome this
// leader does not know. It must not be released before that change is revoked: the release
// may be carried out late, while a successor of this leader commits the change.
func (l *Leader) strayHold() bool { return l.heldStep() != 0 && l.heldStep() != l.settledStep }

// mapOf returns the map that the ranks use, or nil if the experts of some are not known.
func mapOf(statuses []Status) placement.Map {
	if len(statuses) == 0 {
		return nil
	}
	m := make(placement.Map, len(statuses[0].Experts))
	for _, s := range statuses {
		if len(m) == 0 || len(s.Experts) != len(m) || s.Map != statuses[0].Map {
			return nil
		}
		for l := range m {
			m[l] = append(m[l], s.Experts[l])
		}
	}
	return m
}

// hasArmed reports whether the rank's engine has armed the change or already uses it.
func (l *Leader) hasArmed(r rankView) bool {
	return r.armed || r.status.Armed == l.version || r.status.Map >= l.version
}

// OrderEnded takes the result of an order that the leader sent to a rank's engine.
func (l *Leader) OrderEnded(now time.Time, rank ident.Rank, o Order, result Result) []Action {
	l.now = now
	if o.Epoch != l.epoch || int(rank) >= len(l.ranks) || result == Unanswered {
		return l.take()
	}
	accepted := result == Accepted
	switch {
	case o.Kind == OrderArm && o.Version == l.version && l.lifecycle.In("deciding"):
		if accepted {
			l.fire("committed")
		} else {
			l.fire("armRefused")
		}
		l.ranks[0].armed = accepted
	case o.Kind == OrderArm && o.Version == l.version && l.lifecycle.In("committing") && accepted:
		l.ranks[rank].armed = true
	case o.Kind == OrderPrepare && o.Version == l.revocationOrdered && l.lifecycle.In("revoking") && !accepted:
		// The engine has armed the change, or it knows a later version. The next reading
		// shows which.
		l.revocationOrdered = l.takeVersion()
	case o.Kind == OrderRelease && o.Step == l.step && (l.lifecycle.In("releasing") || l.lifecycle.In("aborting")) && accepted:
		l.released = true
	}
	l.advance()
	return l.take()
}
