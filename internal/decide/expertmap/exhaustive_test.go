package expertmap_test

import (
	"fmt"
	"hash/maphash"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// choice is one event that may happen next in the exhaustive search.
type choice struct {
	kind  choiceKind
	index int
}

type choiceKind byte

const (
	deliver choiceKind = iota
	enter
	crash
	pause
	tick
)

// search visits each state that the choices can reach once. It replays the choices
// from the start for each branch, since ranks cannot be copied.
type search struct {
	ranks   int
	fencing bool
	crashes int
	pauses  int
	ticks   int
	// instant makes engines answer at once, which leaves fewer orderings.
	instant bool
	// limit is the greatest number of states to visit.
	limit   int
	seed    maphash.Seed
	visited map[uint64]bool
	// violation describes a step with two maps.
	violation string
	// ends counts the states in which nothing more can happen, by whether the switch
	// was committed or not.
	ends      int
	endsOnOld int
	endsOnNew int
}

// budgeted is a simulation with the number of faults and steps that may still happen.
type budgeted struct {
	*simulation
	crashes, pauses, ticks int
	enters                 []int
}

// formedGroup returns a running group in which rank 0 has just proposed a switch.
func (s *search) formedGroup() *budgeted {
	n, fencing := s.ranks, s.fencing
	w := newSimulationWith(n, fencing, 1)
	for range 100000 {
		if w.nodes[0].Leads() && len(w.inFlight) == 0 {
			break
		}
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
		w.advance(50 * time.Millisecond)
	}
	w.step(0, expertmap.Propose{Changes: []expertmap.Change{{Layer: 0, Rank: 0, Slot: 0, Expert: 1}}})
	b := &budgeted{simulation: w, crashes: s.crashes, pauses: s.pauses, ticks: s.ticks, enters: make([]int, n)}
	for r := range b.enters {
		b.enters[r] = 2
	}
	return b
}

// deliverWithAnswer delivers a message, or an order together with its answer.
func (w *simulation) deliverWithAnswer(i int) {
	order := w.inFlight[i].order != nil
	w.deliver(i)
	if order {
		w.deliver(len(w.inFlight) - 1)
	}
}

// choices lists what may happen next: any message or order arrives, any engine enters a
// step, a sidecar is replaced, a pause lets every timer expire, or, if nothing is in
// flight, the clock advances.
func (b *budgeted) choices() []choice {
	var list []choice
	seen := make(map[string]bool)
	for i, f := range b.inFlight {
		if name := describe(f); !seen[name] {
			seen[name] = true
			list = append(list, choice{deliver, i})
		}
	}
	quiet := len(list) == 0
	for r := range b.n {
		if b.enters[r] > 0 && b.canEnter(ident.Rank(r)) {
			list = append(list, choice{enter, r})
		}
		if b.crashes > 0 {
			list = append(list, choice{crash, r})
		}
	}
	if b.pauses > 0 {
		list = append(list, choice{pause, 0})
	}
	if quiet && b.ticks > 0 {
		list = append(list, choice{tick, 0})
	}
	return list
}

// answerOrders lets the engines carry out all orders in flight.
func (b *budgeted) answerOrders() {
	for i := 0; i < len(b.inFlight); i++ {
		if b.inFlight[i].order != nil {
			b.deliverWithAnswer(i)
			i = -1
		}
	}
}

func (b *budgeted) do(c choice) {
	switch c.kind {
	case deliver:
		b.deliverWithAnswer(c.index)
	case enter:
		b.enters[c.index]--
		b.engines.EnterStep(ident.Rank(c.index))
	case crash:
		b.crashes--
		b.startSidecar(ident.Rank(c.index))
	case pause:
		b.pauses--
		b.advance(time.Second)
	case tick:
		b.ticks--
		b.advance(200 * time.Millisecond)
	}
}

// canEnter reports whether the engine would enter a step, without trying it.
func (b *budgeted) canEnter(r ident.Rank) bool {
	return !b.engines.State(r).Held && !b.engines.InStep(r)
}

func describe(f flight) string {
	switch {
	case f.wire != nil:
		w := *f.wire
		return fmt.Sprint("w", f.to, w.Kind, w.From, w.Incarnation, w.Addressee, w.Epoch, w.View, w.Step, w.Current, w.Floor, w.Pending, w.SwitchState)
	case f.order != nil:
		return fmt.Sprint("o", f.to, f.incarnation, f.order.Kind, f.order.Token, f.order.Step, f.order.RunEpoch)
	}
	s := f.reply.State
	return fmt.Sprint("r", f.to, f.incarnation, f.reply.ID, f.reply.Result, s.Boot, s.Next, s.Entered, s.Armed, s.Held)
}

func (b *budgeted) fingerprint(seed maphash.Seed) uint64 {
	var parts []string
	for _, f := range b.inFlight {
		parts = append(parts, describe(f))
	}
	sort.Strings(parts)
	text := fmt.Sprint(parts, b.crashes, b.pauses, b.ticks, b.enters)
	for r, node := range b.nodes {
		s := b.engines.State(ident.Rank(r))
		s.Map = nil
		text += node.Fingerprint() + fmt.Sprint(s, b.engines.InStep(ident.Rank(r)))
	}
	return maphash.String(seed, text)
}

func (s *search) replay(path []choice) *budgeted {
	b := s.formedGroup()
	for _, c := range path {
		s.do(b, c)
	}
	return b
}

func (s *search) do(b *budgeted, c choice) {
	b.do(c)
	if s.instant {
		b.answerOrders()
	}
}

// run visits the states depth first. It returns false once a step used two maps or the
// limit of states is reached.
func (s *search) run(b *budgeted, path []choice) bool {
	if two := b.engines.MapMismatches(); len(two) > 0 {
		s.violation = fmt.Sprint(two, path)
		return false
	}
	key := b.fingerprint(s.seed)
	if s.visited[key] {
		return true
	}
	if len(s.visited) >= s.limit {
		return false
	}
	s.visited[key] = true
	choices := b.choices()
	if len(choices) == 0 {
		s.end(b)
	}
	for n, c := range choices {
		if n > 0 {
			b = s.replay(path)
		}
		s.do(b, c)
		if !s.run(b, append(path[:len(path):len(path)], c)) {
			return false
		}
	}
	return true
}

// end counts how the switch ended where nothing more can happen.
func (s *search) end(b *budgeted) {
	s.ends++
	if b.switched > 0 {
		s.endsOnNew++
	} else {
		s.endsOnOld++
	}
}

// Guards against two maps in one step under an ordering of messages, with a replaced
// sidecar or a pause, that a random run does not reach.
func TestEveryOrderOfMessages(t *testing.T) {
	for _, c := range []search{
		{ranks: 2, fencing: true, crashes: 1},
		{ranks: 2, crashes: 1, ticks: 3, instant: true},
		{ranks: 2, fencing: true, crashes: 1, pauses: 1, ticks: 3, instant: true},
		{ranks: 2, fencing: true, crashes: 1, pauses: 1, ticks: 3},
		{ranks: 3, fencing: true, instant: true},
		{ranks: 3, fencing: true, crashes: 1, instant: true},
		{ranks: 3, fencing: true, crashes: 1, ticks: 3, instant: true},
		{ranks: 3, fencing: true, pauses: 1, instant: true},
		{ranks: 3, fencing: true, crashes: 1, pauses: 1, instant: true},
	} {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			s := &c
			s.limit, s.seed, s.visited = *states, maphash.MakeSeed(), make(map[uint64]bool)
			complete := s.run(s.replay(nil), nil)
			must.Eq(t, "", s.violation)
			t.Logf("%d states, complete %v; %d end states, %d with the new map, %d with the old", len(s.visited), complete, s.ends, s.endsOnNew, s.endsOnOld)
		})
	}
}

func (s *search) name() string {
	return fmt.Sprintf("%d ranks, fencing %v, instant orders %v, %d crash, %d pause, %d ticks", s.ranks, s.fencing, s.instant, s.crashes, s.pauses, s.ticks)
}
