package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	controlCapacity = 256
	// workInterval is the time between two messages about this entry's requests to
	// other entries. A request to a model engine runs for several such intervals.
	workInterval = 150 * time.Millisecond
	// rosterEvery is the number of work intervals between two rosters.
	rosterEvery = 10
	// slowMemory is how long the slow servers that a group told of are passed on. It
	// tells them every 0.3 s.
	slowMemory = time.Second
	// pullAfter is how long the store has to deliver routes that another entry has
	// already. The operators ask for two seconds.
	pullAfter = 400 * time.Millisecond
	// pullAgain is the time between two pulls. A document with many routes has half a
	// megabyte.
	pullAgain = 500 * time.Millisecond
)

// controlMessage is a message to the control task.
type controlMessage interface{ isControlMessage() }

type (
	routesRead struct{ items []platform.Item }
	// serversRead holds a whole reading of the list, or changes of it.
	serversRead struct {
		items []platform.Item
		whole bool
	}
	serversLost  struct{}
	linkEvent    struct{ event link.Event }
	stopProcess  struct{}
	drainedFront struct{}
	askReadiness struct {
		reply chan<- operations.Readiness
	}
)

func (routesRead) isControlMessage()   {}
func (serversRead) isControlMessage()  {}
func (serversLost) isControlMessage()  {}
func (linkEvent) isControlMessage()    {}
func (stopProcess) isControlMessage()  {}
func (drainedFront) isControlMessage() {}
func (askReadiness) isControlMessage() {}

// control is the task that owns the routes in force, the list of backend
// servers, the links to other entries and the life of the process.
type control struct {
	mailbox *task.Mailbox[controlMessage]
	life    *chart.Instance[*control]
	grace   time.Duration
	// address is where this process accepts links.
	address  string
	routes   *record.Routes
	document []byte
	registry *registry.Registry
	links    map[*link.Link]struct{}
	// dialers are the running diallers by address.
	dialers map[string]context.CancelFunc
	// seeds are the entries of the settings, known all that were heard of.
	seeds []string
	known []string
	// slow are the slow servers that a group told of at slowAt.
	slow   []message.ServerPace
	slowAt time.Time
	// behind is since when another entry has newer routes, pulled when such routes
	// were last asked for.
	behind   time.Time
	pulled   time.Time
	ticks    int
	dial     func(ctx context.Context, address string)
	dispatch *task.Mailbox[dispatchMessage]
	pool     *upstream.Pool
	logger   zerolog.Logger
	// drain starts the end of the client listener.
	drain func()
}

func newControl(now time.Time, grace time.Duration) (*control, error) {
	c := &control{
		mailbox: task.NewMailbox[controlMessage](controlCapacity, task.Block), grace: grace,
		registry: registry.New(), links: make(map[*link.Link]struct{}), dialers: make(map[string]context.CancelFunc),
	}
	machine, err := chart.Bind(charts.Must("process"), chart.Binding[*control]{
		Delays: map[string]func(*control) time.Duration{"grace": func(c *control) time.Duration { return c.grace }},
		Observe: func(c *control, t chart.Transition) {
			c.logger.Info().Str("from", t.From).Str("to", t.To).Str("event", t.Event).Msg("process")
			if t.To == "draining" {
				c.drain()
			}
		},
	})
	if err != nil {
		return nil, err
	}
	c.life = machine.New(now, c)
	return c, nil
}

// run is the task. It returns once the process is stopped.
func (c *control) run(ctx context.Context) error {
	defer c.mailbox.Close()
	c.join(ctx)
	tick := time.NewTicker(workInterval)
	defer tick.Stop()
	for !c.life.Done() {
		select {
		case m := <-c.mailbox.Receive():
			c.step(ctx, time.Now(), m)
		case <-tick.C:
			c.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *control) step(ctx context.Context, now time.Time, m controlMessage) {
	switch m := m.(type) {
	case routesRead:
		for _, i := range m.items {
			if i.Key == platform.ConfigurationKey && !i.Deleted {
				c.adopt(ctx, now, i.Value, "the store")
			}
		}
	case serversRead:
		c.servers(ctx, now, m)
	case serversLost:
		c.registry.SetUnreachable()
	case linkEvent:
		c.link(ctx, now, m.event)
	case stopProcess:
		c.life.Fire(now, "stop")
	case drainedFront:
		c.life.Fire(now, "drained")
	case askReadiness:
		m.reply <- operations.Readiness{Ready: c.life.In("ready"), Text: c.life.State()}
	}
}

// adopt puts newer routes in force. Older ones never take effect after newer
// ones in one incarnation, whichever way they come.
func (c *control) adopt(ctx context.Context, now time.Time, document []byte, from string) {
	routes, err := platform.DecodeRoutes(document)
	if err != nil {
		c.logger.Error().Err(err).Str("source", from).Msg("the published routes are refused")
		return
	}
	if c.routes != nil && routes.Version() <= c.routes.Version() {
		return
	}
	c.routes, c.document, c.behind = routes, document, time.Time{}
	c.logger.Info().Uint64("version", uint64(routes.Version())).Str("source", from).Msg("routes in force")
	c.dispatch.Send(ctx, setRoutes{routes: routes})
	c.configured(now)
}

// configured lets the process serve once it knows routes and servers.
func (c *control) configured(now time.Time) {
	if c.routes != nil && c.registry.Synced() {
		c.life.Fire(now, "configured")
	}
}

func (c *control) servers(ctx context.Context, now time.Time, m serversRead) {
	var changes []registry.Change
	for _, i := range m.items {
		id, ok := platform.ServerOfKey(i.Key)
		if !ok {
			continue
		}
		changes = append(changes, registry.Change{ID: id, Server: c.server(i)})
	}
	changed := false
	if m.whole {
		var list []registry.Server
		for _, one := range changes {
			if one.Server != nil {
				list = append(list, *one.Server)
			}
		}
		changed = c.registry.Replace(now, list)
	} else {
		changed = c.registry.Apply(now, changes)
	}
	if changed {
		c.spreadServers(ctx)
	}
	c.configured(now)
}

// server decodes an entry of the list. An entry that names no usable server counts as none.
func (c *control) server(i platform.Item) *registry.Server {
	if i.Deleted {
		c.logger.Info().Str("key", i.Key).Msg("backend server entry removed")
		return nil
	}
	s, err := platform.DecodeServer(i.Key, i.Value)
	if err != nil {
		c.logger.Warn().Err(err).Str("key", i.Key).Msg("backend server entry is not usable")
		return nil
	}
	return &s
}

func (c *control) spreadServers(ctx context.Context) {
	servers := c.registry.Servers()
	leaving := 0
	alive := make(map[ident.ServerID]bool, len(servers))
	for _, s := range servers {
		alive[s.ID] = true
		if s.Leaving {
			leaving++
		}
	}
	c.logger.Info().Int("servers", len(servers)).Int("leaving", leaving).Msg("backend servers changed")
	c.dispatch.Send(ctx, setServers{servers: servers})
	c.pool.Keep(ctx, alive)
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.life.Tick(now)
	if c.registry.Tick(now) {
		c.spreadServers(ctx)
	}
	c.ticks++
	m, ok := task.Ask(ctx, c.dispatch, func(reply chan<- *message.EntryReport) dispatchMessage { return askWork{reply: reply} })
	if !ok {
		return
	}
	m.Routes = c.version()
	if now.Sub(c.slowAt) < slowMemory {
		m.Slow = c.slow
	}
	for _, l := range c.onePerPeer() {
		l.Send(m)
		if c.ticks%rosterEvery == 0 {
			l.Send(&message.Roster{Own: c.address, Addresses: c.known})
		}
	}
}

// onePerPeer returns one link to each entry, since two entries may have dialled
// each other at once.
func (c *control) onePerPeer() map[ident.InstanceID]*link.Link {
	links := make(map[ident.InstanceID]*link.Link, len(c.links))
	for l := range c.links {
		links[l.Peer().Instance] = l
	}
	return links
}

func (c *control) link(ctx context.Context, now time.Time, e link.Event) {
	peer := e.Link.Peer().Instance
	switch e.Kind {
	case link.Up:
		c.logger.Info().Str("peer", string(peer)).Msg("link up")
		if e.Link.Peer().Role != message.RoleEntry {
			return
		}
		c.links[e.Link] = struct{}{}
		e.Link.Send(&message.Roster{Own: c.address, Addresses: c.known})
	case link.Down:
		delete(c.links, e.Link)
		c.logger.Info().Str("peer", string(peer)).AnErr("cause", e.Err).Msg("link down")
	}
	for _, m := range e.Messages {
		c.heard(ctx, now, e.Link, m)
	}
}

func (c *control) heard(ctx context.Context, now time.Time, from *link.Link, m message.Message) {
	switch m := m.(type) {
	case *message.EntryReport:
		c.dispatch.Send(ctx, heardWork{from: from.Peer().Instance, work: m})
		if c.lagging(now, m.Routes) {
			from.Send(&message.RoutesPull{After: c.version()})
		}
	case *message.SlowServers:
		c.slow, c.slowAt = m.Slow, now
		c.dispatch.Send(ctx, heardSlow{slow: m.Slow})
	case *message.Roster:
		c.learn(ctx, append([]string{m.Own}, m.Addresses...))
	case *message.RoutesPull:
		if c.version() > m.After {
			from.Send(&message.RoutesPush{Version: c.version(), Document: c.document})
		}
	case *message.RoutesPush:
		if m.Version > c.version() {
			c.adopt(ctx, now, m.Document, string(from.Peer().Instance))
		}
	}
}

// lagging reports whether routes of another entry should be asked for: it has newer
// ones, and the store has not delivered them for a while.
func (c *control) lagging(now time.Time, version ident.Revision) bool {
	switch {
	case version <= c.version():
		return false
	case c.routes == nil:
	case c.behind.IsZero():
		c.behind = now
		return false
	case now.Sub(c.behind) < pullAfter:
		return false
	}
	if now.Sub(c.pulled) < pullAgain {
		return false
	}
	c.pulled = now
	return true
}

func (c *control) version() ident.Revision {
	if c.routes == nil {
		return 0
	}
	return c.routes.Version()
}

// maxKnown bounds the addresses of other entries.
const maxKnown = 512

// learn takes addresses of other entries.
func (c *control) learn(ctx context.Context, addresses []string) {
	for _, a := range addresses {
		if a != "" && a != c.address && !slices.Contains(c.known, a) && len(c.known) < maxKnown {
			c.known = append(c.known, a)
		}
	}
	c.join(ctx)
}

// join dials the known entries. Of two entries the one with the smaller address
// dials, so that there is one link between them. The entries of the settings are
// dialled in any case, since they do not know this one yet.
func (c *control) join(ctx context.Context) {
	for _, a := range c.known {
		if _, running := c.dialers[a]; running || a < c.address && !slices.Contains(c.seeds, a) {
			continue
		}
		limited, cancel := context.WithCancel(ctx)
		c.dialers[a] = cancel
		c.dial(limited, a)
	}
}
