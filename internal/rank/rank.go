// Package rank runs the process beside one rank of an expert-parallel group
// whose engine forms the group itself. Its tasks are the agent, which owns the
// decisions (agent.go), the reader of the engine, the orders to the engine, the
// reader of the platform's store and the links to the processes beside the
// other ranks.
package rank

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
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
	// tickInterval is the resolution of the timers of a map change.
	tickInterval = 20 * time.Millisecond
	// quietRead and busyRead are the intervals of reading the engine without and
	// during a change.
	quietRead = 200 * time.Millisecond
	busyRead  = 20 * time.Millisecond
	// loadInterval is the interval of reading what the requests chose.
	loadInterval = 80 * time.Millisecond
	// engineLimit bounds one call to the engine on the same machine.
	engineLimit = 250 * time.Millisecond
	// peerInterval is the interval of reading the list of backend servers.
	peerInterval = 4 * time.Second
	// peerRetry is the same after the store gave no list. A leader that knows no
	// addresses cannot change the map.
	peerRetry  = time.Second
	storeLimit = time.Second
)

// Options are what the process needs of its surroundings.
type Options struct {
	Settings *settings.Hosted
	Logger   zerolog.Logger
	Events   *eventlog.Log
	Network  network.Network
}

// process is everything that runs beside one rank.
type process struct {
	options Options
	group   *task.Group
	agent   *agent
	engine  *platform.Engine
	store   *platform.Store
	links   link.Config
	metrics *metrics
	start   ident.Incarnation
}

// Run runs the process until the context ends.
func Run(ctx context.Context, o Options) error {
	links, err := operations.Listen(ctx, o.Network, o.Settings.LinkListen)
	if err != nil {
		return err
	}
	defer links.Close()
	scrape, err := operations.Listen(ctx, o.Network, o.Settings.Metrics)
	if err != nil {
		return err
	}
	defer scrape.Close()
	p, err := assemble(ctx, o)
	if err != nil {
		return err
	}
	p.serve(links, scrape)
	return lifecycle.Process{
		Group: p.group, Control: p.agent.run,
		Stop: func() { p.agent.mailbox.Send(p.group.Context(), stopProcess{}) },
	}.Wait(ctx)
}

func assemble(ctx context.Context, o Options) (*process, error) {
	now := time.Now()
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	client := upstream.NewHTTPClient()
	p := &process{
		options: o, metrics: newMetrics(), start: ident.NewIncarnation(now),
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
		mailbox: task.NewMailbox[agentMessage](agentCapacity, task.Block),
		rank:    mapswitch.NewRank(now), leader: mapswitch.NewLeader(now, p.start), address: o.Settings.LinkListen,
		entries: make(map[*link.Link]struct{}), seeds: o.Settings.Seeds,
		links: make(map[*link.Link]*rankLink), byRank: make(map[ident.Rank]*link.Link),
		dialers: make(map[string]context.CancelFunc), logger: o.Logger, events: o.Events, metrics: p.metrics,
		leading: task.NewMailbox[bool](1, task.DropOldest),
		dial:    p.dial, write: (*link.Link).Send, order: p.order, assist: p.assist, server: o.Settings.Server,
	}
	return p, nil
}

func (p *process) hello() message.Hello {
	s := p.options.Settings
	return message.Hello{
		Version: message.ProtocolVersion, Role: message.RoleSidecar, Instance: s.Instance,
		Domain: s.Domain, Region: s.Region, Incarnation: p.start,
	}
}

func accepts(role message.Role, kind message.Kind) bool {
	switch kind {
	case message.KindHeartbeat:
		return true
	case message.KindMapSwitch:
		return role == message.RoleSidecar
	default:
		return false
	}
}

func (p *process) serve(links, scrape net.Listener) {
	p.group.Go("link listener", func(ctx context.Context) error {
		return operations.Serve(ctx, links, link.Accept(ctx, p.links))
	})
	p.group.Go("metrics listener", func(ctx context.Context) error {
		return operations.Serve(ctx, scrape, operations.Handler(p.metrics.registry, p.readiness))
	})
	p.group.Go("engine reader", p.readEngine)
	p.group.Go("engine load reader", p.readLoad)
	p.group.Go("store reader", p.readStore)
}

func (p *process) readiness(context.Context) operations.Readiness {
	return operations.Readiness{Ready: true, Text: "running"}
}

func (p *process) dial(ctx context.Context, address string) {
	dialer := &link.Dialer{
		Config: p.links, Address: address, Network: p.options.Network,
		Random: rand.New(rand.NewPCG(uint64(p.start), rand.Uint64())),
	}
	p.group.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
}

// order carries out one order and reports its end.
func (p *process) order(i mapswitch.SendOrder) {
	p.group.Go("engine order", func(ctx context.Context) error {
		p.agent.mailbox.Send(ctx, orderEnded{order: i.Order, result: p.instruct(ctx, p.engineAt(i.Server), i.Order)})
		return nil
	})
}

// assist carries out one order of the leader at the engine of a rank.
func (p *process) assist(a mapswitch.SendLeaderOrder) {
	p.group.Go("engine order", func(ctx context.Context) error {
		p.agent.mailbox.Send(ctx, assistEnded{rank: a.Rank, order: a.Order, result: p.instruct(ctx, p.engineAt(a.Server), a.Order)})
		return nil
	})
}

// engineAt returns the engine at the host and port, or the one beside this process.
func (p *process) engineAt(address string) *platform.Engine {
	if address == "" {
		return p.engine
	}
	return &platform.Engine{Address: address, Client: p.engine.Client}
}

func (p *process) instruct(ctx context.Context, engine *platform.Engine, o mapswitch.Order) mapswitch.Result {
	limited, cancel := context.WithTimeout(ctx, engineLimit)
	defer cancel()
	result, err := engine.Order(limited, o)
	if err != nil {
		p.options.Logger.Warn().Err(err).Str("order", string(o.Kind)).Uint64("version", uint64(o.Version)).Uint64("step", o.Step).Msg("engine order")
	}
	p.metrics.order(o.Kind, result)
	return result
}

// readEngine reads the engine's state, more often while a change is under way.
func (p *process) readEngine(ctx context.Context) error {
	reached := true
	for {
		limited, cancel := context.WithTimeout(ctx, engineLimit)
		state, grouped, err := p.engine.State(limited)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if (err == nil) != reached {
			reached = err == nil
			p.options.Logger.Info().AnErr("cause", err).Bool("reached", reached).Msg("engine")
		}
		if err == nil && grouped {
			p.agent.mailbox.Send(ctx, engineRead{state: state})
		}
		busy, _ := task.Ask(ctx, p.agent.mailbox, func(reply chan<- bool) agentMessage { return askBusy{reply: reply} })
		pause := quietRead
		if busy {
			pause = busyRead
		}
		if !task.Sleep(ctx, pause) {
			return nil
		}
	}
}

// readLoad reads what the engine's requests chose and what the engine holds.
func (p *process) readLoad(ctx context.Context) error {
	var last loadRead
	for {
		limited, cancel := context.WithTimeout(ctx, engineLimit)
		m, err := p.load(limited, last)
		cancel()
		if err == nil {
			last = m
		}
		if err == nil {
			p.agent.mailbox.Send(ctx, m)
		} else if ctx.Err() == nil {
			last = loadRead{}
			p.options.Logger.Debug().Err(err).Msg("engine load")
		}
		if !task.Sleep(ctx, loadInterval) {
			return nil
		}
	}
}

// load reads the counts, and the experts if the engine has another map than at the
// last reading.
func (p *process) load(ctx context.Context, last loadRead) (loadRead, error) {
	state, grouped, err := p.engine.State(ctx)
	if err != nil || !grouped {
		return loadRead{}, errors.WithMessage(err, "engine state")
	}
	m := loadRead{epoch: state.Epoch, version: state.Map, experts: last.experts}
	if m.counts, err = p.engine.Counts(ctx); err != nil {
		return loadRead{}, err
	}
	if last.experts == nil || last.epoch != m.epoch || last.version != m.version {
		m.experts, err = p.engine.Experts(ctx)
	}
	return m, err
}

// readStore reads the addresses of the other ranks and the model of the engines
// while this process leads. Calls to the store are priced, and the others need
// neither.
func (p *process) readStore(ctx context.Context) error {
	known, leads := false, false
	for {
		// A process that does not lead waits until it does.
		var due <-chan time.Time
		if leads {
			known = known || p.readModel(ctx)
			pause := peerInterval
			if !p.readPeers(ctx) {
				pause = peerRetry
			}
			due = time.After(pause/2 + time.Duration(rand.Int64N(int64(pause))))
		}
		select {
		case leads = <-p.agent.leading.Receive():
		case <-due:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *process) readModel(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	item, found, err := p.store.Get(limited, platform.ConfigurationKey)
	if err != nil || !found {
		p.options.Logger.Warn().AnErr("cause", err).Msg("the store did not give the routes")
		return false
	}
	routes, err := platform.DecodeRoutes(item.Value)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("the published routes are refused")
		return false
	}
	service := routes.Services()[p.options.Settings.Service]
	if service.Engine == nil || service.Engine.Layers == 0 {
		return false
	}
	p.agent.mailbox.Send(ctx, modelRead{model: service.Engine})
	return true
}

// readPeers reports whether the store gave the list.
func (p *process) readPeers(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	_, port, err := net.SplitHostPort(p.options.Settings.LinkListen)
	if err != nil {
		p.options.Logger.Error().Err(err).Msg("own address")
		return false
	}
	var addresses []string
	after := ""
	for {
		page, err := p.store.Range(limited, platform.ServersPrefix, after, true)
		if err != nil {
			p.options.Logger.Warn().Err(err).Msg("the store did not give the backend servers; the known ranks stay")
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
