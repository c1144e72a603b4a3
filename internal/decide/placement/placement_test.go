package placement_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
)

// inTurn returns the first map of a group: experts are dealt to the ranks in turn.
func inTurn(layers, ranks, experts int) placement.Map {
	m := make(placement.Map, layers)
	for l := range m {
		m[l] = make([][]int, ranks)
		for e := range experts {
			m[l][e%ranks] = append(m[l][e%ranks], e)
		}
	}
	return m
}

// zipf returns a Zipf-distributed load of the experts, in random order per layer set.
func zipf(random *rand.Rand, layers, experts int, exponent float64) [][]float64 {
	work := make([][]float64, layers)
	for l := range work {
		work[l] = make([]float64, experts)
		for i, e := range random.Perm(experts) {
			work[l][e] = 1 / math.Pow(float64(i+1), exponent)
		}
	}
	return work
}

// Guards against plans that lose an expert, exceed the slots of a rank or contain
// more new experts than an engine accepts; the engine would refuse the map.
func TestPlansKeepTheLimits(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	limits := placement.Limits{Slots: 5, MaxNew: 2, MaxCopies: 3}
	for range 50 {
		current := inTurn(4, 16, 64)
		for range 5 {
			plan := placement.ComputePlan(current, placement.Load{Work: zipf(random, 4, 64, 1.1)}, limits)
			must.True(t, plan.Map.Complete(64))
			must.LessEq(t, plan.SkewBefore+1e-9, plan.SkewAfter)
			checkLimits(t, current, plan.Map, limits)
			current = plan.Map
		}
	}
}

func checkLimits(t *testing.T, from, to placement.Map, limits placement.Limits) {
	t.Helper()
	copies := make([]int, len(from[0]))
	for l := range to {
		for r, list := range to[l] {
			must.LessEq(t, limits.Slots, len(list))
			must.Eq(t, len(list), len(slices.Compact(slices.Clone(list))))
			fresh := 0
			for _, e := range list {
				if !slices.Contains(from[l][r], e) {
					fresh++
				}
			}
			must.LessEq(t, limits.MaxNew, fresh)
			copies[r] += fresh
		}
	}
	must.LessEq(t, limits.MaxCopies, slices.Max(copies))
}

// Guards against a planner that stops early: under a constant load, six plans must
// bring the skew below 1.2.
func TestRoundsReachASmallSkew(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	load := placement.Load{Work: zipf(random, 4, 64, 0.9)}
	current := inTurn(4, 16, 64)
	limits := placement.Limits{Slots: 5, MaxNew: 2, MaxCopies: 4}
	skews := []float64{placement.Skew(current, load)}
	for range 6 {
		plan := placement.ComputePlan(current, load, limits)
		current = plan.Map
		skews = append(skews, plan.SkewAfter)
	}
	t.Logf("skew by round: %.2f", skews)
	must.Less(t, 1.2, skews[len(skews)-1])
}

// Guards against a plan that gives a slow rank, which all others wait for, as much
// load as a healthy one.
func TestSlowRankGetsLessWork(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	slowdown := make([]float64, 16)
	slowdown[5] = 4
	load := placement.Load{Work: zipf(random, 4, 64, 0.5), Slowdown: slowdown}
	current := inTurn(4, 16, 64)
	before := placement.Skew(current, load)
	for range 6 {
		current = placement.ComputePlan(current, load, placement.Limits{Slots: 5, MaxNew: 2, MaxCopies: 4}).Map
	}
	after := placement.Skew(current, load)
	t.Logf("skew %.2f to %.2f", before, after)
	must.Less(t, 1.3, after)
}

// BenchmarkLargePlan plans for 72 ranks. A fifth of a core has to finish such a plan
// before the experts' popularity changes.
func BenchmarkLargePlan(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	load := placement.Load{Work: zipf(random, 12, 144, 0.53)}
	current := inTurn(12, 72, 144)
	var plan placement.Plan
	for b.Loop() {
		plan = placement.ComputePlan(current, load, placement.Limits{Slots: 3, MaxNew: 2, MaxCopies: 6})
	}
	b.ReportMetric(plan.SkewBefore, "before")
	b.ReportMetric(plan.SkewAfter, "after")
	b.ReportMetric(float64(plan.MaxRankCopies), "copies")
}

func BenchmarkPlan(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	load := placement.Load{Work: zipf(random, 4, 64, 1.1)}
	current := inTurn(4, 16, 64)
	for b.Loop() {
		placement.ComputePlan(current, load, placement.Limits{Slots: 5, MaxNew: 2, MaxCopies: 4})
	}
}
