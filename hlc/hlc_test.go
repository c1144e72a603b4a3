package hlc_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/hlc"
)

// Guards against a clock that goes backwards with the wall clock, or that returns a
// stamp no later than one it observed.
func TestStampsOnlyGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMicro(1 << 40)
		c := hlc.New(func() time.Time { return now })
		last := hlc.Stamp(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1000, 1000).Draw(t, "drift")) * time.Microsecond)
			remote := hlc.Stamp(rapid.Uint64Range(1<<52, 1<<52+1<<30).Draw(t, "remote"))
			next := c.Observe(remote)
			must.Greater(t, last, next)
			must.Greater(t, remote, next)
			last = next
		}
		back, err := hlc.Parse(last.String())
		must.NoError(t, err)
		must.Eq(t, last, back)
	})
}
