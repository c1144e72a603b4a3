package rank

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	agentCapacity = 512
	// paceInterval is the interval at which the leader tells the entries which ranks
	// are slow, while any is.
	paceInterval = 300 * time.Millisecond
	// leastPace is the least pace that is told. Below it the entries would change
	// their choice for less than the noise of their counts.
	leastPace = 1.2
)

type agentMessage interface{ isAgentMessage() }

type (
	// engineRead is a reading of the engine.
	engineRead struct{ state mapswitch.EngineState }
	// loadRead is what the engine's requests chose, and what the engine holds.
	loadRead struct {
		counts  []uint64
		experts [][]int
		epoch   uint64
		version mapswitch.Version
	}
	orderEnded struct {
		order  mapswitch.Order
		result mapswitch.Result
	}
	// assistEnded ends an order of the leader to the engine of a rank.
	assistEnded struct {
		rank   ident.Rank
		order  mapswitch.Order
		result mapswitch.Result
	}
	linkEvent struct{ event link.Event }
	// peersRead are the addresses for links of the processes beside the other ranks.
	peersRead struct{ addresses []string }
	modelRead struct{ model *record.EngineProfile }
	// askBusy asks whether the engine should be read often.
	askBusy     struct{ reply chan<- bool }
	stopProcess struct{}
)

func (engineRead) isAgentMessage()  {}
func (loadRead) isAgentMessage()    {}
func (orderEnded) isAgentMessage()  {}
func (assistEnded) isAgentMessage() {}
func (linkEvent) isAgentMessage()   {}
func (peersRead) isAgentMessage()   {}
func (modelRead) isAgentMessage()   {}
func (askBusy) isAgentMessage()     {}
func (stopProcess) isAgentMessage() {}

// agent is the task that owns the decisions about the rank's expert map, and,
// beside rank 0, about the group's.
type agent struct {
	mailbox *task.Mailbox[agentMessage]
	rank    *mapswitch.Rank
	leader  *mapswitch.Leader
	planner planner
	address string
	links   map[*link.Link]*rankLink
	// sessions numbers the links in the order in which they came up.
	sessions uint64
	// leaderLink is the link to the leader whose command came last.
	leaderLink *link.Link
	// entries are the links to entries, and seeds the addresses of some entries, which
	// pass on to the others what they hear.
	entries map[*link.Link]struct{}
	seeds   []string
	// pacesTold is when the entries were last told of slow ranks.
	pacesTold time.Time
	// byRank are the links to the other ranks as the leader knows them.
	byRank  map[ident.Rank]*link.Link
	dialers map[string]context.CancelFunc
	// peers are the addresses for links of the processes beside the other ranks.
	peers []string
	// leads says that the rank is the first of its group, so that this process dials
	// the others. A link between all of them would be 2,556 links for 72 ranks.
	leads bool
	// leading takes leads whenever it changes, for the reader of the store.
	leading *task.Mailbox[bool]
	dial    func(ctx context.Context, address string)
	// write sends a message on a link.
	write func(l *link.Link, m message.Message) bool
	// order gives an order to the engine beside this process, or to another one.
	order func(i mapswitch.SendOrder)
	// assist gives an order of the leader to the engine of a rank.
	assist func(a mapswitch.SendLeaderOrder)
	// server is the address of the engine beside this process.
	server string
	// counts is how often the rank's requests chose each expert since the engine's
	// start, and told what of it the leader with that incarnation has been told.
	counts []uint64
	told   []uint64
	toldTo ident.Incarnation
	// experts are the engine's with the map of the version.
	experts        [][]int
	expertsVersion mapswitch.Version
	logger         zerolog.Logger
	events         *eventlog.Log
	metrics        *metrics
}

// run is the task. It returns when the process is asked to stop.
func (a *agent) run(ctx context.Context) error {
	defer a.mailbox.Close()
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	for {
		select {
		case m := <-a.mailbox.Receive():
			if _, stop := m.(stopProcess); stop {
				return nil
			}
			a.step(ctx, time.Now(), m)
		case <-timer.C:
			a.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *agent) step(ctx context.Context, now time.Time, m agentMessage) {
	switch m := m.(type) {
	case engineRead:
		a.carryOut(ctx, now, a.rank.Observe(now, m.state))
		if leads := m.state.Rank == 0; leads != a.leads {
			a.leads = leads
			a.leading.Send(ctx, leads)
			a.join(ctx)
		}
	case loadRead:
		a.loadRead(m)
	case orderEnded:
		a.carryOut(ctx, now, a.rank.OrderEnded(now, m.order, m.result))
	case assistEnded:
		a.carryOut(ctx, now, a.leader.OrderEnded(now, m.rank, m.order, m.result))
	case linkEvent:
		a.link(ctx, now, m.event)
	case peersRead:
		a.peers = m.addresses
		a.join(ctx)
	case modelRead:
		a.planner.model = m.model
		a.leader.SetCountRanks(tellers(m.model))
	case askBusy:
		m.reply <- a.rank.Busy() || a.leads && a.leader.Busy()
	}
}

// loadRead keeps a reading unless the engine has joined another formation since.
func (a *agent) loadRead(m loadRead) {
	if s, known := a.rank.Engine(); known && s.Epoch == m.epoch {
		a.counts, a.experts, a.expertsVersion = m.counts, m.experts, m.version
	}
}

func (a *agent) tick(ctx context.Context, now time.Time) {
	if at, running := a.rank.Deadline(); running && !at.After(now) {
		a.carryOut(ctx, now, a.rank.Tick(now))
	}
	s, known := a.rank.Engine()
	if !known || s.Rank != 0 || !s.Open {
		return
	}
	a.carryOut(ctx, now, a.leader.SetFormation(now, s.Group, s.Epoch, s.Size))
	a.carryOut(ctx, now, a.leader.Tick(now))
	a.tellPaces(now)
	if !a.leader.Ready() {
		return
	}
	if plan, ok := a.planner.plan(now, a.leader.Statuses()); ok {
		a.metrics.planned(plan)
		a.logger.Info().Float64("skew", plan.SkewBefore).Float64("planned", plan.SkewAfter).Int("copies", plan.MaxRankCopies).Msg("map change proposed")
		a.carryOut(ctx, now, a.leader.Propose(now, plan.Map))
	}
}

// tellPaces tells the entries which ranks are slow.
func (a *agent) tellPaces(now time.Time) {
	if now.Sub(a.pacesTold) < paceInterval {
		return
	}
	a.pacesTold = now
	m := new(message.SlowServers)
	for _, s := range a.leader.Statuses() {
		if s.Pace >= leastPace && s.Server != "" {
			m.Slow = append(m.Slow, message.ServerPace{Address: s.Server, Pace: s.Pace})
		}
	}
	if len(m.Slow) == 0 {
		return
	}
	a.logger.Info().Int("ranks", len(m.Slow)).Float64("pace", m.Slow[0].Pace).Int("entries", len(a.entries)).Msg("slow ranks told")
	for l := range a.entries {
		a.write(l, m)
	}
}

func (a *agent) carryOut(ctx context.Context, now time.Time, actions []mapswitch.Action) {
	var unknown *mapswitch.Command
	for _, one := range actions {
		switch one := one.(type) {
		case mapswitch.SendOrder:
			a.order(one)
		case mapswitch.SendLeaderOrder:
			if one.Rank != 0 {
				a.logger.Warn().Int("rank", int(one.Rank)).Str("order", string(one.Order.Kind)).Uint64("version", uint64(one.Order.Version)).
					Msg("the process beside the rank does not follow; its engine is ordered from here")
			}
			a.assist(one)
		case mapswitch.Report:
			a.report(ctx, now, one)
		case mapswitch.Send:
			if !a.send(ctx, now, one) {
				unknown = &one.Command
			}
		case mapswitch.Notice:
			s, _ := a.rank.Engine()
			a.events.Emit(eventlog.Event{
				Name: one.Name, Group: ident.GroupID(s.Group),
				Detail: fmt.Sprintf("version %d, step %d, epoch %d, %s", one.Version, one.Step, s.Epoch, one.Detail),
			})
			a.metrics.changes.WithLabelValues(one.Name).Inc()
		}
	}
	if unknown != nil {
		a.greet(*unknown)
	}
}

// report sends the rank's status to the leader it follows.
func (a *agent) report(ctx context.Context, now time.Time, r mapswitch.Report) {
	s := r.Status
	s.Server = a.server
	if s.Phase == mapswitch.Idle && s.Map == a.expertsVersion {
		s.Experts = a.experts
	}
	if r.WantCounts {
		s.ExpertCounts = a.tell(s.Leader)
	}
	if s.Rank == 0 {
		a.heard(ctx, now, s)
		return
	}
	if a.leaderLink != nil {
		a.transmit(a.leaderLink, frame{Status: &s})
	}
}

// tell returns what the requests chose since the leader was last told.
func (a *agent) tell(leader ident.Incarnation) []float64 {
	last := a.told
	a.told = a.counts
	if leader != a.toldTo || len(last) != len(a.counts) {
		a.toldTo = leader
		return nil
	}
	chosen := make([]float64, len(last))
	for i, n := range a.counts {
		if n < last[i] {
			// The engine started anew.
			return nil
		}
		chosen[i] = float64(n - last[i])
	}
	return chosen
}

// heard takes the status of a rank.
func (a *agent) heard(ctx context.Context, now time.Time, s mapswitch.Status) {
	a.planner.observe(s.Epoch, s.Rank, s.ExpertCounts)
	a.carryOut(ctx, now, a.leader.Receive(now, s))
}
