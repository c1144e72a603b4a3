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
	// prepareLimit bounds the copies of a change, holdLimit the order to hold, which is
	// repeated meanwhile, and confirmLimit the answer of the rank that gave it. All
	// streams wait from the announced pass on until the last has run out.
	prepareLimit = 4 * time.Second
	holdLimit    = 300 * time.Millisecond
	confirmLimit = 100 * time.Millisecond
	// settleTime lies between the hold and the question whether the rank that gave it is
	// still there. The platform freezes such a machine two to four milliseconds after
	// the hold (trouble-2 of tfl-biogas), and the pass is tens of milliseconds ahead.
	settleTime = 8 * time.Millisecond
	// releaseAgain is the time between two orders to release the leader's engine, which
	// answers within a few milliseconds.
	releaseAgain = 40 * time.Millisecond
	// assistAfter is how long a rank may take to carry out a decision before the
	// leader orders its engine itself. All streams of the group wait meanwhile, and
	// a healthy process needs about a tenth of it.
	assistAfter = 100 * time.Millisecond
	// assistAgain is the time between two orders of the leader to an engine that
	// does not answer: its machine may be frozen as well.
	assistAgain = 300 * time.Millisecond
	// leadTime is how long before its pass a change is announced. The hold and the
	// arms take up to 50 ms; a pass that has to wait for them delays every
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
	// lastStep is the greatest pass that a change in this formation may have had. No
	// pass is used twice, since a late order to release the first change would release
	// the second.
	lastStep uint64
	sent     time.Time
	// released says that the leader's engine took the order to release the pass, and
	// releaseAsked is when the leader last gave one.
	released     bool
	releaseAsked time.Time
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
	// armed says that the leader has armed the rank's engine.
	armed bool
	// asked is when the leader last ordered the rank's engine.
	asked time.Time
	// mapSent is when the rank was last sent the map of the change.
	mapSent time.Time
}

var leaderMachine = chart.MustBind(charts.Must("map-leader"), chart.Binding[*Leader]{
	Guards: map[string]func(*Leader) bool{
		"mayBeCommitted": (*Leader).mayBeCommitted,
		"someUnfinished": func(l *Leader) bool { return l.some(unfinished) },
	},
	Actions: map[string]func(*Leader){
		"adoptHeld":       (*Leader).adoptHeld,
		"adoptUnfinished": (*Leader).adoptUnfinished,
		"chooseStep":      (*Leader).chooseStep,
	},
	Delays: map[string]func(*Leader) time.Duration{
		"prepareLimit": func(*Leader) time.Duration { return prepareLimit },
		"holdLimit":    func(*Leader) time.Duration { return holdLimit },
		"settleTime":   func(*Leader) time.Duration { return settleTime },
		"confirmLimit": func(*Leader) time.Duration { return confirmLimit },
	},
	Observe: func(l *Leader, t chart.Transition) {
		l.sent, l.decided = time.Time{}, l.now
		l.released, l.releaseAsked = false, time.Time{}
		for i := range l.ranks {
			l.ranks[i].armed, l.ranks[i].asked, l.ranks[i].mapSent = false, time.Time{}, time.Time{}
		}
		if t.From != t.To {
			l.actions = append(l.actions, Notice{Name: "map.leader-" + t.To, Version: l.version, Step: l.step, Detail: "from " + t.From + " on " + t.Event})
		}
	},
})

// held returns the change for whose pass the engine of rank 0 is held, if it is.
func (l *Leader) held() (version Version, step uint64) {
	if len(l.ranks) == 0 || l.ranks[0].status.Held == 0 {
		return 0, 0
	}
	s := l.ranks[0].status
	return max(s.Armed, s.Prepared), s.Held
}

// mayBeCommitted reports whether a predecessor may have committed the change for
// which the engine of rank 0 is held. It did so only if all ranks had prepared it, and
// then it can be completed.
func (l *Leader) mayBeCommitted() bool {
	version, _ := l.held()
	return version != 0 && l.all(func(s Status) bool { return s.Prepared == version || s.Armed == version })
}

func unfinished(s Status) bool { return s.Phase != Idle || s.Held != 0 }

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

// Busy reports whether a change is under way.
func (l *Leader) Busy() bool { return !l.life.In("watching") && !l.life.In("collecting") }

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
		l.version, l.step, l.lastStep, l.content = 0, 0, 0, nil
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
	if highest > l.version {
		l.keepOff()
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
	l.release()
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
		l.release()
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
	case "holding":
		switch giver := l.ranks[l.giver()].status; {
		case giver.Version != l.version:
		case giver.Phase == Refused:
			l.fire("refused")
		case giver.Phase == Holds && giver.Step == l.step:
			l.fire("held")
		}
	case "confirming":
		if giver := l.ranks[l.giver()].status; giver.Version == l.version && giver.Phase == Confirmed {
			l.fire("confirmed")
		}
	case "committing":
		if !slices.ContainsFunc(l.ranks, func(r rankView) bool { return !l.hasArmed(r) }) {
			l.fire("allArmed")
		}
	case "releasing":
		if l.released || l.ranks[0].status.Begun >= l.step {
			l.fire("released")
		}
	case "aborting":
		if (l.step == 0 || l.released) && !l.some(unfinished) {
			l.fire("allIdle")
		}
	}
}

// giver returns the rank that gives the hold. The ranks take turns, since an order to
// another machine's engine has a price.
func (l *Leader) giver() int {
	if len(l.ranks) < 2 {
		return 0
	}
	return 1 + int(l.version%Version(len(l.ranks)-1))
}

// chooseStep picks a pass that no rank has begun and no other change has had.
func (l *Leader) chooseStep() {
	begun := l.begunByAny()
	l.step = max(begun+l.margin(), l.lastStep+1)
	l.lastStep = l.step
}

// keepOff leaves out the passes that a predecessor may have announced. It chose at
// most mostMargin passes ahead, and one more for each change that it gave up before a
// pass began.
func (l *Leader) keepOff() {
	l.lastStep = max(l.lastStep, l.begunByAny()+2*mostMargin)
}

// begunByAny is the last pass that some rank has begun.
func (l *Leader) begunByAny() uint64 {
	begun := uint64(0)
	for _, r := range l.ranks {
		begun = max(begun, r.status.Begun)
	}
	return begun
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

// adoptHeld takes up the change that a predecessor may have committed.
func (l *Leader) adoptHeld() {
	l.version, l.step = l.held()
	l.keepOff()
}

// adoptUnfinished takes up the change that a predecessor did not commit.
func (l *Leader) adoptUnfinished() {
	l.version, _ = l.unfinished()
	_, l.step = l.held()
	l.keepOff()
}

// command sends the ranks what the leader's state wants of them.
func (l *Leader) command() {
	l.sent = l.now
	if l.life.In("settling") || l.life.In("releasing") {
		// The ranks are not asked for anything, and what follows comes within
		// milliseconds. A beat fills the leader's link for as long.
		return
	}
	c := Command{Verb: Beat, Leader: l.incarnation, Group: l.group, Epoch: l.epoch, Version: l.version, Step: l.step}
	switch l.life.State() {
	case "preparing":
		c.Verb, c.Map = Prepare, l.content
	case "holding":
		c.Verb, c.Server = Hold, l.ranks[0].status.Server
	case "confirming":
		c.Verb = Confirm
	case "committing":
		c.Verb = Commit
		invariant.Check(l.version != 0, "a commit names a version", "step %d", l.step)
	case "aborting":
		c.Verb = Abort
	}
	for i, r := range l.ranks {
		one := c
		if (c.Verb == Hold || c.Verb == Confirm) && i != l.giver() || c.Verb == Commit && l.hasArmed(r) {
			continue
		}
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
