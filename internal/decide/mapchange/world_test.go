package mapchange_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// simulation runs a group of engines and their agents in virtual time.
type simulation struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Time
	queue   eventQueue
	number  int
	epoch   uint64
	step    uint64
	engines []*fakeEngine
	agents  []*fakeAgent
	// sessions is the number of the last connection of a new agent.
	sessions uint64
	// loss is the probability that a message is lost, unanswered that an order times out,
	// and late that such an order is carried out later.
	loss, late, unanswered float64
	// freezeOn freezes an agent other than the leader's for four seconds right after its
	// first order of this kind.
	freezeOn mapchange.OrderKind
	// freezeHolder freezes the machine of the next holder, with its own engine, for four
	// seconds right after the hold. The group's steps do not wait for that engine.
	freezeHolder bool
	switches     int
	// notices counts the notices by name.
	notices map[string]int
	// ahead is how many steps ahead the last change was announced.
	ahead int
	// reports counts the statuses that were sent to the leader.
	reports int
	// longestStall is the longest time that a step was held, and blockedSince when the
	// present hold began.
	longestStall time.Duration
	blockedSince time.Time
	// isLate reports whether an order to the engine of a rank gets no answer, and ordered is
	// called when an engine has carried out an order. Both may be nil.
	isLate  func(rank int, o mapchange.Order) bool
	ordered func(rank int, o mapchange.Order)
}

// fakeEngine simulates one rank's engine after the platform's description.
type fakeEngine struct {
	current, prepared, armed mapchange.Version
	highest                  mapchange.Version
	armedStep, held          uint64
	// currentMap and preparedMap are the maps of the versions.
	currentMap, preparedMap placement.Map
	// silentUntil is when the engine answers again.
	silentUntil time.Time
}

// fakeAgent is the agent of a rank.
type fakeAgent struct {
	rank    *mapchange.Rank
	leader  *mapchange.Leader
	session uint64
	// frozenUntil is when the agent runs again; what arrives before waits.
	frozenUntil time.Time
}

type event struct {
	at     time.Time
	number int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSimulation(t *testing.T, seed uint64, ranks int) *simulation {
	w := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), epoch: 1, notices: make(map[string]int)}
	for range ranks {
		w.engines = append(w.engines, &fakeEngine{currentMap: oneLayer(ranks, 0)})
		w.agents = append(w.agents, nil)
	}
	for r := range ranks {
		w.startAgent(r)
	}
	w.after(time.Millisecond, w.beginStep)
	return w
}

func (w *simulation) after(d time.Duration, run func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now.Add(d), number: w.number, run: run})
}

func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *simulation) chance(p float64) bool { return w.random.Float64() < p }

// beginStep begins the next step unless an engine is held, and checks that all ranks use
// the same map.
func (w *simulation) beginStep() {
	next := w.step + 1
	for _, e := range w.engines {
		if e.held == next {
			if w.blockedSince.IsZero() {
				w.blockedSince = w.now
			}
			w.after(5*time.Millisecond, w.beginStep)
			return
		}
	}
	if !w.blockedSince.IsZero() {
		w.longestStall = max(w.longestStall, w.now.Sub(w.blockedSince))
		w.blockedSince = time.Time{}
	}
	w.step = next
	changed := false
	for _, e := range w.engines {
		if e.armed != 0 && e.armedStep == next {
			e.current, e.armed, e.prepared, changed = e.armed, 0, 0, true
			e.currentMap = e.preparedMap
		}
	}
	for r, e := range w.engines {
		must.Eq(w.t, w.engines[0].current, e.current, must.Sprintf("seed %d, step %d: rank %d uses another map than rank 0", w.seed, next, r))
		if changed {
			must.Eq(w.t, w.engines[0].currentMap, e.currentMap, must.Sprintf("seed %d, step %d: rank %d uses another map than rank 0", w.seed, next, r))
		}
	}
	if changed {
		w.switches++
	}
	w.after(w.between(40*time.Millisecond, 120*time.Millisecond), w.beginStep)
}

// order carries out an order at the engine of a rank and returns the result.
func (w *simulation) order(r int, o mapchange.Order) mapchange.Result {
	result := w.carryOutOrder(r, o)
	if w.ordered != nil && result == mapchange.Accepted {
		w.ordered(r, o)
	}
	return result
}

func (w *simulation) carryOutOrder(r int, o mapchange.Order) mapchange.Result {
	e := w.engines[r]
	if o.Epoch != w.epoch {
		return mapchange.Conflicting
	}
	switch o.Kind {
	case mapchange.OrderPrepare:
		if o.Version <= e.highest || e.armed != 0 {
			return mapchange.Conflicting
		}
		e.highest, e.prepared = o.Version, 0
		version, epoch := o.Version, w.epoch
		copyTime := w.between(50*time.Millisecond, 400*time.Millisecond)
		if slices.Equal(o.Map[0][r], e.currentMap[0][r]) {
			copyTime = 0
		}
		w.after(copyTime, func() {
			if w.epoch == epoch && e.highest == version {
				e.prepared, e.preparedMap = version, o.Map
			}
		})
	case mapchange.OrderHold:
		if o.Step <= w.step || e.held != 0 && e.held != o.Step {
			return mapchange.Conflicting
		}
		e.held = o.Step
	case mapchange.OrderArm:
		if e.armed == o.Version && e.armedStep == o.Step {
			return mapchange.Accepted
		}
		if e.prepared != o.Version || o.Step <= w.step {
			return mapchange.Conflicting
		}
		e.armed, e.armedStep = o.Version, o.Step
	case mapchange.OrderRelease:
		if e.held == o.Step {
			e.held = 0
		}
	}
	return mapchange.Accepted
}

// sendOrder sends an order to the engine of a rank, which may time out and then be lost or
// carried out seconds later.
func (w *simulation) sendOrder(r int, o mapchange.Order, answered func(mapchange.Result)) {
	e := w.engines[r]
	if w.isLate != nil && w.isLate(r, o) {
		w.after(250*time.Millisecond, func() { answered(mapchange.Unanswered) })
		return
	}
	if w.now.Before(e.silentUntil) || w.chance(w.unanswered) {
		if w.now.After(e.silentUntil) && w.chance(w.late) {
			w.after(w.between(500*time.Millisecond, 6*time.Second), func() { w.order(r, o) })
		}
		w.after(250*time.Millisecond, func() { answered(mapchange.Unanswered) })
		return
	}
	w.after(w.between(100*time.Microsecond, 3*time.Millisecond), func() {
		result := w.order(r, o)
		w.after(w.between(100*time.Microsecond, 3*time.Millisecond), func() { answered(result) })
	})
}

func (w *simulation) state(r int) mapchange.EngineState {
	e := w.engines[r]
	return mapchange.EngineState{
		Group: "g", Epoch: w.epoch, Rank: ident.Rank(r), Size: len(w.engines), Open: true,
		Step: w.step, Map: e.current, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}
}

func (w *simulation) startAgent(r int) {
	// Clocks are up to an hour wrong, so that a later process may seem to be the earlier one.
	incarnation := ident.NewIncarnation(w.now.Add(w.between(-time.Hour, time.Hour)))
	p := &fakeAgent{rank: mapchange.NewRank(w.now), leader: mapchange.NewLeader(w.now, incarnation)}
	w.agents[r] = p
	w.sessions++
	p.session = w.sessions
	w.poll(r, p)
	w.tick(r, p)
}

// whenAwake runs a function at an agent once it is not frozen, unless it was replaced.
func (w *simulation) whenAwake(r int, p *fakeAgent, run func()) {
	if w.agents[r] != p {
		return
	}
	if w.now.Before(p.frozenUntil) {
		w.after(p.frozenUntil.Sub(w.now), func() { w.whenAwake(r, p, run) })
		return
	}
	run()
}

func (w *simulation) poll(r int, p *fakeAgent) {
	s := w.state(r)
	w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
		w.whenAwake(r, p, func() {
			w.carryOut(r, p, p.rank.Observe(w.now, s))
			w.after(w.between(15*time.Millisecond, 60*time.Millisecond), func() { w.whenAwake(r, p, func() { w.poll(r, p) }) })
		})
	})
}

func (w *simulation) tick(r int, p *fakeAgent) {
	w.carryOut(r, p, p.rank.Tick(w.now))
	if s, known := p.rank.Engine(); known && s.Rank == 0 {
		w.carryOut(r, p, p.leader.SetFormation(w.now, s.Group, s.Epoch, s.Size))
		w.carryOut(r, p, p.leader.Tick(w.now))
		if p.leader.Watching() && w.chance(0.1) {
			w.carryOut(r, p, p.leader.Propose(w.now, oneLayer(len(w.agents), w.random.IntN(len(w.agents)))))
		}
	}
	w.after(20*time.Millisecond, func() { w.whenAwake(r, p, func() { w.tick(r, p) }) })
}

// oneLayer is a map with one expert at each rank. Shift is the expert of rank 0.
func oneLayer(ranks, shift int) placement.Map {
	m := placement.Map{nil}
	for r := range ranks {
		m[0] = append(m[0], []int{(r + shift) % ranks})
	}
	return m
}

func (w *simulation) carryOut(r int, p *fakeAgent, actions []mapchange.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case mapchange.SendOrder:
			if r != 0 && a.Order.Kind == w.freezeOn {
				w.freezeOn = ""
				p.frozenUntil = w.now.Add(4 * time.Second)
			}
			engine := r
			if a.Server != "" {
				engine = 0
			}
			if w.freezeHolder && a.Order.Kind == mapchange.OrderHold {
				w.freezeHolder = false
				w.after(w.between(3*time.Millisecond, 4*time.Millisecond), func() {
					p.frozenUntil = w.now.Add(4 * time.Second)
					w.engines[r].silentUntil = p.frozenUntil
				})
			}
			w.sendOrder(engine, a.Order, func(result mapchange.Result) {
				w.whenAwake(r, p, func() { w.carryOut(r, p, p.rank.OrderEnded(w.now, a.Order, result)) })
			})
		case mapchange.SendLeaderOrder:
			w.sendOrder(int(a.Rank), a.Order, func(result mapchange.Result) {
				w.whenAwake(r, p, func() { w.carryOut(r, p, p.leader.OrderEnded(w.now, a.Rank, a.Order, result)) })
			})
		case mapchange.Report:
			a.Status.Server = "engine"
			if e := w.engines[r]; a.Status.Phase == mapchange.Idle && a.Status.Map == e.current {
				a.Status.Experts = [][]int{e.currentMap[0][r]}
			}
			w.reports++
			w.transmit(0, func(to *fakeAgent) { w.carryOut(0, to, to.leader.Receive(w.now, a.Status)) })
		case mapchange.Notice:
			w.notices[a.Name]++
			if a.Name == "map.leader-holding" {
				w.ahead = int(a.Step - w.step)
			}
		case mapchange.Send:
			session := p.session
			w.transmit(int(a.To), func(to *fakeAgent) { w.carryOut(int(a.To), to, to.rank.Receive(w.now, session, a.Command)) })
		}
	}
}

// transmit delivers a message with a delay, or loses it. An agent that was replaced
// meanwhile receives nothing on the old connection.
func (w *simulation) transmit(to int, receive func(*fakeAgent)) {
	if w.chance(w.loss) {
		return
	}
	p := w.agents[to]
	w.after(w.between(200*time.Microsecond, 8*time.Millisecond), func() {
		w.whenAwake(to, p, func() { receive(p) })
	})
}

// reform restarts the engines: the group opens in a new epoch with empty engines.
func (w *simulation) reform() {
	w.epoch++
	for _, e := range w.engines {
		*e = fakeEngine{currentMap: oneLayer(len(w.engines), 0)}
	}
}
