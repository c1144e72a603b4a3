package controlbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// listInterval is the time between two reads of the instance list by an entry.
const listInterval = 5 * time.Second

// Process is one entry or sidecar.
type Process struct {
	sim         *Simulation
	ID          ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Server      ident.ServerID
	Node        *control.Node
	Incarnation ident.Incarnation
	// ReadyAt is when the process became ready, or zero.
	ReadyAt time.Time
	// Orders counts the orders that the process sent to its engine.
	Orders int
	links  map[ident.InstanceID]*link
	// dialRound counts the calls of connect.
	dialRound uint64
	down      bool
	paused    bool
	// deferred are the calls that run when a pause ends.
	deferred []func()
	// currentRead is the number of the read of the configuration service in progress,
	// or zero.
	currentRead uint64
}

func (w *Simulation) addProcesses() {
	domain := func(i int) ident.FailureDomain {
		return ident.FailureDomain(fmt.Sprintf("domain-%d", i%max(1, w.Config.Domains)))
	}
	add := func(p *Process) {
		p.sim, p.down = w, true
		w.Processes = append(w.Processes, p)
		w.byID[p.ID] = p
		w.After(time.Duration(w.Random.Int63n(int64(time.Second))), p.Start)
	}
	for i := range w.Config.Entries {
		add(&Process{ID: ident.InstanceID(fmt.Sprintf("entry-%d", i)), Role: message.RoleEntry, Domain: domain(i)})
	}
	for i := range w.Config.Sidecars {
		server := ident.ServerID(fmt.Sprintf("replica-%d", i))
		w.Engines[server] = &Engine{sim: w, server: server, checksFencing: i%2 == 0}
		add(&Process{ID: ident.InstanceID(fmt.Sprintf("sidecar-%d", i)), Role: message.RoleSidecar, Domain: domain(i), Server: server})
	}
}

// Running reports whether the process is up and not paused.
func (p *Process) Running() bool { return !p.down && !p.paused }

// Up reports whether the process is up or paused.
func (p *Process) Up() bool { return !p.down }

// Start starts a new incarnation, without the state of earlier ones, if the process is
// down.
func (p *Process) Start() {
	if !p.down {
		return
	}
	w := p.sim
	p.down, p.paused, p.deferred = false, false, nil
	p.links = make(map[ident.InstanceID]*link)
	p.Incarnation = max(p.Incarnation+1, ident.NewIncarnation(w.Now))
	p.ReadyAt = time.Time{}
	config := control.Config{
		Seed:       w.Random.Int63(),
		Membership: membership.DefaultConfig(p.ID, p.Role, p.Domain, p.Incarnation),
		RecordSync: recordsync.DefaultConfig(p.ID, p.Role == message.RoleEntry),
		Server:     p.Server,
		Parse:      w.values.parse,
	}
	config.Membership.HeartbeatInterval = w.interval(message.RoleEntry, p.Role)
	if !w.Config.RealHistory {
		config.History = newFakeHistory(w.values)
	}
	if w.Config.RecordSync != nil {
		w.Config.RecordSync(&config.RecordSync)
	}
	if p.Role == message.RoleSidecar {
		constants := orders.DefaultConfig()
		if w.Config.Orders != nil {
			w.Config.Orders(&constants)
		}
		config.Orders = &constants
	}
	p.Node = control.New(w.Now, config)
	p.tick()
	if p.Role == message.RoleEntry {
		p.readInstanceList()
		p.redial()
	}
}

// redial opens missing links every redialInterval, as entries do.
func (p *Process) redial() {
	p.after(redialInterval, p.redial)
	p.connect()
}

// interval returns the time between heartbeats. Like a real entry without requests, an
// entry sends heartbeats to sidecars at a third of the rate.
func (w *Simulation) interval(from, to message.Role) time.Duration {
	if from == message.RoleEntry && to == message.RoleSidecar {
		return 3 * w.Config.Heartbeat
	}
	return w.Config.Heartbeat
}

// Crash stops the process at once and closes its links.
func (p *Process) Crash() {
	if p.down {
		return
	}
	p.down, p.paused, p.deferred = true, false, nil
	for _, id := range sortedLinks(p.links) {
		p.links[id].close()
	}
}

// Pause suspends the process. Calls that are due, such as arriving messages and timers,
// run at Resume.
func (p *Process) Pause() { p.paused = !p.down }

// Resume ends a pause.
func (p *Process) Resume() {
	if !p.paused {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, run := range deferred {
		p.runOrDefer(run)
	}
}

// runOrDefer makes a call in the process: now, or at the end of the pause, or not at all
// if the process is down.
func (p *Process) runOrDefer(run func()) {
	switch {
	case p.down:
	case p.paused:
		p.deferred = append(p.deferred, run)
	default:
		run()
	}
}

// after schedules a call in this incarnation of the process in virtual time.
func (p *Process) after(d time.Duration, run func()) {
	incarnation := p.Incarnation
	p.sim.After(d, func() {
		if p.Incarnation == incarnation {
			p.runOrDefer(run)
		}
	})
}

func (p *Process) tick() {
	p.after(p.sim.Config.Tick, p.tick)
	p.sim.step(p, control.Tick{})
}

// readInstanceList passes the entries that are up to the node, at once and then every
// listInterval.
func (p *Process) readInstanceList() {
	p.after(listInterval, p.readInstanceList)
	var members []message.Member
	for _, other := range p.sim.Processes {
		if other.Role == message.RoleEntry && !other.down {
			members = append(members, message.Member{Instance: other.ID, Role: other.Role, Domain: other.Domain, Address: string(other.ID)})
		}
	}
	p.sim.step(p, control.Instances{Members: members})
}

// connect opens the missing links to other entries and to the sidecars of subset.
func (p *Process) connect() {
	p.dialRound++
	for _, t := range p.Node.Targets(p.dialRound) {
		p.dial(p.sim.byID[t.Peer])
	}
	snapshot := p.Node.Snapshot()
	if snapshot == nil {
		return
	}
	for _, server := range p.subset(snapshot) {
		p.dial(p.sim.byID[ident.InstanceID("sidecar-"+string(server[len("replica-"):]))])
	}
}

// subset returns the servers to whose sidecars the entry links: all replicas of the
// record, or with Config.Subset those that choose the entry by rendezvous hashing.
func (p *Process) subset(s *record.Snapshot) []ident.ServerID {
	if p.sim.Config.Subset == 0 {
		servers := make([]ident.ServerID, 0, len(s.Replicas))
		for id := range s.Replicas {
			servers = append(servers, id)
		}
		slices.Sort(servers)
		return servers
	}
	return p.sim.computeSubsets()[p.ID]
}

// computeSubsets returns the servers by entry, with all entries counted as alive.
func (w *Simulation) computeSubsets() map[ident.InstanceID][]ident.ServerID {
	if w.subsets != nil {
		return w.subsets
	}
	var entries []ident.InstanceID
	for _, p := range w.Processes {
		if p.Role == message.RoleEntry {
			entries = append(entries, p.ID)
		}
	}
	w.subsets = make(map[ident.InstanceID][]ident.ServerID)
	for _, p := range w.Processes {
		if p.Role != message.RoleSidecar {
			continue
		}
		for _, entry := range rendezvous.Top(string(p.Server), entries, w.Config.Subset) {
			w.subsets[entry] = append(w.subsets[entry], p.Server)
		}
	}
	return w.subsets
}

// execute executes an output of the node.
func (p *Process) execute(o control.Action) {
	switch o := o.(type) {
	case control.Send:
		if l := p.links[o.To]; l != nil {
			l.send(p, o.Message)
		}
	case control.Adopt:
		p.sendHeartbeats()
		if p.Role == message.RoleEntry {
			p.after(0, p.connect)
		}
	case control.Ready:
		p.ReadyAt = p.sim.Now
	case control.Read:
		p.currentRead = o.Number
		p.sim.Service.read(p, o)
	case control.CancelRead:
		p.currentRead = 0
	case control.ReadBack:
		p.sim.Engines[p.Server].readBack(p)
	case control.Order:
		p.Orders++
		p.sim.Engines[p.Server].order(p, o.Order)
	}
}

// sendHeartbeats sends a heartbeat on every link at once, as real links do when the
// content of their heartbeats changes.
func (p *Process) sendHeartbeats() {
	for _, id := range sortedLinks(p.links) {
		p.links[id].sendHeartbeat(p)
	}
}

// sortedLinks returns the peers in a fixed order, so that a seed always gives the same
// run.
func sortedLinks(links map[ident.InstanceID]*link) []ident.InstanceID {
	ids := make([]ident.InstanceID, 0, len(links))
	for id := range links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
