package dev

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/config"
	"github.com/anvilpoint/anvilpoint/internal/standin/faulty"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
	"github.com/anvilpoint/anvilpoint/internal/standin/weights"
	"github.com/anvilpoint/anvilpoint/task"
)

const mailboxCapacity = 1024

// keysMargin is the time between the first publish and the time that the demo
// record states for unused idempotency keys. The processes start in between, so
// they accept opaque keys at once. The statement is true for a caller that waits
// until the installation is ready.
const keysMargin = time.Second

// ErrStopped means that the installation's task has ended.
var ErrStopped = errors.New("the installation has stopped")

// Cluster is the task that owns the processes and the faults of an installation.
type Cluster struct {
	options Options
	layout  layout
	mailbox *task.Mailbox[request]
	admin   net.Listener
	ready   chan struct{}
	// listening are the listeners of the platform's stand-ins.
	listening []net.Listener

	// lifetime ends when the stand-ins may end, after the processes.
	lifetime  context.Context
	processes *task.Group
	events    *eventlog.Writer
	fabric    *faulty.Fabric
	store     *config.Store
	list      *instances.List
	weights   *weights.Store
	ledger    *service.Ledger
	// groups are the expert-parallel groups, and members their ranks by server.
	groups  []*group.Group
	members map[ident.ServerID]member

	all       []*process
	byName    map[string]*process
	faults    map[string]*activeFault
	revision  uint64
	keysValid time.Time
	announced bool
}

// New finds the addresses of an installation and binds those of its stand-ins.
// The error says which address is in use. Run must follow.
func New(o Options) (*Cluster, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	l, err := newLayout(o)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		options: o, layout: l,
		mailbox: task.NewMailbox[request](mailboxCapacity, task.Block),
		ready:   make(chan struct{}),
		fabric:  faulty.NewFabric(o.Delay),
		store:   config.New(config.Options{}),
		weights: weights.New(weights.Config{BytesPerSecond: demoWeightRate, Burst: demoWeightRate}),
		ledger:  service.NewLedger(),
		byName:  make(map[string]*process),
		faults:  make(map[string]*activeFault),
	}
	if o.Events != nil {
		c.events = eventlog.NewWriter(o.Events)
	}
	c.addGroups()
	c.addProcesses()
	c.list = instances.New(o.InstanceLag, c.listed())
	return c, c.bind()
}

// bind opens the listeners of the stand-ins.
func (c *Cluster) bind() error {
	for _, address := range []string{c.options.Admin, c.layout.config, c.layout.instances, c.layout.weights} {
		listener, err := network.System{}.Listen(context.Background(), address)
		if err != nil {
			c.unbind()
			return errors.Wrap(err, "the port is not free")
		}
		c.listening = append(c.listening, listener)
	}
	c.admin = c.listening[0]
	return nil
}

func (c *Cluster) unbind() {
	for _, l := range c.listening {
		// A listener that is closed twice only reports that.
		_ = l.Close()
	}
}

func (c *Cluster) listed() []instances.Instance {
	var list []instances.Instance
	for _, p := range c.all {
		list = append(list, p.listed(instances.Live))
	}
	return list
}

// Ready is closed when every process is ready and a record is in force.
func (c *Cluster) Ready() <-chan struct{} { return c.ready }

// Entries returns the base URLs of the entries for callers.
func (c *Cluster) Entries() []string {
	urls := make([]string, len(c.layout.entries))
	for n, e := range c.layout.entries {
		urls[n] = "http://" + e.listen
	}
	return urls
}

// Admin returns the base URL of the admin listener.
func (c *Cluster) Admin() string { return "http://" + c.admin.Addr().String() }

// Run runs the installation until the context ends and then stops it in order:
// entries, sidecars, backend servers, platform. It returns an error if a process
// fails before everything is ready.
func (c *Cluster) Run(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.unbind()
	c.lifetime = lifetime
	defer c.mailbox.Close()
	standins := c.startStandins(lifetime)
	c.processes = task.NewGroup(lifetime)
	c.keysValid = time.Now().Add(keysMargin)
	err := c.publishFirst()
	if err == nil {
		c.launchAll()
		err = c.serve(ctx)
		c.stopAll()
	}
	return firstError(err, c.processes.Stop(c.options.Grace), standins.Stop(0))
}

func (c *Cluster) launchAll() {
	machine := chart.MustBind(charts.Must("standin-process"), chart.Binding[*process]{
		Actions: map[string]func(*process){
			"launch": (*process).launch, "kill": (*process).terminate, "drain": (*process).drain,
		},
		Observe: func(p *process, t chart.Transition) { p.observe(t) },
	})
	for _, p := range c.all {
		p.life = machine.New(time.Now(), p)
	}
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startStandins(ctx context.Context) *task.Group {
	g := task.NewGroup(ctx)
	g.Go("fabric", c.fabric.Run)
	g.Go("configuration service", c.store.Run)
	g.Go("instance list", c.list.Run)
	g.Go("weight store", c.weights.Run)
	g.Go("ledger", c.ledger.Run)
	c.startGroups(g)
	if c.events != nil {
		g.Go("events", c.events.Run)
	}
	handlers := []func(ctx context.Context) error{
		func(ctx context.Context) error { return standin.Serve(ctx, c.listening[0], c.adminHandler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listening[1], c.store.Handler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listening[2], c.list.Handler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listening[3], c.weights.Handler()) },
	}
	for _, serve := range handlers {
		g.Go("HTTP", serve)
	}
	return g
}

// serve handles messages and the ends of faults until the context ends or a
// process fails before everything is ready.
func (c *Cluster) serve(ctx context.Context) error {
	timer := time.NewTimer(keysMargin)
	defer timer.Stop()
	for {
		select {
		case r := <-c.mailbox.Receive():
			if err := r.serve(c, time.Now()); err != nil && !c.announced {
				return err
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		c.announce(now)
		timer.Reset(c.endFaults(now))
	}
}

// announce tells once that everything is ready.
func (c *Cluster) announce(now time.Time) {
	if c.announced || now.Before(c.keysValid) {
		return
	}
	for _, p := range c.all {
		if !p.life.In("running") {
			return
		}
	}
	c.announced = true
	close(c.ready)
}

// stopAll stops the processes, those first on which no other depends.
func (c *Cluster) stopAll() {
	for _, k := range []kind{kindEntry, kindSidecar, kindEngine, kindService} {
		for _, p := range c.all {
			if p.kind == k {
				p.life.Fire(time.Now(), "stop")
			}
		}
		for !c.stopped(k) {
			// The ends of processes come without an error that matters now.
			_ = (<-c.mailbox.Receive()).serve(c, time.Now())
		}
	}
}

func (c *Cluster) stopped(k kind) bool {
	for _, p := range c.all {
		if p.kind == k && !p.life.Done() {
			return false
		}
	}
	return true
}

func (c *Cluster) logger(name string) zerolog.Logger {
	return c.options.Logger.With().Str("process", name).Logger()
}
