package rank

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// agentMailboxCapacity is the number of messages that can wait for the control task.
	agentMailboxCapacity = 512
	// slowServersInterval is the interval at which the leader reports slow ranks to the
	// entries, while there are any.
	slowServersInterval = 300 * time.Millisecond
	// minSlowdown is the least slowdown that is reported to the entries. The effect of a
	// smaller one on their choice is below the noise of their counts.
	minSlowdown = 1.2
)

type agentMessage interface{ isAgentMessage() }

type (
	// engineRead carries the state that the engine reported.
	engineRead struct{ state mapchange.EngineState }
	// expertsRead carries how often the engine's requests chose each expert, and the
	// experts that the engine holds, by layer set.
	expertsRead struct {
		counts  []uint64
		experts [][]int
		epoch   uint64
		version mapchange.Version
	}
	// orderEnded carries the result of an order that the rank's side of the protocol gave.
	orderEnded struct {
		order  mapchange.Order
		result mapchange.Result
	}
	// leaderOrderEnded carries the result of an order of the leader to the engine of a
	// rank.
	leaderOrderEnded struct {
		rank   ident.Rank
		order  mapchange.Order
		result mapchange.Result
	}
	linkEvent struct{ event link.Event }
	// peersRead carries the link addresses of the agents of the other ranks.
	peersRead struct{ addresses []string }
	modelRead struct{ model *record.EngineProfile }
	// busyQuery asks whether a map change is in progress.
	busyQuery   struct{ reply chan<- bool }
	stopProcess struct{}
)

func (engineRead) isAgentMessage()       {}
func (expertsRead) isAgentMessage()      {}
func (orderEnded) isAgentMessage()       {}
func (leaderOrderEnded) isAgentMessage() {}
func (linkEvent) isAgentMessage()        {}
func (peersRead) isAgentMessage()        {}
func (modelRead) isAgentMessage()        {}
func (busyQuery) isAgentMessage()        {}
func (stopProcess) isAgentMessage()      {}

// agent is the control task of the agent process. It decides about the expert map of its
// rank and, beside rank 0, of the group.
type agent struct {
	mailbox *task.Mailbox[agentMessage]
	rank    *mapchange.Rank
	leader  *mapchange.Leader
	planner planner
	// address is the link address of this process.
	address string
	// links are the links to other agents.
	links map[*link.Link]*rankLink
	// lastSession is the session number of the link that came up last.
	lastSession uint64
	// linkToLeader is the link on which the last command arrived.
	linkToLeader *link.Link
	// entryLinks are the links to entries. entryAddresses are the addresses of some
	// entries; these forward what they receive to the others.
	entryLinks     map[*link.Link]struct{}
	entryAddresses []string
	// slowServersSent is when the slow ranks were last determined for the entries.
	slowServersSent time.Time
	// linkByRank holds the links to the agents whose ranks are known.
	linkByRank map[ident.Rank]*link.Link
	// dialers holds, for each dialled address, the function that stops the dialler.
	dialers map[string]context.CancelFunc
	// peerAddresses are the link addresses of the agents of the other ranks.
	peerAddresses []string
	// isLeader is true if the rank is rank 0 of its group. Only its agent dials the
	// others: links between all agents of 72 ranks would be 2,556.
	isLeader bool
	// leadership passes changes of isLeader to the reader of the store.
	leadership *task.Mailbox[bool]
	// dial starts a dialler, which keeps a link to the address open until ctx ends.
	dial func(ctx context.Context, address string)
	// write queues a message on a link.
	write func(l *link.Link, m message.Message) bool
	// sendOrder starts an order to this rank's engine, or to the one that it names.
	sendOrder func(o mapchange.SendOrder)
	// sendLeaderOrder starts an order of the leader to the engine of a rank.
	sendLeaderOrder func(o mapchange.SendLeaderOrder)
	// engineAddress is the host and port of this rank's engine.
	engineAddress string
	// counts is how often the rank's requests chose each expert since the engine's
	// start. reportedCounts are the counts as of the last report to a leader, and
	// reportedTo is the incarnation of that leader.
	counts         []uint64
	reportedCounts []uint64
	reportedTo     ident.Incarnation
	// experts are the experts that the engine held under map version expertsVersion.
	experts        [][]int
	expertsVersion mapchange.Version
	logger         zerolog.Logger
	events         *eventlog.Log
	metrics        *metrics
}

// run handles messages and timers until stopProcess arrives or the context ends.
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
			a.handle(ctx, time.Now(), m)
		case <-timer.C:
			a.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *agent) handle(ctx context.Context, now time.Time, m agentMessage) {
	switch m := m.(type) {
	case engineRead:
		a.execute(ctx, now, a.rank.Observe(now, m.state))
		if leads := m.state.Rank == 0; leads != a.isLeader {
			a.isLeader = leads
			a.leadership.Send(ctx, leads)
			a.updateDialers(ctx)
		}
	case expertsRead:
		a.storeExperts(m)
	case orderEnded:
		a.execute(ctx, now, a.rank.OrderEnded(now, m.order, m.result))
	case leaderOrderEnded:
		a.execute(ctx, now, a.leader.OrderEnded(now, m.rank, m.order, m.result))
	case linkEvent:
		a.handleLink(ctx, now, m.event)
	case peersRead:
		a.peerAddresses = m.addresses
		a.updateDialers(ctx)
	case modelRead:
		a.planner.model = m.model
		a.leader.SetCountRanks(maxCountRanks(m.model))
	case busyQuery:
		m.reply <- a.rank.Busy() || a.isLeader && a.leader.Busy()
	}
}

// storeExperts keeps a reading unless the engine has changed its formation since.
func (a *agent) storeExperts(m expertsRead) {
	if s, known := a.rank.Engine(); known && s.Epoch == m.epoch {
		a.counts, a.experts, a.expertsVersion = m.counts, m.experts, m.version
	}
}

// tick fires the timers that are due and, beside rank 0, leads the group.
func (a *agent) tick(ctx context.Context, now time.Time) {
	if at, running := a.rank.Deadline(); running && !at.After(now) {
		a.execute(ctx, now, a.rank.Tick(now))
	}
	s, known := a.rank.Engine()
	if !known || s.Rank != 0 || !s.Open {
		return
	}
	a.execute(ctx, now, a.leader.SetFormation(now, s.Group, s.Epoch, s.Size))
	a.execute(ctx, now, a.leader.Tick(now))
	a.sendSlowServers(now)
	if !a.leader.Ready() {
		return
	}
	if plan, ok := a.planner.plan(now, a.leader.Statuses()); ok {
		a.metrics.setSkew(plan)
		a.logger.Info().Float64("skew", plan.SkewBefore).Float64("planned", plan.SkewAfter).Int("copies", plan.MaxRankCopies).Msg("map change proposed")
		a.execute(ctx, now, a.leader.Propose(now, plan.Map))
	}
}

// sendSlowServers reports the slow ranks to the entries, at most once per
// slowServersInterval.
func (a *agent) sendSlowServers(now time.Time) {
	if now.Sub(a.slowServersSent) < slowServersInterval {
		return
	}
	a.slowServersSent = now
	m := new(message.SlowServers)
	for _, s := range a.leader.Statuses() {
		if s.Slowdown >= minSlowdown && s.Server != "" {
			m.Slow = append(m.Slow, message.ServerSlowdown{Address: s.Server, Slowdown: s.Slowdown})
		}
	}
	if len(m.Slow) == 0 {
		return
	}
	a.logger.Info().Int("ranks", len(m.Slow)).Float64("pace", m.Slow[0].Slowdown).Int("entries", len(a.entryLinks)).Msg("slow ranks reported to the entries")
	for l := range a.entryLinks {
		a.write(l, m)
	}
}

// execute carries out the actions that the protocol has decided on.
func (a *agent) execute(ctx context.Context, now time.Time, actions []mapchange.Action) {
	var unknown *mapchange.Command
	for _, action := range actions {
		switch action := action.(type) {
		case mapchange.SendOrder:
			a.sendOrder(action)
		case mapchange.SendLeaderOrder:
			if action.Rank != 0 {
				a.logger.Warn().Int("rank", int(action.Rank)).Str("order", string(action.Order.Kind)).Uint64("version", uint64(action.Order.Version)).
					Msg("the agent of the rank did not carry out the change in time; sending the order to its engine directly")
			}
			a.sendLeaderOrder(action)
		case mapchange.Report:
			a.report(ctx, now, action)
		case mapchange.Send:
			if !a.sendCommand(ctx, now, action) {
				unknown = &action.Command
			}
		case mapchange.Notice:
			s, _ := a.rank.Engine()
			a.events.Emit(eventlog.Event{
				Name: action.Name, Group: ident.GroupID(s.Group),
				Detail: fmt.Sprintf("version %d, step %d, epoch %d, %s", action.Version, action.Step, s.Epoch, action.Detail),
			})
			a.metrics.changes.WithLabelValues(action.Name).Inc()
		}
	}
	if unknown != nil {
		a.askUnknownRanks(*unknown)
	}
}

// report sends the rank's status to the leader it follows.
func (a *agent) report(ctx context.Context, now time.Time, r mapchange.Report) {
	s := r.Status
	s.Server = a.engineAddress
	if s.Phase == mapchange.Idle && s.Map == a.expertsVersion {
		s.Experts = a.experts
	}
	if r.WantCounts {
		s.ExpertCounts = a.takeCounts(s.Leader)
	}
	if s.Rank == 0 {
		a.receiveStatus(ctx, now, s)
		return
	}
	if a.linkToLeader != nil {
		a.sendFrame(a.linkToLeader, frame{Status: &s})
	}
}

// takeCounts returns how often the requests chose each expert since the last report
// to the leader. It returns nil if there is no earlier report to compare with.
func (a *agent) takeCounts(leader ident.Incarnation) []float64 {
	last := a.reportedCounts
	a.reportedCounts = a.counts
	if leader != a.reportedTo || len(last) != len(a.counts) {
		a.reportedTo = leader
		return nil
	}
	increases := make([]float64, len(last))
	for i, n := range a.counts {
		if n < last[i] {
			// The engine has restarted.
			return nil
		}
		increases[i] = float64(n - last[i])
	}
	return increases
}

// receiveStatus passes the status of a rank to the planner and the leader.
func (a *agent) receiveStatus(ctx context.Context, now time.Time, s mapchange.Status) {
	a.planner.addCounts(s.Epoch, s.Rank, s.ExpertCounts)
	a.execute(ctx, now, a.leader.Receive(now, s))
}
