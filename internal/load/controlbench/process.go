package controlbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/decide/spread"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// listTime is how often an entry reads the instance list.
const listTime = 5 * time.Second

// Process is one entry or sidecar.
type Process struct {
	world       *World
	ID          ident.InstanceID
	Role        message.Role
	Domain      ident.FailureDomain
	Server      ident.ServerID
	Node        *control.Node
	Incarnation ident.Incarnation
	// ReadyAt is when the process became ready, or zero.
	ReadyAt time.Time
	// Orders counts the orders that the process sent.
	Orders int
	links  map[ident.InstanceID]*link
	round  uint64
	down   bool
	paused bool
	// held are the events that wait for the end of a pause.
	held    []func()
	reading uint64
}

func (w *World) addProcesses() {
	domain := func(i int) ident.FailureDomain {
		return ident.FailureDomain(fmt.Sprintf("domain-%d", i%max(1, w.Config.Domains)))
	}
	add := func(p *Process) {
		p.world, p.down = w, true
		w.Processes = append(w.Processes, p)
		w.byID[p.ID] = p
		w.After(time.Duration(w.Random.Int63n(int64(time.Second))), p.Start)
	}
	for i := range w.Config.Entries {
		add(&Process{ID: ident.InstanceID(fmt.Sprintf("entry-%d", i)), Role: message.RoleEntry, Domain: domain(i)})
	}
	for i := range w.Config.Sidecars {
		server := ident.ServerID(fmt.Sprintf("replica-%d", i))
		w.Engines[server] = &Engine{world: w, server: server, checks: i%2 == 0}
		add(&Process{ID: ident.InstanceID(fmt.Sprintf("sidecar-%d", i)), Role: message.RoleSidecar, Domain: domain(i), Server: server})
	}
}

// Running reports whether the process is up and not paused.
func (p *Process) Running() bool { return !p.down && !p.paused }

// Up reports whether the process is up, perhaps paused.
func (p *Process) Up() bool { return !p.down }

// Start begins a new incarnation with empty memory.
func (p *Process) Start() {
	if !p.down {
		return
	}
	w := p.world
	p.down, p.paused, p.held = false, false, nil
	p.links = make(map[ident.InstanceID]*link)
	p.Incarnation = max(p.Incarnation+1, ident.NewIncarnation(w.Now))
	p.ReadyAt = time.Time{}
	config := control.Config{
		Seed:       w.Random.Int63(),
		Membership: membership.DefaultConfig(p.ID, p.Role, p.Domain, p.Incarnation),
		Spread:     spread.DefaultConfig(p.ID, p.Role == message.RoleEntry),
		Server:     p.Server,
		Parse:      w.values.parse,
	}
	config.Membership.HeartbeatInterval = w.interval(message.RoleEntry, p.Role)
	if !w.Config.RealHistory {
		config.History = newNamedHistory(w.values)
	}
	if w.Config.Spread != nil {
		w.Config.Spread(&config.Spread)
	}
	if p.Role == message.RoleSidecar {
		constants := orders.DefaultConfig()
		if w.Config.Orders != nil {
			w.Config.Orders(&constants)
		}
		config.Orders = &constants
	}
	p.Node = control.New(w.Now, config)
	p.tick(p.Incarnation)
	if p.Role == message.RoleEntry {
		p.list(p.Incarnation)
		p.redial()
	}
}

// redial opens missing links again and again, as the product's diallers do.
func (p *Process) redial() {
	p.later(redialTime, p.redial)
	p.connect()
}

// interval is the time between heartbeats. As in the product, a quiet entry
// sends to sidecars at a third of the rate.
func (w *World) interval(from, to message.Role) time.Duration {
	if from == message.RoleEntry && to == message.RoleSidecar {
		return 3 * w.Config.Heartbeat
	}
	return w.Config.Heartbeat
}

// Crash ends the process at once. Its sockets close.
func (p *Process) Crash() {
	if p.down {
		return
	}
	p.down, p.paused, p.held = true, false, nil
	for _, id := range sortedLinks(p.links) {
		p.links[id].close()
	}
}

// Pause stops the process; what arrives waits until Wake.
func (p *Process) Pause() { p.paused = !p.down }

// Wake ends a pause.
func (p *Process) Wake() {
	if !p.paused {
		return
	}
	p.paused = false
	held := p.held
	p.held = nil
	for _, run := range held {
		p.do(run)
	}
}

// do runs a part of the process now, or after the pause.
func (p *Process) do(run func()) {
	switch {
	case p.down:
	case p.paused:
		p.held = append(p.held, run)
	default:
		run()
	}
}

// later runs a part of this incarnation after a while.
func (p *Process) later(d time.Duration, run func()) {
	incarnation := p.Incarnation
	p.world.After(d, func() {
		if p.Incarnation == incarnation {
			p.do(run)
		}
	})
}

func (p *Process) tick(incarnation ident.Incarnation) {
	p.later(p.world.Config.Tick, func() { p.tick(incarnation) })
	p.world.step(p, control.Tick{})
}

// list reads the instance list and adjusts the links.
func (p *Process) list(incarnation ident.Incarnation) {
	p.later(listTime, func() { p.list(incarnation) })
	var members []message.Member
	for _, other := range p.world.Processes {
		if other.Role == message.RoleEntry && !other.down {
			members = append(members, message.Member{Instance: other.ID, Role: other.Role, Domain: other.Domain, Address: string(other.ID)})
		}
	}
	p.world.step(p, control.Instances{Members: members})
}

// connect opens the missing links to entries and to the subset of sidecars.
func (p *Process) connect() {
	p.round++
	for _, t := range p.Node.Targets(p.round) {
		p.dial(p.world.byID[t.Peer])
	}
	snapshot := p.Node.Snapshot()
	if snapshot == nil {
		return
	}
	for _, server := range p.subset(snapshot) {
		p.dial(p.world.byID[ident.InstanceID("sidecar-"+string(server[len("replica-"):]))])
	}
}

// subset returns the servers to which an entry links. As in the product, each
// replica of a large installation chooses its entries.
func (p *Process) subset(s *record.Snapshot) []ident.ServerID {
	if p.world.Config.Subset == 0 {
		servers := make([]ident.ServerID, 0, len(s.Replicas))
		for id := range s.Replicas {
			servers = append(servers, id)
		}
		slices.Sort(servers)
		return servers
	}
	return p.world.subsets()[p.ID]
}

// subsets are the choices of all replicas, with every entry alive.
func (w *World) subsets() map[ident.InstanceID][]ident.ServerID {
	if w.chosen != nil {
		return w.chosen
	}
	var entries []ident.InstanceID
	for _, p := range w.Processes {
		if p.Role == message.RoleEntry {
			entries = append(entries, p.ID)
		}
	}
	w.chosen = make(map[ident.InstanceID][]ident.ServerID)
	for _, p := range w.Processes {
		if p.Role != message.RoleSidecar {
			continue
		}
		for _, entry := range rendezvous.Top(string(p.Server), entries, w.Config.Subset) {
			w.chosen[entry] = append(w.chosen[entry], p.Server)
		}
	}
	return w.chosen
}

func (p *Process) carryOut(o control.Action) {
	switch o := o.(type) {
	case control.Send:
		if l := p.links[o.To]; l != nil {
			l.send(p, o.Message)
		}
	case control.Adopt:
		p.beat()
		if p.Role == message.RoleEntry {
			p.later(0, p.connect)
		}
	case control.Ready:
		p.ReadyAt = p.world.Now
	case control.Read:
		p.reading = o.Number
		p.world.Service.read(p, o)
	case control.CancelRead:
		p.reading = 0
	case control.ReadBack:
		p.world.Engines[p.Server].readBack(p)
	case control.Order:
		p.Orders++
		p.world.Engines[p.Server].order(p, o.Order)
	}
}

// beat sends a heartbeat on every link at once, as the links of the product do
// when their content changes.
func (p *Process) beat() {
	for _, id := range sortedLinks(p.links) {
		p.links[id].beat(p)
	}
}

func sortedLinks(links map[ident.InstanceID]*link) []ident.InstanceID {
	ids := make([]ident.InstanceID, 0, len(links))
	for id := range links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
