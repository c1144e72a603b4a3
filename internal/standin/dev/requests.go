package dev

import (
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
)

// request is a message to the installation's task. An error ends the installation if it is
// not ready yet.
type request interface {
	serve(c *Cluster, now time.Time) error
}

type (
	// runReady reports that a run of a process is ready.
	runReady struct {
		process *process
		run     uint64
	}
	// controlReady passes on the control of a backend server that has started.
	controlReady struct {
		process *process
		run     uint64
		control backendControl
	}
	// runEnded reports that a run of a process has ended.
	runEnded struct {
		process *process
		run     uint64
		err     error
	}
	// askInstances asks for the current processes, without the lag of the instance list.
	askInstances struct{ reply chan<- []Instance }
	// askEngines asks for the running engines.
	askEngines struct{ reply chan<- []*engine.Engine }
	// injectFault injects or heals a fault.
	injectFault struct {
		fault Fault
		reply chan<- *faultRefusal
	}
	// publishRecord checks and stores a record.
	publishRecord struct {
		value []byte
		force bool
		reply chan<- publishResult
	}
)

// Instance is one process in the answer to GET /instances.
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

func (b *runReady) serve(_ *Cluster, now time.Time) error {
	if b.run == b.process.runNumber {
		b.process.lifecycle.Fire(now, "ready")
	}
	return nil
}

func (m *controlReady) serve(c *Cluster, _ time.Time) error {
	if m.run == m.process.runNumber {
		m.process.control = m.control
		c.reapplyFaults(m.process)
	}
	return nil
}

func (e *runEnded) serve(c *Cluster, now time.Time) error {
	p := e.process
	c.fabric.CloseSockets(c.lifetime, p.name)
	unexpected := p.lifecycle.In("up")
	p.lifecycle.Fire(now, "ended")
	if !unexpected {
		return nil
	}
	err := e.err
	if err == nil {
		err = errors.New("the process ended without being killed or stopped")
	}
	c.options.Logger.Error().Err(err).Str("process", p.name).Msg("process failed")
	return errors.Wrap(err, p.name)
}

func (a *askInstances) serve(c *Cluster, _ time.Time) error {
	list := make([]Instance, 0, len(c.processes))
	for _, p := range c.processes {
		list = append(list, Instance{
			Name: p.name, Kind: string(p.kind), Domain: string(p.domain), State: c.stateOf(p),
			Address: p.address, Link: p.link, Operations: p.operations, Starts: p.runNumber, Faults: c.faultsOf(p.name),
		})
	}
	a.reply <- list
	return nil
}

// stateOf returns the value of Instance.State.
func (c *Cluster) stateOf(p *process) string {
	switch {
	case !p.lifecycle.In("running"):
		return p.lifecycle.State()
	case c.isLeaving(p):
		return "leaving"
	default:
		return "live"
	}
}

func (a *askEngines) serve(c *Cluster, _ time.Time) error {
	var list []*engine.Engine
	for _, p := range c.processes {
		if e, ok := p.control.(*engine.Engine); ok && p.lifecycle.In("up") {
			list = append(list, e)
		}
	}
	a.reply <- list
	return nil
}
