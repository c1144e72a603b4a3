package rank

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// planner decides when the leader proposes a map.
type planner struct {
	model *record.EngineProfile
	epoch uint64
	at    time.Time
	// window is how often each expert was chosen since the last look, by layer set,
	// and told the ranks that it is known of.
	window [][]float64
	told   map[ident.Rank]bool
	// fast and slow are the shares of each expert by layer set, smoothed over a
	// shorter and a longer time.
	fast [][]float64
	slow [][]float64
}

const (
	// planInterval is the least time between two looks at the counts. In it a group
	// under load makes several passes.
	planInterval = 80 * time.Millisecond
	// toldPart is the part of the ranks whose choices make a look: one beat's in a
	// group of 72 ranks. Popularity is the same at all ranks.
	toldPart = 0.5
	// windowLimit is how long a look waits for ranks that tell nothing.
	windowLimit = 500 * time.Millisecond
	// tellBytes is what the ranks may tell the leader in one beat, half a byte for
	// each expert and layer set. It takes a third of a link of 8 Mbit/s.
	tellBytes = 32 << 10
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
	// copyTime bounds the time that a rank copies experts for one change, and with
	// it the time until the map is used. One copy takes 0.016 to 0.11 s, and an
	// engine is slower while it copies.
	copyTime = 110 * time.Millisecond
	// leastCounts is the number of choices per layer set below which a reading says
	// little about popularity.
	leastCounts = 2000
)

// tellers is how many ranks one beat asks what their requests chose.
func tellers(model *record.EngineProfile) int {
	return max(tellBytes/max(model.Layers*model.Experts/2, 1), 1)
}

// maxCopies is the number of experts that a rank can copy in the time for it.
func maxCopies(model *record.EngineProfile) int {
	if model.ExpertCopy <= 0 {
		return 1
	}
	return max(int((copyTime+model.ExpertCopy/2)/model.ExpertCopy), 1)
}

func (p *planner) plan(now time.Time, statuses []mapswitch.Status) (placement.Plan, bool) {
	if p.model == nil || now.Sub(p.at) < planInterval || float64(len(p.told)) < toldPart*float64(len(statuses)) && now.Sub(p.at) < windowLimit {
		return placement.Plan{}, false
	}
	present, ok := gather(statuses, p.model)
	if !ok || !p.look() {
		return placement.Plan{}, false
	}
	p.at = now
	load := placement.Load{Work: p.forecast()}
	for _, s := range statuses {
		load.Pace = append(load.Pace, s.Pace)
	}
	if placement.Skew(present, load) < leastSkew {
		return placement.Plan{}, false
	}
	plan := placement.ComputePlan(present, load, placement.Limits{
		Slots: p.model.Placements, MaxNew: p.model.MaxNew, MaxCopies: maxCopies(p.model),
	})
	return plan, plan.SkewBefore-plan.SkewAfter >= leastGain && plan.Map.Complete(p.model.Experts)
}

// gather puts the ranks' experts together.
func gather(statuses []mapswitch.Status, model *record.EngineProfile) (placement.Map, bool) {
	present := make(placement.Map, model.Layers)
	for l := range present {
		for _, s := range statuses {
			if len(s.Experts) != model.Layers {
				return nil, false
			}
			present[l] = append(present[l], s.Experts[l])
		}
	}
	return present, present.Complete(model.Experts)
}

// observe takes what a rank's requests chose since it last told so.
func (p *planner) observe(epoch uint64, rank ident.Rank, chosen []float64) {
	if p.model == nil || len(chosen) != p.model.Layers*p.model.Experts {
		return
	}
	if epoch != p.epoch {
		p.epoch, p.window, p.fast, p.slow = epoch, nil, nil, nil
	}
	if p.window == nil {
		p.told = make(map[ident.Rank]bool)
		p.window = make([][]float64, p.model.Layers)
		for l := range p.window {
			p.window[l] = make([]float64, p.model.Experts)
		}
	}
	p.told[rank] = true
	for i, n := range chosen {
		p.window[i/p.model.Experts][i%p.model.Experts] += n
	}
}

// look takes the choices since the last look into the shares. It reports false
// if they are too few.
func (p *planner) look() bool {
	shares, ok := sharesOf(p.window)
	if !ok {
		return false
	}
	p.window, p.told = nil, nil
	p.fast, p.slow = smooth(p.fast, shares, fastKeep), smooth(p.slow, shares, slowKeep)
	return true
}

// sharesOf returns each expert's share of the choices. The second result is false
// if they are too few.
func sharesOf(window [][]float64) ([][]float64, bool) {
	shares := make([][]float64, len(window))
	for l := range window {
		total := 0.0
		for _, n := range window[l] {
			total += n
		}
		if total < leastCounts {
			return nil, false
		}
		shares[l] = make([]float64, len(window[l]))
		for e, n := range window[l] {
			shares[l][e] = n / total
		}
	}
	return shares, len(shares) > 0
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
