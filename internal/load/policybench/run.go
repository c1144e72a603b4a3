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

var start = time.Unix(1_000_000, 0)

type event struct {
	at   time.Time
	seq  int
	call func()
}

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

// entryKey counts waiting requests at an entry.
type entryKey struct {
	entry   int
	class   ident.PriorityClass
	account ident.ClientAccount
}

// run is one run of a scenario under a policy.
type run struct {
	policy   Policy
	scenario Scenario
	now      time.Time
	queue    events
	seq      int
	servers  []*server
	byID     map[ident.ServerID]*server
	routers  []*routing.Router
	requests []*request
	byItem   map[admission.ID]*request
	waiting  map[entryKey]int
	// controlBytes counts load reports, offers' answers and, for a global queue,
	// the messages that keep it informed.
	controlBytes int64
}

// Sizes of control messages in bytes, as the codec encodes them.
const (
	reportBytes  = 90
	answerBytes  = 40
	requestBytes = 120
)

// Run runs a scenario under a policy.
func Run(s Scenario, p Policy) Result {
	r := &run{
		policy: p, scenario: s, now: start, byID: make(map[ident.ServerID]*server),
		byItem: make(map[admission.ID]*request), waiting: make(map[entryKey]int),
	}
	r.assemble()
	r.arrivals()
	end := start.Add(s.Length)
	for len(r.queue) > 0 && r.queue[0].at.Before(end) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.call()
	}
	return r.result(end)
}

func (r *run) after(d time.Duration, call func()) {
	r.seq++
	heap.Push(&r.queue, event{at: r.now.Add(d), seq: r.seq, call: call})
}

func (r *run) newQueue() Queue {
	if r.policy.FCFS {
		return &fcfs{}
	}
	c := r.policy.Admission
	if r.policy.Global {
		c.Slots *= replicas
		c.UrgentSlots *= replicas
		c.Rate *= replicas
		c.MaxItems = 1024 * replicas
	}
	return admission.New(c)
}

func (r *run) assemble() {
	var list []routing.Server
	shared := r.newQueue()
	for n := range replicas {
		q := shared
		if !r.policy.Global {
			q = r.newQueue()
		}
		s := &server{id: ident.ServerID(fmt.Sprintf("s%d", n)), queue: q, cache: make(map[uint64]int), lastReport: start}
		r.servers = append(r.servers, s)
		r.byID[s.id] = s
		list = append(list, routing.Server{ID: s.id, Model: "m", Domain: ident.FailureDomain(fmt.Sprint(n % 3))})
		r.after(time.Duration(n)*heartbeat/replicas, func() { r.report(s) })
	}
	for n := range entries {
		router := routing.New(r.scenario.Seed+uint64(n), routing.Config{Domain: ident.FailureDomain(fmt.Sprint(n)), Baseline: r.policy.Routing})
		router.Step(start, routing.Membership{Servers: list})
		r.routers = append(r.routers, router)
	}
	r.after(50*time.Millisecond, r.expire)
}

// arrivals schedules all requests from the seed alone, so that every policy sees
// the same ones.
func (r *run) arrivals() {
	for n := range r.scenario.Loads {
		rng := rand.New(rand.NewPCG(r.scenario.Seed, uint64(n)))
		load := &r.scenario.Loads[n]
		at := load.Start
		for {
			at += time.Duration(rng.ExpFloat64() / load.Rate * float64(time.Second))
			if at >= r.scenario.Length {
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
		entry: rng.IntN(entries), home: rng.IntN(replicas), prompt: spread(rng, load.Prompt), output: spread(rng, load.Output),
	}
	if load.Prefixes > 0 {
		// A few prefixes are much more popular than the others.
		q.prefix = 1 + uint64(rng.NormFloat64()*rng.NormFloat64()*float64(load.Prefixes)/4+float64(load.Prefixes)/2)%uint64(load.Prefixes)
	}
	return q
}

func spread(rng *rand.Rand, mean int64) int64 {
	return max(1, mean/2+rng.Int64N(mean+1))
}

// report sends the load report of a replica to all entries.
func (r *run) report(s *server) {
	elapsed := r.now.Sub(s.lastReport).Seconds()
	rate := 0.0
	if elapsed > 0 {
		rate = s.tokens / elapsed
	}
	s.tokens, s.lastReport = 0, r.now
	if !r.policy.Global {
		m := routing.Report{
			Server: s.id, Running: len(s.running), QueuedCost: s.queue.QueuedCost(), Slots: slots, Rate: rate,
			Window: s.queue.Window(r.now, entries), UsesCredit: r.policy.Credits, Age: hop,
		}
		for _, router := range r.routers {
			r.controlBytes += reportBytes
			r.after(hop, func() { router.Step(r.now, m) })
		}
	}
	r.after(heartbeat, func() { r.report(s) })
}

func (r *run) expire() {
	for _, s := range r.servers {
		r.expireAt(s)
	}
	r.after(50*time.Millisecond, r.expire)
}

func (r *run) expireAt(s *server) {
	for _, i := range s.queue.Expire(r.now) {
		r.refuse(s, r.byItem[i.ID], false)
	}
}
