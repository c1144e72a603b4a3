package mapchange

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// orderTimeout is how long an order may take before it is resent. An engine on the same
// machine answers within a few milliseconds.
const orderTimeout = 40 * time.Millisecond

// unansweredTTL is how long a rank reports that an order timed out. It spans several
// changes, so that the leader announces them earlier.
const unansweredTTL = 5 * time.Second

// Rank carries out map changes at one engine. One task owns it.
type Rank struct {
	now       time.Time
	lifecycle *chart.Lifecycle[*Rank]
	state     EngineState
	known     bool
	// leader is the incarnation that the rank follows, and session the greatest number
	// of a link on which a command was taken. Commands of another incarnation on a
	// lower-numbered link are dropped as those of an earlier leader.
	leader    ident.Incarnation
	session   uint64
	version   Version
	step      uint64
	expertMap placement.Map
	// server is the address of the engine that this rank is asked to hold.
	server  string
	highest Version
	// prepareAccepted is true once the engine has accepted the order to prepare.
	prepareAccepted bool
	// committed is true once all ranks are prepared and the engine of rank 0 is held
	// before the step.
	committed bool
	// armed is the version of the last arm order that the engine accepted. A reading of
	// the engine that began before the order does not show it yet.
	armed Version
	// unanswered is when an order last timed out.
	unanswered time.Time
	// changed is true if the phase or the engine's map, prepared or armed version or hold
	// has changed since the last status.
	changed bool
	actions []Action
}

var rankChart = chart.MustBind(charts.Must("map-change"), chart.Binding[*Rank]{
	Guards: map[string]func(*Rank) bool{
		"prepareNotAccepted": func(r *Rank) bool { return !r.prepareAccepted },
	},
	Actions: map[string]func(*Rank){
		"orderPrepare": func(r *Rank) { r.order(OrderPrepare) },
		"orderHold":    (*Rank).orderHold,
		"orderArm":     (*Rank).orderArm,
	},
	Delays: map[string]func(*Rank) time.Duration{
		"orderTimeout": func(*Rank) time.Duration { return orderTimeout },
	},
	Observe: func(r *Rank, t chart.Transition) {
		if t.From != t.To {
			r.changed = true
			r.actions = append(r.actions, Notice{Name: "map." + t.To, Version: r.version, Step: r.step, Detail: "from " + t.From + " on " + t.Event})
		}
	},
})

// NewRank returns a rank that has not yet observed its engine.
func NewRank(now time.Time) *Rank {
	r := &Rank{now: now}
	r.lifecycle = rankChart.New(now, r)
	return r
}

func (r *Rank) Phase() Phase { return Phase(r.lifecycle.State()) }

// Engine returns the last observed state of the engine, if there is one.
func (r *Rank) Engine() (EngineState, bool) { return r.state, r.known }

// Busy reports whether a change is in progress or armed but not yet in use. The engine
// should then be read often.
func (r *Rank) Busy() bool { return !r.lifecycle.In("idle") || r.state.Armed != 0 }

// Deadline returns when Tick is due.
func (r *Rank) Deadline() (time.Time, bool) { return r.lifecycle.Deadline() }

// Tick fires the timers that are due.
func (r *Rank) Tick(now time.Time) []Action {
	r.now = now
	r.lifecycle.Tick(now)
	return r.take()
}

// take returns and clears the pending actions. A changed state is reported at once,
// since the leader waits for the slowest rank.
func (r *Rank) take() []Action {
	if r.changed && r.leader != 0 {
		r.report(false)
	}
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Rank) report(wantCounts bool) {
	r.changed = false
	r.actions = append(r.actions, Report{Status: r.Status(), WantCounts: wantCounts})
}

func (r *Rank) fire(event string) bool {
	_, ok := r.lifecycle.Fire(r.now, event)
	return ok
}

func (r *Rank) order(kind OrderKind) {
	o := Order{Kind: kind, Epoch: r.state.Epoch, Version: r.version, Step: r.step}
	if kind == OrderPrepare {
		o.Map = r.expertMap
	}
	r.actions = append(r.actions, SendOrder{Order: o})
}

func (r *Rank) orderHold() {
	r.actions = append(r.actions, SendOrder{
		Order: Order{Kind: OrderHold, Epoch: r.state.Epoch, Version: r.version, Step: r.step}, Server: r.server,
	})
}

func (r *Rank) orderArm() {
	invariant.Check(r.committed, "only a committed map is armed", "version %d, step %d", r.version, r.step)
	r.order(OrderArm)
}

// Observe takes the state that the engine reports.
func (r *Rank) Observe(now time.Time, s EngineState) []Action {
	r.now = now
	if r.known && (s.Epoch != r.state.Epoch || s.Group != r.state.Group || s.Rank != r.state.Rank) {
		// A new formation starts with version 0 and nothing prepared, armed or held.
		r.fire("reset")
		r.highest, r.armed = 0, 0
	}
	if s.Armed == 0 && s.Map < r.armed {
		s.Armed = r.armed
	}
	r.changed = r.changed || s.Map != r.state.Map || s.Prepared != r.state.Prepared || s.Armed != r.state.Armed || s.Held != r.state.Held
	r.state, r.known = s, true
	r.highest = max(r.highest, s.Map, s.Prepared, s.Armed)
	switch r.Phase() {
	case Idle:
	case Preparing, Copying:
		if s.Prepared == r.version {
			r.fire("prepared")
		}
	default:
		if s.Map >= r.version {
			r.fire("stepBegun")
		}
		if s.Armed == r.version {
			r.fire("armed")
		}
	}
	return r.take()
}

// OrderEnded takes the result of an order.
func (r *Rank) OrderEnded(now time.Time, o Order, result Result) []Action {
	r.now = now
	if result == Unanswered {
		r.unanswered = now
	}
	if o.Epoch != r.state.Epoch || result == Unanswered {
		return r.take()
	}
	accepted := result == Accepted
	switch {
	case o.Kind == OrderPrepare && o.Version == r.version && accepted:
		r.prepareAccepted = true
	case o.Kind == OrderHold && o.Step == r.step && r.Phase() == Holding:
		if accepted {
			r.fire("held")
		} else {
			r.fire("holdRefused")
		}
	case o.Kind == OrderArm && o.Version == r.version && accepted && r.Phase() == Arming:
		// The next status must show this, so that a new leader learns of the commit.
		r.state.Armed, r.armed = r.version, r.version
		r.fire("armed")
	}
	return r.take()
}

// Receive takes a command that arrived on the link with this session number.
func (r *Rank) Receive(now time.Time, session uint64, c Command) []Action {
	r.now = now
	if !r.known || c.Epoch != r.state.Epoch || c.Group != r.state.Group {
		return r.take()
	}
	if c.Leader != r.leader {
		if session < r.session {
			return r.take()
		}
		r.leader = c.Leader
	}
	r.session = max(r.session, session)
	r.execute(c)
	r.report(c.WantCounts)
	return r.take()
}

func (r *Rank) execute(c Command) {
	switch c.Kind {
	case Prepare:
		if r.Phase() == Idle && c.Version > r.highest {
			r.version, r.step, r.expertMap, r.prepareAccepted, r.committed = c.Version, 0, c.Map, false, false
			r.highest = c.Version
			r.fire("prepare")
		}
	case Hold:
		if c.Version == r.version && r.Phase() == Prepared {
			r.step, r.server = c.Step, c.Server
			r.fire("hold")
		}
	case Confirm:
		if c.Version == r.version && c.Step == r.step {
			r.fire("confirm")
		}
	case Commit:
		if c.Version == r.version && r.Phase() != Idle || r.preparedByPredecessor(c.Version) {
			r.version, r.step, r.committed = c.Version, c.Step, true
			r.fire("commit")
		}
	case Abort:
		if c.Version >= r.version {
			r.fire("abort")
		}
	}
}

// preparedByPredecessor reports whether an earlier process of this agent has prepared
// the version and the engine has not armed it.
func (r *Rank) preparedByPredecessor(v Version) bool {
	return r.Phase() == Idle && r.state.Prepared == v && r.state.Armed != v && r.state.Map < v
}

// Status returns the rank's status for the leader.
func (r *Rank) Status() Status {
	return Status{
		Leader: r.leader, Group: r.state.Group, Epoch: r.state.Epoch, Rank: r.state.Rank, Phase: r.Phase(),
		Version: r.version, Step: r.step, CurrentStep: r.state.Step, Map: r.state.Map, HighestVersion: r.highest,
		Armed: r.state.Armed, Prepared: r.state.Prepared, Held: r.state.Held, Slowdown: r.state.Slowdown,
		OrdersUnanswered: !r.unanswered.IsZero() && r.now.Sub(r.unanswered) < unansweredTTL,
	}
}
