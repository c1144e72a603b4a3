package rank

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// planner decides when the leader proposes a map.
type planner struct {
	model *record.EngineModel
	// epoch and last are the formation and the counts of the last reading.
	epoch uint64
	last  [][]uint64
	at    time.Time
	// fast and slow are the shares of each expert by layer set, smoothed over a
	// shorter and a longer time.
	fast  [][]float64
	slow  [][]float64
	ready bool
}

const (
	// planInterval is the least time between two looks at the counts. In it a group
	// under load makes several passes.
	planInterval = 120 * time.Millisecond
	// fastKeep and slowKeep are the parts of the earlier shares that a new reading
	// keeps. Popularity changes within seconds.
	fastKeep = 0.4
	slowKeep = 0.8
	// trendWeight is how far the difference between the two is carried forward: a
	// map is in use half a second after the counts it was planned from.
	trendWeight = 0.5
	// trendFloor is the least part of an expert's share that the trend leaves.
	trendFloor = 0.25
	// leastSkew and leastGain bound what is worth a change: copies are priced, an
	// engine is slower by 0.15 while it copies, and the popularity of the next
	// second differs from the measured one.
	leastSkew = 1.5
	leastGain = 0.06
	// maxCopies bounds the new experts of a rank in one change over all layer sets,
	// and with them the time until the map is used: 0.11 s for each.
	maxCopies = 1
	// leastCounts is the number of choices per layer set below which a reading says
	// little about popularity.
	leastCounts = 2000
)

func (p *planner) plan(now time.Time, epoch uint64, statuses []mapswitch.Status) (placement.Plan, bool) {
	if p.model == nil || now.Sub(p.at) < planInterval {
		return placement.Plan{}, false
	}
	present, sum, ok := gather(statuses, p.model)
	if !ok {
		return placement.Plan{}, false
	}
	p.at = now
	p.observe(epoch, sum)
	if !p.ready {
		return placement.Plan{}, false
	}
	load := placement.Load{Work: p.forecast()}
	for _, s := range statuses {
		load.Pace = append(load.Pace, s.Pace)
	}
	if placement.Skew(present, load) < leastSkew {
		return placement.Plan{}, false
	}
	plan := placement.Make(present, load, placement.Limits{
		Places: p.model.Placements, MaxNew: p.model.MaxNew, MaxCopies: maxCopies,
	})
	return plan, plan.Before-plan.After >= leastGain && plan.Map.Complete(p.model.Experts)
}

// gather puts the ranks' experts together and adds up their counts.
func gather(statuses []mapswitch.Status, model *record.EngineModel) (placement.Map, [][]uint64, bool) {
	present := make(placement.Map, model.Layers)
	sum := make([][]uint64, model.Layers)
	for l := range present {
		sum[l] = make([]uint64, model.Experts)
		for _, s := range statuses {
			if len(s.Experts) != model.Layers || len(s.Counts) != model.Layers*model.Experts {
				return nil, nil, false
			}
			present[l] = append(present[l], s.Experts[l])
			for e := range sum[l] {
				sum[l][e] += s.Counts[l*model.Experts+e]
			}
		}
	}
	return present, sum, present.Complete(model.Experts)
}

// observe takes the sum of all ranks' counts.
func (p *planner) observe(epoch uint64, sum [][]uint64) {
	last := p.last
	p.last = sum
	if epoch != p.epoch || len(last) != len(sum) {
		p.epoch, p.fast, p.slow, p.ready = epoch, nil, nil, false
		return
	}
	shares, fresh := sharesOf(last, sum)
	if !fresh {
		// The choices count together with those of the next reading.
		p.last = last
		return
	}
	p.fast, p.slow, p.ready = smooth(p.fast, shares, fastKeep), smooth(p.slow, shares, slowKeep), true
}

// sharesOf returns each expert's share of the choices between two readings. The
// second result is false if they are too few.
func sharesOf(last, sum [][]uint64) ([][]float64, bool) {
	shares := make([][]float64, len(sum))
	for l := range sum {
		shares[l] = make([]float64, len(sum[l]))
		total := 0.0
		for e := range sum[l] {
			shares[l][e] = max(float64(sum[l][e])-float64(last[l][e]), 0)
			total += shares[l][e]
		}
		if total < leastCounts {
			return nil, false
		}
		for e := range shares[l] {
			shares[l][e] /= total
		}
	}
	return shares, true
}

func smooth(old, fresh [][]float64, keep float64) [][]float64 {
	if old == nil {
		return fresh
	}
	next := make([][]float64, len(fresh))
	for l := range fresh {
		next[l] = make([]float64, len(fresh[l]))
		for e := range fresh[l] {
			next[l][e] = keep*old[l][e] + (1-keep)*fresh[l][e]
		}
	}
	return next
}

// forecast carries the trend of the shares forward to when a map is in use.
func (p *planner) forecast() [][]float64 {
	work := make([][]float64, len(p.fast))
	for l := range p.fast {
		work[l] = make([]float64, len(p.fast[l]))
		for e, share := range p.fast[l] {
			work[l][e] = max(share+trendWeight*(share-p.slow[l][e]), trendFloor*share)
		}
	}
	return work
}
