package mapswitch

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// orderLimit is how long an order may take before it is given again. An engine
// on the same machine answers within a few milliseconds.
const orderLimit = 40 * time.Millisecond

// unansweredMemory is how long a rank tells that orders stay unanswered. It spans
// several changes.
const unansweredMemory = 5 * time.Second

// Rank carries out changes at one engine. One task owns it.
type Rank struct {
	now   time.Time
	life  *chart.Instance[*Rank]
	state EngineState
	known bool
	// leader is the incarnation that the rank follows. Session numbers the links to
	// leaders, so that what an earlier leader sent is told apart.
	leader  ident.Incarnation
	session uint64
	version Version
	step    uint64
	content placement.Map
	// server is the engine that this rank is to hold.
	server  string
	highest Version
	// confirmed says that the engine accepted the order to prepare.
	confirmed bool
	// committed says that all ranks are prepared and the pass is held.
	committed bool
	// armed is the version that the engine last took the order to arm for. A reading
	// that began before that shows nothing armed.
	armed Version
	// unanswered is when an order last stayed unanswered.
	unanswered time.Time
	// moved says that the phase or the map has changed since the last status.
	moved   bool
	actions []Action
}

// rankMachine is immutable after its binding.
var rankMachine = chart.MustBind(charts.Must("map-change"), chart.Binding[*Rank]{
	Guards: map[string]func(*Rank) bool{
		"unconfirmed": func(r *Rank) bool { return !r.confirmed },
	},
	Actions: map[string]func(*Rank){
		"orderPrepare": func(r *Rank) { r.order(OrderPrepare) },
		"orderHold":    (*Rank).orderHold,
		"orderArm":     (*Rank).orderArm,
	},
	Delays: map[string]func(*Rank) time.Duration{
		"orderLimit": func(*Rank) time.Duration { return orderLimit },
	},
	Observe: func(r *Rank, t chart.Transition) {
		if t.From != t.To {
			r.moved = true
			r.actions = append(r.actions, Notice{Name: "map." + t.To, Version: r.version, Step: r.step, Detail: "from " + t.From + " on " + t.Event})
		}
	},
})

// NewRank returns a rank that knows nothing of its engine.
func NewRank(now time.Time) *Rank {
	r := &Rank{now: now}
	r.life = rankMachine.New(now, r)
	return r
}

// Phase returns the state of the change.
func (r *Rank) Phase() Phase { return Phase(r.life.State()) }

// Engine returns the last state of the engine, if one is known.
func (r *Rank) Engine() (EngineState, bool) { return r.state, r.known }

// Busy reports whether a change is under way or not yet in use, so that the engine's
// state matters now.
func (r *Rank) Busy() bool { return !r.life.In("idle") || r.state.Armed != 0 }

// Deadline returns when Tick is due.
func (r *Rank) Deadline() (time.Time, bool) { return r.life.Deadline() }

// Tick lets time pass.
func (r *Rank) Tick(now time.Time) []Action {
	r.now = now
	r.life.Tick(now)
	return r.take()
}

// take returns what is to be done. What has changed is told at once: the leader waits
// for the last of the ranks.
func (r *Rank) take() []Action {
	if r.moved && r.leader != 0 {
		r.report(false)
	}
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Rank) report(tell bool) {
	r.moved = false
	r.actions = append(r.actions, Report{Status: r.Status(), Tell: tell})
}

func (r *Rank) fire(event string) bool {
	_, ok := r.life.Fire(r.now, event)
	return ok
}

func (r *Rank) order(kind OrderKind) {
	o := Order{Kind: kind, Epoch: r.state.Epoch, Version: r.version, Step: r.step}
	if kind == OrderPrepare {
		o.Map = r.content
	}
	r.actions = append(r.actions, Instruct{Order: o})
}

func (r *Rank) orderHold() {
	r.actions = append(r.actions, Instruct{
		Order: Order{Kind: OrderHold, Epoch: r.state.Epoch, Version: r.version, Step: r.step}, Server: r.server,
	})
}

func (r *Rank) orderArm() {
	invariant.Check(r.committed, "only a committed map is armed", "version %d, step %d", r.version, r.step)
	r.order(OrderArm)
}

// Observe takes the engine's report.
func (r *Rank) Observe(now time.Time, s EngineState) []Action {
	r.now = now
	if r.known && (s.Epoch != r.state.Epoch || s.Group != r.state.Group || s.Rank != r.state.Rank) {
		// A new formation starts with map 0 and nothing prepared, armed or held.
		r.fire("reset")
		r.highest, r.armed = 0, 0
	}
	if s.Armed == 0 && s.Map < r.armed {
		s.Armed = r.armed
	}
	r.moved = r.moved || s.Map != r.state.Map || s.Armed != r.state.Armed || s.Held != r.state.Held
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
			r.fire("passed")
		}
		if s.Armed == r.version {
			r.fire("armed")
		}
	}
	return r.take()
}

// Answered takes the end of an order.
func (r *Rank) Answered(now time.Time, o Order, result Result) []Action {
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
		r.confirmed = true
	case o.Kind == OrderHold && o.Step == r.step && r.Phase() == Holding:
		if accepted {
			r.fire("held")
		} else {
			r.fire("late")
		}
	case o.Kind == OrderArm && o.Version == r.version && accepted && r.Phase() == Arming:
		// A new leader must learn at once that the change was committed.
		r.state.Armed, r.armed = r.version, r.version
		r.fire("armed")
	}
	return r.take()
}

// Receive takes a command that arrived on the link with the session number.
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
	r.obey(c)
	r.report(c.Tell)
	return r.take()
}

func (r *Rank) obey(c Command) {
	switch c.Verb {
	case Prepare:
		if r.Phase() == Idle && c.Version > r.highest {
			r.version, r.step, r.content, r.confirmed, r.committed = c.Version, 0, c.Map, false, false
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
		if c.Version == r.version && r.Phase() != Idle || r.left(c.Version) {
			r.version, r.step, r.committed = c.Version, c.Step, true
			r.fire("commit")
		}
	case Abort:
		if c.Version >= r.version {
			r.fire("abort")
		}
	}
}

// left reports whether a predecessor of this process has prepared the version and
// the engine has not armed it.
func (r *Rank) left(v Version) bool {
	return r.Phase() == Idle && r.state.Prepared == v && r.state.Armed != v && r.state.Map < v
}

// Status returns what the leader needs to know.
func (r *Rank) Status() Status {
	return Status{
		Leader: r.leader, Group: r.state.Group, Epoch: r.state.Epoch, Rank: r.state.Rank, Phase: r.Phase(),
		Version: r.version, Step: r.step, Begun: r.state.Step, Map: r.state.Map, Highest: r.highest,
		Armed: r.state.Armed, Prepared: r.state.Prepared, Held: r.state.Held, Pace: r.state.Pace,
		Unanswered: !r.unanswered.IsZero() && r.now.Sub(r.unanswered) < unansweredMemory,
	}
}
