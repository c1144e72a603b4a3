package rank

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

var planStart = time.Unix(1000, 0)

func planModel() *record.EngineModel {
	return &record.EngineModel{Layers: 2, Experts: 16, Placements: 5, MaxNew: 2}
}

// statuses are those of four ranks that hold the experts in turn. The first expert
// is chosen hot times as often as the others; counts grow with the reading.
func statuses(reading uint64, hot uint64) []mapswitch.Status {
	list := make([]mapswitch.Status, 4)
	for r := range list {
		for range 2 {
			list[r].Experts = append(list[r].Experts, []int{r, r + 4, r + 8, r + 12})
			for e := range 16 {
				n := reading * 1000
				if e == 0 {
					n *= hot
				}
				list[r].Counts = append(list[r].Counts, n)
			}
		}
	}
	return list
}

// Guards against a planner that never proposes, and against one that proposes for
// a balanced group.
func TestPlannerProposesForASkewedGroup(t *testing.T) {
	for hot, want := range map[uint64]bool{1: false, 12: true} {
		p := planner{model: planModel()}
		proposed := false
		for n := uint64(1); n <= 4; n++ {
			plan, ok := p.plan(planStart.Add(time.Duration(n)*time.Second), 1, statuses(n, hot))
			proposed = proposed || ok
			if ok {
				must.Less(t, plan.Before, plan.After)
				must.True(t, plan.Map.Complete(16))
			}
		}
		must.Eq(t, want, proposed, must.Sprintf("first expert chosen %d times as often", hot))
	}
}

// Guards against counts of an earlier formation, or of a restarted engine, that are
// taken for a change of popularity.
func TestPlannerStartsAnewAfterAFormation(t *testing.T) {
	p := planner{model: planModel()}
	p.plan(planStart, 1, statuses(50, 1))
	p.plan(planStart.Add(time.Second), 1, statuses(51, 1))
	_, ok := p.plan(planStart.Add(2*time.Second), 2, statuses(1, 12))
	must.False(t, ok)
	must.False(t, p.ready)
}

// Guards against a plan from a group of which a rank's experts are not known.
func TestPlannerNeedsAllRanks(t *testing.T) {
	p := planner{model: planModel()}
	for n := uint64(1); n <= 4; n++ {
		list := statuses(n, 12)
		list[2].Experts = nil
		_, ok := p.plan(planStart.Add(time.Duration(n)*time.Second), 1, list)
		must.False(t, ok)
	}
}

// Guards against a forecast that gives an expert no work because its share falls.
func TestForecastKeepsAFloor(t *testing.T) {
	p := planner{fast: [][]float64{{0.1, 0.9}}, slow: [][]float64{{0.8, 0.2}}}
	work := p.forecast()
	must.Greater(t, 0, work[0][0])
	must.Greater(t, 0.9, work[0][1])
}
