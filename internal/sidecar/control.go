package sidecar

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	nodecontrol "github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/peering"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	controlMailboxCapacity = 256
	controlTickInterval    = 100 * time.Millisecond
	// maxLoadFailures is the number of consecutive failed reads of the load report at
	// which new work is refused. A sidecar whose engine is down would otherwise look
	// idle, and attract requests only to refuse each of them.
	maxLoadFailures = 2
)

// controlMessage is a message to the control task.
type controlMessage interface{ isControlMessage() }

type (
	linkEvent        struct{ event link.Event }
	instanceListRead struct{ list source.List }
	configRead       struct{ answer source.ReadAnswer }
	engineLoad       struct {
		load engine.Load
		err  error
	}
	stopProcess  struct{}
	askReadiness struct {
		reply chan<- operations.Readiness
	}
	askDigest struct{ reply chan<- message.Digest }
)

func (linkEvent) isControlMessage()        {}
func (instanceListRead) isControlMessage() {}
func (configRead) isControlMessage()       {}
func (engineLoad) isControlMessage()       {}
func (stopProcess) isControlMessage()      {}
func (askReadiness) isControlMessage()     {}
func (askDigest) isControlMessage()        {}

// control is the task that owns the record in force, the content of heartbeats and
// the lifecycle of the process.
type control struct {
	mailbox   *task.Mailbox[controlMessage]
	lifecycle *chart.Lifecycle[*control]
	grace     time.Duration
	instance  ident.InstanceID
	snapshot  *record.Snapshot
	peering   *peering.Peering
	// recordReady is set once the process holds a record and has asked its peers for
	// a newer one.
	recordReady bool
	links       map[*link.Link]struct{}
	load        engine.Load
	loadReadAt  time.Time
	// platformLeaving is set while the instance list shows this instance as leaving.
	platformLeaving bool
	// serverLeaving is set while the engine reports that it is leaving or does not
	// answer.
	serverLeaving bool
	// loadFailures counts consecutive failed reads of the load report.
	loadFailures int
	hasEngine    bool

	// groupRecords receives the records for the group task. It is nil beside a plain
	// service.
	groupRecords *task.Mailbox[*record.Snapshot]
	groupReport  groupReport

	// bookings is nil beside an engine.
	bookings *bookings
	queue    *task.Mailbox[queueMessage]
	streams  *task.Mailbox[streamMessage]
	logger   zerolog.Logger
	events   *eventlog.Log
	metrics  *metrics
	ready    func()
}

func newControl(now time.Time, grace time.Duration) (*control, error) {
	c := &control{
		mailbox: task.NewMailbox[controlMessage](controlMailboxCapacity, task.Block),
		grace:   grace, links: make(map[*link.Link]struct{}),
	}
	machine, err := chart.Bind(charts.Must("process"), chart.Binding[*control]{
		Delays:  map[string]func(*control) time.Duration{"grace": func(c *control) time.Duration { return c.grace }},
		Observe: (*control).observe,
	})
	if err != nil {
		return nil, err
	}
	c.lifecycle = machine.New(now, c)
	return c, nil
}

// observe writes transitions of the process to the event log, and makes the run
// queue and the bookings task accept or refuse new work.
func (c *control) observe(t chart.Transition) {
	c.events.Emit(eventlog.Event{Name: "process.changed", Chart: t.Chart, From: t.From, To: t.To, Instance: c.instance})
	switch t.To {
	case "ready":
		c.queue.Send(context.Background(), setRefusal{reason: outcome.ReasonNone})
		c.notifyBookings(bookingDrain{})
	case "leaving", "draining":
		c.queue.Send(context.Background(), setRefusal{reason: outcome.ReasonDraining})
		c.notifyBookings(bookingDrain{on: true})
	}
}

// run handles messages and timers until the process has stopped or the context
// ends.
func (c *control) run(ctx context.Context) error {
	defer c.mailbox.Close()
	tick := time.NewTicker(controlTickInterval)
	defer tick.Stop()
	for !c.lifecycle.Done() {
		select {
		case m := <-c.mailbox.Receive():
			c.step(ctx, time.Now(), m)
		case now := <-tick.C:
			c.tick(ctx, now)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *control) step(ctx context.Context, now time.Time, m controlMessage) {
	switch m := m.(type) {
	case linkEvent:
		c.linkEvent(ctx, now, m.event)
	case configRead:
		c.peering.HandleRead(ctx, now, m.answer)
	case orderAnswer:
		c.peering.Step(ctx, now, nodecontrol.EngineMessage{Message: m.message})
	case instanceListRead:
		c.handleInstanceList(ctx, now, m.list)
	case engineLoad:
		c.engineLoad(ctx, now, m)
	case groupReport:
		c.groupReport = m
		c.updateHeartbeats(ctx, now)
	case stopProcess:
		c.lifecycle.Fire(now, "stop")
		c.updateHeartbeats(ctx, now)
	case askStatus:
		m.reply <- c.status()
	case askReadiness:
		m.reply <- c.readiness()
	case askDigest:
		m.reply <- c.digest()
	}
}

func (c *control) linkEvent(ctx context.Context, now time.Time, e link.Event) {
	c.peering.HandleLink(ctx, now, e)
	switch e.Kind {
	case link.Up:
		c.links[e.Link] = struct{}{}
		c.updateHeartbeats(ctx, now)
	case link.Down:
		delete(c.links, e.Link)
	}
}

func (c *control) digest() message.Digest {
	if c.snapshot == nil {
		return message.Digest{}
	}
	return c.snapshot.Digest
}

// adopt puts a record in force. All tasks share the immutable snapshot.
func (c *control) adopt(ctx context.Context, snapshot *record.Snapshot) {
	c.snapshot = snapshot
	if c.groupRecords != nil {
		c.groupRecords.Send(ctx, snapshot)
	}
	c.queue.Send(ctx, setShares{snapshot: snapshot})
	c.notifyBookings(bookingRecord{snapshot: snapshot})
	c.updateHeartbeats(ctx, time.Now())
}

// model returns the model that the record assigns to a replica, and its size in
// bytes.
func (c *control) model(server ident.ServerID) (ident.ModelName, int64) {
	if c.snapshot == nil {
		return "", 0
	}
	m := c.snapshot.Models[c.snapshot.Replicas[server].Model]
	return m.Name, m.Bytes
}

// notifyBookings sends a message to the bookings task, if there is one.
func (c *control) notifyBookings(m bookingMessage) {
	if c.bookings != nil {
		c.bookings.mailbox.Send(context.Background(), m)
	}
}

// becomeReady leaves the starting state once the record is ready and, beside an
// engine, its first load report has arrived.
func (c *control) becomeReady(now time.Time) {
	if !c.recordReady || (c.hasEngine && c.loadReadAt.IsZero()) {
		return
	}
	if _, ok := c.lifecycle.Fire(now, "configured"); ok && c.ready != nil {
		c.ready()
	}
}

func (c *control) handleInstanceList(ctx context.Context, now time.Time, l source.List) {
	if l.Err != nil {
		c.logger.Debug().Err(l.Err).Msg("read of the instance list failed")
		return
	}
	for _, i := range l.Instances {
		if i.Name == c.instance {
			c.platformLeaving = i.State == source.Leaving
		}
	}
	c.peering.HandleInstances(ctx, now, l.Instances)
	c.notifyBookings(bookingList{list: l})
	c.updateLeaving(ctx, now)
}

func (c *control) engineLoad(ctx context.Context, now time.Time, m engineLoad) {
	if m.err != nil {
		c.logger.Debug().Err(m.err).Msg("could not read the engine's load report")
		c.loadFailures++
		c.serverLeaving = c.serverLeaving || c.loadFailures >= maxLoadFailures
		c.updateLeaving(ctx, now)
		return
	}
	c.loadFailures = 0
	c.load, c.loadReadAt = m.load, now
	c.serverLeaving = m.load.Leaving
	if m.load.Slots > 0 {
		c.queue.Send(ctx, setSlots{slots: m.load.Slots})
	}
	c.becomeReady(now)
	c.updateLeaving(ctx, now)
}

// updateLeaving enters or ends the leaving state as the platform and the backend
// server report.
func (c *control) updateLeaving(ctx context.Context, now time.Time) {
	event := "return"
	if c.platformLeaving || c.serverLeaving {
		event = "leave"
	}
	if _, changed := c.lifecycle.Fire(now, event); changed {
		c.updateHeartbeats(ctx, now)
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.peering.Step(ctx, now, nodecontrol.Tick{})
	c.updateHeartbeats(ctx, now)
	if c.lifecycle.In("draining") && c.idle(ctx) {
		c.lifecycle.Fire(now, "drained")
	}
	c.lifecycle.Tick(now)
}

// idle reports whether no work is queued or running and every reader has been sent
// the end of its stream.
func (c *control) idle(ctx context.Context) bool {
	f, ok := c.queueLoad(ctx)
	if !ok || f.running+f.waiting > 0 {
		return false
	}
	unread, ok := task.Ask(ctx, c.streams, func(reply chan<- int) streamMessage { return askUnreadCount{reply: reply} })
	return ok && unread == 0
}

func (c *control) queueLoad(ctx context.Context) (queueLoad, bool) {
	return task.Ask(ctx, c.queue, func(reply chan<- queueLoad) queueMessage {
		return askQueueLoad{entries: len(c.links), reply: reply}
	})
}

// updateHeartbeats sets the content of the heartbeats of all links. A link sends a
// change of draining, record or group state at once.
func (c *control) updateHeartbeats(ctx context.Context, now time.Time) {
	if len(c.links) == 0 {
		return
	}
	f, ok := c.queueLoad(ctx)
	if !ok {
		return
	}
	h := message.Heartbeat{
		Draining: c.lifecycle.In("leaving") || c.lifecycle.In("draining"),
		Record:   c.digest(),
		Load: message.Load{
			Running: f.running, QueuedCost: f.queued, Slots: f.slots,
			TokensPerSecond: c.load.TokensPerSecond, AgeMS: c.loadAge(now),
			GroupState: c.groupReport.state, StepMS: c.groupReport.stepMS,
			Window: f.window,
		},
	}
	for l := range c.links {
		l.SetHeartbeat(h)
	}
}

func (c *control) loadAge(now time.Time) int64 {
	if c.loadReadAt.IsZero() {
		return 0
	}
	return c.load.AgeMS + now.Sub(c.loadReadAt).Milliseconds()
}

func (c *control) readiness() operations.Readiness {
	text := c.lifecycle.State() + "; " + c.peering.Status()
	return operations.Readiness{Ready: c.lifecycle.In("ready"), Text: text}
}
