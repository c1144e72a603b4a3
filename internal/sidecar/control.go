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
	controlCapacity = 256
	controlTick     = 100 * time.Millisecond
	// maxUnanswered is how many load reports in a row may fail before new work is
	// refused. A sidecar whose engine is down would otherwise look idle, and draw
	// requests only to refuse each of them.
	maxUnanswered = 2
)

// controlMessage is a message to the control task.
type controlMessage interface{ isControlMessage() }

type (
	linkEvent  struct{ event link.Event }
	listValue  struct{ list source.List }
	configRead struct{ answer source.ReadAnswer }
	engineLoad struct {
		load engine.Load
		err  error
	}
	stopProcess  struct{}
	askReadiness struct {
		reply chan<- operations.Readiness
	}
	askDigest struct{ reply chan<- message.Digest }
)

func (linkEvent) isControlMessage()    {}
func (listValue) isControlMessage()    {}
func (configRead) isControlMessage()   {}
func (engineLoad) isControlMessage()   {}
func (stopProcess) isControlMessage()  {}
func (askReadiness) isControlMessage() {}
func (askDigest) isControlMessage()    {}

// control is the task that owns the record in force, the links' heartbeats and
// the life of the process.
type control struct {
	mailbox  *task.Mailbox[controlMessage]
	life     *chart.Instance[*control]
	grace    time.Duration
	instance ident.InstanceID
	snapshot *record.Snapshot
	peering  *peering.Peering
	// peersAsked says that the process holds a record and has asked its peers for
	// a newer one.
	peersAsked bool
	links      map[*link.Link]struct{}
	load       engine.Load
	loadAt     time.Time
	// leavingList and leavingServer are what the platform and the backend server
	// say; the chart decides what follows.
	leavingList   bool
	leavingServer bool
	// unanswered counts the load reports that the engine failed to give in a row.
	unanswered int
	hasEngine  bool

	// groupRecords takes the records for the group task; nil without one.
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
		mailbox: task.NewMailbox[controlMessage](controlCapacity, task.Block),
		grace:   grace, links: make(map[*link.Link]struct{}),
	}
	machine, err := chart.Bind(charts.Must("process"), chart.Binding[*control]{
		Delays:  map[string]func(*control) time.Duration{"grace": func(c *control) time.Duration { return c.grace }},
		Observe: (*control).observe,
	})
	if err != nil {
		return nil, err
	}
	c.life = machine.New(now, c)
	return c, nil
}

// observe records transitions of the process and tells the queue what follows.
func (c *control) observe(t chart.Transition) {
	c.events.Emit(eventlog.Event{Name: "process.changed", Chart: t.Chart, From: t.From, To: t.To, Instance: c.instance})
	switch t.To {
	case "ready":
		c.queue.Send(context.Background(), setRefusal{reason: outcome.ReasonNone})
		c.tellBookings(bookingDrain{})
	case "leaving", "draining":
		c.queue.Send(context.Background(), setRefusal{reason: outcome.ReasonDraining})
		c.tellBookings(bookingDrain{on: true})
	}
}

// run is the task. It returns once the process is stopped.
func (c *control) run(ctx context.Context) error {
	defer c.mailbox.Close()
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for !c.life.Done() {
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
		c.peering.Read(ctx, now, m.answer)
	case orderAnswer:
		c.peering.Step(ctx, now, nodecontrol.Engine{Message: m.message})
	case listValue:
		c.list(ctx, now, m.list)
	case engineLoad:
		c.engineLoad(ctx, now, m)
	case groupReport:
		c.groupReport = m
		c.beat(ctx, now)
	case stopProcess:
		c.life.Fire(now, "stop")
		c.beat(ctx, now)
	case askStatus:
		m.reply <- c.status()
	case askReadiness:
		m.reply <- c.readiness()
	case askDigest:
		m.reply <- c.digest()
	}
}

func (c *control) linkEvent(ctx context.Context, now time.Time, e link.Event) {
	c.peering.Link(ctx, now, e)
	switch e.Kind {
	case link.Up:
		c.links[e.Link] = struct{}{}
		c.beat(ctx, now)
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

// adopt puts a record in force: one immutable snapshot for all tasks.
func (c *control) adopt(ctx context.Context, snapshot *record.Snapshot) {
	c.snapshot = snapshot
	if c.groupRecords != nil {
		c.groupRecords.Send(ctx, snapshot)
	}
	c.queue.Send(ctx, setShares{snapshot: snapshot})
	c.tellBookings(bookingRecord{snapshot: snapshot})
	c.beat(ctx, time.Now())
}

// model returns the model that the record gives to a replica, and its size.
func (c *control) model(server ident.ServerID) (ident.ModelName, int64) {
	if c.snapshot == nil {
		return "", 0
	}
	m := c.snapshot.Models[c.snapshot.Replicas[server].Model]
	return m.Name, m.Bytes
}

// tellBookings passes a message on beside a plain service.
func (c *control) tellBookings(m bookingMessage) {
	if c.bookings != nil {
		c.bookings.mailbox.Send(context.Background(), m)
	}
}

// becomeReady leaves the starting state once the record and, beside an engine,
// its first load report are known.
func (c *control) becomeReady(now time.Time) {
	if !c.peersAsked || (c.hasEngine && c.loadAt.IsZero()) {
		return
	}
	if _, ok := c.life.Fire(now, "configured"); ok && c.ready != nil {
		c.ready()
	}
}

func (c *control) list(ctx context.Context, now time.Time, l source.List) {
	if l.Err != nil {
		c.logger.Debug().Err(l.Err).Msg("instance list")
		return
	}
	for _, i := range l.Instances {
		if i.Name == c.instance {
			c.leavingList = i.State == source.Leaving
		}
	}
	c.peering.Instances(ctx, now, l.Instances)
	c.tellBookings(bookingList{list: l})
	c.leave(ctx, now)
}

func (c *control) engineLoad(ctx context.Context, now time.Time, m engineLoad) {
	if m.err != nil {
		c.logger.Debug().Err(m.err).Msg("engine load")
		c.unanswered++
		c.leavingServer = c.leavingServer || c.unanswered >= maxUnanswered
		c.leave(ctx, now)
		return
	}
	c.unanswered = 0
	c.load, c.loadAt = m.load, now
	c.leavingServer = m.load.Leaving
	if m.load.Slots > 0 {
		c.queue.Send(ctx, setSlots{slots: m.load.Slots})
	}
	c.becomeReady(now)
	c.leave(ctx, now)
}

// leave follows what the platform and the backend server say about leaving.
func (c *control) leave(ctx context.Context, now time.Time) {
	event := "return"
	if c.leavingList || c.leavingServer {
		event = "leave"
	}
	if _, changed := c.life.Fire(now, event); changed {
		c.beat(ctx, now)
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.peering.Step(ctx, now, nodecontrol.Tick{})
	c.beat(ctx, now)
	if c.life.In("draining") && c.idle(ctx) {
		c.life.Fire(now, "drained")
	}
	c.life.Tick(now)
}

// idle reports whether no work is in flight and every reader got its answer.
func (c *control) idle(ctx context.Context) bool {
	f, ok := c.figures(ctx)
	if !ok || f.running+f.waiting > 0 {
		return false
	}
	unread, ok := task.Ask(ctx, c.streams, func(reply chan<- int) streamMessage { return askUnread{reply: reply} })
	return ok && unread == 0
}

func (c *control) figures(ctx context.Context) (figures, bool) {
	return task.Ask(ctx, c.queue, func(reply chan<- figures) queueMessage {
		return askFigures{entries: len(c.links), reply: reply}
	})
}

// beat sets the heartbeat of every link. A change of draining is sent at once.
func (c *control) beat(ctx context.Context, now time.Time) {
	if len(c.links) == 0 {
		return
	}
	f, ok := c.figures(ctx)
	if !ok {
		return
	}
	h := message.Heartbeat{
		Draining: c.life.In("leaving") || c.life.In("draining"),
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
	if c.loadAt.IsZero() {
		return 0
	}
	return c.load.AgeMS + now.Sub(c.loadAt).Milliseconds()
}

func (c *control) readiness() operations.Readiness {
	text := c.life.State() + "; " + c.peering.Status()
	return operations.Readiness{Ready: c.life.In("ready"), Text: text}
}
