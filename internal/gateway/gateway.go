// Package gateway implements an entry on a hosting platform (see package platform). It
// forwards requests to backend servers over HTTP along the routes that operators publish
// in the platform's store. Its tasks are the control task (control.go), the dispatch task
// (dispatch.go), the pool of connections to backend servers, the watches of the store
// (watch.go) and the links to other entries. Each client request is owned by the
// goroutine that serves it (clientrequest.go), which exchanges messages with the tasks.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/shutdown"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// shutdownDelay is how long a stopping entry keeps accepting connections. The
	// platform's balancer probes once a second and removes an entry after two failures.
	shutdownDelay = 2500 * time.Millisecond
	// drainMargin is by how much draining ends before the grace period does.
	drainMargin = 400 * time.Millisecond
	// headerReadTimeout bounds the time in which a client sends the request headers. It
	// is above the operators' limit, so that the operators' limit decides.
	headerReadTimeout = 10 * time.Second
	// bodyTimeout bounds the time between two parts of a request body, and writeTimeout the
	// time in which a client takes a part of an answer. No request has more time.
	bodyTimeout  = 30 * time.Second
	writeTimeout = 30 * time.Second
	// headMarginBytes is added to the operators' limit of a request's header fields for the
	// request line.
	headMarginBytes = 4 << 10
	// clientIdleTimeout is how long an idle client connection is kept. It is above the
	// operators' limit, so that the operators' limit decides.
	clientIdleTimeout = 60 * time.Second
)

// Options configures Run.
type Options struct {
	Settings *settings.Hosted
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
}

// process holds the tasks and servers of one entry.
type process struct {
	options     Options
	group       *task.Group
	metrics     *metrics
	control     *control
	dispatch    *dispatch
	pool        *upstream.Pool
	handler     *clientHandler
	server      *http.Server
	limiter     *clientconn.Limiter
	links       link.Config
	start       ident.Incarnation
	requestTags eventlog.RequestTags
	// draining is closed when the process is asked to stop.
	draining chan struct{}
}

// listeners are the open listeners of an entry.
type listeners struct{ clients, ready, links, metrics net.Listener }

// Run runs an entry until the context ends, then drains it and returns.
func Run(ctx context.Context, o Options) error {
	l, err := listen(ctx, o)
	defer l.close()
	if err != nil {
		return err
	}
	p, err := newProcess(ctx, o)
	if err != nil {
		return err
	}
	p.serve(l)
	return shutdown.Process{
		Group: p.group, Control: p.control.run,
		Stop: func() { p.control.mailbox.Send(p.group.Context(), stopProcess{}) },
	}.Wait(ctx)
}

func listen(ctx context.Context, o Options) (l listeners, err error) {
	for _, one := range []struct {
		listener *net.Listener
		address  string
	}{
		{&l.links, o.Settings.LinkListen}, {&l.metrics, o.Settings.Metrics},
		{&l.ready, o.Settings.ReadyListen}, {&l.clients, o.Settings.Listen},
	} {
		if *one.listener, err = operations.Listen(ctx, o.Network, one.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.clients, l.ready, l.links, l.metrics} {
		if one != nil {
			// The process is ending, so an error from Close does not matter.
			_ = one.Close()
		}
	}
}

func newProcess(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	p := &process{
		options: o, metrics: newMetrics(), start: ident.NewIncarnation(now), requestTags: eventlog.NewRequestTags(), draining: make(chan struct{}),
		group: task.NewGroup(context.WithoutCancel(ctx)), pool: upstream.NewPool(),
	}
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	p.links = link.Config{
		Codec: c, Clock: o.Events.Clock(), Hello: p.hello, Accepts: accepts,
		Deliver: func(ctx context.Context, e link.Event) { p.control.mailbox.Send(ctx, linkEvent{event: e}) },
		Closed:  func(reason string) { p.metrics.links.WithLabelValues(reason).Inc() },
	}
	s := o.Settings
	p.dispatch = newDispatch(s.Domain, p.random(1), routing.WindowConfig{
		Ratio: s.RetryRatio / 2, Slack: s.RetrySlack / 2, Window: s.RetryWindow,
	}, p.metrics)
	p.dispatch.logger, p.dispatch.requestTags = o.Logger, p.requestTags
	if err := p.initHandler(); err != nil {
		return nil, err
	}
	return p, p.initControl(now)
}

func (p *process) initHandler() error {
	machines, err := request.NewMachines(nil)
	if err != nil {
		return err
	}
	protocol := platform.Protocol{}
	p.handler = &clientHandler{
		dispatch: p.dispatch.mailbox, protocol: protocol, machines: machines,
		events: p.options.Events, metrics: p.metrics, requestTags: p.requestTags, draining: p.draining,
		transport: &upstream.Transport{Pool: p.pool, Protocol: protocol, Dial: upstream.Dial, OnConnect: p.metrics.opened.Inc},
	}
	p.server = &http.Server{Handler: p.handler, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: clientIdleTimeout}
	clientconn.Prepare(p.server)
	limits := p.options.Settings.Limits
	p.limiter = clientconn.NewLimiter(clientload.Config{
		Connections: limits.Connections, Memory: limits.ClientBytes(), HeadBytes: limits.HeadBytes, BodyBytes: maxBodyBytes,
	}, p.metrics.clients)
	return nil
}

func (p *process) initControl(now time.Time) error {
	s := p.options.Settings
	c, err := newControl(now, s.Grace-drainMargin)
	if err != nil {
		return err
	}
	c.address = s.LinkListen
	c.dispatch, c.notices, c.pool, c.logger = p.dispatch.mailbox, p.dispatch.notices, p.pool, p.options.Logger
	c.metrics, c.drain, c.setClientLimits = p.metrics, p.drain, p.setClientLimits
	c.dial = func(ctx context.Context, address string) {
		dialer := &link.Dialer{Config: p.links, Address: address, Network: p.options.Network, Random: p.random(2)}
		p.group.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
	}
	for _, seed := range s.Seeds {
		if seed != s.LinkListen {
			c.seeds = append(c.seeds, seed)
			c.entryAddresses = append(c.entryAddresses, seed)
		}
	}
	p.control, p.handler.control = c, c.mailbox
	return nil
}

// setClientLimits applies the operators' limits where they allow more than the defaults.
func (p *process) setClientLimits(ctx context.Context, l record.Limits) {
	head := max(p.options.Settings.Limits.HeadBytes, int64(l.HeaderBytes)+headMarginBytes)
	p.limiter.SetLimits(ctx, head, max(maxBodyBytes, l.BodyBytes))
}

// random returns a random source for one task, since a source must not be shared.
func (p *process) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(p.start)^rand.Uint64(), stream))
}

func (p *process) hello() message.Hello {
	s := p.options.Settings
	return message.Hello{
		Version: message.ProtocolVersion, Role: message.RoleEntry, Instance: s.Instance,
		Domain: s.Domain, Region: s.Region, Incarnation: p.start,
	}
}

// accepts reports whether an entry accepts messages of this kind from a peer of this
// role.
func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat:
		return true
	case message.KindEntryReport, message.KindProcessAddresses, message.KindRoutesPull, message.KindRoutesPush,
		message.KindCrashReport, message.KindTraitsProven, message.KindTraitTrial, message.KindRequestRecurred, message.KindAnnouncedRates,
		message.KindServerDepartures, message.KindStateSummary:
		return role == message.RoleEntry
	case message.KindSlowServers:
		return role == message.RoleSidecar
	default:
		return false
	}
}

func (p *process) serve(l listeners) {
	p.group.Go("dispatch", p.dispatch.run)
	p.group.Go("connection pool", p.pool.Run)
	p.group.Go("client limiter", p.limiter.Run)
	clients := &clientconn.Listener{
		Listener: l.clients, Limiter: p.limiter,
		Timeouts: clientconn.Timeouts{Head: headerReadTimeout, Body: bodyTimeout, Write: writeTimeout},
	}
	p.group.Go("clients", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
		defer stop()
		if err := p.server.Serve(clients); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve clients on %s", l.clients.Addr())
		}
		return nil
	})
	p.serveHTTP("ready listener", l.ready, func(context.Context) http.Handler {
		router := httprouter.New()
		router.GET(platform.ReadyPath, p.answerReady)
		return router
	})
	p.group.Go("link listener", func(ctx context.Context) error {
		return operations.ServeLinks(ctx, l.links, link.Accept(ctx, p.links))
	})
	p.serveHTTP("metrics listener", l.metrics, func(context.Context) http.Handler {
		return operations.Handler(p.metrics.registry, p.readiness)
	})
	p.watchStore()
}

func (p *process) serveHTTP(name string, l net.Listener, handler func(ctx context.Context) http.Handler) {
	p.group.Go(name, func(ctx context.Context) error { return operations.Serve(ctx, l, handler(ctx)) })
}

func (p *process) answerReady(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !p.readiness(r.Context()).Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *process) readiness(ctx context.Context) operations.Readiness {
	state, ok := task.Ask(ctx, p.control.mailbox, func(reply chan<- operations.Readiness) controlMessage {
		return getReadiness{reply: reply}
	})
	if !ok {
		return operations.Readiness{Text: "stopping"}
	}
	return state
}

// watchStore starts the watches of the routes and of the backend server list.
func (p *process) watchStore() {
	store := &platform.Store{Address: p.options.Settings.Store, Client: upstream.NewHTTPClient()}
	watchStore := &platform.Store{Address: p.options.Settings.Store, Client: upstream.NewSingleCallClient()}
	routes := &watcher{
		store: store, watchStore: watchStore, prefix: platform.ConfigurationKey, logger: p.options.Logger, random: p.random(3), metrics: p.metrics,
		deliver:     func(ctx context.Context, r storeRead) { p.control.mailbox.Send(ctx, routesRead(r)) },
		unreachable: func(context.Context) {},
	}
	servers := &watcher{
		store: store, watchStore: watchStore, prefix: platform.ServersPrefix, pollInterval: serversPollInterval, logger: p.options.Logger, random: p.random(4), metrics: p.metrics,
		deliver:     func(ctx context.Context, r storeRead) { p.control.mailbox.Send(ctx, serversRead(r)) },
		unreachable: func(ctx context.Context) { p.control.mailbox.Send(ctx, serversUnreachable{}) },
	}
	p.group.Go("watch of routes", routes.Run)
	p.group.Go("watch of backend servers", servers.Run)
}

// drain shuts the client listener down: it accepts connections until the platform's
// balancer has removed the entry, then waits for the requests in flight.
func (p *process) drain() {
	close(p.draining)
	p.group.Go("drain", func(ctx context.Context) error {
		if !task.Sleep(ctx, shutdownDelay) {
			return nil
		}
		// The end of the process cuts off requests that outlast the grace period.
		if err := p.server.Shutdown(ctx); err != nil {
			p.options.Logger.Warn().Err(err).Msg("the client listener did not shut down cleanly")
		}
		p.control.mailbox.Send(ctx, clientsDrained{})
		return nil
	})
}
