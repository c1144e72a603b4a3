package policybench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	pb "github.com/anvilpoint/anvilpoint/internal/load/policybench"
)

const seed = 1

func show(t *testing.T, name string, r pb.Result) {
	t.Logf("%-44s %-24s useful %6.0f/s  jain %.3f  small accounts %6.2f%%, worst %6.2f%%  hits %.2f  control %6.0f B/s", name, r.Policy, r.Useful, r.Jain(), 100*r.Small(), 100*r.WorstSmall(), r.Hits, r.ControlBytes)
	for _, class := range append(ident.PriorityClasses(), pb.Bookings) {
		c := r.Classes[class]
		if c == nil {
			continue
		}
		t.Logf("    %-12s offered %6d served %6.2f%% in target %6.2f%% p50 %6.0f ms p95 %6.0f ms share %5.1f%%", class, c.Offered,
			100*float64(c.Served)/float64(c.Offered), 100*float64(c.InTarget)/float64(c.Offered),
			float64(c.P50)/float64(time.Millisecond), float64(c.P95)/float64(time.Millisecond), 100*r.Share(class))
	}
}

// Prints the comparison with the baselines on the same arrivals. It guards
// against runs that end without figures.
func TestComparison(t *testing.T) {
	for _, s := range []pb.Scenario{pb.Saturated(seed), pb.Normal(seed), pb.Flood(seed, ident.Batch), pb.Flood(seed, ident.Interactive), pb.Greedy(seed, ident.Interactive), pb.Greedy(seed, ident.Batch), pb.Shared(seed)} {
		for _, p := range []pb.Policy{pb.RoundRobin(), pb.LeastOutstanding(), pb.Ours()} {
			r := pb.Run(s, p)
			must.Positive(t, r.Useful)
			show(t, s.Name, r)
		}
	}
}
