package mapswitch

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

const (
	// resend is the interval at which a command is repeated to a rank that has not
	// followed it.
	resend = 60 * time.Millisecond
	// resendMap is the same for a command with a map. The maps of a change to 72
	// ranks fill a link of 8 Mbit/s for a tenth of a second.
	resendMap = 400 * time.Millisecond
	// beatInterval is the interval of beats while no change is under way.
	beatInterval = 90 * time.Millisecond
	// statusMemory is how long a status holds.
	statusMemory = 1500 * time.Millisecond
	// prepareLimit bounds the copies of a change, promiseLimit the time in which
	// ranks that have promised may wait for the others.
	prepareLimit = 4 * time.Second
	promiseLimit = 300 * time.Millisecond
	// assistAfter is how long a rank may take to carry out a decision before the
	// leader orders its engine itself. All streams of the group wait meanwhile, and
	// a healthy process needs about a tenth of it.
	assistAfter = 100 * time.Millisecond
	// assistAgain is the time between two orders of the leader to an engine that
	// does not answer: its machine may be frozen as well.
	assistAgain = 300 * time.Millisecond
	// leadTime is how long before its pass a change is announced. The promises and
	// the arms take up to 50 ms; a pass that has to wait for them delays every
	// stream of the group.
	leadTime = 60 * time.Millisecond
	// longLeadTime holds while orders stay unanswered and have to be repeated.
	longLeadTime = 300 * time.Millisecond
	// leastMargin and mostMargin bound the announcement in passes.
	leastMargin = 2
	mostMargin  = 8
	// passGain is the weight of one observation of the time of a pass.
	passGain = 0.3
	// mostPasses leaves out observations over a gap, as after a lost connection.
	mostPasses = 20
)

// Leader leads the changes of one group. The task beside rank 0 owns it.
type Leader struct {
	now         time.Time
	incarnation ident.Incarnation
	life        *chart.Instance[*Leader]
	group       string
	epoch       uint64
	size        int
	ranks       []rankView
	version     Version
	step        uint64
	content     placement.Map
	sent        time.Time
	// tellers is how many ranks one beat asks what their requests chose, and
	// nextTeller the first of the next beat.
	tellers    int
	nextTeller int
	// passTime is the smoothed time of a pass, and begun and begunAt the last
	// observation.
	passTime time.Duration
	begun    uint64
	begunAt  time.Time
	// decided is when the leader's present state was entered.
	decided time.Time
	actions []Action
}

// rankView is what the leader knows of a rank.
type rankView struct {
	status Status
	at     time.Time
	// done says that the leader has carried out the decision at the rank's engine.
	done bool
	// armed says that the leader has armed the rank's engine.
	armed bool
	// asked is when the leader last ordered the rank's engine.
	asked time.Time
	// mapSent is when the rank was last sent the map of the change.
	mapSent time.Time
}

var leaderMachine = chart.MustBind(charts.Must("map-leader"), chart.Binding[*Leader]{
	Guards: map[string]func(*Leader) bool{
		"someArmed":      (*Leader).unfinishedCommitted,
		"someUnfinished": func(l *Leader) bool { return l.some(unfinished) },
	},
	Actions: map[string]func(*Leader){
		"adoptUnfinished": (*Leader).adoptUnfinished,
		"chooseStep":      (*Leader).chooseStep,
	},
	Delays: map[string]func(*Leader) time.Duration{
		"prepareLimit": func(*Leader) time.Duration { return prepareLimit },
		"promiseLimit": func(*Leader) time.Duration { return promiseLimit },
	},
	Observe: func(l *Leader, t chart.Transition) {
		l.sent, l.decided = time.Time{}, l.now
		for i := range l.ranks {
			l.ranks[i].done, l.ranks[i].armed, l.ranks[i].asked, l.ranks[i].mapSent = false, false, time.Time{}, time.Time{}
		}
		if t.From != t.To {
			l.actions = append(l.actions, Notice{Name: "map.leader-" + t.To, Version: l.version, Step: l.step, Detail: "from " + t.From + " on " + t.Event})
		}
	},
})

// unfinishedCommitted reports whether some rank's status proves that the change
// that is under way was committed: only then does a rank arm it. A rank that has
// armed and is released already waits for the others.
func (l *Leader) unfinishedCommitted() bool {
	version, _ := l.unfinished()
	return version != 0 && l.some(func(s Status) bool {
		return s.Armed == version || s.Version == version && (s.Phase == Arming || s.Phase == Recovered)
	})
}

func unfinished(s Status) bool { return s.Phase != Idle }

// NewLeader returns a leader that knows no rank.
func NewLeader(now time.Time, incarnation ident.Incarnation) *Leader {
	l := &Leader{now: now, incarnation: incarnation}
	l.life = leaderMachine.New(now, l)
	return l
}

// State returns the leader's state.
func (l *Leader) State() string { return l.life.State() }

// Watching reports whether a change can be started.
func (l *Leader) Watching() bool { return l.life.In("watching") }

// Statuses returns the statuses of all ranks while no change is under way.
func (l *Leader) Statuses() []Status {
	list := make([]Status, len(l.ranks))
	for i, r := range l.ranks {
		list[i] = r.status
		if l.content != nil && r.status.Map == l.version {
			// The rank reads its engine's experts some time after the change.
			list[i].Experts = l.content.Rank(i)
		}
	}
	return list
}

// Lead sets the formation that is led. A new one forgets all ranks.
func (l *Leader) Lead(now time.Time, group string, epoch uint64, size int) []Action {
	l.now = now
	if l.group != group || l.epoch != epoch || l.size != size {
		l.group, l.epoch, l.size = group, epoch, size
		l.ranks = make([]rankView, size)
		l.version, l.step, l.content = 0, 0, nil
		l.passTime, l.begun = 0, 0
		l.fire("reset")
	}
	return l.take()
}

// Ask sets how many ranks one beat asks what their requests chose. The ranks take
// turns.
func (l *Leader) Ask(tellers int) { l.tellers = tellers }

// Ready reports whether a change can be started: none is under way and the last
// one is in use, since an armed engine prepares nothing.
func (l *Leader) Ready() bool {
	return l.Watching() && !l.some(func(s Status) bool { return s.Armed != 0 })
}

// Propose starts a change to the map. It is ignored unless the leader is ready.
func (l *Leader) Propose(now time.Time, m placement.Map) []Action {
	l.now = now
	if !l.Ready() {
		return l.take()
	}
	highest := l.version
	for _, r := range l.ranks {
		highest = max(highest, r.status.Highest)
	}
	l.version, l.step, l.content = highest+1, 0, m
	l.fire("plan")
	l.command()
	return l.take()
}

// Receive takes a rank's status.
func (l *Leader) Receive(now time.Time, s Status) []Action {
	l.now = now
	if s.Leader != l.incarnation || s.Group != l.group || s.Epoch != l.epoch || int(s.Rank) >= len(l.ranks) || s.Rank < 0 {
		return l.take()
	}
	old := l.ranks[s.Rank].status
	if s.Experts == nil && s.Map == old.Map {
		s.Experts = old.Experts
	}
	l.ranks[s.Rank].status, l.ranks[s.Rank].at = s, now
	l.observePass(s.Begun)
	l.advance()
	return l.take()
}

// Tick lets time pass.
func (l *Leader) Tick(now time.Time) []Action {
	l.now = now
	l.life.Tick(now)
	l.advance()
	interval := resend
	if l.life.In("watching") || l.life.In("collecting") {
		interval = beatInterval
	}
	if now.Sub(l.sent) >= interval {
		l.command()
		l.assist()
	}
	return l.take()
}

// assist carries out a decision at the engines of ranks that have promised and
// whose processes do not follow, for example because they are frozen. The order
// of the steps is that of the rank itself.
func (l *Leader) assist() {
	committing := l.life.In("committing")
	if l.now.Sub(l.decided) < assistAfter || !committing && !l.life.In("aborting") {
		return
	}
	for i, r := range l.ranks {
		// A rank may have held its engine without having told so. Releasing an engine
		// that is not held changes nothing.
		if r.done || r.status.Phase == Idle || r.status.Server == "" || l.step == 0 || l.now.Sub(r.asked) < assistAgain {
			continue
		}
		l.ranks[i].asked = l.now
		o := Order{Kind: OrderGo, Epoch: l.epoch, Version: l.version, Step: l.step}
		if committing && !r.armed {
			o.Kind = OrderArm
		}
		l.actions = append(l.actions, Assist{Rank: ident.Rank(i), Server: r.status.Server, Order: o})
	}
}

// Assisted takes the end of an order that the leader gave to a rank's engine.
func (l *Leader) Assisted(now time.Time, rank ident.Rank, o Order, result Result) []Action {
	l.now = now
	if o.Epoch != l.epoch || o.Version != l.version || int(rank) >= len(l.ranks) || result != Accepted {
		return l.take()
	}
	r := &l.ranks[rank]
	switch o.Kind {
	case OrderArm:
		r.armed, r.asked = l.life.In("committing"), time.Time{}
		l.assist()
	case OrderGo:
		r.done = true
		l.advance()
	}
	return l.take()
}

func (l *Leader) take() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

func (l *Leader) fire(event string) {
	l.life.Fire(l.now, event)
}

func (l *Leader) some(holds func(Status) bool) bool {
	return slices.ContainsFunc(l.ranks, func(r rankView) bool { return holds(r.status) })
}

func (l *Leader) all(holds func(Status) bool) bool {
	return len(l.ranks) > 0 && !slices.ContainsFunc(l.ranks, func(r rankView) bool { return !holds(r.status) })
}

// fresh reports whether every rank's status is recent.
func (l *Leader) fresh() bool {
	return len(l.ranks) > 0 && !slices.ContainsFunc(l.ranks, func(r rankView) bool {
		return r.at.IsZero() || l.now.Sub(r.at) > statusMemory
	})
}

// advance follows what the ranks have said until nothing more changes.
func (l *Leader) advance() {
	for {
		before := l.life.State()
		l.follow()
		if l.life.State() == before {
			return
		}
		l.command()
	}
}

func (l *Leader) follow() {
	switch l.life.State() {
	case "collecting":
		if l.fresh() {
			l.fire("complete")
		}
	case "watching":
		if !l.fresh() {
			l.fire("lost")
		}
	case "preparing":
		if l.all(func(s Status) bool { return s.Version == l.version && s.Phase == Prepared }) {
			l.fire("allPrepared")
		}
	case "promising":
		switch {
		case l.some(func(s Status) bool { return s.Version == l.version && s.Phase == Refused }):
			l.fire("refused")
		case l.all(func(s Status) bool { return s.Version == l.version && s.Phase == Promised && s.Step == l.step }):
			l.fire("allPromised")
		}
	case "committing":
		if l.settled() {
			l.fire("allReleased")
		}
	case "aborting":
		if l.settled() {
			l.fire("allIdle")
		}
	}
}

// settled reports whether every rank's engine is released.
func (l *Leader) settled() bool {
	return len(l.ranks) > 0 && !slices.ContainsFunc(l.ranks, func(r rankView) bool { return !r.done && r.status.Phase != Idle })
}

// chooseStep picks a pass that no rank has begun.
func (l *Leader) chooseStep() {
	for _, r := range l.ranks {
		l.step = max(l.step, r.status.Begun)
	}
	l.step += l.margin()
}

// margin is the number of passes that take the lead time.
func (l *Leader) margin() uint64 {
	if l.passTime <= 0 {
		return mostMargin
	}
	lead := leadTime
	if l.some(func(s Status) bool { return s.Unanswered }) {
		lead = longLeadTime
	}
	passes := 1 + (lead+l.passTime-1)/l.passTime
	return uint64(min(max(passes, leastMargin), mostMargin))
}

// observePass learns the time of a pass from the last pass that a rank has begun.
func (l *Leader) observePass(begun uint64) {
	if begun <= l.begun {
		return
	}
	if passes := time.Duration(begun - l.begun); l.begun > 0 && passes < mostPasses {
		observed := l.now.Sub(l.begunAt) / passes
		l.passTime += time.Duration(passGain * float64(observed-l.passTime))
	}
	l.begun, l.begunAt = begun, l.now
}

// unfinished returns the change that is under way at some rank, and its pass.
func (l *Leader) unfinished() (version Version, step uint64) {
	for _, r := range l.ranks {
		if unfinished(r.status) && r.status.Version >= version {
			version, step = r.status.Version, max(step, r.status.Step)
		}
	}
	return version, step
}

// adoptUnfinished takes up the change that a predecessor left.
func (l *Leader) adoptUnfinished() { l.version, l.step = l.unfinished() }

// command sends the ranks what the leader's state wants of them.
func (l *Leader) command() {
	l.sent = l.now
	c := Command{Verb: Beat, Leader: l.incarnation, Group: l.group, Epoch: l.epoch, Version: l.version, Step: l.step}
	switch l.life.State() {
	case "preparing":
		c.Verb, c.Map = Prepare, l.content
	case "promising":
		c.Verb = Promise
	case "committing":
		c.Verb = Commit
		invariant.Check(l.version != 0, "a commit names a version", "step %d", l.step)
	case "aborting":
		c.Verb = Abort
	}
	for i, r := range l.ranks {
		one := c
		switch {
		case c.Verb == Prepare && (r.status.Version == l.version && r.status.Phase != Idle || l.now.Sub(r.mapSent) < resendMap):
			// The rank has the map, or will have it soon.
			one.Verb, one.Map = Beat, nil
		case c.Verb == Prepare:
			l.ranks[i].mapSent = l.now
		}
		// What is told while a change is prepared serves the next plan. Later the
		// ranks wait for each other, and the links are left to them.
		if c.Verb == Beat || c.Verb == Prepare && one.Map == nil {
			one.Tell = (i-l.nextTeller+len(l.ranks))%len(l.ranks) < l.tellers
		}
		l.actions = append(l.actions, Send{To: ident.Rank(i), Command: one})
	}
	if len(l.ranks) > 0 {
		l.nextTeller = (l.nextTeller + l.tellers) % len(l.ranks)
	}
}
