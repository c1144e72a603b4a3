package policybench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// start is the virtual time at which each run begins.
var start = time.Unix(1_000_000, 0)

// event is a call at a point in virtual time. seq orders events with the same time.
type event struct {
	at   time.Time
	seq  int
	call func()
}

// events is a heap of the events to come.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(a, b int) bool {
	if !e[a].at.Equal(e[b].at) {
		return e[a].at.Before(e[b].at)
	}
	return e[a].seq < e[b].seq
}

// Swap implements heap.Interface.
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// creditKey identifies the requests that count together for maxWaitingForCredit.
type creditKey struct {
	entry   int
	class   ident.PriorityClass
	account ident.ClientAccount
}

// run is one run of a scenario under a policy.
type run struct {
	policy           Policy
	scenario         Scenario
	now              time.Time
	queue            events
	seq              int
	servers          []*server
	byID             map[ident.ServerID]*server
	routers          []*routing.Router
	requests         []*request
	byItem           map[admission.ID]*request
	waitingForCredit map[creditKey]int
	// controlBytes counts the bytes of load reports, of answers to offers and, for a
	// global queue, of the messages that tell it about arrivals and completions.
	controlBytes int64
}

// Sizes of control messages in bytes, as the codec encodes them.
const (
	reportBytes  = 90
	answerBytes  = 40
	requestBytes = 120
)

// Run simulates a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	r := &run{
		policy: p, scenario: s, now: start, byID: make(map[ident.ServerID]*server),
		byItem: make(map[admission.ID]*request), waitingForCredit: make(map[creditKey]int),
	}
	r.setUp()
	r.scheduleArrivals()
	end := start.Add(s.Duration)
	for len(r.queue) > 0 && r.queue[0].at.Before(end) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.call()
	}
	return r.result(end)
}

// after schedules a call in virtual time.
func (r *run) after(d time.Duration, call func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.now.Add(d), seq: r.seq, call: call})
}

func (r *run) newQueue() Queue {
	if r.policy.FCFS {
		return &fcfs{}
	}
	c := r.policy.Admission
	if r.policy.GlobalQueue {
		c.Slots *= replicas
		c.UrgentSlots *= replicas
		c.Rate *= replicas
		c.MaxItems = 1024 * replicas
	}
	return admission.New(c)
}

// setUp creates the replicas and the entries' routers.
func (r *run) setUp() {
	var list []routing.Server
	global := r.newQueue()
	for n := range replicas {
		q := global
		if !r.policy.GlobalQueue {
			q = r.newQueue()
		}
		s := &server{id: ident.ServerID(fmt.Sprintf("s%d", n)), queue: q, cache: make(map[uint64]int), lastReport: start}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
		list = append(list, routing.Server{ID: s.id, Model: "m", Domain: ident.FailureDomain(fmt.Sprint(n % 3))})
		r.after(time.Duration(n)*heartbeatInterval/replicas, func() { r.sendLoadReport(s) })
	}
	for n := range entries {
		router := routing.New(r.scenario.Seed+uint64(n), routing.Config{Domain: ident.FailureDomain(fmt.Sprint(n)), Baseline: r.policy.Routing})
		router.Step(start, routing.Membership{Servers: list})
		r.routers = append(r.routers, router)
	}
	r.after(expireInterval, r.expire)
}

// scheduleArrivals schedules all requests. They depend only on the scenario and its
// seed, so that every policy gets the same ones.
func (r *run) scheduleArrivals() {
	for n := range r.scenario.Loads {
		rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(n)))
		load := &r.scenario.Loads[n]
		at := load.Start
		for {
			at += time.Duration(rng.ExpFloat64() / load.Rate * float64(time.Second))
			if at >= r.scenario.Duration {
				break
			}
			q := newRequest(rng, load, len(r.requests))
			q.arrived = start.Add(at)
			r.requests = append(r.requests, q)
			r.byItem[q.id] = q
			r.after(at, func() { r.dispatch(q) })
		}
	}
}

func newRequest(rng *rand.Rand, load *Load, n int) *request {
	q := &request{
		id: admission.ID{Request: ident.RequestID(fmt.Sprintf("r-%d.s", n)), Attempt: 1}, load: load,
		entry: rng.IntN(entries), home: rng.IntN(replicas), prompt: drawLength(rng, load.Prompt), output: drawLength(rng, load.Output),
	}
	if load.Prefixes > 0 {
		// The product of two normal deviates makes a few prefixes much more frequent than
		// the others.
		q.prefix = 1 + uint64(rng.NormFloat64()*rng.NormFloat64()*float64(load.Prefixes)/4+float64(load.Prefixes)/2)%uint64(load.Prefixes)
	}
	return q
}

// drawLength draws a length between half and one and a half times the mean.
func drawLength(rng *rand.Rand, mean int64) int64 {
	return max(1, mean/2+rng.Int64N(mean+1))
}

// sendLoadReport sends the load report of a replica to all entries, at once and then
// every heartbeatInterval.
func (r *run) sendLoadReport(s *server) {
	elapsed := r.now.Sub(s.lastReport).Seconds()
	rate := 0.0
	if elapsed > 0 {
		rate = s.tokensSinceReport / elapsed
	}
	s.tokensSinceReport, s.lastReport = 0, r.now
	if !r.policy.GlobalQueue {
		m := routing.Report{
			Server: s.id, Running: len(s.running), QueuedCost: s.queue.QueuedCost(), Slots: slots, Rate: rate,
			Window: s.queue.Window(r.now, entries), UsesCredit: r.policy.Credits, Age: hopLatency,
		}
		for _, router := range r.routers {
			r.controlBytes += reportBytes
			r.after(hopLatency, func() { router.Step(r.now, m) })
		}
	}
	r.after(heartbeatInterval, func() { r.sendLoadReport(s) })
}

// expire refuses the expired items of all queues, at once and then every
// expireInterval.
func (r *run) expire() {
	for _, s := range r.servers {
		r.expireAt(s)
	}
	r.after(expireInterval, r.expire)
}

// expireAt refuses the expired items of the replica's queue.
func (r *run) expireAt(s *server) {
	for _, i := range s.queue.Expire(r.now) {
		r.refuse(s, r.byItem[i.ID], false)
	}
}
