package group

import (
	"math"
	"math/rand/v2"
	"time"
)

// Popularity simulates how the tokens of a workload spread over the experts of each
// layer. It starts as a Zipf distribution. Then the logarithm of each expert's popularity
// drifts smoothly around its initial value.
type Popularity struct {
	rng *rand.Rand
	// initialLog holds the logarithms of the initial popularity by layer and expert, and
	// logOffset their drift. Each offset follows its target.
	initialLog [][]float64
	logOffset  [][]float64
	target     [][]float64
	spread     float64
	driftTime  time.Duration
}

// NewPopularity returns a popularity with the Zipf exponent. Each expert's popularity
// drifts by a factor of about e^spread within driftTime.
func NewPopularity(rng *rand.Rand, layers, experts int, exponent, spread float64, driftTime time.Duration) *Popularity {
	p := &Popularity{rng: rng, spread: spread, driftTime: driftTime}
	for range layers {
		initial := make([]float64, experts)
		for position, e := range rng.Perm(experts) {
			initial[e] = -exponent * math.Log(float64(position+1))
		}
		p.initialLog = append(p.initialLog, initial)
		p.logOffset = append(p.logOffset, make([]float64, experts))
		p.target = append(p.target, make([]float64, experts))
	}
	return p
}

// Advance simulates the drift over a time. The target of each expert is an
// Ornstein-Uhlenbeck process; its offset follows the target, which makes the path smooth.
func (p *Popularity) Advance(d time.Duration) {
	step := float64(d) / float64(p.driftTime)
	for l := range p.logOffset {
		for e := range p.logOffset[l] {
			p.target[l][e] += -step*p.target[l][e] + 2*p.spread*math.Sqrt(step)*p.rng.NormFloat64()
			p.logOffset[l][e] += step * (p.target[l][e] - p.logOffset[l][e])
		}
	}
}

// Shares returns each expert's share of the work of a layer.
func (p *Popularity) Shares(layer int) []float64 {
	shares := make([]float64, len(p.initialLog[layer]))
	total := 0.0
	for e := range shares {
		shares[e] = math.Exp(p.initialLog[layer][e] + p.logOffset[layer][e])
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// Sample returns how many of the tokens each expert of a layer receives, with counting
// noise.
func (p *Popularity) Sample(layer, tokens int) []float64 {
	counts := p.Shares(layer)
	for e := range counts {
		mean := counts[e] * float64(tokens)
		counts[e] = max(0, math.Round(mean+math.Sqrt(mean)*p.rng.NormFloat64()))
	}
	return counts
}
