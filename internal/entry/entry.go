// Package entry runs an entry, the process that clients connect to. Its tasks are
// the dispatch task (dispatch.go), the bookings task (bookings.go), the control task
// (control.go), one task for each link, and the readers of the configuration service
// and the instance list. HTTP handlers communicate with the tasks by messages.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/peering"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/shutdown"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// responseLinger is how long handlers may go on writing answers after the last
	// request has ended.
	responseLinger = 300 * time.Millisecond
	// headTimeout bounds the time in which a client sends the head of a request, and
	// clientIdleTimeout the time between two requests.
	headTimeout       = 10 * time.Second
	clientIdleTimeout = 2 * time.Minute
	// partTimeout bounds the time between two parts of a request body, and the time in
	// which a client takes a part of an answer.
	partTimeout = 30 * time.Second
	// heldShare divides the memory for clients: as much again as a half of it may be held in
	// answers on their way to handlers.
	heldShare = 2
)

// Options configures an entry.
type Options struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
	// Ready, if set, is called when /readyz first reports that the process is ready.
	Ready func()
	// Kill ends the process at once, without draining, when it is closed.
	Kill <-chan struct{}
}

// process holds the tasks of one entry.
type process struct {
	options     Options
	config      link.Config
	group       *task.Group
	metrics     *metrics
	dispatch    *dispatch
	bookings    *bookings
	control     *control
	reader      *source.Reader
	incarnation ident.Incarnation
	// certificates is nil if links are in plain text.
	certificates *link.Certificates
}

// listeners holds the listening sockets of an entry.
type listeners struct{ clients, links, operations net.Listener }

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
	if err := p.serve(l); err != nil {
		return err
	}
	return p.wait(ctx)
}

func listen(ctx context.Context, o Options) (l listeners, err error) {
	if l.clients, err = operations.Listen(ctx, o.Network, o.Settings.Listen); err != nil {
		return l, err
	}
	if l.links, err = operations.Listen(ctx, o.Network, o.Settings.LinkListen); err != nil {
		return l, err
	}
	l.operations, err = operations.Listen(ctx, o.Network, o.Settings.Operations)
	return l, err
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.clients, l.links, l.operations} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func assemble(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	p := &process{
		options: o, metrics: newMetrics(), incarnation: ident.NewIncarnation(now),
		group: task.NewGroup(context.WithoutCancel(ctx)),
	}
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	picker := newPicker(uint64(p.incarnation)^rand.Uint64(), o.Settings)
	if p.dispatch, err = newDispatch(picker, p.random(2), o.Settings.Instance, o.Settings.Limits.ClientBytes()/heldShare, o.Events, p.metrics); err != nil {
		return nil, err
	}
	p.bookings = newBookings(p.random(6), o.Events, p.metrics)
	p.config = link.Config{
		Codec: c, Clock: o.Events.Clock(), Hello: p.hello, Accepts: accepts, Deliver: p.deliver,
		Closed: func(reason string) { p.metrics.links.WithLabelValues(reason).Inc() },
	}
	return p, p.assembleControl(now)
}

func (p *process) assembleControl(now time.Time) error {
	var err error
	if p.certificates, err = link.NewCertificates(p.options.Settings.TLS); err != nil {
		return err
	}
	c, err := newControl(now, p.options.Settings.Grace)
	if err != nil {
		return err
	}
	c.instance, c.dispatch, c.bookings = p.options.Settings.Instance, p.dispatch.mailbox, p.bookings.mailbox
	c.notices = p.dispatch.notices
	c.logger, c.events, c.metrics = p.options.Logger, p.options.Events, p.metrics
	c.ready, c.random = p.options.Ready, p.random(3)
	c.dial = func(ctx context.Context, address string) {
		dialer := &link.Dialer{
			Config: p.config, Address: address, Network: p.options.Network, TLS: p.certificates,
			Random: rand.New(rand.NewPCG(c.random.Uint64(), c.random.Uint64())),
		}
		p.group.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
	}
	p.control = c
	p.assemblePeering(now)
	return nil
}

func (p *process) assemblePeering(now time.Time) {
	s := p.options.Settings
	p.reader = source.NewReader(s.ConfigService, source.NewClient(p.options.Network), func(ctx context.Context, a source.ReadAnswer) {
		p.control.mailbox.Send(ctx, configRead{answer: a})
	})
	p.control.seeds = slices.DeleteFunc(slices.Clone(s.Peers), func(address string) bool { return address == s.LinkListen })
	p.control.peering = peering.New(now, peering.Config{
		Self: s.Instance, Role: message.RoleEntry, Domain: s.Domain, Address: s.LinkListen, Incarnation: p.incarnation,
		Seed: p.random(4).Int64(), Logger: p.options.Logger, Events: p.options.Events,
		Metrics: peering.NewMetrics(p.metrics.registry), Reader: p.reader,
		Adopt: p.control.adopt, Ready: p.control.becomeReady,
	})
}

// random returns a random number generator for one task, which must not be shared
// with other tasks.
func (p *process) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(p.incarnation)^rand.Uint64(), stream))
}

func (p *process) hello() message.Hello {
	s := p.options.Settings
	return message.Hello{
		Version: message.ProtocolVersion, Role: message.RoleEntry, Instance: s.Instance,
		Domain: s.Domain, Region: s.Region, Incarnation: p.incarnation,
	}
}

// accepts reports whether an entry accepts messages of this kind from peers with
// this role.
func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat, message.KindMembers, message.KindUsage,
		message.KindRecordDigest, message.KindRecordPull, message.KindRecordPush:
		return true
	case message.KindAccepted, message.KindRefused, message.KindWithdrawn, message.KindTooLate,
		message.KindChunk, message.KindDone, message.KindFailed, message.KindReserved, message.KindBookResult:
		return role == message.RoleSidecar
	case message.KindCrashReport, message.KindTraitsProven, message.KindTraitTrial, message.KindRequestRecurred:
		return role == message.RoleEntry
	default:
		return false
	}
}

// deliver passes a link event to the tasks that handle it.
func (p *process) deliver(ctx context.Context, e link.Event) {
	if e.Kind != link.Received || slices.ContainsFunc(e.Messages, peering.Handles) {
		p.control.mailbox.Send(ctx, linkEvent{event: e})
	}
	for _, m := range e.Messages {
		if quarantine.Handles(m) {
			p.dispatch.mailbox.Send(ctx, quarantineNotice{message: m})
		}
	}
	if e.Link.Peer().Role == message.RoleSidecar {
		p.dispatch.mailbox.Send(ctx, linkActivity{event: e})
		p.deliverBookings(ctx, e)
	}
}

// deliverBookings passes a link event to the bookings task, unless none of its
// messages is about a booking.
func (p *process) deliverBookings(ctx context.Context, e link.Event) {
	if e.Kind == link.Received && !slices.ContainsFunc(e.Messages, isBookingAnswer) {
		return
	}
	p.bookings.mailbox.Send(ctx, bookingActivity{event: e})
}

func isBookingAnswer(m message.Message) bool {
	kind := message.KindOf(m)
	return kind == message.KindReserved || kind == message.KindBookResult
}

func (p *process) serve(l listeners) error {
	s := p.options.Settings
	if p.certificates != nil {
		p.certificates.ReloadFailed = func(err error) {
			p.options.Logger.Error().Err(err).Msg("reload of the TLS certificate failed; the previous one stays in use")
		}
		p.group.Go("certificates", p.certificates.Run)
	}
	clients := &clientAPI{dispatch: p.dispatch.mailbox, control: p.control.mailbox, bookings: p.bookings.mailbox, maxBody: s.MaxBodyBytes, metrics: p.metrics, events: p.options.Events}
	p.group.Go("dispatch", p.dispatch.run)
	p.group.Go("bookings", p.bookings.run)
	p.serveClients(l.clients, clients.handler())
	p.group.Go("link listener", func(ctx context.Context) error {
		return operations.ServeLinks(ctx, link.Listener(l.links, p.certificates), link.Accept(ctx, p.config))
	})
	p.serveOn("operations listener", l.operations, func(context.Context) http.Handler {
		router := operations.Handler(p.metrics.registry, p.readiness)
		operations.AddStatus(router, s.OperatorKeyHash, p.status)
		return router
	})
	p.watchPlatform()
	return nil
}

// serveClients serves the requests of clients, and bounds what clients make the process
// hold.
func (p *process) serveClients(l net.Listener, handler http.Handler) {
	s := p.options.Settings
	limiter := clientconn.NewLimiter(clientload.Config{
		Connections: s.Limits.Connections, Memory: s.Limits.ClientBytes(), HeadBytes: s.Limits.HeadBytes, BodyBytes: s.MaxBodyBytes,
	}, p.metrics.clients)
	listener := &clientconn.Listener{
		Listener: l, Limiter: limiter, Timeouts: clientconn.Timeouts{Head: headTimeout, Body: partTimeout, Write: partTimeout},
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: clientIdleTimeout}
	clientconn.Prepare(server)
	p.group.Go("client limiter", limiter.Run)
	p.group.Go("client listener", func(ctx context.Context) error { return operations.RunServer(ctx, listener, server) })
}

func (p *process) serveOn(name string, l net.Listener, handler func(ctx context.Context) http.Handler) {
	p.group.Go(name, func(ctx context.Context) error { return operations.Serve(ctx, l, handler(ctx)) })
}

func (p *process) watchPlatform() {
	s := p.options.Settings
	p.group.Go("configuration reads", p.reader.Run)
	list := &source.ListPoller{URL: s.InstanceList, Client: source.NewClient(p.options.Network), Random: p.random(5),
		Deliver: func(ctx context.Context, l source.List) { p.control.mailbox.Send(ctx, listRead{list: l}) }}
	p.group.Go("instance list", list.Run)
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

// wait runs the control task until the process is stopped or killed.
func (p *process) wait(ctx context.Context) error {
	return shutdown.Process{
		Group: p.group, Kill: p.options.Kill, Control: p.control.run, Linger: responseLinger,
		Stop: func() { p.control.mailbox.Send(p.group.Context(), stopProcess{}) },
	}.Wait(ctx)
}
