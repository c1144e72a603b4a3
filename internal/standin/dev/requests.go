package dev

import (
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
)

// request is a message to the cluster's task. An error ends the run as long as
// not everything is ready.
type request interface {
	serve(c *Cluster, now time.Time) error
}

type (
	// becameReady says that a run of a process is ready.
	becameReady struct {
		process *process
		run     uint64
	}
	// controllable hands over the control of a running backend server.
	controllable struct {
		process *process
		run     uint64
		control control
	}
	// ended says that a run of a process has ended.
	ended struct {
		process *process
		run     uint64
		err     error
	}
	// askInstances lists the processes as they are, without the list's lag.
	askInstances struct{ reply chan<- []Instance }
	// askEngines returns the running engines.
	askEngines struct{ reply chan<- []*engine.Engine }
	// inject starts or ends a fault.
	inject struct {
		fault Fault
		reply chan<- *refusal
	}
	// publish stores a record.
	publish struct {
		value []byte
		force bool
		reply chan<- published
	}
)

// Instance is a line of GET /instances.
type Instance struct {
	Name   string `json:"name"`
	Kind   string `json:"kind"`
	Domain string `json:"domain"`
	// State is live or leaving for a running process, otherwise starting,
	// restarting, crashing, crashed, failed, stopping or stopped.
	State   string `json:"state"`
	Address string `json:"address"`
	// Link and Operations are set for entries and sidecars.
	Link       string `json:"link,omitempty"`
	Operations string `json:"operations,omitempty"`
	// Starts counts the starts of the process.
	Starts uint64   `json:"starts"`
	Faults []string `json:"faults,omitempty"`
}

func (b *becameReady) serve(_ *Cluster, now time.Time) error {
	if b.run == b.process.run {
		b.process.life.Fire(now, "ready")
	}
	return nil
}

func (m *controllable) serve(c *Cluster, _ time.Time) error {
	if m.run == m.process.run {
		m.process.control = m.control
		c.reapply(m.process)
	}
	return nil
}

func (e *ended) serve(c *Cluster, now time.Time) error {
	p := e.process
	c.fabric.Sever(c.lifetime, p.name)
	byItself := p.life.In("up")
	p.life.Fire(now, "ended")
	if !byItself {
		return nil
	}
	err := e.err
	if err == nil {
		err = errors.New("it ended by itself")
	}
	c.options.Logger.Error().Err(err).Str("process", p.name).Msg("process failed")
	return errors.Wrap(err, p.name)
}

func (a *askInstances) serve(c *Cluster, _ time.Time) error {
	list := make([]Instance, 0, len(c.all))
	for _, p := range c.all {
		list = append(list, Instance{
			Name: p.name, Kind: string(p.kind), Domain: string(p.domain), State: c.stateOf(p),
			Address: p.address, Link: p.link, Operations: p.operations, Starts: p.run, Faults: c.faultsOf(p.name),
		})
	}
	a.reply <- list
	return nil
}

func (c *Cluster) stateOf(p *process) string {
	switch {
	case !p.life.In("running"):
		return p.life.State()
	case c.isLeaving(p):
		return "leaving"
	default:
		return "live"
	}
}

func (a *askEngines) serve(c *Cluster, _ time.Time) error {
	var list []*engine.Engine
	for _, p := range c.all {
		if e, ok := p.control.(*engine.Engine); ok && p.life.In("up") {
			list = append(list, e)
		}
	}
	a.reply <- list
	return nil
}
