package soak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/anvilpoint/anvilpoint/task"
)

// faults injects faults by a seeded schedule. Faults overlap; each is undone after a
// while, and all are at the end.
type faults struct {
	world  *world
	random *rand.Rand
	undo   *task.Group
	// leaving are the servers that are being taken away, to keep some.
	leaving chan struct{}
}

const (
	leastPause, mostPause = 50 * time.Millisecond, 400 * time.Millisecond
	// mostFault is the longest time of a fault.
	mostFault = 2500 * time.Millisecond
	// mostLeaving is how many servers may be leaving at one time.
	mostLeaving = 2
	// leaveTime is how long a server that leaves stays away.
	leaveTime = 4 * time.Second
)

func newFaults(w *world) *faults {
	return &faults{
		world: w, random: rand.New(rand.NewPCG(w.seed, 1)), undo: task.NewGroup(context.Background()),
		leaving: make(chan struct{}, mostLeaving),
	}
}

// some returns about half of the kinds of faults. A run with all of them hides what
// only shows where, say, the store is well all the time.
func (f *faults) some() []func() {
	kinds := []func(){
		f.entryFault, f.rankFault, f.serverWay, f.storeWay, f.storeDown, f.serverMode,
		f.leave, f.publish, f.publishOlder, f.heat, f.engineWay,
	}
	f.random.Shuffle(len(kinds), func(a, b int) { kinds[a], kinds[b] = kinds[b], kinds[a] })
	return kinds[:3+f.random.IntN(len(kinds)-3)]
}

// run injects faults for the time, and returns when all are undone.
func (f *faults) run(length time.Duration) error {
	all := f.some()
	for end := time.Now().Add(length); time.Now().Before(end); {
		all[f.random.IntN(len(all))]()
		time.Sleep(f.between(leastPause, mostPause))
	}
	return f.undo.Stop(10 * time.Second)
}

func (f *faults) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// begin notes a fault and undoes it after the time.
func (f *faults) begin(name, what string, length time.Duration, end func()) {
	now := time.Now()
	f.world.history.note(event{at: now, process: name, what: what, until: now.Add(length)})
	f.undo.Go(name, func(context.Context) error {
		time.Sleep(length)
		end()
		return nil
	})
}

func (f *faults) entryFault() { f.processFault(f.world.entries[f.random.IntN(entryCount)].process) }

func (f *faults) rankFault() { f.processFault(f.world.ranks[f.random.IntN(rankCount)].process) }

func (f *faults) processFault(p *process) {
	switch f.random.IntN(4) {
	case 0:
		p.signal(syscall.SIGSTOP)
		f.begin(p.name, "paused", f.between(100*time.Millisecond, mostFault), func() { p.signal(syscall.SIGCONT) })
	case 1:
		p.signal(syscall.SIGKILL)
	default:
		p.signal(syscall.SIGTERM)
	}
}

func (f *faults) way(name string, p *proxy) {
	length := f.between(200*time.Millisecond, mostFault)
	clear := func() { p.set(0, false, false) }
	switch f.random.IntN(5) {
	case 0:
		p.set(f.between(10*time.Millisecond, 150*time.Millisecond), false, false)
		f.begin(name, "delayed", length, clear)
	case 1:
		p.set(0, true, false)
		f.begin(name, "silent towards the server", length, clear)
	case 2:
		p.set(0, false, true)
		f.begin(name, "silent towards the client", length, clear)
	case 3:
		p.set(0, true, true)
		f.begin(name, "silent", length, clear)
	case 4:
		p.reset()
		f.begin(name, "reset", 0, func() {})
	}
}

func (f *faults) server() *server { return f.world.servers[f.random.IntN(serverCount)] }

func (f *faults) serverWay() {
	s := f.server()
	f.way(s.name, s.way)
}

func (f *faults) storeWay() { f.way("store", f.world.storeWay) }

func (f *faults) engineWay() {
	r := f.world.ranks[f.random.IntN(rankCount)]
	f.way(r.process.name+" engine", r.way)
}

func (f *faults) storeDown() {
	f.world.store.SetDown(true)
	f.begin("store", "down", f.between(200*time.Millisecond, mostFault), func() { f.world.store.SetDown(false) })
}

func (f *faults) serverMode() {
	s := f.server()
	s.mode.Store(f.random.Int32N(modeCount))
	f.begin(s.name+" mode", "mode", f.between(200*time.Millisecond, 1500*time.Millisecond), func() { s.mode.Store(serves) })
}

func (f *faults) leave() {
	s := f.server()
	select {
	case f.leaving <- struct{}{}:
	default:
		return
	}
	f.world.register(s, "draining")
	f.begin(s.name+" leaving", "leaving", leaveTime, func() {
		f.world.register(s, "ready")
		<-f.leaving
	})
}

func (f *faults) publish() {
	f.world.version++
	f.world.publish(f.world.version)
}

// publishOlder brings an older configuration back, as a store that was restored does.
func (f *faults) publishOlder() {
	if f.world.version > 2 {
		f.world.publish(f.world.version - 2)
	}
}

func (f *faults) heat() { f.world.engines.SetHotExpert(f.random.IntN(expertCount)) }
