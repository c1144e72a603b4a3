package link

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a delay that includes the clock skew, and against a missing delay of
// frames that waited while the receiver was paused.
func TestDelayEstimator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "skew")) * time.Second
		var e delayEstimator
		now := time.Unix(1_000_000, 0)
		for range rapid.IntRange(5, 100).Draw(t, "frames") {
			now = now.Add(time.Second)
			must.Less(t, 5*time.Millisecond, e.observe(now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "jitter"))*time.Millisecond), now.Add(skew)))
		}
		pause := rapid.IntRange(2, 25).Draw(t, "pause")
		wake := now.Add(time.Duration(pause) * time.Second)
		for n := 1; n < pause; n++ {
			sent := now.Add(time.Duration(n) * time.Second)
			delay := e.observe(wake, sent.Add(skew))
			must.Between(t, wake.Sub(sent)-5*time.Millisecond, delay, wake.Sub(sent))
		}
	})
}
