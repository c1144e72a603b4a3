package expertbalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

func ones(n int) []float64 {
	v := make([]float64, n)
	for i := range v {
		v[i] = 1
	}
	return v
}

// Guards against a plan that, for some loads, speeds and lost rank, leaves an expert
// without a live rank although there is a slot, or changes the number of slots.
func TestPlansKeepEveryExpert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 8).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 24).Draw(t, "experts")
		spare := rapid.IntRange(experts/ranks+1, 16).Draw(t, "spare")
		load := rapid.SliceOfN(rapid.Float64Range(0, 100), experts, experts).Draw(t, "load")
		speeds := ones(ranks)
		speeds[rapid.IntRange(0, ranks-1).Draw(t, "slow")] = rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "speed")
		m := expertbalance.InitialMap(1, experts, expertbalance.SlotsPerRank(ranks, experts, spare))
		c := expertbalance.DefaultConfig()
		c.MaxCopies = 1000
		plan := expertbalance.ComputePlan(expertbalance.Input{Config: c, Map: m, Load: [][]float64{load}, Speeds: speeds})
		next, ok := m.Apply(plan.Changes())
		must.True(t, ok)
		live := make(map[expertmap.Expert]bool)
		for r, slots := range next.Layers[0] {
			must.Len(t, len(m.Layers[0][r]), slots)
			for _, e := range slots {
				live[e] = live[e] || speeds[r] > 0
			}
		}
		missing := 0
		for e := range experts {
			if !live[expertmap.Expert(e)] {
				missing++
			}
		}
		must.Eq(t, plan.Uncovered, missing)
	})
}

// Guards against an expert whose load exceeds a rank's fair share staying on one rank.
func TestHotExpertIsCopied(t *testing.T) {
	load := ones(64)
	load[3] = 40
	m := expertbalance.InitialMap(1, 64, expertbalance.SlotsPerRank(8, 64, 16))
	plan := expertbalance.ComputePlan(expertbalance.Input{Config: expertbalance.DefaultConfig(), Map: m, Load: [][]float64{load}, Speeds: ones(8)})
	next, _ := m.Apply(plan.Changes())
	times := expertbalance.RankTimes(next.Layers[0], load, ones(8))
	must.Less(t, 1.10*bestStepTime(ones(8))*103, slowest(times))
	must.Greater(t, slowest(expertbalance.RankTimes(m.Layers[0], load, ones(8)))/2, slowest(expertbalance.RankTimes(m.Layers[0], load, ones(8)))-slowest(times))
}

// Guards against an intermittent straggler making the map flap: the sixth slow spell
// must move less than half the copies of the first.
func TestStragglerThatComesAndGoes(t *testing.T) {
	sim := newSimulation(2, 1, 1)
	speeds := expertbalance.NewSpeedEstimator(figureRanks, 30*time.Minute)
	at := time.Unix(0, 0)
	var spells []int
	for spell := range 6 {
		before := sim.planned.copies
		for n := range 10 {
			sample := ones(figureRanks)
			if n < 5 {
				sample[7] = 0.7
			}
			at = at.Add(interval)
			speeds.Observe(at, sample)
			sim.speeds = speeds.Speeds()
			sim.observe(spell*10 + n)
			sim.replan()
		}
		spells = append(spells, sim.planned.copies-before)
	}
	t.Logf("copies moved in each spell: %v", spells)
	must.Less(t, spells[0]/2, spells[5])
}

// Guards against copies whose cost exceeds their gain over the horizon.
func TestGainMustPayForBytes(t *testing.T) {
	sim := newSimulation(3, 1, 1)
	load := [][]float64{sim.popularity.Shares(0)}
	m := expertbalance.InitialMap(1, figureExperts, sim.slots)
	c := expertbalance.DefaultConfig()
	plan := expertbalance.ComputePlan(expertbalance.Input{Config: c, Map: m, Load: load, Speeds: sim.speeds})
	must.Positive(t, plan.Copies)
	c.HorizonSteps = 0.1
	none := expertbalance.ComputePlan(expertbalance.Input{Config: c, Map: m, Load: load, Speeds: sim.speeds})
	must.Zero(t, none.Copies)
}

// BenchmarkLayer plans one layer of 256 experts from a map for equal loads, which
// takes the longest search.
func BenchmarkLayer(b *testing.B) {
	for _, c := range []struct{ ranks, spare int }{{32, 32}, {256, 32}, {256, 256}} {
		b.Run(fmt.Sprintf("%d ranks, %d spare", c.ranks, c.spare), func(b *testing.B) {
			p := group.NewPopularity(rand.New(rand.NewPCG(1, 1)), 1, 256, 1, 0.7, time.Hour)
			m := expertbalance.InitialMap(1, 256, expertbalance.SlotsPerRank(c.ranks, 256, c.spare))
			in := expertbalance.Input{Config: expertbalance.DefaultConfig(), Map: m, Load: [][]float64{p.Shares(0)}, Speeds: ones(c.ranks)}
			var plan expertbalance.Plan
			for b.Loop() {
				plan = expertbalance.ComputePlan(in)
			}
			b.ReportMetric(float64(len(plan.Moves)), "moves")
			b.ReportMetric(plan.SkewAfter, "skew-after")
		})
	}
}
