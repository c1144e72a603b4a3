package dev

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/jsonc"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
	"github.com/anvilpoint/anvilpoint/internal/standin/faulty"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
	"github.com/anvilpoint/anvilpoint/task"
)

// addProcesses adds every process of the installation.
func (c *Cluster) addProcesses() {
	for n, s := range backendServers(c.options) {
		a := c.layout.servers[n]
		backend := &process{name: string(s.id), kind: s.kind, instance: ident.InstanceID(s.id), domain: s.domain, address: a.backend}
		c.addProcess(backend)
		if s.kind == kindEngine {
			backend.program = c.engineProgram(backend, s)
		} else {
			backend.program = c.serviceProgram(backend, s)
		}
		sidecar := &process{
			name: "sidecar-" + string(s.id), kind: kindSidecar, instance: ident.InstanceID(s.id), domain: s.domain,
			address: a.link, link: a.link, operations: a.operations,
		}
		c.addProcess(sidecar)
		sidecar.program = c.productProgram(sidecar, c.options.Programs.Sidecar, c.sidecarSettings(sidecar, s, a))
	}
	for n, a := range c.layout.entries {
		entry := &process{
			name: fmt.Sprintf("entry-%d", n), kind: kindEntry, domain: c.options.Domains[n%len(c.options.Domains)],
			address: a.listen, link: a.link, operations: a.operations,
		}
		entry.instance = ident.InstanceID(entry.name)
		c.addProcess(entry)
		entry.program = c.productProgram(entry, c.options.Programs.Entry, c.entrySettings(entry, a))
	}
}

func (c *Cluster) addProcess(p *process) {
	p.cluster = c
	p.network = c.fabric.Network(faulty.Process{Name: p.name, Instance: p.instance, Domain: p.domain})
	c.processes = append(c.processes, p)
	c.byName[p.name] = p
}

// baseSettings returns the settings that entries and sidecars have in common.
func (c *Cluster) baseSettings(p *process) *settings.Settings {
	s := new(settings.Settings)
	jsonc.SetDefaults(reflect.ValueOf(s).Elem(), "")
	s.Instance, s.Domain = ident.InstanceID(p.name), p.domain
	s.LinkListen, s.Operations = p.link, p.operations
	s.ConfigService = "http://" + c.layout.config
	s.InstanceList = "http://" + c.layout.instances
	s.Grace = c.options.Grace
	s.TLS.PlainText = true
	s.OperatorKeyHash = OperatorKeyHash()
	return s
}

func (c *Cluster) entrySettings(p *process, a entryAddresses) *settings.Settings {
	s := c.baseSettings(p)
	s.Role, s.Listen = message.RoleEntry, a.listen
	return s
}

func (c *Cluster) sidecarSettings(p *process, backend backendServer, a serverAddresses) *settings.Settings {
	s := c.baseSettings(p)
	s.Role = message.RoleSidecar
	s.Backend = &settings.Backend{Server: backend.id, Kind: string(backend.kind), URL: "http://" + a.backend}
	return s
}

// productProgram returns the program of an entry or a sidecar.
func (c *Cluster) productProgram(p *process, run func(context.Context, ProcessOptions) error, s *settings.Settings) program {
	return func(ctx context.Context, params runParams) error {
		// Each run gets a copy of the settings.
		runSettings := *s
		return run(ctx, ProcessOptions{
			Settings: &runSettings, Logger: c.logger(p.name), Events: p.eventLog(params), Network: p.network, Ready: params.ready, Kill: params.kill,
		})
	}
}

func (c *Cluster) engineProgram(p *process, s backendServer) program {
	return func(ctx context.Context, params runParams) error {
		o := c.options.Engine
		o.Server, o.Network, o.Seed = s.id, p.network, uint64(s.number)
		o.Models = []engine.Model{{Name: DemoModel, Version: "v1"}}
		o.ChecksFencing = checksFencing(s.number)
		o.WeightStore = "http://" + c.layout.weights
		o.Group = c.groupHandler(s.id)
		e := engine.New(o)
		defer c.joinGroup(s.id)()
		return c.runBackend(ctx, params, p, e, func(g *task.Group) error {
			listener, err := p.network.Listen(ctx, p.address)
			if err != nil {
				return err
			}
			g.Go("engine", e.Run)
			g.Go("HTTP", func(ctx context.Context) error { return standin.Serve(ctx, listener, e.Handler()) })
			return nil
		})
	}
}

func (c *Cluster) serviceProgram(p *process, s backendServer) program {
	return func(ctx context.Context, params runParams) error {
		server := service.New(service.Config{Service: DemoService, Server: s.id, ServiceTime: c.options.ServiceTime, Counter: c.ledger})
		return c.runBackend(ctx, params, p, server, func(g *task.Group) error {
			listener, err := p.network.Listen(ctx, p.address)
			if err != nil {
				return err
			}
			g.Go("service", server.Run)
			g.Go("HTTP", func(ctx context.Context) error { return standin.Serve(ctx, listener, server.Handler()) })
			return nil
		})
	}
}

// runBackend runs the tasks of a backend server until it is killed or stopped or one of
// them ends.
func (c *Cluster) runBackend(ctx context.Context, params runParams, p *process, k backendControl, start func(*task.Group) error) error {
	g := task.NewGroup(ctx)
	if err := start(g); err != nil {
		return firstError(err, g.Stop(0))
	}
	c.mailbox.Send(ctx, &controlReady{process: p, run: params.number, control: k})
	params.ready()
	var failed error
	select {
	case <-ctx.Done():
	case <-params.kill:
	case end := <-g.Ends():
		failed = end.Err
	}
	return firstError(g.Stop(0), failed)
}

// logTransition logs a state change of the process.
func (p *process) logTransition(t chart.Transition) {
	p.cluster.options.Logger.Debug().Str("process", p.name).Str("from", t.From).Str("to", t.To).
		Time("at", time.Now()).Msg("process changed state")
}
