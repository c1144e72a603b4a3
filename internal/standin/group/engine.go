// Package group is a stand-in for the model engines of an expert-parallel
// group. The ranks run in lock-step: a step ends only when every rank has entered it.
// The stand-in records each step in which two ranks used different maps, as ground truth
// for tests of the product.
package group

import (
	"slices"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// MapMismatch is a step in which two ranks used different maps.
type MapMismatch struct {
	Step   uint64             `json:"step"`
	Ranks  [2]ident.Rank      `json:"ranks"`
	Epochs [2]expertmap.Epoch `json:"epochs"`
}

// Ranks is a group of engine ranks. One task owns it.
type Ranks struct {
	// checksFencing tells for each rank whether it refuses orders with an old fencing token.
	checksFencing []bool
	ranks         []rank
	// lastBoot is the number of the last start of an engine, counted over all ranks.
	lastBoot  uint64
	completed uint64
	// openSteps holds, for each incomplete step, the ranks that have entered it.
	openSteps  map[uint64][]stepEntry
	mismatches []MapMismatch
}

// stepEntry is the entry of a rank into a step with the map that it used.
type stepEntry struct {
	rank  ident.Rank
	epoch expertmap.Epoch
	hash  uint64
}

// rank is the engine of one rank.
type rank struct {
	boot    uint64
	maps    map[expertmap.Epoch]*expertmap.Map
	hashes  map[expertmap.Epoch]uint64
	current expertmap.Epoch
	// entered is the last step that the rank has entered. The rank is still in it if inStep
	// is set.
	entered uint64
	inStep  bool
	// held is set while the rank enters no step at all.
	held bool
	// armed is the token of the order that stopped the rank, zero once it is released.
	armed expertmap.Epoch
	// stopBefore is the step before which the rank waits for a release; zero means none.
	stopBefore uint64
	// switchStep is the step from which the rank uses the map next; zero means no switch.
	switchStep uint64
	next       expertmap.Epoch
	// highestToken is the highest fencing token of an accepted order.
	highestToken expertmap.Epoch
	// stalled is set while the process of the rank is paused.
	stalled bool
}

// NewRanks returns ranks that enter no step until they are told which map to use.
// checksFencing tells for each rank whether it refuses orders with an old fencing token.
func NewRanks(checksFencing []bool) *Ranks {
	g := &Ranks{checksFencing: checksFencing, ranks: make([]rank, len(checksFencing)), openSteps: make(map[uint64][]stepEntry)}
	for i := range g.ranks {
		g.Crash(ident.Rank(i))
	}
	return g
}

// Crash replaces a rank by one that has just started and has no map. The old process is
// no longer counted in an incomplete step.
func (g *Ranks) Crash(r ident.Rank) {
	for step, entries := range g.openSteps {
		g.openSteps[step] = slices.DeleteFunc(entries, func(e stepEntry) bool { return e.rank == r })
	}
	g.lastBoot++
	g.ranks[r] = rank{boot: g.lastBoot, held: true,
		maps: make(map[expertmap.Epoch]*expertmap.Map), hashes: make(map[expertmap.Epoch]uint64)}
}

// Stall sets whether a rank is prevented from entering steps.
func (g *Ranks) Stall(r ident.Rank, stalled bool) { g.ranks[r].stalled = stalled }

// CompletedSteps returns the number of steps that all ranks have run.
func (g *Ranks) CompletedSteps() uint64 { return g.completed }

// MapMismatches returns the steps in which two ranks used different maps.
func (g *Ranks) MapMismatches() []MapMismatch { return g.mismatches }

// State returns the state that the engine of a rank reports.
func (g *Ranks) State(r ident.Rank) expertmap.EngineState {
	k := &g.ranks[r]
	return expertmap.EngineState{Boot: k.boot, Current: k.current, Next: k.next, Map: k.maps[k.next],
		Entered: k.entered, Armed: k.armed, Held: k.isStopped(), HighestToken: k.highestToken}
}

// isStopped reports whether the rank waits for a release before it enters its next step.
func (k *rank) isStopped() bool { return k.held || k.stopBefore != 0 && k.entered+1 >= k.stopBefore }

// Execute executes an order at the engine of a rank.
func (g *Ranks) Execute(r ident.Rank, o expertmap.Order) expertmap.Result {
	k := &g.ranks[r]
	if o.Kind == expertmap.OrderReadState {
		return expertmap.ResultDone
	}
	if g.checksFencing[r] && o.Token < k.highestToken {
		return expertmap.ResultFenced
	}
	k.highestToken = max(k.highestToken, o.Token)
	switch o.Kind {
	case expertmap.OrderLoad:
		k.load(o)
	case expertmap.OrderHold:
		k.held, k.armed, k.stopBefore = true, o.Token, 0
		k.applySwitch()
	case expertmap.OrderArm:
		return k.arm(o)
	case expertmap.OrderRelease:
		return k.release(o)
	}
	return expertmap.ResultDone
}

// maxMaps is the number of loaded maps that an engine keeps. It keeps old maps so that a
// late release of an old epoch takes effect, as on a real engine with spare memory.
const maxMaps = 6

// load stores a map beside the one in use and discards the oldest unused ones beyond
// maxMaps.
func (k *rank) load(o expertmap.Order) {
	k.maps[o.Token], k.hashes[o.Token] = o.Map, o.Map.Hash()
	for len(k.maps) > maxMaps {
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

// applySwitch makes the next map the current one if the rank's next step is the switch
// step.
func (k *rank) applySwitch() {
	if k.switchStep != 0 && k.entered+1 >= k.switchStep {
		k.current, k.switchStep = k.next, 0
	}
}

// arm stops the rank before the step of the order, unless it has entered that step or has
// a switch pending. A held rank will continue with that step.
func (k *rank) arm(o expertmap.Order) expertmap.Result {
	if k.held {
		if o.Step <= k.entered {
			return expertmap.ResultTooLate
		}
		k.entered, k.inStep = o.Step-1, false
	} else if o.Step <= k.entered || k.switchStep != 0 {
		return expertmap.ResultTooLate
	}
	k.armed, k.stopBefore = o.Token, o.Step
	return expertmap.ResultDone
}

// release lets a stopped rank run on, with the map of the order from the step before
// which it was stopped.
func (k *rank) release(o expertmap.Order) expertmap.Result {
	if _, loaded := k.maps[o.RunEpoch]; !loaded {
		return expertmap.ResultMapMissing
	}
	if k.held && k.stopBefore == 0 {
		return expertmap.ResultMapMissing
	}
	if k.stopBefore != 0 {
		k.next, k.switchStep = o.RunEpoch, k.stopBefore
	}
	k.held, k.armed, k.stopBefore = false, 0, 0
	k.applySwitch()
	return expertmap.ResultDone
}

// EnterStep makes a rank enter its next step, unless it is still in a step, stalled or
// stopped. It reports whether the rank entered.
func (g *Ranks) EnterStep(r ident.Rank) bool {
	k := &g.ranks[r]
	if k.inStep || k.stalled || k.isStopped() {
		return false
	}
	k.applySwitch()
	k.entered++
	k.inStep = true
	g.recordEntry(r, k)
	g.completeStep(k.entered)
	return true
}

// recordEntry records the entry of a rank into a step, and a mismatch if its map differs
// from that of a rank that entered before.
func (g *Ranks) recordEntry(r ident.Rank, k *rank) {
	e := stepEntry{rank: r, epoch: k.current, hash: k.hashes[k.current]}
	entries := g.openSteps[k.entered]
	g.openSteps[k.entered] = append(entries, e)
	for _, other := range entries {
		if other.epoch != e.epoch || other.hash != e.hash {
			g.mismatches = append(g.mismatches, MapMismatch{Step: k.entered, Ranks: [2]ident.Rank{other.rank, r}, Epochs: [2]expertmap.Epoch{other.epoch, e.epoch}})
			return
		}
	}
}

// completeStep ends a step if every rank has entered it.
func (g *Ranks) completeStep(step uint64) {
	if len(g.openSteps[step]) < len(g.ranks) {
		return
	}
	for i := range g.ranks {
		if !g.ranks[i].inStep || g.ranks[i].entered != step {
			return
		}
	}
	g.completed++
	for i := range g.ranks {
		g.ranks[i].inStep = false
	}
	for s := range g.openSteps {
		if s <= step {
			delete(g.openSteps, s)
		}
	}
}

// InStep reports whether the rank is in a step that has not ended.
func (g *Ranks) InStep(r ident.Rank) bool { return g.ranks[r].inStep }

// Map returns the map of rank 0. Just after a complete step all ranks use it.
func (g *Ranks) Map() *expertmap.Map { return g.ranks[0].maps[g.ranks[0].current] }
