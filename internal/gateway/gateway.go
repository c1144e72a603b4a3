// Package gateway runs an entry that calls backend servers over HTTP by routes
// that operators publish in the platform's store. Its tasks are the control
// task (control.go), the dispatch task (dispatch.go), the pool of connections to
// backend servers, the watches of the store (watch.go) and the links to other
// entries. Each request of a client is owned by the goroutine that serves it
// (flight.go), which talks to the tasks by messages.
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

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/lifecycle"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// leaveTime is how long an entry that stops goes on taking connections. The
	// platform's balancer asks once a second and takes an entry out after two misses.
	leaveTime = 2500 * time.Millisecond
	// endMargin is kept between the end of draining and the end of the grace time.
	endMargin = 400 * time.Millisecond
	// headerLimit and idleLimit bound what an idle client costs. Both are above the
	// operators' limits, since the bounds on clients are theirs.
	headerLimit = 10 * time.Second
	idleLimit   = 60 * time.Second
)

// Options are what an entry needs of the process around it.
type Options struct {
	Settings *settings.Hosted
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
}

// process is everything that runs in one entry.
type process struct {
	options  Options
	group    *task.Group
	metrics  *metrics
	control  *control
	dispatch *dispatch
	pool     *upstream.Pool
	front    *front
	server   *http.Server
	links    link.Config
	start    ident.Incarnation
	// draining is closed when the process is asked to stop.
	draining chan struct{}
}

// listeners are the bound addresses of an entry.
type listeners struct{ clients, ready, links, metrics net.Listener }

// Run runs an entry until the context ends, drains it, and returns.
func Run(ctx context.Context, o Options) error {
	l, err := listen(ctx, o)
	defer l.close()
	if err != nil {
		return err
	}
	p, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	p.serve(l)
	return lifecycle.Process{
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
			// The process ends; an error of closing a listener changes nothing.
			_ = one.Close()
		}
	}
}

func assemble(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	p := &process{
		options: o, metrics: newMetrics(), start: ident.NewIncarnation(now), draining: make(chan struct{}),
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
	if err := p.assembleFront(); err != nil {
		return nil, err
	}
	return p, p.assembleControl(now)
}

func (p *process) assembleFront() error {
	machines, err := request.NewMachines(nil)
	if err != nil {
		return err
	}
	protocol := platform.Protocol{}
	p.front = &front{
		dispatch: p.dispatch.mailbox, protocol: protocol, machines: machines,
		events: p.options.Events, metrics: p.metrics, draining: p.draining,
		caller: &upstream.Caller{Pool: p.pool, Protocol: protocol, Dial: upstream.Dial, Opened: p.metrics.opened.Inc},
	}
	p.server = &http.Server{Handler: p.front, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit}
	return nil
}

func (p *process) assembleControl(now time.Time) error {
	s := p.options.Settings
	c, err := newControl(now, s.Grace-endMargin)
	if err != nil {
		return err
	}
	c.address = s.LinkListen
	c.dispatch, c.pool, c.logger = p.dispatch.mailbox, p.pool, p.options.Logger
	c.drain = p.drain
	random := p.random(2)
	c.dial = func(ctx context.Context, address string) {
		dialer := &link.Dialer{Config: p.links, Address: address, Network: p.options.Network, Random: random}
		p.group.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
	}
	for _, seed := range s.Seeds {
		if seed != s.LinkListen {
			c.seeds = append(c.seeds, seed)
			c.known = append(c.known, seed)
		}
	}
	p.control = c
	return nil
}

// random returns a source of its own for one task.
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

// accepts names the frames that an entry takes from another one.
func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat:
		return true
	case message.KindEntryReport, message.KindRoster, message.KindRoutesPull, message.KindRoutesPush:
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
	p.group.Go("clients", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
		defer stop()
		if err := p.server.Serve(l.clients); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "client listener")
		}
		return nil
	})
	p.listener("ready listener", l.ready, func(context.Context) http.Handler {
		router := httprouter.New()
		router.GET(platform.ReadyPath, p.answerReady)
		return router
	})
	p.listener("link listener", l.links, func(ctx context.Context) http.Handler { return link.Accept(ctx, p.links) })
	p.listener("metrics listener", l.metrics, func(context.Context) http.Handler {
		return operations.Handler(p.metrics.registry, p.readiness)
	})
	p.watchStore()
}

func (p *process) listener(name string, l net.Listener, handler func(ctx context.Context) http.Handler) {
	p.group.Go(name, func(ctx context.Context) error { return operations.Serve(ctx, l, handler(ctx)) })
}

func (p *process) answerReady(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if !p.readiness(r.Context()).Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *process) readiness(ctx context.Context) operations.Readiness {
	state, ok := task.Ask(ctx, p.control.mailbox, func(reply chan<- operations.Readiness) controlMessage {
		return askReadiness{reply: reply}
	})
	if !ok {
		return operations.Readiness{Text: "stopping"}
	}
	return state
}

// watchStore starts the watches of the routes and of the backend servers.
func (p *process) watchStore() {
	store := &platform.Store{Address: p.options.Settings.Store, Client: upstream.Client()}
	routes := &watcher{
		store: store, prefix: platform.ConfigurationKey, logger: p.options.Logger, random: p.random(3), metrics: p.metrics,
		deliver: func(ctx context.Context, items []platform.Item, _ bool) {
			p.control.mailbox.Send(ctx, routesRead{items: items})
		},
		lost: func(context.Context) {},
	}
	servers := &watcher{
		store: store, prefix: platform.ServersPrefix, spacing: serverSpacing, logger: p.options.Logger, random: p.random(4), metrics: p.metrics,
		deliver: func(ctx context.Context, items []platform.Item, whole bool) {
			p.control.mailbox.Send(ctx, serversRead{items: items, whole: whole})
		},
		lost: func(ctx context.Context) { p.control.mailbox.Send(ctx, serversLost{}) },
	}
	p.group.Go("watch of routes", routes.Run)
	p.group.Go("watch of backend servers", servers.Run)
}

// drain ends the client listener: connections are taken until the balancer has
// noticed, then requests in flight finish.
func (p *process) drain() {
	close(p.draining)
	p.group.Go("drain", func(ctx context.Context) error {
		if !task.Sleep(ctx, leaveTime) {
			return nil
		}
		// Requests in flight that last longer end with the process.
		if err := p.server.Shutdown(ctx); err != nil {
			p.options.Logger.Warn().Err(err).Msg("drain")
		}
		p.control.mailbox.Send(ctx, drainedFront{})
		return nil
	})
}
