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

// backendServer is one backend server of the installation.
type backendServer struct {
	id     ident.ServerID
	kind   kind
	domain ident.FailureDomain
	// number counts the backend servers of the same kind, from 0.
	number int
}

// backendServers returns the model replicas and then the replicas of the plain service.
func backendServers(o Options) []backendServer {
	var list []backendServer
	for n := range o.Replicas {
		list = append(list, backendServer{ident.ServerID(fmt.Sprintf("replica-%d", n)), kindEngine, o.Domains[n%len(o.Domains)], n})
	}
	for n := range o.Services {
		list = append(list, backendServer{ident.ServerID(fmt.Sprintf("service-%d", n)), kindService, o.Domains[n%len(o.Domains)], n})
	}
	return list
}

// backendControl is a running backend server that a fault can slow.
type backendControl interface {
	Slow(ctx context.Context, factor float64) error
}

// leaveControl is a running backend server that reports whether it is leaving.
type leaveControl interface {
	SetLeaving(ctx context.Context, leaving bool) error
}

// process is one process of the installation, with its restarts. The Cluster owns it.
type process struct {
	cluster *Cluster
	name    string
	kind    kind
	// instance stands for the machine. A backend server and its sidecar share it.
	instance ident.InstanceID
	domain   ident.FailureDomain
	// address is the main listener: that for callers of an entry, the link listener of a
	// sidecar, the HTTP listener of a backend server.
	address    string
	link       string
	operations string
	network    network.Network
	program    program

	lifecycle *chart.Lifecycle[*process]
	// runNumber is the number of the current run, which grows with every start.
	runNumber uint64
	// kill is closed to kill the current run, and cancel stops it in an orderly way.
	kill   chan struct{}
	cancel context.CancelFunc
	// control is nil until the backend server runs, and for entries and sidecars.
	control backendControl
}

// runParams are the parameters of one run of a process.
type runParams struct {
	number      uint64
	incarnation ident.Incarnation
	kill        <-chan struct{}
	ready       func()
}

// errPanicked is the error of a run that ended in a panic, as after a broken invariant.
var errPanicked = errors.New("the process panicked")

// program runs a process until it is killed, its context ends or it fails.
type program func(ctx context.Context, params runParams) error

// instanceEntry returns the entry of the process in the instance list.
func (p *process) instanceEntry(state instances.State) instances.Instance {
	address := p.address
	if p.kind == kindEntry {
		address = p.link
	}
	return instances.Instance{Name: ident.InstanceID(p.name), Kind: string(p.kind), Domain: p.domain, Address: address, State: state}
}

// start starts a run. It is the entry action of the state starting.
func (p *process) start() {
	c := p.cluster
	p.runNumber++
	p.kill = make(chan struct{})
	p.control = nil
	ctx, cancel := context.WithCancel(c.lifetime)
	p.cancel = cancel
	params := runParams{number: p.runNumber, incarnation: ident.NewIncarnation(time.Now()), kill: p.kill}
	params.ready = func() { c.mailbox.Send(ctx, &runReady{process: p, run: params.number}) }
	run := p.program
	c.processTasks.Go(p.name, func(context.Context) error {
		defer cancel()
		end := &runEnded{process: p, run: params.number, err: errPanicked}
		// Deferred so that the end of a panicking run is reported too.
		defer c.mailbox.Send(c.lifetime, end)
		end.err = run(ctx, params)
		return nil
	})
}

// terminate ends the run at once, as SIGKILL does.
func (p *process) terminate() {
	close(p.kill)
	p.cluster.fabric.CloseSockets(p.cluster.lifetime, p.name)
}

// drain ends the run in an orderly way, as SIGTERM does.
func (p *process) drain() { p.cancel() }

// eventLog returns the event log of one run.
func (p *process) eventLog(params runParams) *eventlog.Log {
	clock := hlc.New(time.Now)
	if p.cluster.events == nil {
		return eventlog.Discard(clock)
	}
	return p.cluster.events.Log(p.name, params.incarnation, clock)
}
