package rank

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// planner decides when the leader proposes a map.
type planner struct {
	model    *record.EngineProfile
	epoch    uint64
	lastPlan time.Time
	// counts is how often each expert was chosen since the shares were last updated, by
	// layer set. It covers the ranks in reported.
	counts   [][]float64
	reported map[ident.Rank]bool
	// fastShares and slowShares are moving averages of each expert's share of the
	// choices, by layer set, over a shorter and a longer time.
	fastShares [][]float64
	slowShares [][]float64
}

const (
	// planInterval is the least time between two plans. A group under load runs several
	// steps in this time.
	planInterval = 80 * time.Millisecond
	// minReportedShare is the share of the ranks whose counts suffice for a plan. In a
	// group of 72 ranks one heartbeat yields it. The experts' popularity is the same at
	// all ranks.
	minReportedShare = 0.5
	// reportTimeout is how long after the last plan the next one waits for the counts of
	// minReportedShare of the ranks.
	reportTimeout = 500 * time.Millisecond
	// maxCountBytes bounds the counts that the ranks send the leader per heartbeat, half a
	// byte for each expert and layer set. They take a third of an 8 Mbit/s link.
	maxCountBytes = 32 << 10
	// fastDecay is the weight of the old value in an update of fastShares. The experts'
	// popularity changes within seconds.
	fastDecay = 0.4
	// slowDecay is the weight of the old value in an update of slowShares.
	slowDecay = 0.8
	// trendWeight is the share of the difference between fastShares and slowShares that a
	// forecast adds: a map comes into use half a second after the counts it is based on.
	trendWeight = 0.5
	// minForecastRatio is the least ratio of an expert's forecast to its present share.
	minForecastRatio = 0.25
	// minSkew is the least skew at which a map change is planned. Copies have a cost, and
	// an engine is 15% slower while it copies.
	minSkew = 1.5
	// minGain is the least decrease of the skew that justifies a map change. Copies have a
	// cost, an engine is 15% slower while it copies, and the popularity of the next second
	// differs from the measured one.
	minGain = 0.06
	// maxCopyTime bounds the time for which a rank copies experts in one change, and thus
	// the time until the map is used. One copy takes 16 to 110 ms, and an engine is slower
	// while it copies.
	maxCopyTime = 110 * time.Millisecond
	// minCounts is the least number of choices per layer set from which the experts'
	// popularity is estimated.
	minCounts = 2000
)

// maxCountRanks returns how many ranks one heartbeat may ask for expert counts.
func maxCountRanks(model *record.EngineProfile) int {
	return max(maxCountBytes/max(model.Layers*model.Experts/2, 1), 1)
}

// maxCopies returns the number of experts, at least 1, that a rank can copy in
// maxCopyTime.
func maxCopies(model *record.EngineProfile) int {
	if model.ExpertCopy <= 0 {
		return 1
	}
	return max(int((maxCopyTime+model.ExpertCopy/2)/model.ExpertCopy), 1)
}

// plan returns a map change to propose, or false if none is due or worth its cost.
func (p *planner) plan(now time.Time, statuses []mapchange.Status) (placement.Plan, bool) {
	if p.model == nil || now.Sub(p.lastPlan) < planInterval || float64(len(p.reported)) < minReportedShare*float64(len(statuses)) && now.Sub(p.lastPlan) < reportTimeout {
		return placement.Plan{}, false
	}
	present, ok := currentMap(statuses, p.model)
	if !ok || !p.updateShares() {
		return placement.Plan{}, false
	}
	p.lastPlan = now
	load := placement.Load{Work: p.forecast()}
	for _, s := range statuses {
		load.Slowdown = append(load.Slowdown, s.Slowdown)
	}
	if placement.Skew(present, load) < minSkew {
		return placement.Plan{}, false
	}
	plan := placement.ComputePlan(present, load, placement.Limits{
		Slots: p.model.Placements, MaxNew: p.model.MaxNew, MaxCopies: maxCopies(p.model),
	})
	return plan, plan.SkewBefore-plan.SkewAfter >= minGain && plan.Map.Complete(p.model.Experts)
}

// currentMap builds the group's map from the experts of all ranks. It returns false if
// some are not known.
func currentMap(statuses []mapchange.Status, model *record.EngineProfile) (placement.Map, bool) {
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

// addCounts adds how often a rank's requests chose each expert since its last report.
func (p *planner) addCounts(epoch uint64, rank ident.Rank, counts []float64) {
	if p.model == nil || len(counts) != p.model.Layers*p.model.Experts {
		return
	}
	if epoch != p.epoch {
		p.epoch, p.counts, p.fastShares, p.slowShares = epoch, nil, nil, nil
	}
	if p.counts == nil {
		p.reported = make(map[ident.Rank]bool)
		p.counts = make([][]float64, p.model.Layers)
		for l := range p.counts {
			p.counts[l] = make([]float64, p.model.Experts)
		}
	}
	p.reported[rank] = true
	for i, n := range counts {
		p.counts[i/p.model.Experts][i%p.model.Experts] += n
	}
}

// updateShares updates the shares from the counts and resets these. It returns false,
// and changes nothing, if the counts are below minCounts.
func (p *planner) updateShares() bool {
	shares, ok := computeShares(p.counts)
	if !ok {
		return false
	}
	p.counts, p.reported = nil, nil
	p.fastShares, p.slowShares = smooth(p.fastShares, shares, fastDecay), smooth(p.slowShares, shares, slowDecay)
	return true
}

// computeShares returns each expert's share of the choices in its layer set, or false if
// a layer set has fewer than minCounts choices.
func computeShares(counts [][]float64) ([][]float64, bool) {
	shares := make([][]float64, len(counts))
	for l := range counts {
		total := 0.0
		for _, n := range counts[l] {
			total += n
		}
		if total < minCounts {
			return nil, false
		}
		shares[l] = make([]float64, len(counts[l]))
		for e, n := range counts[l] {
			shares[l][e] = n / total
		}
	}
	return shares, len(shares) > 0
}

// smooth updates a moving average. Decay is the weight of the old value.
func smooth(old, fresh [][]float64, decay float64) [][]float64 {
	if old == nil {
		return fresh
	}
	next := make([][]float64, len(fresh))
	for l := range fresh {
		next[l] = make([]float64, len(fresh[l]))
		for e := range fresh[l] {
			next[l][e] = decay*old[l][e] + (1-decay)*fresh[l][e]
		}
	}
	return next
}

// forecast extrapolates the shares to the time at which a new map comes into use.
func (p *planner) forecast() [][]float64 {
	work := make([][]float64, len(p.fastShares))
	for l := range p.fastShares {
		work[l] = make([]float64, len(p.fastShares[l]))
		for e, share := range p.fastShares[l] {
			work[l][e] = max(share+trendWeight*(share-p.slowShares[l][e]), minForecastRatio*share)
		}
	}
	return work
}
