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

// mailboxCapacity is the number of messages that may wait for the installation's task.
const mailboxCapacity = 1024

// keyValidityMargin is how long after the first publish the demo record's time lies before
// which no idempotency key was used. The processes start before that time and therefore
// accept opaque keys at once. The record is right for callers that wait until the
// installation is ready, which is not reported earlier.
const keyValidityMargin = time.Second

// ErrStopped means that the installation's task has ended.
var ErrStopped = errors.New("the installation has stopped")

// Cluster is an installation: the task that owns its processes and its active faults.
type Cluster struct {
	options Options
	layout  layout
	mailbox *task.Mailbox[request]
	admin   net.Listener
	ready   chan struct{}
	// listeners belong to the admin interface, the configuration service, the instance list
	// and the weight store, in this order.
	listeners []net.Listener

	// lifetime is the context of the stand-ins and processes. It outlives the processes.
	lifetime     context.Context
	processTasks *task.Group
	events       *eventlog.Writer
	fabric       *faulty.Fabric
	store        *config.Store
	instanceList *instances.List
	weights      *weights.Store
	ledger       *service.ExecutionCounter
	// groups are the expert-parallel groups, and members their ranks by backend server.
	groups  []*group.Group
	members map[ident.ServerID]member

	processes []*process
	byName    map[string]*process
	// faults holds the active faults by Fault.key.
	faults map[string]*activeFault
	// revision is that of the last record published.
	revision       uint64
	keysValidFrom  time.Time
	readyAnnounced bool
}

// New chooses the addresses of an installation and opens the listeners of its stand-ins.
// If an address is in use, the error names it. The installation works once Run is called.
func New(o Options) (*Cluster, error) {
	if err := o.Validate(); err != nil {
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
		fabric:  faulty.NewFabric(o.DomainDelay),
		store:   config.New(config.Options{}),
		weights: weights.New(weights.Config{BytesPerSecond: demoWeightRate, Burst: demoWeightRate}),
		ledger:  service.NewExecutionCounter(),
		byName:  make(map[string]*process),
		faults:  make(map[string]*activeFault),
	}
	if o.Events != nil {
		c.events = eventlog.NewWriter(o.Events)
	}
	c.addGroups()
	c.addProcesses()
	c.instanceList = instances.New(o.InstanceLag, c.instanceEntries())
	return c, c.openListeners()
}

func (c *Cluster) openListeners() error {
	for _, address := range []string{c.options.Admin, c.layout.config, c.layout.instances, c.layout.weights} {
		listener, err := network.System{}.Listen(context.Background(), address)
		if err != nil {
			c.closeListeners()
			return errors.Wrapf(err, "listen on %s for a stand-in", address)
		}
		c.listeners = append(c.listeners, listener)
	}
	c.admin = c.listeners[0]
	return nil
}

func (c *Cluster) closeListeners() {
	for _, l := range c.listeners {
		// The server may have closed the listener already.
		_ = l.Close()
	}
}

func (c *Cluster) instanceEntries() []instances.Instance {
	var list []instances.Instance
	for _, p := range c.processes {
		list = append(list, p.instanceEntry(instances.Live))
	}
	return list
}

// Ready is closed when every process is ready and a record is in force.
func (c *Cluster) Ready() <-chan struct{} { return c.ready }

// EntryURLs returns the base URLs of the entries for callers.
func (c *Cluster) EntryURLs() []string {
	urls := make([]string, len(c.layout.entries))
	for n, e := range c.layout.entries {
		urls[n] = "http://" + e.listen
	}
	return urls
}

// AdminURL returns the base URL of the admin listener.
func (c *Cluster) AdminURL() string { return "http://" + c.admin.Addr().String() }

// Run runs the installation until the context ends. It then stops the entries, the
// sidecars, the backend servers and the platform's stand-ins, in this order. It returns an
// error if a process fails before the installation is ready.
func (c *Cluster) Run(ctx context.Context) error {
	lifetime, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer c.closeListeners()
	c.lifetime = lifetime
	defer c.mailbox.Close()
	standins := c.startStandins(lifetime)
	c.processTasks = task.NewGroup(lifetime)
	c.keysValidFrom = time.Now().Add(keyValidityMargin)
	err := c.publishFirst()
	if err == nil {
		c.startProcesses()
		err = c.serve(ctx)
		c.stopProcesses()
	}
	return firstError(err, c.processTasks.Stop(c.options.Grace), standins.Stop(0))
}

func (c *Cluster) startProcesses() {
	machine := chart.MustBind(charts.Must("standin-process"), chart.Binding[*process]{
		Actions: map[string]func(*process){
			"launch": (*process).start, "kill": (*process).terminate, "drain": (*process).drain,
		},
		Observe: func(p *process, t chart.Transition) { p.logTransition(t) },
	})
	for _, p := range c.processes {
		p.lifecycle = machine.New(time.Now(), p)
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
	g.Go("instance list", c.instanceList.Run)
	g.Go("weight store", c.weights.Run)
	g.Go("ledger", c.ledger.Run)
	c.startGroups(g)
	if c.events != nil {
		g.Go("events", c.events.Run)
	}
	handlers := []func(ctx context.Context) error{
		func(ctx context.Context) error { return standin.Serve(ctx, c.listeners[0], c.adminHandler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listeners[1], c.store.Handler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listeners[2], c.instanceList.Handler()) },
		func(ctx context.Context) error { return standin.Serve(ctx, c.listeners[3], c.weights.Handler()) },
	}
	for _, serve := range handlers {
		g.Go("HTTP", serve)
	}
	return g
}

// serve handles messages and ends expired faults until the context ends or a process fails
// before the installation is ready.
func (c *Cluster) serve(ctx context.Context) error {
	timer := time.NewTimer(keyValidityMargin)
	defer timer.Stop()
	for {
		select {
		case r := <-c.mailbox.Receive():
			if err := r.serve(c, time.Now()); err != nil && !c.readyAnnounced {
				return err
			}
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		c.announceReady(now)
		timer.Reset(c.expireFaults(now))
	}
}

// announceReady closes the ready channel once all processes run and keysValidFrom has
// passed.
func (c *Cluster) announceReady(now time.Time) {
	if c.readyAnnounced || now.Before(c.keysValidFrom) {
		return
	}
	for _, p := range c.processes {
		if !p.lifecycle.In("running") {
			return
		}
	}
	c.readyAnnounced = true
	close(c.ready)
}

// stopProcesses stops the processes by kind. No process depends on one of a kind that is
// stopped earlier.
func (c *Cluster) stopProcesses() {
	for _, k := range []kind{kindEntry, kindSidecar, kindEngine, kindService} {
		for _, p := range c.processes {
			if p.kind == k {
				p.lifecycle.Fire(time.Now(), "stop")
			}
		}
		for !c.allStopped(k) {
			// An error means that a process failed, and it is to stop anyway.
			_ = (<-c.mailbox.Receive()).serve(c, time.Now())
		}
	}
}

// allStopped reports whether all processes of a kind have stopped.
func (c *Cluster) allStopped(k kind) bool {
	for _, p := range c.processes {
		if p.kind == k && !p.lifecycle.Done() {
			return false
		}
	}
	return true
}

func (c *Cluster) logger(name string) zerolog.Logger {
	return c.options.Logger.With().Str("process", name).Logger()
}
