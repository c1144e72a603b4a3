package balance

import (
	"math"
	"time"
)

// Estimate smooths the work by layer and expert. Samples may be late, missing
// or out of order.
type Estimate struct {
	window time.Duration
	load   [][]float64
	last   time.Time
}

// NewEstimate returns an estimate in which a sample loses most of its weight
// after the window.
func NewEstimate(layers, experts int, window time.Duration) *Estimate {
	e := &Estimate{window: window, load: make([][]float64, layers)}
	for l := range e.load {
		e.load[l] = make([]float64, experts)
	}
	return e
}

// Observe takes a sample of the work, by layer and expert, that ended at the
// given time. A sample older than the last one, or of another shape, is ignored.
// Each layer's sample counts by its shares, so that busy and idle times weigh
// alike.
func (e *Estimate) Observe(at time.Time, sample [][]float64) bool {
	if !at.After(e.last) || len(sample) != len(e.load) {
		return false
	}
	weight := 1.0
	if !e.last.IsZero() {
		weight = 1 - math.Exp(-float64(at.Sub(e.last))/float64(e.window))
	}
	e.last = at
	for l := range sample {
		e.observeLayer(l, sample[l], weight)
	}
	return true
}

func (e *Estimate) observeLayer(l int, sample []float64, weight float64) {
	total := 0.0
	for _, x := range sample {
		total += x
	}
	if total <= 0 || len(sample) != len(e.load[l]) {
		return
	}
	for i, x := range sample {
		e.load[l][i] += weight * (x/total - e.load[l][i])
	}
}

// Load returns the smoothed shares by layer and expert. The caller does not
// change them.
func (e *Estimate) Load() [][]float64 { return e.load }

// Speeds smooths the ranks' speeds: a slow rank is believed at once, a recovered
// one only after a while, so that a straggler that comes and goes does not make
// the map flap.
type Speeds struct {
	recovery time.Duration
	speeds   []float64
	last     time.Time
}

// NewSpeeds returns speeds of 1 for all ranks.
func NewSpeeds(ranks int, recovery time.Duration) *Speeds {
	s := &Speeds{recovery: recovery, speeds: make([]float64, ranks)}
	for r := range s.speeds {
		s.speeds[r] = 1
	}
	return s
}

// Observe takes a sample of the speeds. A negative value means that the rank's
// speed is unknown this time.
func (s *Speeds) Observe(at time.Time, sample []float64) {
	weight := 0.0
	if !s.last.IsZero() && at.After(s.last) {
		weight = 1 - math.Exp(-float64(at.Sub(s.last))/float64(s.recovery))
	}
	s.last = at
	for r, v := range sample {
		switch {
		case v < 0:
		case v < s.speeds[r]-speedNoise:
			s.speeds[r] = v
		default:
			s.speeds[r] += weight * (v - s.speeds[r])
		}
	}
}

// speedNoise is the decrease of a speed that counts as noise.
const speedNoise = 0.05

// Speeds returns the smoothed speeds. The caller does not change them.
func (s *Speeds) Speeds() []float64 { return s.speeds }
