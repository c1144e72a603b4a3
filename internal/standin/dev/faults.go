package dev

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/faulty"
	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
)

// Kinds of faults.
const (
	FaultCrash       = "crash"
	FaultRestart     = "restart"
	FaultPause       = "pause"
	FaultSlow        = "slow"
	FaultLeave       = "leave"
	FaultPartition   = "partition"
	FaultConfigDown  = "config-down"
	FaultConfigStale = "config-stale"
	FaultHeal        = "heal"
)

// Targets of faults that are neither processes nor failure domains.
const (
	targetConfig = "config"
	targetAll    = "all"
)

const (
	// defaultSlowdown is the default of Fault.Factor.
	defaultSlowdown = 4
	// defaultDelay is the default of Fault.DelayMS.
	defaultDelay = 20 * time.Millisecond
)

// maxFaultSeconds is the longest duration of a fault, one day.
const maxFaultSeconds = 86400

// idleInterval is the time between two checks for expired faults while no fault expires.
const idleInterval = time.Hour

// faultKinds returns the kinds of faults in the order in which error messages list them.
func faultKinds() []string {
	return []string{FaultCrash, FaultRestart, FaultPause, FaultSlow, FaultLeave, FaultPartition, FaultConfigDown, FaultConfigStale, FaultHeal}
}

// Fault is the body of POST /faults.
type Fault struct {
	Target string `json:"target"`
	Kind   string `json:"kind"`
	// Seconds is how long the fault lasts; 0 means until it is healed.
	Seconds float64 `json:"seconds"`
	// Peer limits a partition to one other failure domain or process.
	Peer string `json:"peer,omitempty"`
	// Direction is the direction in which a partition blocks traffic, seen from the target:
	// both (default), out or in.
	Direction string `json:"direction,omitempty"`
	// Factor is the slowdown of a slow backend server; default 4.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is the delay of each read and write of a slow entry or sidecar, in
	// milliseconds; default 20.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Back is how many publishes old the values are that config-stale makes readers see.
	Back uint64 `json:"back,omitempty"`
}

// activeFault is a fault that lasts until a time or until it is healed.
type activeFault struct {
	Fault
	// until is zero for a fault that lasts until it is healed.
	until time.Time
}

// faultRefusal is the reason why a fault was not injected, with the valid values.
type faultRefusal struct {
	reason string
	valid  []string
}

// key identifies an active fault. A fault replaces an active one with the same key.
func (f Fault) key() string {
	if f.Kind == FaultConfigDown || f.Kind == FaultConfigStale {
		return targetConfig
	}
	return f.Kind + " " + f.Target + " " + f.Peer + " " + f.Direction
}

func (i *injectFault) serve(c *Cluster, now time.Time) error {
	f := i.fault
	if r := c.validate(f); r != nil {
		i.reply <- r
		return nil
	}
	switch f.Kind {
	case FaultHeal:
		c.heal(f.Target, now)
	case FaultRestart:
		c.byName[f.Target].lifecycle.Fire(now, "restart")
	default:
		a := &activeFault{Fault: f}
		if f.Seconds > 0 {
			a.until = now.Add(time.Duration(f.Seconds * float64(time.Second)))
		}
		c.faults[f.key()] = a
		c.applyFault(f, now)
	}
	i.reply <- nil
	return nil
}

// validate returns why a fault cannot be injected, or nil.
func (c *Cluster) validate(f Fault) *faultRefusal {
	if !slices.Contains(faultKinds(), f.Kind) {
		return &faultRefusal{reason: "unknown kind " + quote(f.Kind), valid: faultKinds()}
	}
	valid := c.validTargets(f.Kind)
	if !slices.Contains(valid, f.Target) {
		return &faultRefusal{reason: "target " + quote(f.Target) + " is not valid for " + f.Kind, valid: valid}
	}
	if f.Peer != "" && !slices.Contains(valid, f.Peer) {
		return &faultRefusal{reason: "unknown peer " + quote(f.Peer), valid: valid}
	}
	directions := []string{"", "both", "out", "in"}
	if !slices.Contains(directions, f.Direction) {
		return &faultRefusal{reason: "unknown direction " + quote(f.Direction), valid: directions[1:]}
	}
	if f.Seconds < 0 || f.Seconds > maxFaultSeconds || f.Factor < 0 || f.DelayMS < 0 {
		return &faultRefusal{reason: fmt.Sprintf(
			"seconds must be from 0 to %d, factor and delay_ms not negative, but they are %g, %g and %d",
			maxFaultSeconds, f.Seconds, f.Factor, f.DelayMS)}
	}
	return nil
}

// validTargets returns the valid targets of a kind of fault, sorted.
func (c *Cluster) validTargets(kind string) []string {
	if kind == FaultConfigDown || kind == FaultConfigStale {
		return []string{targetConfig}
	}
	var list []string
	for name := range c.byName {
		list = append(list, name)
	}
	if kind == FaultPartition || kind == FaultHeal {
		for _, d := range c.options.Domains {
			list = append(list, string(d))
		}
	}
	if kind == FaultHeal {
		list = append(list, targetConfig, targetAll)
	}
	sort.Strings(list)
	return list
}

func (c *Cluster) applyFault(f Fault, now time.Time) {
	ctx, p := c.lifetime, c.byName[f.Target]
	switch f.Kind {
	case FaultCrash:
		p.lifecycle.Fire(now, "crash")
		c.updateInstanceList(p)
	case FaultPause:
		c.fabric.SetPaused(ctx, p.name, true)
		c.stallRank(p, true)
	case FaultSlow:
		c.updateSpeed(p)
	case FaultLeave:
		c.updateLeaving(p)
	case FaultPartition:
		c.fabric.Partition(ctx, f.key(), faulty.Partition{
			From: f.Target, To: f.Peer, Outward: f.Direction != "in", Inward: f.Direction != "out",
		})
	case FaultConfigDown:
		c.logFaultError(c.store.Down(ctx))
	case FaultConfigStale:
		c.logFaultError(c.store.Stale(ctx, f.Back))
	}
}

// revertFault undoes the effect of a fault that was removed from the active ones.
func (c *Cluster) revertFault(f Fault, now time.Time) {
	ctx, p := c.lifetime, c.byName[f.Target]
	switch f.Kind {
	case FaultCrash:
		p.lifecycle.Fire(now, "start")
		c.updateInstanceList(p)
	case FaultPause:
		c.fabric.SetPaused(ctx, p.name, false)
		c.stallRank(p, false)
	case FaultSlow:
		c.updateSpeed(p)
	case FaultLeave:
		c.updateLeaving(p)
	case FaultPartition:
		c.fabric.Heal(ctx, f.key())
	case FaultConfigDown, FaultConfigStale:
		c.logFaultError(c.store.Heal(ctx))
	}
}

// heal ends the active faults of a target and restarts its failed processes.
func (c *Cluster) heal(target string, now time.Time) {
	for key, f := range c.faults {
		if target == targetAll || f.Target == target || f.Peer == target {
			delete(c.faults, key)
			c.revertFault(f.Fault, now)
		}
	}
	for _, p := range c.processes {
		if (target == targetAll || p.name == target) && p.lifecycle.In("failed") {
			p.lifecycle.Fire(now, "start")
		}
	}
}

// expireFaults ends the expired faults and returns the time to the next call.
func (c *Cluster) expireFaults(now time.Time) time.Duration {
	next := idleInterval
	if !c.readyAnnounced && c.keysValidFrom.After(now) {
		next = c.keysValidFrom.Sub(now)
	}
	for key, f := range c.faults {
		switch {
		case f.until.IsZero():
		case f.until.After(now):
			next = min(next, f.until.Sub(now))
		default:
			delete(c.faults, key)
			c.revertFault(f.Fault, now)
		}
	}
	return next
}

// faultsOf returns the kinds of the active faults whose target is the process.
func (c *Cluster) faultsOf(name string) []string {
	var list []string
	for _, f := range c.faults {
		if f.Target == name {
			list = append(list, f.Kind)
		}
	}
	sort.Strings(list)
	return list
}

func (c *Cluster) hasFault(kind, name string) bool {
	return c.faults[Fault{Kind: kind, Target: name}.key()] != nil
}

// isLeaving reports whether the instance of a process is leaving. A backend server and its
// sidecar share an instance and leave together.
func (c *Cluster) isLeaving(p *process) bool {
	for _, other := range c.processes {
		if other.instance == p.instance && c.hasFault(FaultLeave, other.name) {
			return true
		}
	}
	return false
}

// updateLeaving makes the instance list and the backend server show whether the instance
// of a process is leaving.
func (c *Cluster) updateLeaving(p *process) {
	for _, other := range c.processes {
		if other.instance != p.instance {
			continue
		}
		c.updateInstanceList(other)
		if l, ok := other.control.(leaveControl); ok && other.lifecycle.In("up") {
			c.logFaultError(l.SetLeaving(c.lifetime, c.isLeaving(other)))
		}
	}
}

// updateInstanceList updates a process in the instance list. A crashed one is removed.
func (c *Cluster) updateInstanceList(p *process) {
	switch {
	case c.hasFault(FaultCrash, p.name):
		c.logFaultError(c.instanceList.Remove(c.lifetime, ident.InstanceID(p.name)))
	case c.isLeaving(p):
		c.logFaultError(c.instanceList.Put(c.lifetime, p.instanceEntry(instances.Leaving)))
	default:
		c.logFaultError(c.instanceList.Put(c.lifetime, p.instanceEntry(instances.Live)))
	}
}

// updateSpeed sets the delay or the slowdown of a process according to its active faults.
func (c *Cluster) updateSpeed(p *process) {
	f := c.slowFault(p)
	if p.kind == kindEntry || p.kind == kindSidecar {
		delay := time.Duration(0)
		if f != nil {
			delay = defaultDelay
		}
		if f != nil && f.DelayMS > 0 {
			delay = time.Duration(f.DelayMS) * time.Millisecond
		}
		c.fabric.SetDelay(c.lifetime, p.name, delay)
		return
	}
	slowdown := 1.0
	if f != nil {
		slowdown = f.slowdown()
	}
	c.setRankSlowdown(p, slowdown)
	for _, other := range c.lockStepPeers(p) {
		if other.control != nil && other.lifecycle.In("up") {
			c.logFaultError(other.control.Slow(c.lifetime, c.slowdown(other)))
		}
	}
}

// slowFault returns the active fault that slows a process, or nil.
func (c *Cluster) slowFault(p *process) *Fault {
	if a := c.faults[(Fault{Kind: FaultSlow, Target: p.name}).key()]; a != nil {
		return &a.Fault
	}
	return nil
}

// slowdown returns the slowdown of the backend server that the fault slows.
func (f *Fault) slowdown() float64 {
	if f.Factor > 0 {
		return f.Factor
	}
	return defaultSlowdown
}

// slowdown returns the slowdown of a backend server. All ranks of a group are as slow as
// the slowest one, because they run in lock-step.
func (c *Cluster) slowdown(p *process) float64 {
	slowdown := 1.0
	for _, other := range c.lockStepPeers(p) {
		if f := c.slowFault(other); f != nil {
			slowdown = max(slowdown, f.slowdown())
		}
	}
	return slowdown
}

// reapplyFaults applies the active faults of a backend server to its new run.
func (c *Cluster) reapplyFaults(p *process) {
	c.updateSpeed(p)
	c.stallRank(p, c.hasFault(FaultPause, p.name))
	if c.isLeaving(p) {
		c.updateLeaving(p)
	}
}

// logFaultError logs that a stand-in did not apply or revert a fault.
func (c *Cluster) logFaultError(err error) {
	if err != nil {
		c.options.Logger.Warn().Err(err).Msg("stand-in did not apply or revert a fault")
	}
}

func quote(text string) string { return `"` + text + `"` }
