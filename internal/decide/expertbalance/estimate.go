package expertbalance

import (
	"math"
	"time"
)

// LoadEstimator keeps an exponential moving average of the experts' loads by layer.
// Samples may be late, missing or out of order.
type LoadEstimator struct {
	window time.Duration
	load   [][]float64
	last   time.Time
}

// NewLoadEstimator returns one without samples. The window is the time constant of the
// average: after it, a sample keeps 1/e of its weight.
func NewLoadEstimator(layers, experts int, window time.Duration) *LoadEstimator {
	e := &LoadEstimator{window: window, load: make([][]float64, layers)}
	for l := range e.load {
		e.load[l] = make([]float64, experts)
	}
	return e
}

// Observe adds a sample of the load by layer and expert that ended at the given
// time. It ignores a sample that is not newer than the last one or that has
// another shape, and then returns false. Each layer's sample is normalized to
// shares, so that busy and idle periods have the same weight.
func (e *LoadEstimator) Observe(at time.Time, sample [][]float64) bool {
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

func (e *LoadEstimator) observeLayer(l int, sample []float64, weight float64) {
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

// Load returns each expert's smoothed share of the load, by layer and expert. The
// caller must not modify it.
func (e *LoadEstimator) Load() [][]float64 { return e.load }

// SpeedEstimator smooths the ranks' speeds. A decrease takes effect at once and an increase
// gradually, so that an intermittent straggler does not make the map flap.
type SpeedEstimator struct {
	recovery time.Duration
	speeds   []float64
	last     time.Time
}

// NewSpeedEstimator returns speeds of 1 for all ranks. Recovery is the time constant of
// the average by which a speed increases.
func NewSpeedEstimator(ranks int, recovery time.Duration) *SpeedEstimator {
	s := &SpeedEstimator{recovery: recovery, speeds: make([]float64, ranks)}
	for r := range s.speeds {
		s.speeds[r] = 1
	}
	return s
}

// Observe adds a sample of the speeds. A negative value means that the rank's
// speed was not measured.
func (s *SpeedEstimator) Observe(at time.Time, sample []float64) {
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

// speedNoise is the largest decrease of a relative speed that counts as noise.
const speedNoise = 0.05

// Speeds returns the smoothed speeds by rank. The caller must not modify them.
func (s *SpeedEstimator) Speeds() []float64 { return s.speeds }
