package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
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
	// reportInterval is the time between two reports of this entry's requests to the
	// other entries. A request to a model engine runs for several such intervals.
	reportInterval = 150 * time.Millisecond
	// reportsPerAddressList is the number of reports for each list of addresses that is sent.
	reportsPerAddressList = 10
	// slowServersTTL is how long a group's report of slow servers is passed on to other
	// entries. A group reports every 0.3 s.
	slowServersTTL = time.Second
	// pullDelay is how long to wait for the store to deliver routes that another entry
	// already has before pulling them from it. New routes must be in force within 2 s.
	pullDelay = 400 * time.Millisecond
	// minPullInterval is the minimum time between two pulls of routes from other entries.
	// A configuration document with many routes has half a megabyte.
	minPullInterval = 500 * time.Millisecond
)

// controlMessage is a message to the control task.
type controlMessage interface{ isControlMessage() }

type (
	routesRead storeRead
	// serversRead holds the complete list of backend servers, or changes to it.
	serversRead        storeRead
	serversUnreachable struct{}
	linkEvent          struct{ event link.Event }
	stopProcess        struct{}
	clientsDrained     struct{}
	getReadiness       struct {
		reply chan<- operations.Readiness
	}
)

func (routesRead) isControlMessage()         {}
func (serversRead) isControlMessage()        {}
func (serversUnreachable) isControlMessage() {}
func (linkEvent) isControlMessage()          {}
func (stopProcess) isControlMessage()        {}
func (clientsDrained) isControlMessage()     {}
func (getReadiness) isControlMessage()       {}

// control is the task that owns the routes in force, the list of backend servers, the
// links to other entries and the lifecycle of the process.
type control struct {
	mailbox   *task.Mailbox[controlMessage]
	lifecycle *chart.Lifecycle[*control]
	// catchUp ends before the first routes and servers are used.
	catchUp *chart.Lifecycle[*control]
	grace   time.Duration
	// address is the host and port on which this process accepts links.
	address  string
	routes   *record.Routes
	document []byte
	// routesSource names the store or the entry from which the routes are.
	routesSource string
	registry     *registry.Registry
	links        map[*link.Link]struct{}
	// dialers holds the cancel function of each running dialer, by address.
	dialers map[string]context.CancelFunc
	// seeds are the addresses of entries from the settings, entryAddresses those of all
	// entries that this one knows.
	seeds          []string
	entryAddresses []string
	// slowServers are the slow servers that a group reported at slowServersAt.
	slowServers   []message.ServerSlowdown
	slowServersAt time.Time
	// startingEntries holds the addresses of the entries that are starting, too.
	startingEntries map[string]bool
	// routesToCatchUp is the version of the routes that the catch-up waits for, zero while
	// no other entry has told it.
	routesToCatchUp ident.Revision
	// behindSince is when another entry was first seen to have newer routes, zero if none
	// has. lastPull is when routes were last requested from another entry.
	behindSince time.Time
	lastPull    time.Time
	reports     int
	dial        func(ctx context.Context, address string)
	dispatch    *task.Mailbox[dispatchMessage]
	// notices are messages of the dispatch task to all other entries.
	notices *task.Mailbox[message.Message]
	pool    *upstream.Pool
	metrics *metrics
	logger  zerolog.Logger
	// drain starts to shut the client listener down.
	drain func()
	// setClientLimits puts the operators' limits on clients' requests in force.
	setClientLimits func(ctx context.Context, l record.Limits)
}

func newControl(now time.Time, grace time.Duration) (*control, error) {
	c := &control{
		mailbox: task.NewMailbox[controlMessage](controlCapacity, task.Block), grace: grace,
		startingEntries: make(map[string]bool),
		registry:        registry.New(), links: make(map[*link.Link]struct{}), dialers: make(map[string]context.CancelFunc),
	}
	machine, err := chart.Bind(charts.Must("process"), chart.Binding[*control]{
		Delays: map[string]func(*control) time.Duration{"grace": func(c *control) time.Duration { return c.grace }},
		Observe: func(c *control, t chart.Transition) {
			c.logger.Info().Str("from", t.From).Str("to", t.To).Str("event", t.Event).Msg("process state changed")
			if t.To == "draining" {
				c.drain()
			}
		},
	})
	if err != nil {
		return nil, err
	}
	c.lifecycle = machine.New(now, c)
	return c, c.initCatchUp(now)
}

// run is the main loop of the task. It returns once the process has stopped.
func (c *control) run(ctx context.Context) error {
	defer c.mailbox.Close()
	defer c.notices.Close()
	c.dialEntries(ctx)
	c.checkSeeds(ctx, time.Now())
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for !c.lifecycle.Done() {
		select {
		case m := <-c.mailbox.Receive():
			c.step(ctx, time.Now(), m)
		case m := <-c.notices.Receive():
			for _, l := range c.linkPerPeer() {
				l.Send(m)
			}
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
		c.updateServers(ctx, now, m)
	case serversUnreachable:
		c.registry.SetUnreachable()
	case leavingAnnounced:
		c.handleLeaving(ctx, now, m)
	case linkEvent:
		c.handleLinkEvent(ctx, now, m.event)
	case stopProcess:
		c.lifecycle.Fire(now, "stop")
	case clientsDrained:
		c.lifecycle.Fire(now, "drained")
	case getReadiness:
		m.reply <- operations.Readiness{Ready: c.lifecycle.In("ready"), Text: c.lifecycle.State()}
	}
}

// adopt puts routes in force if they are newer. Within one incarnation older routes
// never replace newer ones, whether they come from the store or from another entry.
func (c *control) adopt(ctx context.Context, now time.Time, document []byte, from string) {
	routes, err := platform.DecodeRoutes(document)
	if err != nil {
		c.logger.Error().Err(err).Str("source", from).Msg("invalid routes document ignored")
		return
	}
	if c.routes != nil && routes.Version() <= c.routes.Version() {
		if routes.Version() < c.routes.Version() {
			c.logger.Info().Uint64("version", uint64(routes.Version())).Uint64("in_force", uint64(c.routes.Version())).Str("source", from).Msg("older routes ignored")
		}
		return
	}
	c.routes, c.document, c.routesSource, c.behindSince = routes, document, from, time.Time{}
	c.publishRoutes(ctx)
	c.checkConfigured(now)
}

// publishRoutes puts the routes in force.
func (c *control) publishRoutes(ctx context.Context) {
	if c.routes == nil || !c.catchUp.Done() {
		return
	}
	c.logger.Info().Uint64("version", uint64(c.routes.Version())).Str("source", c.routesSource).Msg("routes in force")
	c.dispatch.Send(ctx, setRoutes{routes: c.routes})
	c.setClientLimits(ctx, c.routes.Limits())
}

// checkConfigured makes the process ready once it has routes and the list of backend
// servers, and knows what the other entries know.
func (c *control) checkConfigured(now time.Time) {
	if c.complete() {
		c.lifecycle.Fire(now, "configured")
	}
}

// complete reports whether requests can be served.
func (c *control) complete() bool { return c.catchUp.Done() && c.routes != nil && c.registry.Synced() }

func (c *control) updateServers(ctx context.Context, now time.Time, m serversRead) {
	var changes []registry.Change
	for _, i := range m.items {
		id, ok := platform.ServerIDFromKey(i.Key)
		if !ok {
			continue
		}
		changes = append(changes, registry.Change{ID: id, Server: c.decodeServer(i)})
	}
	var update registry.Update
	if m.complete {
		var list []registry.Server
		for _, one := range changes {
			if one.Server != nil {
				list = append(list, *one.Server)
			}
		}
		update = c.registry.Replace(now, m.era, list)
	} else {
		update = c.registry.Apply(now, m.era, changes)
	}
	for _, s := range update.Outdated {
		c.logger.Info().Str("server", string(s.ID)).Time("started", s.Started).Int64("sequence", s.Sequence).Bool("leaving", s.Leaving).Msg("outdated list entry of a backend server ignored")
	}
	if update.Changed {
		c.publishServers(ctx)
	}
	c.checkConfigured(now)
}

// decodeServer decodes an item of the backend server list. It returns nil if the item
// was removed or is invalid.
func (c *control) decodeServer(i platform.Item) *registry.Server {
	if i.Deleted {
		c.logger.Info().Str("key", i.Key).Msg("backend server removed")
		return nil
	}
	s, err := platform.DecodeServer(i.Key, i.Value)
	if err != nil {
		c.logger.Warn().Err(err).Str("key", i.Key).Msg("invalid backend server document ignored")
		return nil
	}
	return &s
}

func (c *control) publishServers(ctx context.Context) {
	if !c.catchUp.Done() {
		return
	}
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
	c.metrics.servers.WithLabelValues("ready").Set(float64(len(servers) - leaving))
	c.metrics.servers.WithLabelValues("leaving").Set(float64(leaving))
	c.dispatch.Send(ctx, setServers{servers: servers})
	c.pool.Retain(ctx, alive)
}

func (c *control) tick(ctx context.Context, now time.Time) {
	c.lifecycle.Tick(now)
	c.advanceCatchUp(ctx, now, func() { c.catchUp.Tick(now) })
	if c.registry.Tick(now) {
		c.publishServers(ctx)
	}
	c.reports++
	m, ok := task.Ask(ctx, c.dispatch, func(reply chan<- ownReport) dispatchMessage { return getReport{reply: reply} })
	if !ok {
		return
	}
	m.report.Routes = c.version()
	if now.Sub(c.slowServersAt) < slowServersTTL {
		m.report.Slow = c.slowServers
	}
	for _, l := range c.linkPerPeer() {
		if len(m.rates.Rates) > 0 {
			l.Send(m.rates)
		}
		l.Send(m.report)
		if c.reports%reportsPerAddressList == 0 {
			l.Send(&message.ProcessAddresses{Own: c.address, Addresses: c.entryAddresses})
		}
	}
}

// linkPerPeer returns one link to each entry: two entries that dialled each other at
// once have two links.
func (c *control) linkPerPeer() map[ident.InstanceID]*link.Link {
	links := make(map[ident.InstanceID]*link.Link, len(c.links))
	for l := range c.links {
		links[l.Peer().Instance] = l
	}
	return links
}

func (c *control) handleLinkEvent(ctx context.Context, now time.Time, e link.Event) {
	peer := e.Link.Peer().Instance
	switch e.Kind {
	case link.Up:
		c.logger.Info().Str("peer", string(peer)).Msg("link up")
		if e.Link.Peer().Role != message.RoleEntry {
			return
		}
		c.links[e.Link] = struct{}{}
		e.Link.Send(&message.ProcessAddresses{Own: c.address, Addresses: c.entryAddresses})
		c.sendQuarantine(ctx, e.Link)
		c.sendState(now, e.Link)
	case link.Down:
		delete(c.links, e.Link)
		c.logger.Info().Str("peer", string(peer)).AnErr("cause", e.Err).Msg("link down")
	}
	for _, m := range e.Messages {
		c.handleMessage(ctx, now, e.Link, m)
	}
}

// sendQuarantine tells an entry, which may have been restarted, what is known of crashes.
func (c *control) sendQuarantine(ctx context.Context, to *link.Link) {
	state, _ := task.Ask(ctx, c.dispatch, func(reply chan<- []message.Message) dispatchMessage { return getQuarantineState{reply: reply} })
	for _, m := range state {
		to.Send(m)
	}
}

func (c *control) handleMessage(ctx context.Context, now time.Time, from *link.Link, m message.Message) {
	if quarantine.Handles(m) {
		c.dispatch.Send(ctx, peerNotice{message: m})
		return
	}
	switch m := m.(type) {
	case *message.EntryReport:
		c.dispatch.Send(ctx, peerReport{from: from.Peer().Instance, report: m})
		c.pullRoutes(now, from, m.Routes)
	case *message.ServerDepartures:
		c.learnDepartures(ctx, now, m)
	case *message.StateSummary:
		c.handleSummary(ctx, now, from, m)
	case *message.AnnouncedRates:
		c.dispatch.Send(ctx, peerRates{from: from.Peer().Instance, rates: m.Rates})
	case *message.SlowServers:
		c.slowServers, c.slowServersAt = m.Slow, now
		c.dispatch.Send(ctx, updateSlowdowns{slow: m.Slow})
	case *message.ProcessAddresses:
		c.addAddresses(ctx, append([]string{m.Own}, m.Addresses...))
	case *message.RoutesPull:
		if c.version() > m.After {
			from.Send(&message.RoutesPush{Version: c.version(), Document: c.document})
		}
	case *message.RoutesPush:
		if m.Version > c.version() {
			c.adopt(ctx, now, m.Document, string(from.Peer().Instance))
		}
		c.checkCaughtUp(ctx, now)
	}
}

// pullRoutes asks another entry for its routes if they should be pulled.
func (c *control) pullRoutes(now time.Time, from *link.Link, version ident.Revision) {
	if c.shouldPull(now, version) {
		from.Send(&message.RoutesPull{After: c.version()})
	}
}

// shouldPull reports whether to pull the routes of another entry: they are newer, and
// the store has not delivered them within pullDelay.
func (c *control) shouldPull(now time.Time, version ident.Revision) bool {
	switch {
	case version <= c.version():
		return false
	case c.routes == nil || c.catchUp.In("pulling"):
	case c.behindSince.IsZero():
		c.behindSince = now
		return false
	case now.Sub(c.behindSince) < pullDelay:
		return false
	}
	if now.Sub(c.lastPull) < minPullInterval {
		return false
	}
	c.lastPull = now
	return true
}

func (c *control) version() ident.Revision {
	if c.routes == nil {
		return 0
	}
	return c.routes.Version()
}

// maxEntryAddresses is the maximum number of addresses of other entries.
const maxEntryAddresses = 512

// addAddresses adds addresses of other entries and dials the new ones.
func (c *control) addAddresses(ctx context.Context, addresses []string) {
	for _, a := range addresses {
		if a != "" && a != c.address && !slices.Contains(c.entryAddresses, a) && len(c.entryAddresses) < maxEntryAddresses {
			c.entryAddresses = append(c.entryAddresses, a)
		}
	}
	c.dialEntries(ctx)
}

// dialEntries dials the known entries. Of two entries the one with the smaller address
// dials, so that there is one link between them. The entries of the settings are
// always dialled, since they may not know the address of this one.
func (c *control) dialEntries(ctx context.Context) {
	for _, a := range c.entryAddresses {
		if _, running := c.dialers[a]; running || a < c.address && !slices.Contains(c.seeds, a) {
			continue
		}
		limited, cancel := context.WithCancel(ctx)
		c.dialers[a] = cancel
		c.dial(limited, a)
	}
}
