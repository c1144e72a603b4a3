package booking_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// fault is one kind of fault that a simulation injects.
type fault string

const (
	twoEntries     fault = "same key through two entries at once"
	entryCrash     fault = "entry dies, caller retries elsewhere"
	sidecarRestart fault = "sidecar restarts without memory"
	differentViews fault = "entries and sidecars adopt records late"
	recordFlips    fault = "record changes replicas forth and back"
	lateMessages   fault = "messages arrive seconds late"
	pauses         fault = "sidecar pauses and wakes after a successor started"
	serviceKill    fault = "service dies in calls"
	loss           fault = "messages lost"
	duplication    fault = "messages duplicated"
	partitions     fault = "process pairs cut off, one way or both"
)

func allFaults() []fault {
	return []fault{twoEntries, entryCrash, sidecarRestart, differentViews, recordFlips, lateMessages, pauses, serviceKill, loss, duplication, partitions}
}

const service = ident.ServiceName("ledger")

var epoch = time.Unix(1_700_000_000, 0)

// event is a function call at a virtual time.
type event struct {
	at   time.Time
	seq  int
	call func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].seq < q[b].seq
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// sidecar is one process of the service.
type sidecar struct {
	self     booking.Replica
	home     *booking.Home
	alive    bool
	paused   bool
	pausedAt time.Time
	deferred []func()
}

// entry is one entry process.
type entry struct {
	caller *booking.Caller
	alive  bool
}

// execution is one call that the service ran.
type execution struct {
	at      time.Time
	request ident.RequestID
	body    string
}

// call is one call of a client.
type call struct {
	key     *clientKey
	request ident.RequestID
	began   time.Time
	body    string
	ended   bool
}

// clientKey is one key, with the first and last outcome that its client received.
type clientKey struct {
	id    message.KeyID
	calls int
	last  outcome.Kind
	first outcome.Kind
}

// world simulates entries, sidecars, the network, the service, the instance list
// and the clients in virtual time. A run is determined by its seed and faults.
type world struct {
	rng        *rand.Rand
	faults     map[fault]bool
	now        time.Time
	queue      eventQueue
	seq        int
	steps      int
	sidecars   []*sidecar
	entries    []*entry
	records    []booking.RecordAdopted
	cut        map[string]time.Time
	executions map[ident.IdempotencyKey][]execution
	calls      map[ident.RequestID]*call
	keys       []*clientKey
	serial     int
	violations []string
}

func newWorld(seed uint64, faults ...fault) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), faults: make(map[fault]bool), now: epoch,
		cut: make(map[string]time.Time), executions: make(map[ident.IdempotencyKey][]execution), calls: make(map[ident.RequestID]*call),
	}
	for _, f := range faults {
		w.faults[f] = true
	}
	for n := range 4 {
		w.sidecars = append(w.sidecars, &sidecar{self: booking.Replica{ID: ident.ServerID(fmt.Sprintf("svc-%d", min(n, 2))), Address: fmt.Sprintf("a%d", n)}})
	}
	for range 3 {
		w.entries = append(w.entries, &entry{})
	}
	w.publish([]int{0, 1, 2})
	for n := range 3 {
		w.start(w.sidecars[n])
	}
	for _, e := range w.entries {
		w.startEntry(e)
	}
	return w
}

func (w *world) after(d time.Duration, call func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, call: call})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.queue) > 0 && w.queue[0].at.Before(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.call()
	}
}

// publish announces a new record with the given sidecars as replicas.
func (w *world) publish(members []int) {
	a := booking.RecordAdopted{
		Record:        message.Digest{Revision: ident.Revision(len(w.records) + 1)},
		KeysValidFrom: epoch.Add(time.Second),
	}
	for _, n := range members {
		a.Replicas = append(a.Replicas, w.sidecars[n].self)
	}
	w.records = append(w.records, a)
	for _, s := range w.sidecars {
		w.announce(s, a)
	}
	for _, e := range w.entries {
		w.announceToEntry(e, a)
	}
}

func (w *world) adoptionDelay() time.Duration {
	if w.faults[differentViews] && w.rng.IntN(3) == 0 {
		return w.between(time.Second, 20*time.Second)
	}
	return w.between(time.Millisecond, 500*time.Millisecond)
}

func (w *world) announce(s *sidecar, a booking.RecordAdopted) {
	home := s.home
	w.after(w.adoptionDelay(), func() {
		if s.home == home {
			w.input(s, a)
		}
	})
}

func (w *world) announceToEntry(e *entry, a booking.RecordAdopted) {
	caller := e.caller
	w.after(w.adoptionDelay(), func() {
		if e.caller == caller && e.alive {
			w.entryInput(e, booking.ReplicasChanged{Service: service, Record: a.Record, Replicas: a.Replicas})
		}
	})
}

// start begins an incarnation. With the fault differentViews, the first record
// that it sees may be an old one.
func (w *world) start(s *sidecar) {
	w.now = w.now.Add(time.Microsecond)
	s.home = booking.NewHome(w.now, booking.Identity{Service: service, Self: s.self, Incarnation: ident.NewIncarnation(w.now)})
	s.alive, s.paused, s.deferred = true, false, nil
	first := len(w.records) - 1
	if w.faults[differentViews] {
		first = w.rng.IntN(len(w.records))
	}
	w.input(s, w.records[first])
	w.announce(s, w.records[len(w.records)-1])
	w.tick(s, s.home)
	w.readInstanceList(s, s.home)
}

func (w *world) startEntry(e *entry) {
	e.caller, e.alive = booking.NewCaller(), true
	first := len(w.records) - 1
	if w.faults[differentViews] {
		first = w.rng.IntN(len(w.records))
	}
	a := w.records[first]
	w.entryInput(e, booking.ReplicasChanged{Service: service, Record: a.Record, Replicas: a.Replicas})
	w.announceToEntry(e, w.records[len(w.records)-1])
	w.entryTick(e, e.caller)
}

func (w *world) tick(s *sidecar, home *booking.Home) {
	w.after(200*time.Millisecond, func() {
		if s.home == home && s.alive {
			if !s.paused {
				w.carryOut(s, s.home.Step(w.now, booking.Tick{}))
			}
			w.tick(s, home)
		}
	})
}

func (w *world) entryTick(e *entry, caller *booking.Caller) {
	w.after(100*time.Millisecond, func() {
		if e.caller == caller && e.alive {
			w.entryCarryOut(e, e.caller.Step(w.now, booking.Tick{}))
			w.entryTick(e, caller)
		}
	})
}

// readInstanceList makes a sidecar read the instance list repeatedly. The list
// omits processes that are stopped or have been paused for more than 3 s.
func (w *world) readInstanceList(s *sidecar, home *booking.Home) {
	var listed booking.InstanceListRead
	for _, other := range w.sidecars {
		if other.alive && !(other.paused && w.now.Sub(other.pausedAt) > 3*time.Second) {
			listed.Addresses = append(listed.Addresses, other.self.Address)
		}
	}
	listed.Candidates = listed.Addresses
	w.after(w.between(time.Millisecond, time.Second), func() {
		if s.home == home && s.alive {
			w.input(s, listed)
			w.readInstanceList(s, home)
		}
	})
}

// input delivers an input to a sidecar, or defers it while the sidecar is paused.
func (w *world) input(s *sidecar, in booking.Input) {
	switch {
	case !s.alive:
	case s.paused:
		s.deferred = append(s.deferred, func() { w.input(s, in) })
	default:
		w.steps++
		w.carryOut(s, s.home.Step(w.now, in))
	}
}

func (w *world) entryInput(e *entry, in booking.CallerInput) {
	w.steps++
	w.entryCarryOut(e, e.caller.Step(w.now, in))
}

func (w *world) carryOut(s *sidecar, actions []booking.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case booking.Reply:
			w.reply(s, a)
		case booking.SendToSidecar:
			if n := w.find(a.To); n != nil {
				w.transmit(s.self.Address, a.To, func() {
					w.input(n, booking.Received{From: booking.LinkID(s.self.Address), Message: a.Message})
				})
			}
		case booking.Run:
			w.execute(s, a)
		}
	}
}

func (w *world) reply(s *sidecar, a booking.Reply) {
	to := string(a.To)
	if n := w.find(to); n != nil {
		w.transmit(s.self.Address, to, func() {
			w.input(n, booking.Received{From: booking.LinkID(s.self.Address), Message: a.Message})
		})
		return
	}
	var index int
	if _, err := fmt.Sscanf(to, "e%d", &index); err != nil {
		panic(err)
	}
	e := w.entries[index]
	caller := e.caller
	w.transmit(s.self.Address, to, func() {
		if e.caller == caller && e.alive {
			w.entryInput(e, booking.ReceivedFromHome{Address: s.self.Address, Message: a.Message})
		}
	})
}

func (w *world) find(address string) *sidecar {
	n := slices.IndexFunc(w.sidecars, func(s *sidecar) bool { return s.self.Address == address })
	if n < 0 {
		return nil
	}
	return w.sidecars[n]
}

// transmit delivers one message, subject to the network faults.
func (w *world) transmit(from, to string, deliver func()) {
	if until, ok := w.cut[from+">"+to]; ok && w.now.Before(until) {
		return
	}
	if w.faults[loss] && w.rng.IntN(8) == 0 {
		return
	}
	copies := 1
	if w.faults[duplication] && w.rng.IntN(5) == 0 {
		copies = 2 + w.rng.IntN(2)
	}
	for range copies {
		d := w.between(100*time.Microsecond, 3*time.Millisecond)
		if w.faults[lateMessages] && w.rng.IntN(8) == 0 {
			d = w.between(10*time.Millisecond, 12*time.Second)
		}
		w.after(d, deliver)
	}
}
