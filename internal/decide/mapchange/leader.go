package mapchange

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
	// resendInterval is the time between two sends of a command to a rank that has not
	// followed it.
	resendInterval = 60 * time.Millisecond
	// mapResendInterval is the time between two sends of a map to the same rank. It is
	// long because the maps of a change for 72 ranks fill an 8 Mbit/s link for 100 ms.
	mapResendInterval = 400 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats while no change is in
	// progress.
	heartbeatInterval = 90 * time.Millisecond
	// statusTTL is how long a rank's status counts as current.
	statusTTL = 1500 * time.Millisecond
	// prepareTimeout bounds the copying of the experts of a change.
	prepareTimeout = 4 * time.Second
	// holdTimeout bounds the order to hold the engine of rank 0, resends included. All
	// streams of the group wait while it runs past the announced step.
	holdTimeout = 300 * time.Millisecond
	// confirmTimeout bounds the wait for the holder's confirmation. All streams of the
	// group wait while it runs past the announced step.
	confirmTimeout = 100 * time.Millisecond
	// settleTime is the pause between the hold and the question whether the holder still
	// runs. A holder's machine has frozen 2 to 4 ms after the hold, and the step is tens
	// of milliseconds ahead.
	settleTime = 8 * time.Millisecond
	// ownOrderResendInterval is the time between two orders to the leader's own engine,
	// which answers within a few milliseconds.
	ownOrderResendInterval = 40 * time.Millisecond
	// assistTimeout is how long a rank may take to carry out a commit before the leader
	// orders its engine directly. All streams of the group wait meanwhile, and a healthy
	// agent needs about 10 ms.
	assistTimeout = 100 * time.Millisecond
	// assistResendInterval is the time between two orders of the leader to the same
	// engine, whose machine may be frozen as well.
	assistResendInterval = 300 * time.Millisecond
)

// Leader leads the map changes of one group. One task, in the agent of rank 0, owns it.
type Leader struct {
	now         time.Time
	incarnation ident.Incarnation
	lifecycle   *chart.Lifecycle[*Leader]
	// group, epoch and size identify the formation that is led.
	group string
	epoch uint64
	size  int
	ranks []rankView
	// version, step and expertMap are the last change of this leader.
	version   Version
	step      uint64
	expertMap placement.Map
	// mapBefore is the map in use when the change was proposed, nil for a change of an
	// earlier leader.
	mapBefore placement.Map
	// lastVersion is the greatest version that this leader has used.
	lastVersion Version
	// revocation is the version from which on a map that the engine of rank 0 prepares
	// revokes the change, and revocationOrdered the version that it is ordered to prepare.
	revocation, revocationOrdered Version
	// settledStep is the step of the last change that is complete or revoked.
	settledStep uint64
	// lastStep is the greatest step that a change in this formation may have used. No
	// step is used twice, since a late order to release the engine for the first change
	// would release it for the second. A step that an earlier leader used is taken over
	// only with the change that it committed, which is released once complete.
	lastStep uint64
	// commandsSent is when the ranks were last sent commands.
	commandsSent time.Time
	// released is true once the leader's engine has accepted the release, and
	// ownOrderSent is when the leader last sent an order to its engine.
	released     bool
	ownOrderSent time.Time
	// countRanks is how many ranks one heartbeat asks for expert counts, and
	// nextCountRank the first that the next heartbeat asks.
	countRanks    int
	nextCountRank int
	// stepTime is the moving average of the time of a step, and observedStep and
	// observedAt the last observation.
	stepTime     time.Duration
	observedStep uint64
	observedAt   time.Time
	// stateEntered is when the current state was entered.
	stateEntered time.Time
	actions      []Action
}

// rankView is what the leader knows about a rank.
type rankView struct {
	status Status
	// receivedAt is when the status arrived.
	receivedAt time.Time
	// armed is true once the leader itself has armed the rank's engine.
	armed bool
	// armSent is when the leader last sent the rank's engine an arm order.
	armSent time.Time
	// mapSent is when the rank was last sent the map of the change.
	mapSent time.Time
}

var leaderChart = chart.MustBind(charts.Must("map-leader"), chart.Binding[*Leader]{
	Guards: map[string]func(*Leader) bool{
		"committed":      (*Leader).committed,
		"engineHeld":     func(l *Leader) bool { return l.heldStep() != 0 },
		"someUnfinished": func(l *Leader) bool { return l.anyStatus(unfinished) },
	},
	Actions: map[string]func(*Leader){
		"adoptCommitted":  (*Leader).adoptCommitted,
		"adoptUnfinished": (*Leader).adoptUnfinished,
		"chooseStep":      (*Leader).chooseStep,
		"chooseRevocation": func(l *Leader) {
			l.revocation = l.takeVersion()
			l.revocationOrdered = l.revocation
		},
	},
	Delays: map[string]func(*Leader) time.Duration{
		"prepareTimeout": func(*Leader) time.Duration { return prepareTimeout },
		"holdTimeout":    func(*Leader) time.Duration { return holdTimeout },
		"settleTime":     func(*Leader) time.Duration { return settleTime },
		"confirmTimeout": func(*Leader) time.Duration { return confirmTimeout },
	},
	Observe: func(l *Leader, t chart.Transition) {
		l.commandsSent, l.stateEntered = time.Time{}, l.now
		l.released, l.ownOrderSent = false, time.Time{}
		for i := range l.ranks {
			l.ranks[i].armed, l.ranks[i].armSent, l.ranks[i].mapSent = false, time.Time{}, time.Time{}
		}
		if t.To == "watching" {
			l.settledStep = l.step
		}
		if t.From != t.To {
			l.actions = append(l.actions, Notice{Name: "map.leader-" + t.To, Version: l.version, Step: l.step, Detail: "from " + t.From + " on " + t.Event})
		}
	},
})

// heldStep returns the step before which the engine of rank 0 is held, or zero.
func (l *Leader) heldStep() uint64 {
	if len(l.ranks) == 0 {
		return 0
	}
	return l.ranks[0].status.Held
}

// armedVersion returns the version that some rank has armed and does not use yet, or zero.
func (l *Leader) armedVersion() (version Version) {
	for _, r := range l.ranks {
		version = max(version, r.status.Armed)
	}
	return version
}

// committed reports whether the change for which the engine of rank 0 is held is
// committed. Its leader had that engine armed before any other.
func (l *Leader) committed() bool { return l.heldStep() != 0 && l.armedVersion() != 0 }

func unfinished(s Status) bool { return s.Phase != Idle || s.Held != 0 }

// NewLeader returns a leader that leads no formation yet.
func NewLeader(now time.Time, incarnation ident.Incarnation) *Leader {
	l := &Leader{now: now, incarnation: incarnation}
	l.lifecycle = leaderChart.New(now, l)
	return l
}

func (l *Leader) State() string { return l.lifecycle.State() }

// Watching reports whether every rank's status is known and no change is in progress.
func (l *Leader) Watching() bool { return l.lifecycle.In("watching") }

// Busy reports whether a change is in progress.
func (l *Leader) Busy() bool { return !l.lifecycle.In("watching") && !l.lifecycle.In("collecting") }

// Statuses returns the last status of each rank. It is meant for use between changes.
func (l *Leader) Statuses() []Status {
	list := make([]Status, len(l.ranks))
	for i, r := range l.ranks {
		list[i] = r.status
		if l.expertMap != nil && r.status.Map == l.version {
			// The rank reports its engine's new experts only some time after the
			// change.
			list[i].Experts = l.expertMap.Rank(i)
		}
	}
	return list
}

// SetFormation sets the formation that this leader leads. A change of formation
// discards what is known about the ranks.
func (l *Leader) SetFormation(now time.Time, group string, epoch uint64, size int) []Action {
	l.now = now
	if l.group != group || l.epoch != epoch || l.size != size {
		l.group, l.epoch, l.size = group, epoch, size
		l.ranks = make([]rankView, size)
		l.version, l.step, l.lastStep, l.expertMap, l.mapBefore = 0, 0, 0, nil, nil
		l.lastVersion, l.settledStep = 0, 0
		l.stepTime, l.observedStep = 0, 0
		l.fire("reset")
	}
	return l.take()
}

// SetCountRanks sets how many ranks each heartbeat asks for expert counts. The ranks
// take turns.
func (l *Leader) SetCountRanks(countRanks int) { l.countRanks = countRanks }

// Ready reports whether a change can be started: none is in progress, and the last one
// is in use at all ranks, since an armed engine refuses to prepare a map.
func (l *Leader) Ready() bool {
	return l.Watching() && !l.anyStatus(func(s Status) bool { return s.Armed != 0 })
}

// Propose starts a change to the map. It is ignored unless the leader is ready.
func (l *Leader) Propose(now time.Time, m placement.Map) []Action {
	l.now = now
	if !l.Ready() {
		return l.take()
	}
	if l.highestVersion() > l.lastVersion {
		l.skipAnnounced()
	}
	l.mapBefore = mapOf(l.Statuses())
	l.version, l.step, l.expertMap = l.takeVersion(), 0, m
	l.fire("propose")
	l.command()
	return l.take()
}

// highestVersion returns the greatest version that a rank knows.
func (l *Leader) highestVersion() (highest Version) {
	for _, r := range l.ranks {
		highest = max(highest, r.status.HighestVersion)
	}
	return highest
}

// takeVersion returns a version that is greater than those of all earlier changes. Orders
// of an earlier leader may be carried out late, and under one version the engines would
// then prepare two maps. Versions therefore start at the incarnation of the leader, which
// is greater than all versions of earlier ones.
func (l *Leader) takeVersion() Version {
	l.lastVersion = max(l.lastVersion, l.highestVersion(), Version(l.incarnation)) + 1
	return l.lastVersion
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
	l.ranks[s.Rank].status, l.ranks[s.Rank].receivedAt = s, now
	l.observeStep(s.CurrentStep)
	l.advance()
	return l.take()
}

// Tick fires the timers that are due and resends what has not been followed.
func (l *Leader) Tick(now time.Time) []Action {
	l.now = now
	l.lifecycle.Tick(now)
	l.advance()
	interval := resendInterval
	if l.lifecycle.In("watching") || l.lifecycle.In("collecting") {
		interval = heartbeatInterval
	}
	if now.Sub(l.commandsSent) >= interval {
		l.command()
		l.armUnresponsive()
	}
	l.orderOwnEngine()
	return l.take()
}

func (l *Leader) take() []Action {
	actions := l.actions
	l.actions = nil
	return actions
}

func (l *Leader) fire(event string) {
	l.lifecycle.Fire(l.now, event)
}

func (l *Leader) anyStatus(holds func(Status) bool) bool {
	return slices.ContainsFunc(l.ranks, func(r rankView) bool { return holds(r.status) })
}

func (l *Leader) allStatuses(holds func(Status) bool) bool {
	return len(l.ranks) > 0 && !slices.ContainsFunc(l.ranks, func(r rankView) bool { return !holds(r.status) })
}

// fresh reports whether every rank's status is younger than statusTTL.
func (l *Leader) fresh() bool {
	return len(l.ranks) > 0 && !slices.ContainsFunc(l.ranks, func(r rankView) bool {
		return r.receivedAt.IsZero() || l.now.Sub(r.receivedAt) > statusTTL
	})
}

// advance fires the events that the ranks' statuses allow until the state no longer
// changes.
func (l *Leader) advance() {
	for {
		before := l.lifecycle.State()
		l.follow()
		if l.lifecycle.State() == before {
			return
		}
		l.command()
		l.orderOwnEngine()
	}
}

// follow fires the event that the ranks' statuses allow in the current state, if any.
func (l *Leader) follow() {
	switch l.lifecycle.State() {
	case "collecting":
		if l.fresh() {
			l.fire("statusesComplete")
		}
	case "watching":
		if !l.fresh() {
			l.fire("collect")
		}
	case "preparing":
		if l.strayHold() {
			l.fire("collect")
		} else if l.allStatuses(func(s Status) bool { return s.Version == l.version && s.Phase == Prepared }) {
			l.fire("allPrepared")
		}
	case "holding":
		switch holder := l.ranks[l.holder()].status; {
		case holder.Version != l.version:
		case holder.Phase == HoldRefused:
			l.fire("holdRefused")
		case holder.Phase == HoldAccepted && holder.Step == l.step:
			l.fire("held")
		}
	case "confirming":
		if holder := l.ranks[l.holder()].status; holder.Version == l.version && holder.Phase == Confirmed {
			l.fire("confirmed")
		}
	case "deciding":
		if l.ranks[0].status.Armed == l.version {
			l.fire("committed")
		}
	case "revoking":
		switch engine := l.ranks[0].status; {
		case l.committed():
			l.fire("committed")
		case engine.Prepared >= l.revocation || engine.Held == 0 && engine.CurrentStep >= l.step:
			l.fire("revoked")
		}
	case "committing":
		if !slices.ContainsFunc(l.ranks, func(r rankView) bool { return !l.hasArmed(r) }) {
			l.fire("allArmed")
		}
	case "releasing":
		if l.released || l.ranks[0].status.CurrentStep >= l.step {
			l.fire("released")
		}
	case "aborting":
		if (l.step == 0 || l.released) && !l.anyStatus(unfinished) {
			l.fire("allIdle")
		}
	}
}

// holder returns the rank that holds the engine of rank 0. The ranks take turns, since
// an order to an engine on another machine has a cost.
func (l *Leader) holder() int {
	if len(l.ranks) < 2 {
		return 0
	}
	return 1 + int(l.version%Version(len(l.ranks)-1))
}

// unfinished returns the version and step of the change in progress at some rank.
func (l *Leader) unfinished() (version Version, step uint64) {
	for _, r := range l.ranks {
		if unfinished(r.status) && r.status.Version >= version {
			version, step = r.status.Version, max(step, r.status.Step)
		}
	}
	return version, step
}

// adoptCommitted continues the change that some rank has armed.
func (l *Leader) adoptCommitted() {
	l.version, l.step = l.armedVersion(), l.heldStep()
	l.expertMap, l.mapBefore = nil, nil
	l.skipAnnounced()
}

// adoptUnfinished takes over, in order to abort it, a change that an earlier leader did
// not commit.
func (l *Leader) adoptUnfinished() {
	l.version, _ = l.unfinished()
	l.step = l.heldStep()
	l.expertMap, l.mapBefore = nil, nil
	l.skipAnnounced()
}

// command sends the ranks the commands of the leader's current state.
func (l *Leader) command() {
	l.commandsSent = l.now
	if l.lifecycle.In("settling") || l.lifecycle.In("deciding") || l.lifecycle.In("releasing") {
		// Nothing is asked of the ranks, and the next state comes within milliseconds. A
		// heartbeat would fill the leader's link for as long.
		return
	}
	c := Command{Kind: Heartbeat, Leader: l.incarnation, Group: l.group, Epoch: l.epoch, Version: l.version, Step: l.step}
	switch l.lifecycle.State() {
	case "preparing":
		c.Kind, c.Map = Prepare, l.expertMap
	case "holding":
		c.Kind, c.Server = Hold, l.ranks[0].status.Server
	case "confirming":
		c.Kind = Confirm
	case "committing":
		c.Kind = Commit
		invariant.Check(l.version != 0, "a commit has a version", "step %d", l.step)
	case "revoking", "aborting":
		c.Kind = Abort
	}
	for i, r := range l.ranks {
		one := c
		if (c.Kind == Hold || c.Kind == Confirm) && i != l.holder() || c.Kind == Commit && l.hasArmed(r) {
			continue
		}
		switch {
		case c.Kind == Prepare && (r.status.Version == l.version && r.status.Phase != Idle || l.now.Sub(r.mapSent) < mapResendInterval):
			// The rank has the map, or was sent it less than mapResendInterval ago.
			one.Kind, one.Map = Heartbeat, nil
		case c.Kind == Prepare:
			l.ranks[i].mapSent = l.now
		}
		// Expert counts that arrive while a change is prepared serve the next plan. In
		// later states the ranks wait for each other, so the links are kept free.
		if c.Kind == Heartbeat || c.Kind == Prepare && one.Map == nil {
			one.WantCounts = (i-l.nextCountRank+len(l.ranks))%len(l.ranks) < l.countRanks
		}
		l.actions = append(l.actions, Send{To: ident.Rank(i), Command: one})
	}
	if len(l.ranks) > 0 {
		l.nextCountRank = (l.nextCountRank + l.countRanks) % len(l.ranks)
	}
}
