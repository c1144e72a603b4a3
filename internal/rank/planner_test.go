package rank

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

var testStart = time.Unix(1000, 0)

func planModel() *record.EngineProfile {
	return &record.EngineProfile{Layers: 2, Experts: 16, Placements: 5, MaxNew: 2}
}

// observeRanks adds the counts of four ranks, to which the experts are dealt in turn, to
// the planner and returns the ranks' statuses. The first expert is chosen hot times as
// often as the others.
func observeRanks(p *planner, epoch uint64, hot float64) []mapchange.Status {
	list := make([]mapchange.Status, 4)
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
		p.addCounts(epoch, ident.Rank(r), chosen)
	}
	return list
}

// Guards against a planner that never proposes a change, and against one that proposes
// changes to a balanced group.
func TestPlannerProposesForASkewedGroup(t *testing.T) {
	for hot, want := range map[float64]bool{1: false, 12: true} {
		p := planner{model: planModel()}
		proposed := false
		for n := 1; n <= 4; n++ {
			plan, ok := p.plan(testStart.Add(time.Duration(n)*time.Second), observeRanks(&p, 1, hot))
			proposed = proposed || ok
			if ok {
				must.Less(t, plan.SkewBefore, plan.SkewAfter)
				must.True(t, plan.Map.Complete(16))
			}
		}
		must.Eq(t, want, proposed, must.Sprintf("first expert chosen %g times as often", hot))
	}
}

// Guards against a planner that mixes the counts of an earlier formation with those of
// the present one.
func TestPlannerResetsAfterAFormation(t *testing.T) {
	p := planner{model: planModel()}
	_, ok := p.plan(testStart, observeRanks(&p, 1, 12))
	must.True(t, ok)
	_, ok = p.plan(testStart.Add(time.Second), observeRanks(&p, 2, 1))
	must.False(t, ok)
}

// Guards against a plan based on the counts of a few ranks, whose requests may all be
// alike, and against a planner that waits forever for a rank that reports nothing.
func TestPlannerWaitsForHalfOfTheRanksUntilTimeout(t *testing.T) {
	p := planner{model: planModel()}
	p.plan(testStart, observeRanks(&p, 1, 12))
	list := observeRanks(&p, 1, 12)
	for r := range ident.Rank(3) {
		delete(p.reported, r)
	}
	_, ok := p.plan(testStart.Add(2*planInterval), list)
	must.False(t, ok)
	_, ok = p.plan(testStart.Add(reportTimeout), list)
	must.True(t, ok)
}

// Guards against a plan while the experts of a rank are not known.
func TestPlannerNeedsExpertsOfAllRanks(t *testing.T) {
	p := planner{model: planModel()}
	for n := 1; n <= 4; n++ {
		list := observeRanks(&p, 1, 12)
		list[2].Experts = nil
		_, ok := p.plan(testStart.Add(time.Duration(n)*time.Second), list)
		must.False(t, ok)
	}
}

// Guards against plans whose copies take longer than maxCopyTime, and against a division
// by zero for engines without a known copy time.
func TestCopiesFitIntoMaxCopyTime(t *testing.T) {
	for copyTime, want := range map[time.Duration]int{0: 1, 111 * time.Millisecond: 1, 16 * time.Millisecond: 7, time.Second: 1} {
		must.Eq(t, want, maxCopies(&record.EngineProfile{ExpertCopy: copyTime}))
	}
}

// Guards against a forecast that gives an expert no load because its share falls.
func TestForecastKeepsAFloor(t *testing.T) {
	p := planner{fastShares: [][]float64{{0.1, 0.9}}, slowShares: [][]float64{{0.8, 0.2}}}
	work := p.forecast()
	must.Greater(t, 0, work[0][0])
	must.Greater(t, 0.9, work[0][1])
}
