package admission

import (
	"math"
	"time"
)

// meterWindow is the time constant of the measured rates. It is long enough to
// smooth out single items and short enough to follow a burst within seconds.
const meterWindow = 5 * time.Second

// meter measures a rate of cost per second with exponential decay.
type meter struct {
	sum  float64
	last time.Time
}

func (m *meter) add(now time.Time, cost float64) {
	m.sum = m.decayed(now) + cost
	m.last = now
}

func (m *meter) decayed(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.sum * math.Exp(-now.Sub(m.last).Seconds()/meterWindow.Seconds())
}

// rate returns the measured cost per second.
func (m *meter) rate(now time.Time) float64 {
	return max(0, m.decayed(now)/meterWindow.Seconds())
}
