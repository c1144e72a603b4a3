package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/platform"
	"github.com/anvilpoint/anvilpoint/internal/record"
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
	configValue  struct{ value platform.Value }
	listValue    struct{ list platform.List }
	stopProcess  struct{}
	askDirectory struct{ reply chan<- *directory }
	askReadiness struct {
		reply chan<- operations.Readiness
	}
)

func (linkEvent) isControlMessage()    {}
func (configValue) isControlMessage()  {}
func (listValue) isControlMessage()    {}
func (stopProcess) isControlMessage()  {}
func (askDirectory) isControlMessage() {}
func (askReadiness) isControlMessage() {}

// control is the task that owns the record in force, the set of links and the
// life of the process.
type control struct {
	mailbox   *task.Mailbox[controlMessage]
	life      *chart.Instance[*control]
	grace     time.Duration
	instance  ident.InstanceID
	directory *directory
	refused   string
	links     map[*link.Link]struct{}
	// dialers are the running diallers by address.
	dialers  map[string]context.CancelFunc
	dial     func(ctx context.Context, address string)
	dispatch *task.Mailbox[dispatchMessage]
	bookings *task.Mailbox[bookingMessage]
	logger   zerolog.Logger
	events   *eventlog.Log
	metrics  *metrics
	random   *rand.Rand
	ready    func()
}

func newControl(now time.Time, grace time.Duration) (*control, error) {
	c := &control{
		mailbox: task.NewMailbox[controlMessage](controlCapacity, task.Block), grace: grace,
		links: make(map[*link.Link]struct{}), dialers: make(map[string]context.CancelFunc),
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

func (c *control) observe(t chart.Transition) {
	c.events.Emit(eventlog.Event{Name: "process.changed", Chart: t.Chart, From: t.From, To: t.To, Instance: c.instance})
	if t.To == "draining" {
		c.dispatch.Send(context.Background(), stopTaking{})
		c.bookings.Send(context.Background(), stopBookings{})
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
		c.linkEvent(m.event)
	case configValue:
		c.value(ctx, now, m.value)
	case listValue:
		c.list(now, m.list)
	case stopProcess:
		c.life.Fire(now, "stop")
		c.beat()
	case askDirectory:
		m.reply <- c.directory
	case askReadiness:
		m.reply <- c.readiness()
	}
}

func (c *control) linkEvent(e link.Event) {
	switch e.Kind {
	case link.Up:
		c.links[e.Link] = struct{}{}
		c.beat()
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

// value takes a value of the configuration service. Only a newer record is put
// in force; a refused one changes nothing.
func (c *control) value(ctx context.Context, now time.Time, v platform.Value) {
	if v.Err != nil {
		c.logger.Warn().Err(v.Err).Msg("configuration service")
		return
	}
	snapshot, faults := record.Parse("configuration service", v.Data)
	if len(faults) > 0 {
		c.refused = faults[0].String()
		c.metrics.badValue.Inc()
		c.logger.Error().Str("fault", c.refused).Msg("configuration record refused")
		return
	}
	c.refused = ""
	if c.directory != nil && !c.digest().Less(snapshot.Digest) {
		return
	}
	c.adopt(ctx, now, snapshot)
}

func (c *control) adopt(ctx context.Context, now time.Time, s *record.Snapshot) {
	c.directory = newDirectory(s)
	c.metrics.record.Set(float64(s.Digest.Revision))
	c.events.Emit(eventlog.Event{Name: "record.adopted", Revision: s.Digest.Revision})
	c.dispatch.Send(ctx, setSnapshot{snapshot: s})
	c.bookings.Send(ctx, bookingRecord{snapshot: s})
	c.connect(ctx, s)
	if _, ok := c.life.Fire(now, "configured"); ok && c.ready != nil {
		c.ready()
	}
	c.beat()
}

// connect keeps one dialler for each sidecar of the record.
func (c *control) connect(ctx context.Context, s *record.Snapshot) {
	wanted := make(map[string]bool)
	for _, r := range s.Replicas {
		wanted[r.Address] = true
	}
	for _, service := range s.Services {
		for _, r := range service.Replicas {
			wanted[r.Address] = true
		}
	}
	for address, cancel := range c.dialers {
		if !wanted[address] {
			cancel()
			delete(c.dialers, address)
		}
	}
	for address := range wanted {
		if _, running := c.dialers[address]; !running {
			limited, cancel := context.WithCancel(ctx)
			c.dialers[address] = cancel
			c.dial(limited, address)
		}
	}
}

func (c *control) list(now time.Time, l platform.List) {
	if l.Err != nil {
		c.logger.Debug().Err(l.Err).Msg("instance list")
		return
	}
	for _, i := range l.Instances {
		if i.Name != c.instance {
			continue
		}
		event := "return"
		if i.State == platform.Leaving {
			event = "leave"
		}
		if _, changed := c.life.Fire(now, event); changed {
			c.beat()
		}
	}
}

func (c *control) tick(ctx context.Context, now time.Time) {
	if c.life.In("draining") {
		flights, ok := task.Ask(ctx, c.dispatch, func(reply chan<- int) dispatchMessage { return askFlights{reply: reply} })
		bookings, also := task.Ask(ctx, c.bookings, func(reply chan<- int) bookingMessage { return askBookings{reply: reply} })
		if ok && also && flights+bookings == 0 {
			c.life.Fire(now, "drained")
		}
	}
	c.life.Tick(now)
}

// beat sets the heartbeat of every link.
func (c *control) beat() {
	h := message.Heartbeat{Record: c.digest(), Draining: c.life.In("leaving") || c.life.In("draining")}
	for l := range c.links {
		l.SetHeartbeat(h)
	}
}

func (c *control) readiness() operations.Readiness {
	text := c.life.State()
	if c.refused != "" {
		text += "; refused record: " + c.refused
	}
	return operations.Readiness{Ready: c.life.In("ready"), Text: text}
}
