package expertmap_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

var (
	steps     = flag.Uint64("group.steps", 20000, "engine steps of the randomised runs, over all seeds")
	states    = flag.Int("group.states", 2000, "max states of the exhaustive search, per case")
	largest   = flag.Int("group.ranks", 32, "largest group of the timed simulation: 8, 32, 128 or 256 ranks")
	firstSeed = flag.Uint64("group.seed", 1, "first seed of the randomised runs")
)

// Guards against a step in which two ranks use different maps, under lost, delayed,
// duplicated and reordered messages, pauses, crashes of sidecars and engines, and
// one-way partitions; and against a group that does not run again after the faults.
func TestRandomFaults(t *testing.T) {
	var total, switched, aborted, formed uint64
	for seed := *firstSeed; total < *steps; seed++ {
		w := runSeed(t, seed)
		total += w.engines.CompletedSteps()
		switched += uint64(w.switched)
		aborted += uint64(w.aborted)
		formed += uint64(w.formed)
	}
	t.Logf("steps %d, rank switches %d, aborted %d, formations entered %d, steps with two maps 0", total, switched, aborted, formed)
	must.Positive(t, switched)
	must.Positive(t, aborted)
}

func runSeed(t *testing.T, seed uint64) *simulation {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	w := newSimulation(2+rng.IntN(7), rng.IntN(2) == 0)
	faults := rng.IntN(5)
	w.slowOrders = faults > 0
	for range 30000 {
		w.randomAction(rng, faults)
		if len(w.engines.MapMismatches()) > 0 {
			t.Fatalf("seed %d: two maps in one step: %+v", seed, w.engines.MapMismatches())
		}
	}
	w.checkRecovery(t, seed, rng)
	return w
}

func (w *simulation) randomAction(rng *rand.Rand, faults int) {
	r := ident.Rank(rng.IntN(w.n))
	switch p := rng.IntN(1000); {
	case p < 520:
		if len(w.inFlight) > 0 {
			w.deliver(rng.IntN(len(w.inFlight)))
		}
	case p < 850:
		w.engines.EnterStep(r)
	case p < 960:
		w.advance(time.Duration(1+rng.IntN(10)) * time.Millisecond)
	case p < 970:
		w.proposeSwap(rng)
	case p < 980:
		if w.awake(r) {
			w.step(r, w.engines.State(r))
		}
	case faults > 0 && rng.IntN(6-faults) == 0:
		w.randomFault(rng, r)
	}
	if len(w.inFlight) > 400 {
		w.lose(rng.IntN(len(w.inFlight)))
	}
}

func (w *simulation) randomFault(rng *rand.Rand, r ident.Rank) {
	pair := [2]ident.Rank{r, ident.Rank(rng.IntN(w.n))}
	switch p := rng.IntN(100); {
	case p < 35 && len(w.inFlight) > 0:
		w.lose(rng.IntN(len(w.inFlight)))
	case p < 65 && len(w.inFlight) > 0:
		if f := w.inFlight[rng.IntN(len(w.inFlight))]; f.wire != nil {
			w.inFlight = append(w.inFlight, f)
		}
	case p < 72:
		w.startSidecar(r)
		w.paused[r] = w.now
	case p < 75:
		w.engines.Crash(r)
	case p < 80:
		w.paused[r] = w.now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
	case p < 85:
		w.partitions[pair] = true
	case p < 88:
		w.engines.Stall(r, true)
	default:
		w.engines.Stall(r, false)
		clear(w.partitions)
	}
}

// checkRecovery ends all faults and checks that the group forms, runs and switches.
func (w *simulation) checkRecovery(t *testing.T, seed uint64, rng *rand.Rand) {
	t.Helper()
	clear(w.partitions)
	w.slowOrders = false
	for i := range w.inFlight {
		w.inFlight[i].slow = false
	}
	for r := range w.nodes {
		w.paused[r] = w.now
		w.engines.Stall(ident.Rank(r), false)
	}
	before, switched := w.engines.CompletedSteps(), w.switched
	for round := range 400 {
		for len(w.inFlight) > 0 {
			w.deliver(rng.IntN(len(w.inFlight)))
		}
		w.advance(40 * time.Millisecond)
		for r := range w.nodes {
			w.step(ident.Rank(r), w.engines.State(ident.Rank(r)))
			w.engines.EnterStep(ident.Rank(r))
		}
		if round < 350 && rng.IntN(10) == 0 {
			w.proposeSwap(rng)
		}
		must.Len(t, 0, w.engines.MapMismatches(), must.Sprintf("seed %d", seed))
	}
	epoch, content := w.nodes[0].Map()
	for r, node := range w.nodes {
		e, m := node.Map()
		must.Eq(t, epoch, e, must.Sprintf("seed %d: rank %d ends on another map than rank 0", seed, r))
		must.Eq(t, content.Hash(), m.Hash())
		must.Eq(t, epoch, w.engines.State(ident.Rank(r)).Current)
	}
	must.Greater(t, before+100, w.engines.CompletedSteps(), must.Sprintf("seed %d: the group does not run after the faults", seed))
	must.Greater(t, switched, w.switched, must.Sprintf("seed %d: the group does not switch after the faults", seed))
}
