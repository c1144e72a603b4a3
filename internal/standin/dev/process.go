package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
)

// kind is the kind of a process, as the instance list shows it.
type kind string

const (
	kindEntry   kind = "entry"
	kindSidecar kind = "sidecar"
	kindEngine  kind = "engine"
	kindService kind = "service"
)

// server is one backend server of the installation.
type server struct {
	id     ident.ServerID
	kind   kind
	domain ident.FailureDomain
	// number counts within the kind.
	number int
}

// servers lists the replicas and then the replicas of the service.
func servers(o Options) []server {
	var list []server
	for n := range o.Replicas {
		list = append(list, server{ident.ServerID(fmt.Sprintf("replica-%d", n)), kindEngine, o.Domains[n%len(o.Domains)], n})
	}
	for n := range o.Services {
		list = append(list, server{ident.ServerID(fmt.Sprintf("service-%d", n)), kindService, o.Domains[n%len(o.Domains)], n})
	}
	return list
}

// control is what faults do to a running backend server.
type control interface {
	Slow(ctx context.Context, factor float64) error
}

// leaver is a backend server that knows that it is leaving.
type leaver interface {
	Leave(ctx context.Context, leaving bool) error
}

// process is one process of the installation. The cluster's task owns it.
type process struct {
	cluster *Cluster
	name    string
	kind    kind
	// instance is the machine, which a backend server shares with its sidecar.
	instance ident.InstanceID
	domain   ident.FailureDomain
	// address is where others reach it: the callers' listener of an entry, the
	// link listener of a sidecar, the HTTP listener of a backend server.
	address    string
	link       string
	operations string
	network    network.Network
	program    program

	life    *chart.Lifecycle[*process]
	run     uint64
	kill    chan struct{}
	cancel  context.CancelFunc
	control control
}

// launched is what one run of a process gets.
type launched struct {
	run         uint64
	incarnation ident.Incarnation
	kill        <-chan struct{}
	ready       func()
}

// errPanicked is the end of a run that broke an invariant.
var errPanicked = errors.New("the process panicked")

// program runs a process until it is killed, its context ends or it fails.
type program func(ctx context.Context, l launched) error

// listed is the process as the instance list shows it.
func (p *process) listed(state instances.State) instances.Instance {
	address := p.address
	if p.kind == kindEntry {
		address = p.link
	}
	return instances.Instance{Name: ident.InstanceID(p.name), Kind: string(p.kind), Domain: p.domain, Address: address, State: state}
}

// launch starts a run. It is the chart's entry action of the state starting.
func (p *process) launch() {
	c := p.cluster
	p.run++
	p.kill = make(chan struct{})
	p.control = nil
	ctx, cancel := context.WithCancel(c.lifetime)
	p.cancel = cancel
	l := launched{run: p.run, incarnation: ident.NewIncarnation(time.Now()), kill: p.kill}
	l.ready = func() { c.mailbox.Send(ctx, &becameReady{process: p, run: l.run}) }
	run := p.program
	c.processes.Go(p.name, func(context.Context) error {
		defer cancel()
		end := &ended{process: p, run: l.run, err: errPanicked}
		// The task hears of the end of a panicking run too.
		defer c.mailbox.Send(c.lifetime, end)
		end.err = run(ctx, l)
		return nil
	})
}

// terminate ends the run as SIGKILL would.
func (p *process) terminate() {
	close(p.kill)
	p.cluster.fabric.Sever(p.cluster.lifetime, p.name)
}

// drain ends the run as SIGTERM would.
func (p *process) drain() { p.cancel() }

// log returns the handle for the events of one run.
func (p *process) log(l launched) *eventlog.Log {
	clock := hlc.New(time.Now)
	if p.cluster.events == nil {
		return eventlog.Discard(clock)
	}
	return p.cluster.events.Log(p.name, l.incarnation, clock)
}
