package balance_test

import (
	"flag"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/balance"
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
	intervals  = flag.Int("balance.intervals", 720, "intervals of 30 s in the figures; 2880 are a day")
	figureSeed = flag.Uint64("balance.seed", 1, "seed of the figures")
)

// contender is one way of keeping a map, with what it cost and what it gave.
type contender struct {
	layers []expertmap.Layer
	copies int
	over   []float64 // slowest over mean
	time   float64   // sum of step times, best possible = 1
	worst  float64
}

// day runs the three ways side by side under one popularity.
type day struct {
	popularity *group.Popularity
	estimate   *balance.Estimate
	speeds     []float64
	slots      []int
	static     contender
	scratch    contender
	planned    contender
}

func newDay(seed uint64, layers int, slow float64) *day {
	d := &day{
		popularity: group.NewPopularity(rand.New(rand.NewPCG(seed, 3)), layers, figureExperts, 1, 0.7, 2*time.Hour),
		estimate:   balance.NewEstimate(layers, figureExperts, 90*time.Second),
		slots:      balance.Slots(figureRanks, figureExperts, figureSpare),
		speeds:     make([]float64, figureRanks),
	}
	for r := range d.speeds {
		d.speeds[r] = 1
	}
	d.speeds[7] = slow
	for l := range layers {
		start := balance.Scratch(d.popularity.Shares(l), d.speeds, d.slots)
		for _, c := range []*contender{&d.static, &d.scratch, &d.planned} {
			c.layers = append(c.layers, start.Clone())
		}
	}
	return d
}

// run lets time pass. Every fifth sample is missing, and a plan acts one
// interval after the sample that it was made from.
func (d *day) run(intervals int) {
	for n := range intervals {
		d.popularity.Advance(interval)
		for l := range d.planned.layers {
			truth := d.popularity.Shares(l)
			for _, c := range []*contender{&d.static, &d.scratch, &d.planned} {
				c.measure(l, truth, d.speeds)
			}
		}
		if n%5 != 4 {
			d.observe(n)
		}
		d.replan()
	}
}

func (d *day) observe(n int) {
	var sample [][]float64
	for l := range d.planned.layers {
		sample = append(sample, d.popularity.Sample(l, tokens))
	}
	d.estimate.Observe(time.Unix(0, 0).Add(time.Duration(n+1)*interval), sample)
}

func (d *day) replan() {
	c := balance.DefaultConfig()
	m := &expertmap.Map{Layers: d.planned.layers}
	plan := balance.Make(balance.Input{Config: c, Map: m, Load: d.estimate.Load(), Speeds: d.speeds})
	next, _ := m.Apply(plan.Changes())
	d.planned.layers = next.Layers
	d.planned.copies += plan.Copies
	for l, load := range d.estimate.Load() {
		if times := balance.Times(d.scratch.layers[l], load, d.speeds); slowest(times)/best(d.speeds) <= c.Trigger {
			continue
		}
		layer := balance.Scratch(load, d.speeds, d.slots)
		d.scratch.copies += loads(d.scratch.layers[l], layer)
		d.scratch.layers[l] = layer
	}
}

func (c *contender) measure(l int, truth, speeds []float64) {
	times := balance.Times(c.layers[l], truth, speeds)
	mean := 0.0
	for _, t := range times {
		mean += t / float64(len(times))
	}
	c.over = append(c.over, slowest(times)/mean)
	c.time += slowest(times) / best(speeds)
	c.worst = max(c.worst, slowest(times)/best(speeds))
}

func slowest(times []float64) float64 {
	most := 0.0
	for _, t := range times {
		most = max(most, t)
	}
	return most
}

// best is the step time that no map can beat.
func best(speeds []float64) float64 {
	total := 0.0
	for _, v := range speeds {
		total += v
	}
	return 1 / total
}

// loads counts the experts that ranks have to load, whatever their slots.
func loads(from, to expertmap.Layer) int {
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

// Guards against a planner that lets ranks wait for each other or that moves
// more bytes than the gain is worth. The figures are those of the design page;
// one seed gives the same figures each time.
func TestFiguresOfADay(t *testing.T) {
	for _, slow := range []float64{1, 0.7} {
		d := newDay(*figureSeed, 2, slow)
		d.run(*intervals)
		n := float64(len(d.planned.over))
		gain := (d.static.time - d.planned.time) / (d.static.time - d.scratch.time)
		for name, c := range map[string]contender{"static": d.static, "scratch": d.scratch, "planned": d.planned} {
			t.Logf("slowest rank at %.2f: %-8s slowest/mean p50 %.3f p95 %.3f; step time over best: mean %.3f worst %.3f; copies moved %d (%.2f per layer and plan)",
				slow, name, quantile(c.over, 0.5), quantile(c.over, 0.95), c.time/n, c.worst, c.copies, float64(c.copies)/n)
		}
		t.Logf("gain %.4f of scratch's, bytes %.4f of scratch's", gain, float64(d.planned.copies)/float64(d.scratch.copies))
		must.GreaterEq(t, 0.95, gain)
		must.LessEq(t, 0.1, float64(d.planned.copies)/float64(d.scratch.copies))
		if slow == 1 {
			must.LessEq(t, 1.05, quantile(d.planned.over, 0.5))
			must.LessEq(t, 1.10, quantile(d.planned.over, 0.95))
		} else {
			must.LessEq(t, 1.10, d.planned.time/n)
		}
	}
}
