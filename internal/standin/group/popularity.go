package group

import (
	"math"
	"math/rand/v2"
	"time"
)

// Popularity is how the tokens of a workload spread over the experts of each
// layer. It starts as a Zipf distribution; then the logarithm of each expert's
// popularity wanders smoothly around its start.
type Popularity struct {
	rng    *rand.Rand
	base   [][]float64
	offset [][]float64
	pull   [][]float64
	spread float64
	time   time.Duration
}

// NewPopularity returns popularities with the Zipf exponent. Each expert's
// popularity wanders by a factor of about e^spread over the wander time.
func NewPopularity(rng *rand.Rand, layers, experts int, exponent, spread float64, wander time.Duration) *Popularity {
	p := &Popularity{rng: rng, spread: spread, time: wander}
	for range layers {
		base := make([]float64, experts)
		for position, e := range rng.Perm(experts) {
			base[e] = -exponent * math.Log(float64(position+1))
		}
		p.base = append(p.base, base)
		p.offset = append(p.offset, make([]float64, experts))
		p.pull = append(p.pull, make([]float64, experts))
	}
	return p
}

// Advance lets the popularities wander. The pull on an expert is an
// Ornstein-Uhlenbeck process and the offset follows the pull, which makes the
// path smooth.
func (p *Popularity) Advance(d time.Duration) {
	step := float64(d) / float64(p.time)
	for l := range p.offset {
		for e := range p.offset[l] {
			p.pull[l][e] += -step*p.pull[l][e] + 2*p.spread*math.Sqrt(step)*p.rng.NormFloat64()
			p.offset[l][e] += step * (p.pull[l][e] - p.offset[l][e])
		}
	}
}

// Shares returns each expert's share of a layer's work.
func (p *Popularity) Shares(layer int) []float64 {
	shares := make([]float64, len(p.base[layer]))
	total := 0.0
	for e := range shares {
		shares[e] = math.Exp(p.base[layer][e] + p.offset[layer][e])
		total += shares[e]
	}
	for e := range shares {
		shares[e] /= total
	}
	return shares
}

// Sample returns how many of the tokens each expert of a layer received, with
// the noise of counting.
func (p *Popularity) Sample(layer, tokens int) []float64 {
	counts := p.Shares(layer)
	for e := range counts {
		mean := counts[e] * float64(tokens)
		counts[e] = max(0, math.Round(mean+math.Sqrt(mean)*p.rng.NormFloat64()))
	}
	return counts
}
