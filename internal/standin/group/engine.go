// Package group is a stand-in for the model engines of an expert-parallel
// group. The ranks run in lock-step: a step ends only when every rank has
// entered it. The stand-in records each step in which two ranks used different
// maps; this record is the ground truth that tests compare the product with.
package group

import (
	"slices"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Two is one step in which two ranks used different maps.
type Two struct {
	Step   uint64             `json:"step"`
	Ranks  [2]ident.Rank      `json:"ranks"`
	Epochs [2]expertmap.Epoch `json:"epochs"`
}

// Ranks is a group of engine ranks. One task owns it.
type Ranks struct {
	// checks says which ranks refuse orders with an old token.
	checks    []bool
	ranks     []rank
	boots     uint64
	completed uint64
	// open holds, for each step that is not complete, the ranks that entered it.
	open map[uint64][]entry
	two  []Two
}

type entry struct {
	rank  ident.Rank
	epoch expertmap.Epoch
	hash  uint64
}

// rank is one engine.
type rank struct {
	boot    uint64
	maps    map[expertmap.Epoch]*expertmap.Map
	hashes  map[expertmap.Epoch]uint64
	current expertmap.Epoch
	entered uint64
	inside  bool
	held    bool
	armed   expertmap.Epoch
	// stop is the step before which the rank waits; zero means that it runs.
	stop     uint64
	switchAt uint64
	next     expertmap.Epoch
	fence    expertmap.Epoch
	stalled  bool
}

// NewRanks returns ranks that hold until they are told which map to use. checks
// says, for each rank, whether it refuses orders with an old token.
func NewRanks(checks []bool) *Ranks {
	g := &Ranks{checks: checks, ranks: make([]rank, len(checks)), open: make(map[uint64][]entry)}
	for i := range g.ranks {
		g.Crash(ident.Rank(i))
	}
	return g
}

// Crash replaces a rank by one that has just started and holds no map. What the
// old process did in a step that is not complete is gone with it.
func (g *Ranks) Crash(r ident.Rank) {
	for step, entries := range g.open {
		g.open[step] = slices.DeleteFunc(entries, func(e entry) bool { return e.rank == r })
	}
	g.boots++
	g.ranks[r] = rank{boot: g.boots, held: true,
		maps: make(map[expertmap.Epoch]*expertmap.Map), hashes: make(map[expertmap.Epoch]uint64)}
}

// Stall stops a rank from entering steps, or lets it go on.
func (g *Ranks) Stall(r ident.Rank, stalled bool) { g.ranks[r].stalled = stalled }

// Completed returns the number of steps that all ranks ran.
func (g *Ranks) Completed() uint64 { return g.completed }

// TwoMaps returns the steps in which two ranks used different maps.
func (g *Ranks) TwoMaps() []Two { return g.two }

// State returns what a rank says about itself.
func (g *Ranks) State(r ident.Rank) expertmap.EngineState {
	k := &g.ranks[r]
	return expertmap.EngineState{Boot: k.boot, Current: k.current, Next: k.next, Map: k.maps[k.next],
		Entered: k.entered, Armed: k.armed, Held: k.waits(), HighestToken: k.fence}
}

// waits reports whether the rank stands before its next step until it is released.
func (k *rank) waits() bool { return k.held || k.stop != 0 && k.entered+1 >= k.stop }

// Order carries out an order.
func (g *Ranks) Order(r ident.Rank, o expertmap.Order) expertmap.Result {
	k := &g.ranks[r]
	if o.Kind == expertmap.OrderReadState {
		return expertmap.ResultDone
	}
	if g.checks[r] && o.Token < k.fence {
		return expertmap.ResultFenced
	}
	k.fence = max(k.fence, o.Token)
	switch o.Kind {
	case expertmap.OrderLoad:
		k.load(o)
	case expertmap.OrderHold:
		k.held, k.armed, k.stop = true, o.Token, 0
		k.settle()
	case expertmap.OrderArm:
		return k.arm(o)
	case expertmap.OrderRelease:
		return k.release(o)
	}
	return expertmap.ResultDone
}

// keptMaps is how many loaded maps an engine keeps. Old ones make late orders
// dangerous, as they would be at an engine with memory to spare.
const keptMaps = 6

// load keeps the map beside the one in use and drops the oldest ones.
func (k *rank) load(o expertmap.Order) {
	k.maps[o.Token], k.hashes[o.Token] = o.Map, o.Map.Hash()
	for len(k.maps) > keptMaps {
		oldest := o.Token
		for e := range k.maps {
			if e != k.current && e != k.next {
				oldest = min(oldest, e)
			}
		}
		delete(k.maps, oldest)
		delete(k.hashes, oldest)
	}
}

// settle takes over a switch whose step is the next one.
func (k *rank) settle() {
	if k.switchAt != 0 && k.entered+1 >= k.switchAt {
		k.current, k.switchAt = k.next, 0
	}
}

func (k *rank) arm(o expertmap.Order) expertmap.Result {
	if k.held {
		if o.Step <= k.entered {
			return expertmap.ResultTooLate
		}
		k.entered, k.inside = o.Step-1, false
	} else if o.Step <= k.entered || k.switchAt != 0 {
		return expertmap.ResultTooLate
	}
	k.armed, k.stop = o.Token, o.Step
	return expertmap.ResultDone
}

func (k *rank) release(o expertmap.Order) expertmap.Result {
	if _, loaded := k.maps[o.RunEpoch]; !loaded {
		return expertmap.ResultMapMissing
	}
	if k.held && k.stop == 0 {
		return expertmap.ResultMapMissing
	}
	if k.stop != 0 {
		k.next, k.switchAt = o.RunEpoch, k.stop
	}
	k.held, k.armed, k.stop = false, 0, 0
	k.settle()
	return expertmap.ResultDone
}

// Enter lets a rank enter its next step if it may, and reports whether it did.
func (g *Ranks) Enter(r ident.Rank) bool {
	k := &g.ranks[r]
	if k.inside || k.stalled || k.waits() {
		return false
	}
	k.settle()
	k.entered++
	k.inside = true
	g.record(r, k)
	g.complete(k.entered)
	return true
}

func (g *Ranks) record(r ident.Rank, k *rank) {
	e := entry{rank: r, epoch: k.current, hash: k.hashes[k.current]}
	entries := g.open[k.entered]
	g.open[k.entered] = append(entries, e)
	for _, other := range entries {
		if other.epoch != e.epoch || other.hash != e.hash {
			g.two = append(g.two, Two{Step: k.entered, Ranks: [2]ident.Rank{other.rank, r}, Epochs: [2]expertmap.Epoch{other.epoch, e.epoch}})
			return
		}
	}
}

// complete ends a step that every rank has entered.
func (g *Ranks) complete(step uint64) {
	if len(g.open[step]) < len(g.ranks) {
		return
	}
	for i := range g.ranks {
		if !g.ranks[i].inside || g.ranks[i].entered != step {
			return
		}
	}
	g.completed++
	for i := range g.ranks {
		g.ranks[i].inside = false
	}
	for s := range g.open {
		if s <= step {
			delete(g.open, s)
		}
	}
}

// Inside reports whether the rank is in a step that has not ended.
func (g *Ranks) Inside(r ident.Rank) bool { return g.ranks[r].inside }

// Map returns the map of the first rank, which all ranks use after a whole step.
func (g *Ranks) Map() *expertmap.Map { return g.ranks[0].maps[g.ranks[0].current] }
