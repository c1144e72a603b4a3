package rank

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

var planStart = time.Unix(1000, 0)

func planModel() *record.EngineProfile {
	return &record.EngineProfile{Layers: 2, Experts: 16, Placements: 5, MaxNew: 2}
}

// read tells the planner one reading of four ranks that hold the experts in turn,
// and returns their statuses. The first expert is chosen hot times as often as the
// others.
func read(p *planner, epoch uint64, hot float64) []mapswitch.Status {
	list := make([]mapswitch.Status, 4)
	for r := range list {
		var chosen []float64
		for range 2 {
			list[r].Experts = append(list[r].Experts, []int{r, r + 4, r + 8, r + 12})
			for e := range 16 {
				n := 1000.0
				if e == 0 {
					n *= hot
				}
				chosen = append(chosen, n)
			}
		}
		p.observe(epoch, ident.Rank(r), chosen)
	}
	return list
}

// Guards against a planner that never proposes, and against one that proposes for
// a balanced group.
func TestPlannerProposesForASkewedGroup(t *testing.T) {
	for hot, want := range map[float64]bool{1: false, 12: true} {
		p := planner{model: planModel()}
		proposed := false
		for n := 1; n <= 4; n++ {
			plan, ok := p.plan(planStart.Add(time.Duration(n)*time.Second), read(&p, 1, hot))
			proposed = proposed || ok
			if ok {
				must.Less(t, plan.SkewBefore, plan.SkewAfter)
				must.True(t, plan.Map.Complete(16))
			}
		}
		must.Eq(t, want, proposed, must.Sprintf("first expert chosen %g times as often", hot))
	}
}

// Guards against shares of an earlier formation that are mixed with those of the
// present one.
func TestPlannerStartsAnewAfterAFormation(t *testing.T) {
	p := planner{model: planModel()}
	_, ok := p.plan(planStart, read(&p, 1, 12))
	must.True(t, ok)
	_, ok = p.plan(planStart.Add(time.Second), read(&p, 2, 1))
	must.False(t, ok)
}

// Guards against a plan from the choices of a few ranks, whose requests may all be
// alike, and against waiting for ever for one that tells nothing.
func TestPlannerWaitsForHalfOfTheRanksForAWhile(t *testing.T) {
	p := planner{model: planModel()}
	p.plan(planStart, read(&p, 1, 12))
	list := read(&p, 1, 12)
	for r := range ident.Rank(3) {
		delete(p.told, r)
	}
	_, ok := p.plan(planStart.Add(2*planInterval), list)
	must.False(t, ok)
	_, ok = p.plan(planStart.Add(windowLimit), list)
	must.True(t, ok)
}

// Guards against a plan from a group of which a rank's experts are not known.
func TestPlannerNeedsAllRanks(t *testing.T) {
	p := planner{model: planModel()}
	for n := 1; n <= 4; n++ {
		list := read(&p, 1, 12)
		list[2].Experts = nil
		_, ok := p.plan(planStart.Add(time.Duration(n)*time.Second), list)
		must.False(t, ok)
	}
}

// Guards against a copy time that grows with the number of copies, and against
// engines without a known one.
func TestCopiesFitTheirTime(t *testing.T) {
	for copyOf, want := range map[time.Duration]int{0: 1, 111 * time.Millisecond: 1, 16 * time.Millisecond: 7, time.Second: 1} {
		must.Eq(t, want, maxCopies(&record.EngineProfile{ExpertCopy: copyOf}))
	}
}

// Guards against a forecast that gives an expert no work because its share falls.
func TestForecastKeepsAFloor(t *testing.T) {
	p := planner{fast: [][]float64{{0.1, 0.9}}, slow: [][]float64{{0.8, 0.2}}}
	work := p.forecast()
	must.Greater(t, 0, work[0][0])
	must.Greater(t, 0.9, work[0][1])
}
