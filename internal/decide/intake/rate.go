package intake

import (
	"math"
	"time"
)

// rateMemory is the time over which a rate is smoothed: long enough for a few
// tens of requests of one entry, short beside a burst.
const rateMemory = 2 * time.Second

// rate is an exponentially weighted rate of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.rate(now) + 1/rateMemory.Seconds()
	r.at = now
}

func (r *rate) rate(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds())
}
