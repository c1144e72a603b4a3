// Package sidecar runs the process beside one backend server. Its tasks are the
// links to entries and other sidecars, the run queue (queue.go), the answer
// streams (streams.go), the control task (control.go), the bookings (bookings.go)
// or the expert-parallel group (group.go), and the tasks that read the instance
// list, the configuration service and the engine's load report.
package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/peering"
	"github.com/anvilpoint/anvilpoint/internal/service"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/shutdown"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// initialEngineSlots is the number of slots used until the engine has reported
	// its own.
	initialEngineSlots = 1
	// serviceSlots is the number of calls that a plain service runs at once.
	serviceSlots = 64
	// flushTime is how long links stay open after draining, so that queued frames
	// such as the ends of streams are still sent.
	flushTime = 300 * time.Millisecond
)

// Options are the settings and dependencies of a sidecar.
type Options struct {
	Settings *settings.Settings
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
	// Ready, if set, is called when the sidecar becomes ready.
	Ready func()
	// Kill, when closed, ends the process at once, without draining.
	Kill <-chan struct{}
}

// process holds the tasks of one sidecar.
type process struct {
	options      Options
	linkConfig   link.Config
	tasks        *task.Group
	metrics      *metrics
	queue        *runQueue
	streams      *streams
	control      *control
	configReader *source.Reader
	// bookings is nil beside an engine.
	bookings *bookings
	engine   *engine.Engine
	// expertGroup is nil beside a plain service.
	expertGroup *groupTask
	incarnation ident.Incarnation
	// certificates is nil if links use plain text.
	certificates *link.Certificates
}

// Run runs a sidecar until the context ends, then drains it and returns.
func Run(ctx context.Context, o Options) error {
	// The link address is bound first: if an earlier process is paused but alive,
	// it still holds the address, and this one must not serve.
	links, err := operations.Listen(ctx, o.Network, o.Settings.LinkListen)
	if err != nil {
		return err
	}
	defer links.Close()
	ops, err := operations.Listen(ctx, o.Network, o.Settings.Operations)
	if err != nil {
		return err
	}
	defer ops.Close()
	p, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	if err := p.startTasks(links, ops); err != nil {
		return err
	}
	return p.wait(ctx)
}

func assemble(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	p := &process{
		options: o, metrics: newMetrics(), incarnation: ident.NewIncarnation(now),
		tasks: task.NewGroup(context.WithoutCancel(ctx)),
	}
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	if p.certificates, err = link.NewCertificates(o.Settings.TLS); err != nil {
		return nil, err
	}
	p.linkConfig = link.Config{
		Codec: c, Clock: o.Events.Clock(), Hello: p.hello, Accepts: accepts, Deliver: p.deliver,
		Closed: func(reason string) { p.metrics.linksClosed.WithLabelValues(reason).Inc() },
	}
	backend, slots := p.newBackend()
	if p.queue, err = newRunQueue(newFairQueue(slots, p.engine != nil, o.Settings.Policy), slots, p.metrics); err != nil {
		return nil, err
	}
	if p.streams, err = newStreams(p.metrics); err != nil {
		return nil, err
	}
	if p.engine == nil {
		p.assembleBookings()
	}
	calls := &offerCaller{tasks: p.tasks, backend: backend, queue: p.queue.mailbox, streams: p.streams.mailbox}
	p.queue.startCall, p.queue.streams = calls.start, p.streams.mailbox
	return p, p.assembleControl(now)
}

func (p *process) assembleControl(now time.Time) error {
	c, err := newControl(now, p.options.Settings.Grace)
	if err != nil {
		return err
	}
	c.instance = p.options.Settings.Instance
	c.queue, c.streams = p.queue.mailbox, p.streams.mailbox
	c.logger, c.events, c.metrics, c.ready = p.options.Logger, p.options.Events, p.metrics, p.options.Ready
	c.hasEngine, c.bookings = p.engine != nil, p.bookings
	p.control = c
	p.assemblePeering(now)
	p.assembleGroup()
	return nil
}

// assemblePeering gives the control task its part in membership and in the
// distribution of the record. The entries linked to a sidecar push the record to
// it.
func (p *process) assemblePeering(now time.Time) {
	s, c := p.options.Settings, p.control
	p.configReader = source.NewReader(s.ConfigService, source.NewClient(p.options.Network), func(ctx context.Context, a source.ReadAnswer) {
		c.mailbox.Send(ctx, configRead{answer: a})
	})
	config := peering.Config{
		Self: s.Instance, Role: message.RoleSidecar, Domain: s.Domain, Address: s.LinkListen,
		Server: s.Backend.Server, Incarnation: p.incarnation, Seed: int64(p.incarnation),
		Logger: p.options.Logger, Events: p.options.Events, Metrics: peering.NewMetrics(p.metrics.registry),
		Adopt: c.adopt, Reader: p.configReader,
		Ready: func() {
			c.recordReady = true
			c.becomeReady(time.Now())
		},
	}
	if p.engine != nil {
		o := &orderCaller{engine: p.engine, tasks: p.tasks, control: c.mailbox, model: func() (ident.ModelName, int64) { return c.model(s.Backend.Server) }}
		config.SendsOrders, config.ReadBack, config.Order = true, o.readBack, o.send
	}
	c.peering = peering.New(now, config)
}

// newBackend returns the backend server's client and its initial number of slots.
func (p *process) newBackend() (backend, int) {
	client := source.NewClient(p.options.Network)
	b := p.options.Settings.Backend
	probe := p.crashProbe()
	if b.Kind == "service" {
		return serviceBackend{service: service.New(b.URL, client), probe: probe}, serviceSlots
	}
	p.engine = engine.New(b.URL, client)
	return engineBackend{engine: p.engine, probe: probe}, initialEngineSlots
}

func (p *process) crashProbe() crashProbe {
	return crashProbe{network: p.options.Network, address: p.options.Settings.Backend.Address()}
}

// hello is called by link tasks. It must not wait for the control task, which may
// be waiting for a link task, so the record's digest follows in a heartbeat.
func (p *process) hello() message.Hello {
	s := p.options.Settings
	return message.Hello{
		Version: message.ProtocolVersion, Role: message.RoleSidecar, Instance: s.Instance,
		Server: s.Backend.Server, Domain: s.Domain, Region: s.Region, Incarnation: p.incarnation,
	}
}

// accepts reports whether a sidecar takes frames of the kind from processes of
// the role.
func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat, message.KindMembers, message.KindRecordDigest, message.KindRecordPull, message.KindRecordPush:
		return true
	case message.KindOffer, message.KindWithdraw, message.KindCancel, message.KindCredit, message.KindAttach,
		message.KindBook, message.KindBookCommit, message.KindUsage:
		return role == message.RoleEntry
	case message.KindSeal, message.KindSealed, message.KindRelease, message.KindReleased, message.KindExpertMap:
		return role == message.RoleSidecar
	default:
		return false
	}
}

// deliver passes link events and received frames to the tasks that handle them.
func (p *process) deliver(ctx context.Context, e link.Event) {
	if e.Kind != link.Received || slices.ContainsFunc(e.Messages, peering.Handles) {
		p.control.mailbox.Send(ctx, linkEvent{event: e})
	}
	if e.Kind == link.Down {
		p.streams.mailbox.Send(ctx, linkDown{link: e.Link})
	}
	now := time.Now()
	p.deliverGroup(ctx, e)
	if p.bookings != nil {
		p.deliverBookings(ctx, e)
	}
	for _, m := range e.Messages {
		switch m := m.(type) {
		case *message.Offer, *message.Withdraw, *message.Cancel:
			p.queue.mailbox.Send(ctx, entryFrame{link: e.Link, message: m, at: now})
		case *message.Credit:
			p.streams.mailbox.Send(ctx, creditFrame{link: e.Link, credit: m})
		case *message.Attach:
			p.streams.mailbox.Send(ctx, attachFrame{link: e.Link, attach: m})
		}
	}
}

func (p *process) startTasks(links, ops net.Listener) error {
	if p.certificates != nil {
		p.certificates.ReloadFailed = func(err error) {
			p.options.Logger.Error().Err(err).Msg("reload of the TLS certificate failed; the previous one stays in use")
		}
		p.tasks.Go("certificates", p.certificates.Run)
	}
	p.tasks.Go("run queue", p.queue.run)
	p.tasks.Go("streams", p.streams.run)
	if p.bookings != nil {
		p.tasks.Go("bookings", p.bookings.run)
	}
	p.tasks.Go("link listener", func(ctx context.Context) error {
		return operations.ServeLinks(ctx, link.Listener(links, p.certificates), link.Accept(ctx, p.linkConfig))
	})
	p.tasks.Go("operations listener", func(ctx context.Context) error {
		router := operations.Handler(p.metrics.registry, p.readiness)
		operations.AddStatus(router, p.options.Settings.OperatorKeyHash, p.status)
		return operations.Serve(ctx, ops, router)
	})
	p.startGroup()
	p.startPlatformReaders()
	return nil
}

func (p *process) startPlatformReaders() {
	s := p.options.Settings
	client := source.NewClient(p.options.Network)
	seed := uint64(p.incarnation)
	list := &source.ListPoller{URL: s.InstanceList, Client: client, Random: rand.New(rand.NewPCG(seed, 2)),
		Deliver: func(ctx context.Context, l source.List) { p.control.mailbox.Send(ctx, instanceListRead{list: l}) }}
	p.tasks.Go("instance list", list.Run)
	p.tasks.Go("configuration reads", p.configReader.Run)
	if p.engine == nil {
		return
	}
	poll := &loadPoll{engine: p.engine, deliver: func(ctx context.Context, l engine.Load, err error) {
		p.control.mailbox.Send(ctx, engineLoad{load: l, err: err})
	}}
	p.tasks.Go("engine load", poll.run)
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
		Group: p.tasks, Kill: p.options.Kill, Control: p.control.run, Linger: flushTime,
		Stop: func() { p.control.mailbox.Send(p.tasks.Context(), stopProcess{}) },
		Drained: func() {
			p.streams.mailbox.Send(p.tasks.Context(), failLiveStreams{reason: outcome.ReasonDraining})
		},
	}.Wait(ctx)
}
