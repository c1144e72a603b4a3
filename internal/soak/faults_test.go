package soak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/anvilpoint/anvilpoint/platform/platformtest"
	"github.com/anvilpoint/anvilpoint/task"
)

// injector injects faults by a seeded schedule. Faults overlap. Each is undone after a
// time of its own, and all are undone when run returns.
type injector struct {
	cluster *cluster
	random  *rand.Rand
	undo    *task.Group
	// leaving has one element for each server that is draining, to bound their number.
	leaving chan struct{}
	// backup is a copy of the store, from which it may be restored.
	backup platformtest.StoreCopy
}

const (
	// minInterval and maxInterval bound the time between two injected faults.
	minInterval, maxInterval = 50 * time.Millisecond, 400 * time.Millisecond
	// maxFaultTime is the longest time of a pause, of a fault on a connection and of an
	// outage of the store.
	maxFaultTime = 2500 * time.Millisecond
	// maxLeaving is how many servers may be draining at a time.
	maxLeaving = 2
	// leaveTime is how long a server is registered as draining.
	leaveTime = 4 * time.Second
)

func newInjector(c *cluster) *injector {
	return &injector{
		cluster: c, random: rand.New(rand.NewPCG(c.seed, 1)), undo: task.NewGroup(context.Background()),
		leaving: make(chan struct{}, maxLeaving), backup: c.store.Copy(),
	}
}

// pickKinds returns 3 or more, but not all, of the kinds of faults. A run with all
// of them would hide failures that occur only while, say, the store works all the time.
func (i *injector) pickKinds() []func() {
	kinds := []func(){
		i.entryFault, i.rankFault, i.serverConnectionFault, i.storeConnectionFault, i.storeOutage, i.serverMode,
		i.drainServer, i.publish, i.publishOlder, i.changeHotExpert, i.engineConnectionFault, i.poison, i.poisonRead,
		i.restoreStore,
	}
	i.random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	return kinds[:3+i.random.IntN(len(kinds)-3)]
}

// run injects faults for the given time, and returns when all are undone.
func (i *injector) run(length time.Duration) error {
	kinds := i.pickKinds()
	for end := time.Now().Add(length); time.Now().Before(end); {
		kinds[i.random.IntN(len(kinds))]()
		time.Sleep(i.between(minInterval, maxInterval))
	}
	i.cluster.deadly.Store(false)
	i.cluster.deadlyRead.Store(false)
	return i.undo.Stop(10 * time.Second)
}

func (i *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(i.random.Int64N(int64(high-low)))
}

// begin records a fault that has been injected, and calls end after the given time to
// undo it.
func (i *injector) begin(name, what string, length time.Duration, end func()) {
	now := time.Now()
	i.cluster.recorder.event(event{at: now, process: name, what: what, until: now.Add(length)})
	i.undo.Go(name, func(context.Context) error {
		time.Sleep(length)
		end()
		return nil
	})
}

func (i *injector) entryFault() { i.processFault(i.cluster.entries[i.random.IntN(entryCount)].process) }

func (i *injector) rankFault() { i.processFault(i.cluster.ranks[i.random.IntN(rankCount)].process) }

func (i *injector) processFault(p *process) {
	switch i.random.IntN(4) {
	case 0:
		p.signal(syscall.SIGSTOP)
		i.begin(p.name, "paused", i.between(100*time.Millisecond, maxFaultTime), func() { p.signal(syscall.SIGCONT) })
	case 1:
		p.signal(syscall.SIGKILL)
	default:
		p.signal(syscall.SIGTERM)
	}
}

func (i *injector) connectionFault(name string, p *proxy) {
	length := i.between(200*time.Millisecond, maxFaultTime)
	restore := func() { p.set(0, false, false) }
	switch i.random.IntN(5) {
	case 0:
		p.set(i.between(10*time.Millisecond, 150*time.Millisecond), false, false)
		i.begin(name, "delayed", length, restore)
	case 1:
		p.set(0, true, false)
		i.begin(name, "blocked towards the server", length, restore)
	case 2:
		p.set(0, false, true)
		i.begin(name, "blocked towards the client", length, restore)
	case 3:
		p.set(0, true, true)
		i.begin(name, "blocked", length, restore)
	case 4:
		p.reset()
		i.begin(name, "reset", 0, func() {})
	}
}

func (i *injector) server() *server { return i.cluster.servers[i.random.IntN(serverCount)] }

func (i *injector) serverConnectionFault() {
	s := i.server()
	i.connectionFault(s.name, s.proxy)
}

func (i *injector) storeConnectionFault() { i.connectionFault("store", i.cluster.storeProxy) }

func (i *injector) engineConnectionFault() {
	r := i.cluster.ranks[i.random.IntN(rankCount)]
	i.connectionFault(r.process.name+" engine", r.proxy)
}

func (i *injector) storeOutage() {
	i.cluster.store.SetDown(true)
	i.begin("store", "down", i.between(200*time.Millisecond, maxFaultTime), func() { i.cluster.store.SetDown(false) })
}

// restoreStore restores the store from the last copy, with or without an outage before it,
// or makes a new copy. What the copy lacks is written again after a time.
func (i *injector) restoreStore() {
	if i.random.IntN(2) == 0 {
		i.backup = i.cluster.store.Copy()
		return
	}
	if i.random.IntN(2) == 0 {
		i.storeOutage()
	}
	i.cluster.store.Restore(i.backup)
	i.begin("store", "restored", i.between(0, time.Second), i.cluster.writeAgain)
}

func (i *injector) serverMode() {
	s := i.server()
	s.mode.Store(i.random.Int32N(modeCount))
	i.begin(s.name+" mode", "mode", i.between(200*time.Millisecond, 1500*time.Millisecond), func() { s.mode.Store(modeServe) })
}

func (i *injector) drainServer() {
	s := i.server()
	select {
	case i.leaving <- struct{}{}:
	default:
		return
	}
	if !s.leaving.CompareAndSwap(false, true) {
		<-i.leaving
		return
	}
	// Some servers never report that they are draining.
	if i.random.IntN(3) == 0 {
		i.cluster.store.Delete("servers/" + s.name)
	} else {
		i.cluster.register(s, "draining")
	}
	i.begin(s.name+" leaving", "leaving", leaveTime, func() {
		s.replica.Restart()
		s.starts.Add(1)
		s.leaving.Store(false)
		i.cluster.register(s, "ready")
		<-i.leaving
	})
}

func (i *injector) publish() {
	i.cluster.publish(int(i.cluster.version.Add(1)))
}

// publishOlder publishes an older configuration, as a store does that was restored from
// a backup. Entries have to ignore it.
func (i *injector) publishOlder() {
	if version := i.cluster.version.Load(); version > 2 {
		i.cluster.publish(int(version) - 2)
	}
}

func (i *injector) changeHotExpert() { i.cluster.engines.SetHotExpert(i.random.IntN(expertCount)) }

// poisonRead makes a read deadly until the end of the run.
func (i *injector) poisonRead() { i.cluster.deadlyRead.Store(true) }

// poison makes a prompt part deadly until the end of the run.
func (i *injector) poison() { i.cluster.deadly.Store(true) }
