package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	nodecontrol "github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/peering"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	controlCapacity = 1024
	controlTick     = 100 * time.Millisecond
)

// controlMessage is a message to the control task.
type controlMessage interface{ isControlMessage() }

type (
	linkEvent    struct{ event link.Event }
	configRead   struct{ answer source.ReadAnswer }
	listRead     struct{ list source.List }
	stopProcess  struct{}
	askDirectory struct{ reply chan<- *directory }
	askReadiness struct {
		reply chan<- operations.Readiness
	}
)

func (linkEvent) isControlMessage()    {}
func (configRead) isControlMessage()   {}
func (listRead) isControlMessage()     {}
func (stopProcess) isControlMessage()  {}
func (askDirectory) isControlMessage() {}
func (askReadiness) isControlMessage() {}

// control is the task that owns the record in force, the set of links and the
// lifecycle of the process.
type control struct {
	mailbox   *task.Mailbox[controlMessage]
	lifecycle *chart.Lifecycle[*control]
	grace     time.Duration
	instance  ident.InstanceID
	directory *directory
	peering   *peering.Peering
	links     map[*link.Link]struct{}
	// sidecarDialers cancels the running dialers to sidecars, by address.
	sidecarDialers map[string]context.CancelFunc
	// entryDialers cancels the running dialers to other entries. entryLinksUpdated
	// is when the links to entries were last updated.
	entryDialers      map[ident.InstanceID]context.CancelFunc
	entryLinksUpdated time.Time
	// seeds are the addresses of entries in the settings.
	seeds    []string
	round    uint64
	dial     func(ctx context.Context, address string)
	dispatch *task.Mailbox[dispatchMessage]
	bookings *task.Mailbox[bookingMessage]
	// notices are messages of the dispatch task to the other entries.
	notices *task.Mailbox[message.Message]
	logger  zerolog.Logger
	events  *eventlog.Log
	metrics *metrics
	random  *rand.Rand
	ready   func()
}

func newControl(now time.Time, grace time.Duration) (*control, error) {
	c := &control{
		mailbox: task.NewMailbox[controlMessage](controlCapacity, task.Block), grace: grace,
		links: make(map[*link.Link]struct{}), sidecarDialers: make(map[string]context.CancelFunc),
		entryDialers: make(map[ident.InstanceID]context.CancelFunc),
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

func (c *control) observe(t chart.Transition) {
	c.events.Emit(eventlog.Event{Name: "process.changed", Chart: t.Chart, From: t.From, To: t.To, Instance: c.instance})
	if t.To == "draining" {
		c.dispatch.Send(context.Background(), stopAccepting{})
		c.bookings.Send(context.Background(), stopBookings{})
	}
}

// run runs the control task until the process is stopped.
func (c *control) run(ctx context.Context) error {
	defer c.mailbox.Close()
	defer c.notices.Close()
	for _, address := range c.seeds {
		c.dial(ctx, address)
	}
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	for !c.lifecycle.Done() {
		select {
		case m := <-c.mailbox.Receive():
			c.step(ctx, time.Now(), m)
		case m := <-c.notices.Receive():
			c.sendToEntries(m)
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
	case listRead:
		c.handleList(ctx, now, m.list)
	case stopProcess:
		c.lifecycle.Fire(now, "stop")
		c.setHeartbeats()
	case askDirectory:
		m.reply <- c.directory
	case askStatus:
		m.reply <- c.status()
	case askReadiness:
		m.reply <- c.readiness()
	}
}

func (c *control) linkEvent(ctx context.Context, now time.Time, e link.Event) {
	c.peering.HandleLink(ctx, now, e)
	switch e.Kind {
	case link.Up:
		c.links[e.Link] = struct{}{}
		c.setHeartbeats()
		if e.Link.Peer().Role == message.RoleEntry {
			c.sendQuarantine(ctx, e.Link)
		}
	case link.Down:
		delete(c.links, e.Link)
	}
}

func (c *control) digest() message.Digest {
	if c.directory == nil {
		return message.Digest{}
	}
	return c.directory.snapshot.Digest
}

// adopt puts a record in force. All tasks get the same immutable snapshot.
func (c *control) adopt(ctx context.Context, s *record.Snapshot) {
	c.directory = newDirectory(s)
	c.dispatch.Send(ctx, setSnapshot{snapshot: s})
	c.bookings.Send(ctx, bookingRecord{snapshot: s})
	c.linkSidecars(ctx)
	c.setHeartbeats()
}

// becomeReady lets the process serve. It is called when the process has a record and
// has asked its peers for a newer one.
func (c *control) becomeReady() {
	if _, ok := c.lifecycle.Fire(time.Now(), "configured"); ok && c.ready != nil {
		c.ready()
	}
}

func (c *control) handleList(ctx context.Context, now time.Time, l source.List) {
	if l.Err != nil {
		c.logger.Debug().Err(l.Err).Msg("read of the instance list failed")
		return
	}
	c.peering.HandleInstances(ctx, now, l.Instances)
	c.linkEntries(ctx, now)
	for _, i := range l.Instances {
		if i.Name != c.instance {
			continue
		}
		event := "return"
		if i.State == source.Leaving {
			event = "leave"
		}
		if _, changed := c.lifecycle.Fire(now, event); changed {
			c.setHeartbeats()
		}
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	if c.lifecycle.In("draining") {
		requests, ok := task.Ask(ctx, c.dispatch, func(reply chan<- int) dispatchMessage { return askActiveRequests{reply: reply} })
		bookings, bookingsOK := task.Ask(ctx, c.bookings, func(reply chan<- int) bookingMessage { return askBookings{reply: reply} })
		if ok && bookingsOK && requests+bookings == 0 {
			c.lifecycle.Fire(now, "drained")
		}
	}
	c.lifecycle.Tick(now)
	c.peering.Step(ctx, now, nodecontrol.Tick{})
	c.linkEntries(ctx, now)
}

// setHeartbeats sets the content of the heartbeats on every link.
func (c *control) setHeartbeats() {
	h := message.Heartbeat{Record: c.digest(), Draining: c.lifecycle.In("leaving") || c.lifecycle.In("draining")}
	for l := range c.links {
		l.SetHeartbeat(h)
	}
}

func (c *control) readiness() operations.Readiness {
	text := c.lifecycle.State() + "; " + c.peering.Status()
	return operations.Readiness{Ready: c.lifecycle.In("ready"), Text: text}
}
