package dev

import (
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

// Targets that are no process.
const (
	targetConfig = "config"
	targetAll    = "all"
)

// Defaults of a slow process.
const (
	slowFactor = 4
	slowDelay  = 20 * time.Millisecond
)

// idle is how long the task sleeps when no fault has an end.
const idle = time.Hour

// kinds lists the kinds in the order of the help.
func kinds() []string {
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
	// Direction of a partition, seen from the target: both (default), out or in.
	Direction string `json:"direction,omitempty"`
	// Factor is by how much a slow backend server is slower; default 4.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS delays each read and write of a slow entry or sidecar; default 20.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Back makes config-stale show the values of that many publishes ago.
	Back uint64 `json:"back,omitempty"`
}

// activeFault is a fault that lasts.
type activeFault struct {
	Fault
	// until is zero for a fault that only heal ends.
	until time.Time
}

// refusal says why a fault was not injected.
type refusal struct {
	sentence string
	valid    []string
}

// key tells the faults apart that can last at the same time.
func (f Fault) key() string {
	if f.Kind == FaultConfigDown || f.Kind == FaultConfigStale {
		return targetConfig
	}
	return f.Kind + " " + f.Target + " " + f.Peer + " " + f.Direction
}

func (i *inject) serve(c *Cluster, now time.Time) error {
	f := i.fault
	if r := c.check(f); r != nil {
		i.reply <- r
		return nil
	}
	switch f.Kind {
	case FaultHeal:
		c.heal(f.Target, now)
	case FaultRestart:
		c.byName[f.Target].life.Fire(now, "restart")
	default:
		a := &activeFault{Fault: f}
		if f.Seconds > 0 {
			a.until = now.Add(time.Duration(f.Seconds * float64(time.Second)))
		}
		c.faults[f.key()] = a
		c.begin(f, now)
	}
	i.reply <- nil
	return nil
}

// check returns why a fault makes no sense, or nil.
func (c *Cluster) check(f Fault) *refusal {
	if !slices.Contains(kinds(), f.Kind) {
		return &refusal{sentence: "unknown kind " + quoted(f.Kind), valid: kinds()}
	}
	valid := c.targets(f.Kind)
	if !slices.Contains(valid, f.Target) {
		return &refusal{sentence: "target " + quoted(f.Target) + " is not valid for " + f.Kind, valid: valid}
	}
	if f.Peer != "" && !slices.Contains(valid, f.Peer) {
		return &refusal{sentence: "unknown peer " + quoted(f.Peer), valid: valid}
	}
	directions := []string{"", "both", "out", "in"}
	if !slices.Contains(directions, f.Direction) {
		return &refusal{sentence: "unknown direction " + quoted(f.Direction), valid: directions[1:]}
	}
	if f.Seconds < 0 || f.Seconds > 86400 || f.Factor < 0 || f.DelayMS < 0 {
		return &refusal{sentence: "seconds must be from 0 to 86400, factor and delay_ms not negative"}
	}
	return nil
}

// targets lists what a kind of fault can hit.
func (c *Cluster) targets(kind string) []string {
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

// begin makes a fault take effect.
func (c *Cluster) begin(f Fault, now time.Time) {
	ctx, p := c.lifetime, c.byName[f.Target]
	switch f.Kind {
	case FaultCrash:
		p.life.Fire(now, "crash")
		c.showInList(p)
	case FaultPause:
		c.fabric.Pause(ctx, p.name, true)
		c.stallRank(p, true)
	case FaultSlow:
		c.setSpeed(p)
	case FaultLeave:
		c.setLeaving(p)
	case FaultPartition:
		c.fabric.Cut(ctx, f.key(), faulty.Cut{
			From: f.Target, To: f.Peer, Outward: f.Direction != "in", Inward: f.Direction != "out",
		})
	case FaultConfigDown:
		c.report(c.store.Down(ctx))
	case FaultConfigStale:
		c.report(c.store.Stale(ctx, f.Back))
	}
}

// end takes a fault back. It is no longer among the active ones.
func (c *Cluster) end(f Fault, now time.Time) {
	ctx, p := c.lifetime, c.byName[f.Target]
	switch f.Kind {
	case FaultCrash:
		p.life.Fire(now, "start")
		c.showInList(p)
	case FaultPause:
		c.fabric.Pause(ctx, p.name, false)
		c.stallRank(p, false)
	case FaultSlow:
		c.setSpeed(p)
	case FaultLeave:
		c.setLeaving(p)
	case FaultPartition:
		c.fabric.Mend(ctx, f.key())
	case FaultConfigDown, FaultConfigStale:
		c.report(c.store.Heal(ctx))
	}
}

func (c *Cluster) heal(target string, now time.Time) {
	for key, f := range c.faults {
		if target == targetAll || f.Target == target || f.Peer == target {
			delete(c.faults, key)
			c.end(f.Fault, now)
		}
	}
	// A process that ended by itself is started too.
	for _, p := range c.all {
		if (target == targetAll || p.name == target) && p.life.In("failed") {
			p.life.Fire(now, "start")
		}
	}
}

// endFaults ends the faults that are due and returns the time to the next end.
func (c *Cluster) endFaults(now time.Time) time.Duration {
	next := idle
	if !c.announced && c.keysValid.After(now) {
		next = c.keysValid.Sub(now)
	}
	for key, f := range c.faults {
		switch {
		case f.until.IsZero():
		case f.until.After(now):
			next = min(next, f.until.Sub(now))
		default:
			delete(c.faults, key)
			c.end(f.Fault, now)
		}
	}
	return next
}

// faultsOf lists the kinds of the faults that a process has of its own.
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

func (c *Cluster) has(kind, name string) bool {
	return c.faults[Fault{Kind: kind, Target: name}.key()] != nil
}

// isLeaving reports whether the instance of the process is leaving. A backend
// server and its sidecar share an instance and leave together.
func (c *Cluster) isLeaving(p *process) bool {
	for _, other := range c.all {
		if other.instance == p.instance && c.has(FaultLeave, other.name) {
			return true
		}
	}
	return false
}

func (c *Cluster) setLeaving(p *process) {
	for _, other := range c.all {
		if other.instance != p.instance {
			continue
		}
		c.showInList(other)
		if l, ok := other.control.(leaver); ok && other.life.In("up") {
			c.report(l.Leave(c.lifetime, c.isLeaving(other)))
		}
	}
}

// showInList brings the instance list up to date. A crashed process is removed.
func (c *Cluster) showInList(p *process) {
	switch {
	case c.has(FaultCrash, p.name):
		c.report(c.list.Remove(c.lifetime, ident.InstanceID(p.name)))
	case c.isLeaving(p):
		c.report(c.list.Put(c.lifetime, p.listed(instances.Leaving)))
	default:
		c.report(c.list.Put(c.lifetime, p.listed(instances.Live)))
	}
}

// setSpeed brings the speed of a process up to date with its faults.
func (c *Cluster) setSpeed(p *process) {
	f := c.slowFault(p)
	if p.kind == kindEntry || p.kind == kindSidecar {
		delay := time.Duration(0)
		if f != nil {
			delay = slowDelay
		}
		if f != nil && f.DelayMS > 0 {
			delay = time.Duration(f.DelayMS) * time.Millisecond
		}
		c.fabric.Slow(c.lifetime, p.name, delay)
		return
	}
	factor := 1.0
	if f != nil {
		factor = f.factor()
	}
	c.slowRank(p, factor)
	for _, other := range c.inStepWith(p) {
		if other.control != nil && other.life.In("up") {
			c.report(other.control.Slow(c.lifetime, c.slowest(other)))
		}
	}
}

// slowFault returns the fault that slows a process, nil if there is none.
func (c *Cluster) slowFault(p *process) *Fault {
	if a := c.faults[(Fault{Kind: FaultSlow, Target: p.name}).key()]; a != nil {
		return &a.Fault
	}
	return nil
}

// factor is by how much a slow backend server is slower.
func (f *Fault) factor() float64 {
	if f.Factor > 0 {
		return f.Factor
	}
	return slowFactor
}

// slowest is by how much a backend server is slower than normal. All ranks of a
// group are as slow as the slowest, because they run in lock-step.
func (c *Cluster) slowest(p *process) float64 {
	factor := 1.0
	for _, other := range c.inStepWith(p) {
		if f := c.slowFault(other); f != nil {
			factor = max(factor, f.factor())
		}
	}
	return factor
}

// reapply makes the lasting faults of a backend server take effect on a new run.
func (c *Cluster) reapply(p *process) {
	c.setSpeed(p)
	c.stallRank(p, c.has(FaultPause, p.name))
	if c.isLeaving(p) {
		c.setLeaving(p)
	}
}

// report logs that a stand-in could not be told about a fault.
func (c *Cluster) report(err error) {
	if err != nil {
		c.options.Logger.Warn().Err(err).Msg("a fault could not be applied")
	}
}

func quoted(text string) string { return `"` + text + `"` }
