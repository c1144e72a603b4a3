package expertmap_test

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

const (
	// oneWay is the mean delay of a message between ranks.
	oneWay = 500 * time.Microsecond
	// engineCall is the mean delay of an order to the engine, and of its answer.
	engineCall = time.Millisecond
	stepTime   = 20 * time.Millisecond
	loadTime   = 200 * time.Millisecond
	// framing is the size in bytes of a frame's length prefix and the WebSocket header.
	framing = 8
)

// event is a function to run at a time of a timed simulation.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// timedSimulation runs a group with delays and passes every message through the codec.
type timedSimulation struct {
	t        *testing.T
	now      time.Time
	queue    events
	codec    *codec.Codec
	rng      *rand.Rand
	nodes    []*expertmap.Rank
	engines  *group.Ranks
	sent     []int
	received []int
	// stepDelays are the times that steps were delayed.
	stepDelays []time.Duration
	switched   int
}

func newTimedSimulation(t *testing.T, n, layers, experts, spare int) *timedSimulation {
	c, err := codec.New()
	must.NoError(t, err)
	w := &timedSimulation{t: t, now: time.Unix(1000, 0), codec: c, rng: rand.New(rand.NewPCG(1, uint64(n))),
		engines: group.NewRanks(slices.Repeat([]bool{true}, n)), sent: make([]int, n), received: make([]int, n)}
	for r := range n {
		rank := ident.Rank(r)
		size := time.Duration(n)
		w.nodes = append(w.nodes, expertmap.New(w.now, expertmap.Config{Rank: rank, Ranks: n, Incarnation: ident.Incarnation(r + 1),
			Initial: expertbalance.InitialMap(layers, experts, expertbalance.SlotsPerRank(n, experts, spare)), ChecksFencing: true,
			HeartbeatInterval: max(time.Second, size*50*time.Millisecond), RetryInterval: max(200*time.Millisecond, size*4*time.Millisecond),
			ExchangeTimeout: max(time.Second, size*10*time.Millisecond), LoadTimeout: 30 * time.Second,
			TakeoverTimeout: max(3*time.Second, size*150*time.Millisecond), StepsAhead: 3}))
		w.after(0, func() { w.step(rank, w.engines.State(rank)) })
	}
	w.after(stepTime, w.startStep)
	return w
}

func (w *timedSimulation) after(d time.Duration, do func()) {
	heap.Push(&w.queue, event{w.now.Add(d), do})
}

// jitter returns a random delay from 0.5 to 1.5 times d.
func (w *timedSimulation) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.rng.Int64N(int64(d)))
}

func (w *timedSimulation) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// startStep tries to start a step and retries every 100 µs while an engine is held.
func (w *timedSimulation) startStep() {
	begun := w.now
	var try func()
	try = func() {
		before := w.engines.CompletedSteps()
		for r := range w.nodes {
			w.engines.EnterStep(ident.Rank(r))
		}
		if w.engines.CompletedSteps() == before {
			w.after(100*time.Microsecond, try)
			return
		}
		w.stepDelays = append(w.stepDelays, w.now.Sub(begun))
		w.after(stepTime, w.startStep)
	}
	try()
}

func (w *timedSimulation) step(r ident.Rank, m expertmap.Message) {
	for _, a := range w.nodes[r].Step(w.now, m) {
		switch a := a.(type) {
		case expertmap.Send:
			w.send(r, a)
		case expertmap.SendOrder:
			w.instruct(r, a.Order)
		case expertmap.Notice:
			if a.Name == expertmap.Switched {
				w.switched++
			}
		}
	}
	if at, ok := w.nodes[r].Deadline(); ok {
		w.after(max(at.Sub(w.now), time.Millisecond), func() {
			if again, ok := w.nodes[r].Deadline(); ok && !again.After(w.now) {
				w.step(r, expertmap.Tick{})
			}
		})
	}
}

func (w *timedSimulation) send(from ident.Rank, a expertmap.Send) {
	payload, err := w.codec.EncodePayload(a.Message)
	must.NoError(w.t, err)
	frame, err := w.codec.Encode(message.Envelope{Message: &message.ExpertMap{Group: "group-0", From: from, To: a.To, Payload: payload}})
	must.NoError(w.t, err)
	w.sent[from] += len(frame) + framing
	w.received[a.To] += len(frame) + framing
	w.after(w.jitter(oneWay), func() {
		var wire expertmap.PeerMessage
		must.NoError(w.t, w.codec.DecodePayload(payload, &wire))
		w.step(a.To, wire)
	})
}

func (w *timedSimulation) instruct(r ident.Rank, o expertmap.Order) {
	delay := engineCall
	if o.Kind == expertmap.OrderLoad {
		delay = loadTime
	}
	w.after(w.jitter(delay), func() {
		reply := expertmap.OrderReply{ID: o.ID, Result: w.engines.Execute(r, o), State: w.engines.State(r)}
		w.after(w.jitter(engineCall), func() { w.step(r, reply) })
	})
}

func (w *timedSimulation) clear() {
	w.stepDelays = nil
	clear(w.sent)
	clear(w.received)
}

// Guards against a switch that delays the steps by more than a round trip, and against
// heartbeat traffic of the leader that exceeds 4 KiB/s. It also logs the traffic of a
// switch and the memory per rank. The map has 60 layers with 256 experts; a switch changes
// 64 slots.
func TestFiguresOfSwitches(t *testing.T) {
	for _, n := range []int{8, 32, 128, 256} {
		if n > *largest {
			break
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newTimedSimulation(t, n, 60, 256, 256)
		w.run(40 * time.Second)
		must.True(t, w.nodes[0].Leads())
		runtime.GC()
		runtime.ReadMemStats(&after)
		w.clear()
		w.run(60 * time.Second)
		idleLeader, idleRank := w.sent[0]+w.received[0], w.sent[1]+w.received[1]
		var holds []time.Duration
		w.clear()
		const switches = 20
		for range switches {
			w.stepDelays = nil
			w.propose()
			w.run(3 * time.Second)
			holds = append(holds, slices.Max(w.stepDelays))
		}
		must.Eq(t, switches*n, w.switched)
		must.Len(t, 0, w.engines.MapMismatches())
		slices.Sort(holds)
		t.Logf("%3d ranks: a switch delays the steps by p50 %v, max %v (round trip %v); idle bytes/s: leader %d, other rank %d; bytes per switch: leader %d, other rank %d; memory per rank %d bytes",
			n, holds[switches/2], holds[switches-1], 2*oneWay, idleLeader/60, idleRank/60,
			(w.sent[0]+w.received[0])/switches, (w.sent[1]+w.received[1])/switches, int(after.HeapAlloc-before.HeapAlloc)/n)
		must.LessEq(t, 2*oneWay, holds[switches/2])
		must.LessEq(t, 4096, idleLeader/60)
	}
}

// propose asks the leader to swap 32 pairs of experts.
func (w *timedSimulation) propose() {
	_, m := w.nodes[0].Map()
	var changes []expertmap.Change
	for l := range 32 {
		a, b := w.rng.IntN(len(w.nodes)/2), len(w.nodes)/2+w.rng.IntN(len(w.nodes)/2)
		changes = append(changes,
			expertmap.Change{Layer: l, Rank: ident.Rank(a), Slot: 0, Expert: m.Layers[l][b][0]},
			expertmap.Change{Layer: l, Rank: ident.Rank(b), Slot: 0, Expert: m.Layers[l][a][0]})
	}
	w.step(0, expertmap.Propose{Changes: changes})
}
