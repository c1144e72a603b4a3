package intake

import (
	"math"
	"time"
)

// rateWindow is the time constant over which a rate is smoothed. It covers some tens
// of requests at one entry and is short compared to a burst.
const rateWindow = 2 * time.Second

// rate is an exponentially smoothed rate of events per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time) {
	r.value = r.rate(now) + 1/rateWindow.Seconds()
	r.at = now
}

func (r *rate) rate(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}
