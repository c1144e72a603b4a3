package sidecar

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	groupMailboxCapacity = 1024
	// groupTickInterval bounds the delay with which a timer of the protocol fires.
	groupTickInterval = 20 * time.Millisecond
	// enginePollInterval is the time between two reads of the engine's state. It
	// bounds the delay with which a restart of the engine is detected.
	enginePollInterval = 250 * time.Millisecond
	// minPlanInterval is the least time between two plans of the leader.
	minPlanInterval = 5 * time.Second
	// planIntervalPerRank is the time between two plans per rank of the group. The
	// leader sends each change to every rank, so switches of 256 ranks must be 128 s
	// apart to stay within 4 KB/s.
	planIntervalPerRank = 500 * time.Millisecond
	// speedRecoveryTime is the time constant with which the planned speed of a rank
	// that was slow increases again.
	speedRecoveryTime = 5 * time.Minute
)

// States of a group in load reports.
const (
	groupFormed  = "formed"
	groupForming = "forming"
)

// groupMessage is a message to the group task.
type groupMessage interface{ isGroupMessage() }

type (
	groupLink  struct{ event link.Event }
	groupFrame struct {
		link  *link.Link
		frame *message.ExpertMap
	}
	// engineCallResult is the result of an order or, if order is nil, of a read of the
	// engine's state.
	engineCallResult struct {
		generation int
		order      *expertmap.Order
		result     expertmap.Result
		state      engine.GroupState
		err        error
	}
)

func (groupLink) isGroupMessage()        {}
func (groupFrame) isGroupMessage()       {}
func (engineCallResult) isGroupMessage() {}

// groupTask owns this sidecar's part in an expert-parallel group: the protocol state of
// its rank, the links to the other ranks and, if it leads, the planner.
type groupTask struct {
	mailbox *task.Mailbox[groupMessage]
	// records holds only the newest record.
	records *task.Mailbox[*record.Snapshot]
	server  ident.ServerID
	codec   *codec.Codec
	caller  *groupCaller
	links   *groupLinks
	control *task.Mailbox[controlMessage]
	events  *eventlog.Log
	logger  zerolog.Logger
	metrics *groupMetrics

	membership membership
	rank       *expertmap.Rank
	// generation increases with each change of the membership, so that results of
	// calls from an earlier one are ignored.
	generation int
	state      engine.GroupState
	planner    planner
	lastReport groupReport
	nextPoll   time.Time
}

// membership is this rank's place in the record.
type membership struct {
	group         record.Group
	rank          ident.Rank
	checksFencing bool
	domains       []ident.FailureDomain
}

// groupReport is the group's part of the load report: its state and its mean step time
// in milliseconds.
type groupReport struct {
	state  string
	stepMS float64
}

func (groupReport) isControlMessage() {}

// run handles records, messages and timers until the context ends. It does nothing
// until a record names this server as a rank.
func (t *groupTask) run(ctx context.Context) error {
	defer t.mailbox.Close()
	tick := time.NewTicker(groupTickInterval)
	defer tick.Stop()
	for {
		select {
		case s := <-t.records.Receive():
			t.adopt(time.Now(), s)
		case m := <-t.mailbox.Receive():
			t.handle(ctx, time.Now(), m)
		case now := <-tick.C:
			t.tick(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
}

// adopt restarts the protocol of this rank if the record changes the group.
func (t *groupTask) adopt(now time.Time, s *record.Snapshot) {
	m, ok := memberOf(s, t.server)
	t.links.setRanks(s, m.group)
	if ok && t.rank != nil && m.equal(t.membership) {
		return
	}
	t.generation++
	t.rank, t.membership = nil, m
	if !ok {
		return
	}
	slots := expertbalance.SlotsPerRank(len(m.group.Ranks), m.group.Experts, m.group.SpareSlots)
	t.rank = expertmap.New(now, rankConfig(now, m, expertbalance.InitialMap(m.group.Layers, m.group.Experts, slots)))
	t.planner = newPlanner(m, now)
	t.nextPoll = now
}

func memberOf(s *record.Snapshot, server ident.ServerID) (membership, bool) {
	replica, ok := s.Replicas[server]
	if !ok || replica.Group == "" {
		return membership{}, false
	}
	m := membership{group: s.Groups[replica.Group], rank: -1, checksFencing: replica.ChecksFencing}
	for r, id := range m.group.Ranks {
		m.domains = append(m.domains, s.Replicas[id].Domain)
		if id == server {
			m.rank = ident.Rank(r)
		}
	}
	return m, m.rank >= 0
}

func (m membership) equal(other membership) bool {
	a, b := m.group, other.group
	if a.ID != b.ID || a.Layers != b.Layers || a.Experts != b.Experts || a.SpareSlots != b.SpareSlots ||
		len(a.Ranks) != len(b.Ranks) || m.checksFencing != other.checksFencing {
		return false
	}
	for i := range a.Ranks {
		if a.Ranks[i] != b.Ranks[i] {
			return false
		}
	}
	return true
}

// rankConfig returns the configuration of a rank. The intervals grow with the group, to
// limit the traffic of a leader that sends to every rank.
func rankConfig(now time.Time, m membership, initial *expertmap.Map) expertmap.Config {
	n := time.Duration(len(m.group.Ranks))
	c := expertmap.Config{
		Rank: m.rank, Ranks: len(m.group.Ranks), Incarnation: ident.NewIncarnation(now), Initial: initial, ChecksFencing: m.checksFencing,
		HeartbeatInterval: max(time.Second, n*50*time.Millisecond),
		RetryInterval:     max(200*time.Millisecond, n*4*time.Millisecond), ExchangeTimeout: max(time.Second, n*10*time.Millisecond),
		LoadTimeout: 30 * time.Second, TakeoverTimeout: max(3*time.Second, n*150*time.Millisecond), StepsAhead: switchMarginSteps,
	}
	if !m.checksFencing {
		c.SettleTime = settleTime
	}
	return c
}

// switchMarginSteps is the number of steps between the order to arm and the switch
// step. Three steps of 20 ms cover two round trips and the engine's answers.
const switchMarginSteps = 3

func (t *groupTask) handle(ctx context.Context, now time.Time, m groupMessage) {
	switch m := m.(type) {
	case groupLink:
		t.links.linkEvent(m.event)
	case groupFrame:
		t.frame(ctx, now, m)
	case engineCallResult:
		t.handleCallResult(ctx, now, m)
	}
}

// frame handles a message from another rank. A message whose sender is not the rank of
// the link's peer is dropped.
func (t *groupTask) frame(ctx context.Context, now time.Time, m groupFrame) {
	if t.rank == nil || m.frame.Group != t.membership.group.ID {
		return
	}
	var peerMessage expertmap.PeerMessage
	if err := t.codec.DecodePayload(m.frame.Payload, &peerMessage); err != nil {
		m.link.Close("invalid group message")
		return
	}
	if from, ok := t.links.rankOf(m.link.Peer().Server); !ok || from != peerMessage.From {
		return
	}
	t.step(ctx, now, peerMessage)
}

func (t *groupTask) handleCallResult(ctx context.Context, now time.Time, m engineCallResult) {
	if t.rank == nil || m.generation != t.generation {
		return
	}
	if m.err == nil {
		t.state = m.state
	}
	state := engineState(m.state)
	switch {
	case m.order != nil:
		t.step(ctx, now, expertmap.OrderReply{ID: m.order.ID, Result: m.result, State: state})
	case m.err != nil:
		t.logger.Debug().Err(m.err).Msg("could not read the engine's group state")
	default:
		t.planner.observe(now, m.state)
		t.step(ctx, now, state)
	}
}

func engineState(s engine.GroupState) expertmap.EngineState {
	e := expertmap.EngineState{Boot: s.Boot, Current: s.Current, Next: s.Next, Entered: s.Entered, Armed: s.Armed, Held: s.Held,
		HighestToken: s.HighestToken, ComputeMicros: s.ComputeMicros}
	if s.Map != nil {
		e.Map = &expertmap.Map{Layers: s.Map}
	}
	return e
}

func (t *groupTask) tick(ctx context.Context, now time.Time) {
	t.links.closeIdle(now)
	if t.rank == nil {
		t.report(ctx, groupReport{})
		return
	}
	if !now.Before(t.nextPoll) {
		t.nextPoll = now.Add(enginePollInterval)
		t.caller.poll(t.generation, t.needsDetail(now))
	}
	if at, ok := t.rank.Deadline(); ok && !now.Before(at) {
		t.step(ctx, now, expertmap.Tick{})
	}
	if t.rank.Leads() {
		t.plan(ctx, now)
	}
	t.report(ctx, t.currentReport())
}

// needsDetail reports whether the next read of the engine's state should include its
// map, which is unknown after a start, and the work by expert, which a plan needs.
func (t *groupTask) needsDetail(now time.Time) bool {
	_, content := t.rank.Map()
	return content == nil || t.rank.Leads() && t.planner.due(now)
}

func (t *groupTask) currentReport() groupReport {
	r := groupReport{state: groupForming, stepMS: t.state.StepMicros / 1e3}
	if t.rank.Formed() {
		r.state = groupFormed
	}
	return r
}

// minStepChangeRatio is the relative change of the step time above which it is reported.
const minStepChangeRatio = 0.05

func (t *groupTask) report(ctx context.Context, r groupReport) {
	t.metrics.update(r, t.rank, t.state)
	change := r.stepMS - t.lastReport.stepMS
	if r.state == t.lastReport.state && max(change, -change) <= minStepChangeRatio*t.lastReport.stepMS {
		return
	}
	t.lastReport = r
	t.control.Send(ctx, r)
}

func (t *groupTask) step(ctx context.Context, now time.Time, m expertmap.Message) {
	for _, a := range t.rank.Step(now, m) {
		switch a := a.(type) {
		case expertmap.Send:
			t.send(now, a)
		case expertmap.SendOrder:
			t.caller.order(ctx, t.generation, t.membership.checksFencing, a.Order)
		case expertmap.Notice:
			t.metrics.events.WithLabelValues(string(a.Name)).Inc()
			t.events.Emit(eventlog.Event{Name: string(a.Name), Group: t.membership.group.ID, Server: t.server, Detail: epochDetail(a.Epoch)})
		}
	}
}

func (t *groupTask) send(now time.Time, a expertmap.Send) {
	payload, err := t.codec.EncodePayload(a.Message)
	if err != nil {
		t.logger.Error().Err(err).Msg("could not encode a message to another rank")
		return
	}
	t.metrics.sentBytes.Add(float64(len(payload)))
	t.links.send(now, a.To, &message.ExpertMap{Group: t.membership.group.ID, From: a.Message.From, To: a.To, Payload: payload})
}
