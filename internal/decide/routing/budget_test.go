package routing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
)

// Guards against more retries than the budget in any window of its length, and
// against a budget that is not refilled.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	config := routing.WindowConfig{Ratio: 0.1, Slack: 5, Window: 10 * time.Second}
	b := routing.NewWindowBudget(config)
	now := time.Unix(1000, 0)
	var taken []time.Time
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		b.Request(now)
		for b.Take(now, 1) {
			taken = append(taken, now)
		}
	}
	// 100 requests a second: at most 5 + 0.1 x 1000 in ten seconds.
	for i := range taken {
		in := 0
		for _, at := range taken[i:] {
			if at.Sub(taken[i]) < config.Window {
				in++
			}
		}
		must.LessEq(t, 105, in)
	}
	must.Greater(t, 200, len(taken))
}

// Guards against entries that each use the whole slack: in a deployment with 24
// entries, the retries would add up to 24 times what the platform allows.
func TestSlackIsSharedByTheEntries(t *testing.T) {
	const entries, slack = 24, 240
	taken := 0
	for range entries {
		b := routing.NewWindowBudget(routing.WindowConfig{Slack: slack, Window: 10 * time.Second})
		for b.Take(time.Unix(1000, 0), entries) {
			taken++
		}
	}
	must.Eq(t, slack, taken)
}
