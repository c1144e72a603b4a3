package expertbalance_test

import (
	"flag"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

const (
	figureRanks   = 32
	figureExperts = 256
	figureSpare   = 32
	interval      = 30 * time.Second
	tokens        = 2_400_000
)

var (
	intervals  = flag.Int("balance.intervals", 720, "intervals of 30 s that TestFiguresOfADay simulates; 2880 are a day")
	figureSeed = flag.Uint64("balance.seed", 1, "seed of the popularity in TestFiguresOfADay")
)

// strategy is one way of updating a map, with its cost and its step times.
type strategy struct {
	layers    []expertmap.Layer
	copies    int
	skews     []float64 // slowest rank's time over the mean, per layer and interval
	totalTime float64   // sum of step times relative to the best possible
	worst     float64   // longest step time relative to the best possible
}

// simulation runs three strategies under one popularity: static never changes the
// map, scratch repacks a skewed layer from scratch, planned follows the planner.
type simulation struct {
	popularity *group.Popularity
	estimate   *expertbalance.LoadEstimator
	speeds     []float64
	slots      []int
	static     strategy
	scratch    strategy
	planned    strategy
}

func newSimulation(seed uint64, layers int, slow float64) *simulation {
	sim := &simulation{
		popularity: group.NewPopularity(rand.New(rand.NewPCG(seed, 3)), layers, figureExperts, 1, 0.7, 2*time.Hour),
		estimate:   expertbalance.NewLoadEstimator(layers, figureExperts, 90*time.Second),
		slots:      expertbalance.SlotsPerRank(figureRanks, figureExperts, figureSpare),
		speeds:     make([]float64, figureRanks),
	}
	for r := range sim.speeds {
		sim.speeds[r] = 1
	}
	sim.speeds[7] = slow
	for l := range layers {
		start := expertbalance.PackFromScratch(sim.popularity.Shares(l), sim.speeds, sim.slots)
		for _, c := range []*strategy{&sim.static, &sim.scratch, &sim.planned} {
			c.layers = append(c.layers, start.Clone())
		}
	}
	return sim
}

// run simulates a number of intervals. Every fifth sample is missing, and a plan
// takes effect in the interval after the sample that it was computed from.
func (sim *simulation) run(intervals int) {
	for n := range intervals {
		sim.popularity.Advance(interval)
		for l := range sim.planned.layers {
			truth := sim.popularity.Shares(l)
			for _, c := range []*strategy{&sim.static, &sim.scratch, &sim.planned} {
				c.measure(l, truth, sim.speeds)
			}
		}
		if n%5 != 4 {
			sim.observe(n)
		}
		sim.replan()
	}
}

func (sim *simulation) observe(n int) {
	var sample [][]float64
	for l := range sim.planned.layers {
		sample = append(sample, sim.popularity.Sample(l, tokens))
	}
	sim.estimate.Observe(time.Unix(0, 0).Add(time.Duration(n+1)*interval), sample)
}

func (sim *simulation) replan() {
	c := expertbalance.DefaultConfig()
	m := &expertmap.Map{Layers: sim.planned.layers}
	plan := expertbalance.ComputePlan(expertbalance.Input{Config: c, Map: m, Load: sim.estimate.Load(), Speeds: sim.speeds})
	next, _ := m.Apply(plan.Changes())
	sim.planned.layers = next.Layers
	sim.planned.copies += plan.Copies
	for l, load := range sim.estimate.Load() {
		if times := expertbalance.RankTimes(sim.scratch.layers[l], load, sim.speeds); slowest(times)/bestStepTime(sim.speeds) <= c.TriggerSkew {
			continue
		}
		layer := expertbalance.PackFromScratch(load, sim.speeds, sim.slots)
		sim.scratch.copies += countLoads(sim.scratch.layers[l], layer)
		sim.scratch.layers[l] = layer
	}
}

func (c *strategy) measure(l int, truth, speeds []float64) {
	times := expertbalance.RankTimes(c.layers[l], truth, speeds)
	mean := 0.0
	for _, t := range times {
		mean += t / float64(len(times))
	}
	c.skews = append(c.skews, slowest(times)/mean)
	c.totalTime += slowest(times) / bestStepTime(speeds)
	c.worst = max(c.worst, slowest(times)/bestStepTime(speeds))
}

func slowest(times []float64) float64 {
	most := 0.0
	for _, t := range times {
		most = max(most, t)
	}
	return most
}

// bestStepTime is the least step time that any map allows for a total load of 1.
func bestStepTime(speeds []float64) float64 {
	total := 0.0
	for _, v := range speeds {
		total += v
	}
	return 1 / total
}

// countLoads counts the experts that ranks have to load, in whichever slot.
func countLoads(from, to expertmap.Layer) int {
	count := 0
	for r := range to {
		had := make(map[expertmap.Expert]bool)
		for _, e := range from[r] {
			had[e] = true
		}
		for _, e := range to[r] {
			if !had[e] {
				count++
			}
		}
	}
	return count
}

func quantile(values []float64, q float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// Guards against a planner that leaves ranks waiting for the slowest one, or that
// moves more bytes than the gain is worth. It must reach 0.95 of the gain of packing
// from scratch with 0.1 of its copies. The seed determines the figures.
func TestFiguresOfADay(t *testing.T) {
	for _, slow := range []float64{1, 0.7} {
		sim := newSimulation(*figureSeed, 2, slow)
		sim.run(*intervals)
		n := float64(len(sim.planned.skews))
		gain := (sim.static.totalTime - sim.planned.totalTime) / (sim.static.totalTime - sim.scratch.totalTime)
		for name, c := range map[string]strategy{"static": sim.static, "scratch": sim.scratch, "planned": sim.planned} {
			t.Logf("slowest rank at %.2f: %-8s slowest/mean p50 %.3f p95 %.3f; step time over best: mean %.3f worst %.3f; copies moved %d (%.2f per layer and plan)",
				slow, name, quantile(c.skews, 0.5), quantile(c.skews, 0.95), c.totalTime/n, c.worst, c.copies, float64(c.copies)/n)
		}
		t.Logf("gain %.4f of scratch's, bytes %.4f of scratch's", gain, float64(sim.planned.copies)/float64(sim.scratch.copies))
		must.GreaterEq(t, 0.95, gain)
		must.LessEq(t, 0.1, float64(sim.planned.copies)/float64(sim.scratch.copies))
		if slow == 1 {
			must.LessEq(t, 1.05, quantile(sim.planned.skews, 0.5))
			must.LessEq(t, 1.10, quantile(sim.planned.skews, 0.95))
		} else {
			must.LessEq(t, 1.10, sim.planned.totalTime/n)
		}
	}
}
