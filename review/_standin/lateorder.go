package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// downTime is how long an agent that was killed is down.
	downTime = 2 * time.Second
	// Orders without an answer are carried out between leastLate and mostLate later.
	leastLate = 2 * time.Second
	mostLate  = 12 * time.Second
	// afterArm is how long after the successor's first arm order the late order to go on is
	// carried out.
	afterArm = 20 * time.Millisecond
)

// lateOrder lets the agents of a group of six ranks change the expert map. The disruption: the
// agent that holds rank 0 for a change is killed, and so is the leader after it has given the
// change up; its order to go on gets no answer and is carried out seconds later. Both agents
// are back after two seconds. The rule: no pass begins with two maps.
func lateOrder(w *world) (bool, error) {
	const (
		service  = "huvo11a"
		attempts = 3
		// calm is how long the group runs without the disruption.
		calm      = 8 * time.Second
		shiftTime = 3 * time.Second
	)
	s, err := w.newStore()
	if err != nil {
		return false, err
	}
	g, err := w.newGroup(s, service)
	if err != nil {
		return false, err
	}
	document := configuration(7, []route{{prefix: "/lohu930/", kind: "streaming", service: service, timeoutMS: 8000, attempts: 2, targetMS: 500}})
	document["services"] = []map[string]any{g.document()}
	s.put("op/config", document)
	entries := newEntries(3)
	if err := w.startEntries(entries, s.address); err != nil {
		return false, err
	}
	if err := w.waitReady(entries); err != nil {
		return false, err
	}
	agents, err := w.startAgents(g, entries, s.address)
	if err != nil {
		return false, err
	}
	// Other experts are in demand.
	go func() {
		for range time.Tick(shiftTime) {
			g.mutex.Lock()
			g.hot = (g.hot + 5) % groupExperts
			g.mutex.Unlock()
		}
	}()
	switches := func() int {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return g.switches
	}
	for limit := time.Now().Add(15 * time.Second); switches() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			return false, fmt.Errorf("the map was changed %d times in 15 s", switches())
		}
	}
	time.Sleep(calm)
	for n := 0; w.trouble && n < attempts && g.firstMixed() == ""; n++ {
		g.disturb(agents)
	}
	if !w.trouble {
		time.Sleep(3 * calm)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	w.say("the map was changed %d times in %d passes, after %d orders", g.switches, g.step, g.orders)
	if g.mixed != "" {
		w.say("%s", g.mixed)
	}
	return g.mixed != "", nil
}

func (g *group) firstMixed() string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.mixed
}

// disturb kills the holder of the next change and the leader. Two orders get no answer and are
// carried out late: the leader's to go on, and the first one of its successor to arm another
// rank. It returns once the first of them has been carried out.
func (g *group) disturb(agents []*process) {
	d := &lateOrders{group: g, agents: agents, finished: make(chan struct{})}
	g.mutex.Lock()
	g.late, g.done = d.late, d.done
	g.mutex.Unlock()
	select {
	case <-d.finished:
	case <-time.After(mostLate + downTime + 4*time.Second):
		g.world.note("no order was carried out late")
	}
	g.mutex.Lock()
	g.late, g.done = nil, nil
	g.mutex.Unlock()
	// Both agents are back, and the group has gone on.
	time.Sleep(2 * downTime)
}

// lateOrders is the state of one disturbance. Its methods run with the group's mutex locked.
type lateOrders struct {
	group    *group
	agents   []*process
	finished chan struct{}
	// heldStep is the pass before which rank 0 is held.
	heldStep uint64
	// goOn is the order to go on that got no answer at goOnAt, nil once it is carried out.
	goOn    *engineOrder
	goOnAt  time.Time
	armLost bool
}

// late reports whether an order gets no answer.
func (d *lateOrders) late(rank int, o engineOrder) bool {
	switch {
	case rank == 0 && o.Op == "go" && d.heldStep != 0 && o.Step == d.heldStep && d.goOnAt.IsZero():
		d.goOn, d.goOnAt = &o, time.Now()
		d.kill(0)
		d.after(mostLate, d.carryOutGo)
	case rank != 0 && o.Op == "arm" && d.successorArms() && !d.armLost:
		d.armLost = true
		d.after(leastLate, func() { d.group.carryOut(rank, o) })
	default:
		return false
	}
	d.group.world.note("rank %d: the order %s for step %d gets no answer", rank, o.Op, o.Step)
	return true
}

// done is called after an order was carried out.
func (d *lateOrders) done(rank int, o engineOrder) {
	switch {
	case rank == 0 && o.Op == "hold" && d.heldStep == 0:
		d.heldStep = o.Step
		// The other ranks take turns in holding rank 0.
		d.kill(1 + int(d.group.ranks[1].prepared%(groupRanks-1)))
	case o.Op == "arm" && d.successorArms():
		d.after(afterArm, d.carryOutGo)
	}
}

func (d *lateOrders) successorArms() bool { return d.goOn != nil && time.Since(d.goOnAt) >= leastLate }

func (d *lateOrders) carryOutGo() {
	if d.goOn == nil {
		return
	}
	d.group.world.note("rank 0: the order %s for step %d is carried out %.1f s late", d.goOn.Op, d.goOn.Step, time.Since(d.goOnAt).Seconds())
	o := *d.goOn
	d.goOn = nil
	d.group.carryOut(0, o)
	close(d.finished)
}

func (d *lateOrders) after(wait time.Duration, run func()) {
	time.AfterFunc(wait, func() {
		d.group.mutex.Lock()
		defer d.group.mutex.Unlock()
		run()
	})
}

// kill kills the agent of a rank. The platform starts it again.
func (d *lateOrders) kill(rank int) {
	w, agent := d.group.world, d.agents[rank]
	agent.signal(syscall.SIGKILL)
	time.AfterFunc(downTime, func() {
		if w.closing.Load() {
			return
		}
		if err := agent.launch(); err != nil {
			w.note("platform: %v", err)
		}
		if w.closing.Load() {
			agent.end()
		}
	})
}

// startAgents starts the agent of each rank with the settings of deploy/sidecar.settings.json.
// They all listen on the same port, each at the host of its replica.
func (w *world) startAgents(g *group, entries []*entry, store string) ([]*process, error) {
	template, err := os.ReadFile("deploy/sidecar.settings.json")
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, strconv.Quote(e.control))
	}
	_, linkPort, _ := net.SplitHostPort(freeAddress())
	_, metricsPort, _ := net.SplitHostPort(freeAddress())
	var agents []*process
	for r, e := range g.ranks {
		host, _, _ := net.SplitHostPort(e.address)
		text := string(template)
		for name, value := range map[string]string{
			"nodeName": fmt.Sprintf("side-z1-%d", r+1), "zone": "z1", "region": "r1", "ip": host, "internalPorts.0": linkPort, "internalPorts.1": metricsPort,
			"seeds|json": "[" + strings.Join(seeds, ",") + "]", "platform.address": store, "app": e.address, "service": g.service, "bounds.graceS": strconv.Itoa(graceS),
		} {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
		p, err := w.start(fmt.Sprintf("side-z1-%d", r+1), text, "rank")
		if err != nil {
			return nil, err
		}
		agents = append(agents, p)
	}
	return agents, nil
}
