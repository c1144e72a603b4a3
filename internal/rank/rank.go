// Package rank runs the agent of one rank: the process beside a rank of an
// expert-parallel group whose engines form the group themselves. Its tasks are the
// control task (agent.go), which makes all decisions, readers of the engine and of
// the platform's store, one task per order to an engine, and the links to the agents
// of the other ranks.
package rank

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/shutdown"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// tickInterval is the interval at which the timers of a map change are checked.
	tickInterval = 20 * time.Millisecond
	// idleReadInterval is the interval of reading the engine's state while no map change
	// is in progress.
	idleReadInterval = 200 * time.Millisecond
	// changeReadInterval is the interval of reading the engine's state during a map
	// change.
	changeReadInterval = 20 * time.Millisecond
	// expertsReadInterval is the interval of reading the engine's expert counts.
	expertsReadInterval = 80 * time.Millisecond
	// engineTimeout bounds one reading of this machine's engine, or one order to an engine.
	engineTimeout = 250 * time.Millisecond
	// peersReadInterval is the mean interval of reading the list of backend servers.
	peersReadInterval = 4 * time.Second
	// peersRetryInterval is the mean interval of retries after a failed read of the list
	// of backend servers. A leader that knows no addresses cannot change the map.
	peersRetryInterval = time.Second
	// storeTimeout bounds the calls to the store for one read.
	storeTimeout = time.Second
)

// Options are the settings and dependencies of the process.
type Options struct {
	Settings *settings.Hosted
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
}

// process holds the tasks of the agent process of one rank and what they share.
type process struct {
	options     Options
	group       *task.Group
	agent       *agent
	engine      *platform.Engine
	store       *platform.Store
	links       link.Config
	metrics     *metrics
	incarnation ident.Incarnation
}

// Run runs the process until the context ends.
func Run(ctx context.Context, o Options) error {
	links, err := operations.Listen(ctx, o.Network, o.Settings.LinkListen)
	if err != nil {
		return err
	}
	defer links.Close()
	metricsListener, err := operations.Listen(ctx, o.Network, o.Settings.Metrics)
	if err != nil {
		return err
	}
	defer metricsListener.Close()
	p, err := newProcess(ctx, o)
	if err != nil {
		return err
	}
	p.serve(links, metricsListener)
	return shutdown.Process{
		Group: p.group, Control: p.agent.run,
		Stop: func() { p.agent.mailbox.Send(p.group.Context(), stopProcess{}) },
	}.Wait(ctx)
}

func newProcess(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	client := upstream.NewHTTPClient()
	p := &process{
		options: o, metrics: newMetrics(), incarnation: ident.NewIncarnation(now),
		group:  task.NewGroup(context.WithoutCancel(ctx)),
		engine: &platform.Engine{Address: o.Settings.Server, Client: client},
		store:  &platform.Store{Address: o.Settings.Store, Client: client},
	}
	p.links = link.Config{
		Codec: c, Clock: o.Events.Clock(), Hello: p.hello, Accepts: accepts,
		Deliver: func(ctx context.Context, e link.Event) { p.agent.mailbox.Send(ctx, linkEvent{event: e}) },
		Closed:  func(reason string) { p.metrics.links.WithLabelValues(reason).Inc() },
	}
	p.agent = &agent{
		mailbox: task.NewMailbox[agentMessage](agentMailboxCapacity, task.Block),
		rank:    mapchange.NewRank(now), leader: mapchange.NewLeader(now, p.incarnation), address: o.Settings.LinkListen,
		entryLinks: make(map[*link.Link]struct{}), entryAddresses: o.Settings.Seeds,
		links: make(map[*link.Link]*rankLink), linkByRank: make(map[ident.Rank]*link.Link),
		dialers: make(map[string]context.CancelFunc), logger: o.Logger, events: o.Events, metrics: p.metrics,
		leadership: task.NewMailbox[bool](1, task.DropOldest),
		dial:       p.dial, write: (*link.Link).Send, sendOrder: p.startOrder, sendLeaderOrder: p.startLeaderOrder, engineAddress: o.Settings.Server,
	}
	return p, nil
}

func (p *process) hello() message.Hello {
	s := p.options.Settings
	return message.Hello{
		Version: message.ProtocolVersion, Role: message.RoleSidecar, Instance: s.Instance,
		Domain: s.Domain, Region: s.Region, Incarnation: p.incarnation,
	}
}

// accepts reports whether a peer of the role may send the kind of message.
func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat:
		return true
	case message.KindMapChange:
		return role == message.RoleSidecar
	default:
		return false
	}
}

func (p *process) serve(links, metricsListener net.Listener) {
	p.group.Go("link listener", func(ctx context.Context) error {
		return operations.ServeLinks(ctx, links, link.Accept(ctx, p.links))
	})
	p.group.Go("metrics listener", func(ctx context.Context) error {
		return operations.Serve(ctx, metricsListener, operations.Handler(p.metrics.registry, p.ready))
	})
	p.group.Go("engine reader", p.readEngine)
	p.group.Go("engine load reader", p.readExperts)
	p.group.Go("store reader", p.readStore)
}

func (p *process) ready(context.Context) operations.Readiness {
	return operations.Readiness{Ready: true, Text: "running"}
}

func (p *process) dial(ctx context.Context, address string) {
	dialer := &link.Dialer{
		Config: p.links, Address: address, Network: p.options.Network,
		Random: rand.New(rand.NewPCG(uint64(p.incarnation), rand.Uint64())),
	}
	p.group.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
}

// startOrder starts a task that sends one order and reports the result to the agent.
func (p *process) startOrder(o mapchange.SendOrder) {
	p.group.Go("engine order", func(ctx context.Context) error {
		p.agent.mailbox.Send(ctx, orderEnded{order: o.Order, result: p.sendOrder(ctx, p.engineClient(o.Server), o.Order)})
		return nil
	})
}

// startLeaderOrder starts a task that sends one order of the leader to the engine of a
// rank and reports the result to the agent.
func (p *process) startLeaderOrder(o mapchange.SendLeaderOrder) {
	p.group.Go("engine order", func(ctx context.Context) error {
		p.agent.mailbox.Send(ctx, leaderOrderEnded{rank: o.Rank, order: o.Order, result: p.sendOrder(ctx, p.engineClient(o.Server), o.Order)})
		return nil
	})
}

// engineClient returns a client of the engine at the host and port, or of this rank's
// engine if the address is empty.
func (p *process) engineClient(address string) *platform.Engine {
	if address == "" {
		return p.engine
	}
	return &platform.Engine{Address: address, Client: p.engine.Client}
}

func (p *process) sendOrder(ctx context.Context, engine *platform.Engine, o mapchange.Order) mapchange.Result {
	limited, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	result, err := engine.Order(limited, o)
	if err != nil {
		p.options.Logger.Warn().Err(err).Str("order", string(o.Kind)).Uint64("version", uint64(o.Version)).Uint64("step", o.Step).Msg("order to the engine failed")
	}
	p.metrics.countOrder(o.Kind, result)
	return result
}

// readEngine polls the engine's state, more often while a map change is in progress.
func (p *process) readEngine(ctx context.Context) error {
	reached := true
	for {
		limited, cancel := context.WithTimeout(ctx, engineTimeout)
		state, grouped, err := p.engine.State(limited)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reached {
			reached = err == nil
			p.options.Logger.Info().AnErr("cause", err).Bool("reached", reached).Msg("engine reachability changed")
		}
		if err == nil && grouped {
			p.agent.mailbox.Send(ctx, engineRead{state: state})
		}
		busy, _ := task.Ask(ctx, p.agent.mailbox, func(reply chan<- bool) agentMessage { return busyQuery{reply: reply} })
		pause := idleReadInterval
		if busy {
			pause = changeReadInterval
		}
		if !task.Sleep(ctx, pause) {
			return nil
		}
	}
}

// readExperts polls the engine for the experts that it holds and for how often its
// requests chose each expert.
func (p *process) readExperts(ctx context.Context) error {
	var last expertsRead
	for {
		limited, cancel := context.WithTimeout(ctx, engineTimeout)
		m, err := p.readExpertsOnce(limited, last)
		cancel()
		if err == nil {
			last = m
		}
		if err == nil {
			p.agent.mailbox.Send(ctx, m)
		} else if ctx.Err() == nil {
			last = expertsRead{}
			p.options.Logger.Debug().Err(err).Msg("could not read the engine's experts and expert counts")
		}
		if !task.Sleep(ctx, expertsReadInterval) {
			return nil
		}
	}
}

// readExpertsOnce reads the expert counts, and the experts if the engine's map differs
// from the one of the last reading.
func (p *process) readExpertsOnce(ctx context.Context, last expertsRead) (expertsRead, error) {
	state, grouped, err := p.engine.State(ctx)
	if err != nil || !grouped {
		return expertsRead{}, errors.WithMessage(err, "read engine state")
	}
	m := expertsRead{epoch: state.Epoch, version: state.Map, experts: last.experts}
	if m.counts, err = p.engine.Counts(ctx); err != nil {
		return expertsRead{}, err
	}
	if last.experts == nil || last.epoch != m.epoch || last.version != m.version {
		m.experts, err = p.engine.Experts(ctx)
	}
	return m, err
}

// readStore polls the store for the addresses of the other agents and the engines'
// model while this process leads. The other agents need neither, and each call to
// the store has a cost.
func (p *process) readStore(ctx context.Context) error {
	modelKnown, leads := false, false
	for {
		// While the process does not lead, due is nil and the loop waits for leadership.
		var due <-chan time.Time
		if leads {
			modelKnown = modelKnown || p.readModel(ctx)
			pause := peersReadInterval
			if !p.readPeers(ctx) {
				pause = peersRetryInterval
			}
			due = time.After(pause/2 + time.Duration(rand.Int64N(int64(pause))))
		}
		select {
		case leads = <-p.agent.leadership.Receive():
		case <-due:
		case <-ctx.Done():
			return nil
		}
	}
}

// readModel reads the profile of the engines' model from the published routes and
// reports whether they contain one.
func (p *process) readModel(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, found, err := p.store.Get(limited, platform.ConfigurationKey)
	if err != nil || !found {
		p.options.Logger.Warn().AnErr("cause", err).Msg("could not read the routes from the store")
		return false
	}
	routes, err := platform.DecodeRoutes(item.Value)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("invalid routes document ignored")
		return false
	}
	service := routes.Services()[p.options.Settings.Service]
	if service.Engine == nil || service.Engine.Layers == 0 {
		return false
	}
	p.agent.mailbox.Send(ctx, modelRead{model: service.Engine})
	return true
}

// readPeers reads the addresses of the other agents from the list of backend servers
// and reports whether it succeeded.
func (p *process) readPeers(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, port, err := net.SplitHostPort(p.options.Settings.LinkListen)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("the link listen address is not a host and port")
		return false
	}
	var addresses []string
	after := ""
	for {
		page, err := p.store.Range(limited, platform.ServersPrefix, after, true)
		if err != nil {
			p.options.Logger.Warn().Err(err).Msg("could not read the backend servers from the store; keeping the known addresses")
			return false
		}
		for _, i := range page.Items {
			s, err := platform.DecodeServer(i.Key, i.Value)
			if err != nil || s.Service != p.options.Settings.Service {
				continue
			}
			if host, _, err := net.SplitHostPort(s.Address); err == nil {
				addresses = append(addresses, net.JoinHostPort(host, port))
			}
		}
		if !page.HasMore || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	p.agent.mailbox.Send(ctx, peersRead{addresses: addresses})
	return true
}
