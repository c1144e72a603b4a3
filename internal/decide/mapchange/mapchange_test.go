package mapchange_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Guards against a protocol that never changes the map or that delays steps: without
// faults the group changes its map about once a second, and no step waits long.
func TestMapChangesWithoutFaults(t *testing.T) {
	w := newSimulation(t, 1, 8)
	w.run(20 * time.Second)
	t.Logf("%d changes, longest stall %s", w.switches, w.longestStall)
	must.Greater(t, 10, w.switches)
	must.Less(t, 150*time.Millisecond, w.longestStall)
}

// Guards against two maps in one step (checked at every simulated step) and against a
// group that stays held, under late orders, orders that time out, lost messages, and
// agents that restart or freeze at any moment.
func TestOneMapUnderFaults(t *testing.T) {
	const seeds = 400
	switches := 0
	for seed := uint64(0); seed < seeds; seed++ {
		w := newSimulation(t, seed, 2+int(seed%5))
		w.loss, w.late, w.unanswered = 0.05, 0.7, 0.3
		for range 12 {
			w.run(w.between(200*time.Millisecond, 2*time.Second))
			r := w.random.IntN(len(w.agents))
			switch w.random.IntN(4) {
			case 0:
				w.startAgent(r)
			case 1:
				w.agents[r].frozenUntil = w.now.Add(w.between(100*time.Millisecond, 3*time.Second))
			case 2:
				w.reform()
			}
		}
		w.loss, w.unanswered = 0, 0
		w.run(10 * time.Second)
		before, steps := w.switches, w.step
		w.run(10 * time.Second)
		must.Greater(t, steps, w.step, must.Sprintf("seed %d: the group stays held", seed))
		must.Greater(t, before, w.switches, must.Sprintf("seed %d: the map no longer changes", seed))
		switches += w.switches
	}
	t.Logf("%d changes over %d seeds", switches, seeds)
}

// Guards against a group that waits for an agent that froze after any of its orders.
// An agent once froze after it had held its own engine and before it had reported this,
// and all streams of the group broke off.
func TestGroupContinuesWhileAnAgentIsFrozen(t *testing.T) {
	for _, kind := range []mapchange.OrderKind{mapchange.OrderPrepare, mapchange.OrderHold, mapchange.OrderArm, mapchange.OrderRelease} {
		longest := time.Duration(0)
		for seed := uint64(0); seed < 50; seed++ {
			w := newSimulation(t, seed, 6)
			w.run(w.between(time.Second, 3*time.Second))
			w.freezeOn = kind
			w.run(10 * time.Second)
			longest = max(longest, w.longestStall)
		}
		t.Logf("%s: longest stall %s", kind, longest)
		must.Less(t, time.Second, longest, must.Sprintf("frozen after %s", kind))
	}
}

// Guards against a group that waits for a holder whose machine froze, with its engine,
// right after the hold: twice such a group stood still for 3.9 s.
func TestGroupContinuesWhileTheHoldersMachineIsFrozen(t *testing.T) {
	longest := time.Duration(0)
	for seed := uint64(0); seed < 50; seed++ {
		w := newSimulation(t, seed, 6)
		w.run(w.between(time.Second, 3*time.Second))
		w.freezeHolder = true
		w.run(10 * time.Second)
		must.False(t, w.freezeHolder)
		longest = max(longest, w.longestStall)
	}
	t.Logf("longest stall %s", longest)
	must.Less(t, time.Second, longest)
}

// Guards against a leader that waits for a rank that has already armed: a reading of the
// engine that began before the order showed nothing armed, the rank reported this, and
// every change of a group of 72 ranks waited 60 ms for the next command.
func TestLateReadingDoesNotHideThatTheRankHasArmed(t *testing.T) {
	now := time.Unix(1000, 0)
	r := mapchange.NewRank(now)
	engine := mapchange.EngineState{Group: "g", Epoch: 1, Rank: 3, Size: 4, Open: true, Step: 10}
	r.Observe(now, engine)
	command := mapchange.Command{Kind: mapchange.Prepare, Leader: 7, Group: "g", Epoch: 1, Version: 1, Map: oneLayer(4, 0)}
	r.Receive(now, 1, command)
	engine.Prepared = 1
	r.Observe(now, engine)
	command.Kind, command.Step = mapchange.Commit, 12
	r.Receive(now, 1, command)
	must.Eq(t, mapchange.Arming, r.Phase())
	r.OrderEnded(now, mapchange.Order{Kind: mapchange.OrderArm, Epoch: 1, Version: 1, Step: 12}, mapchange.Accepted)
	r.Observe(now, engine)
	must.Eq(t, mapchange.Version(1), r.Status().Armed)
	r.Receive(now, 1, command)
	must.Eq(t, mapchange.Idle, r.Phase())
	engine.Map, engine.Prepared, engine.Step = 1, 0, 12
	r.Observe(now, engine)
	must.Eq(t, mapchange.Version(0), r.Status().Armed)
}

// Guards against a leader that mistakes its own change for one of an earlier leader,
// since a reading from before the release shows its engine held: it then discarded the
// map in use and planned the next change a second later.
func TestLeaderKeepsItsOwnChange(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		w := newSimulation(t, seed, 8)
		w.run(20 * time.Second)
		must.Eq(t, 0, w.notices["map.leader-collecting"], must.Sprintf("seed %d", seed))
	}
}

// Guards against a first change of a formation that is delayed as if an earlier leader
// had announced steps. A leader announces a change at most eight steps ahead.
func TestFirstChangeIsNotDelayed(t *testing.T) {
	for seed := uint64(0); seed < 20; seed++ {
		w := newSimulation(t, seed, 8)
		for w.notices["map.leader-holding"] == 0 {
			w.run(time.Millisecond)
		}
		must.LessEq(t, 8, w.ahead, must.Sprintf("seed %d", seed))
	}
}

// Guards against a plan based on the experts of the previous map: a rank reads its
// engine's experts only some time after a change, and an engine refuses a map with more
// new experts than its limit.
func TestExpertsOfPreviousMapAreDiscarded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := mapchange.NewLeader(now, 7)
	l.SetFormation(now, "g", 1, 1)
	status := mapchange.Status{Leader: 7, Group: "g", Epoch: 1, Phase: mapchange.Idle, Experts: [][]int{{0, 1}}}
	l.Receive(now, status)
	must.Eq(t, [][]int{{0, 1}}, l.Statuses()[0].Experts)
	status.Map, status.Experts = 3, nil
	l.Receive(now, status)
	must.Nil(t, l.Statuses()[0].Experts)
}

// Guards against a leader that waits for the next reading of the experts after its own
// change, although it knows the map.
func TestLeaderKnowsTheMapThatItMade(t *testing.T) {
	w := newSimulation(t, 1, 4)
	w.run(10 * time.Second)
	must.Greater(t, 2, w.switches)
	for _, s := range w.agents[0].leader.Statuses() {
		if s.Map != 0 && s.Armed == 0 && s.Phase == mapchange.Idle {
			must.NotNil(t, s.Experts)
		}
	}
}

// Guards against a leader that fires an event that its chart does not declare, which
// panics. The leader finds all ranks idle and watches. Later statuses show that an
// earlier leader committed a change: the engine of rank 0 is held, and only some ranks
// have armed. The leader must collect the statuses again and complete the change; if it
// released the engine, the step would begin with two maps.
func TestWatchingLeaderCollectsWhenAnEarlierCommitShows(t *testing.T) {
	now := time.Unix(1000, 0)
	l := mapchange.NewLeader(now, 7)
	l.SetFormation(now, "g", 1, 3)
	statuses := make([]mapchange.Status, 3)
	for r := range statuses {
		statuses[r] = mapchange.Status{Leader: 7, Group: "g", Epoch: 1, Rank: ident.Rank(r), Phase: mapchange.Idle, CurrentStep: 10, Prepared: 3}
		l.Receive(now, statuses[r])
	}
	must.Eq(t, "watching", l.State())
	statuses[0].Held, statuses[1].Armed = 12, 3
	for _, s := range statuses {
		l.Receive(now, s)
	}
	must.Eq(t, "watching", l.State())
	for _, a := range l.Tick(now) {
		_, ordered := a.(mapchange.SendLeaderOrder)
		must.False(t, ordered)
	}
	must.Eq(t, "collecting", l.State())
	l.Tick(now)
	must.Eq(t, "committing", l.State())
}
