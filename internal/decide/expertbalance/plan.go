// Package expertbalance plans the placement of a model's experts on the ranks of an
// expert-parallel group. The ranks run in lock-step, so the slowest rank sets the
// time of a step.
//
// The planner is a local search from the current map that swaps and copies
// experts by gain per byte, after the greedy rule for moving few jobs in
// Aggarwal, Motwani and Zhu, "The Load Rebalancing Problem" (SPAA 2003). Spare
// slots hold copies of hot experts, as in the DeepSeek-V3 technical report
// (2024, redundant experts). The baseline for comparison copies the hottest
// experts and packs from scratch, longest processing time first (Graham, "Bounds
// on Multiprocessing Timing Anomalies", 1969).
package expertbalance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Config holds the parameters of the planner. Skew is the slowest rank's time over
// the best time that any map allows.
type Config struct {
	// TriggerSkew is the skew up to which a layer is not changed.
	TriggerSkew float64
	// TargetSkew is the skew at which the search stops. It is below the trigger, so that a
	// layer is not changed back and forth.
	TargetSkew float64
	// CopyCostSteps is the cost of loading one expert copy, in steps of mean length.
	CopyCostSteps float64
	// HorizonSteps is the number of steps over which a gain is counted. The experts'
	// popularity drifts over hours, so a gain outlasts several plans.
	HorizonSteps float64
	// MaxCopies bounds the expert copies that one plan loads, and with it the search
	// in one layer.
	MaxCopies int
}

// DefaultConfig returns parameters for one plan every 30 s.
func DefaultConfig() Config {
	return Config{TriggerSkew: 1.05, TargetSkew: 1.02, CopyCostSteps: 2, HorizonSteps: 10000, MaxCopies: 64}
}

// Input is what a plan is computed from.
type Input struct {
	Config Config
	// Map is the current map. It also gives the number of slots of each rank.
	Map *expertmap.Map
	// Load is the smoothed load by layer and expert, in any unit.
	Load [][]float64
	// Speeds are the ranks' speeds relative to a healthy rank; 0 is a lost rank.
	Speeds []float64
	// Domains are the ranks' failure domains, or empty. Between otherwise equal
	// moves, the planner prefers the one that spreads an expert over more domains.
	Domains []ident.FailureDomain
}

// Move is a set of changes that are made together, such as one copy or one swap.
type Move struct {
	Changes []expertmap.Change
	// Copies is the number of expert copies that ranks have to load.
	Copies int
	// Gain is the expected decrease of the layer's step time, as a share of the
	// best step time that any map allows.
	Gain float64
}

// Plan is a bounded set of moves. The layers with the greatest gain per copy come first.
type Plan struct {
	Moves []Move
	// Copies is the number of expert copies that all moves load.
	Copies int
	// SkewBefore is the skew of the current map, as the mean over the layers.
	SkewBefore float64
	// SkewAfter is the skew of the planned map, as the mean over the layers.
	SkewAfter float64
	// Uncovered counts the experts, over all layers, that no live rank has a slot for.
	Uncovered int
}

// Changes returns the changes of all moves in order.
func (p Plan) Changes() []expertmap.Change {
	var all []expertmap.Change
	for _, m := range p.Moves {
		all = append(all, m.Changes...)
	}
	return all
}

// ComputePlan computes one plan over all layers.
func ComputePlan(in Input) Plan {
	var plan Plan
	layers := make([]layerPlan, len(in.Map.Layers))
	for l := range in.Map.Layers {
		layers[l] = planLayer(in, l)
		plan.Uncovered += layers[l].uncovered
		plan.SkewBefore += layers[l].before / float64(len(layers))
	}
	sort.SliceStable(layers, func(a, b int) bool { return layers[a].gainPerCopy() > layers[b].gainPerCopy() })
	plan.SkewAfter = plan.SkewBefore
	for _, l := range layers {
		for _, m := range l.moves {
			if plan.Copies+m.Copies > in.Config.MaxCopies {
				break
			}
			plan.Moves = append(plan.Moves, m)
			plan.Copies += m.Copies
			plan.SkewAfter -= m.Gain / float64(len(layers))
		}
	}
	return plan
}

// layerPlan is the search result for one layer.
type layerPlan struct {
	moves     []Move
	before    float64
	after     float64
	uncovered int
}

// gainPerCopy is the decrease of the layer's skew per copy.
func (l layerPlan) gainPerCopy() float64 {
	copies := 0
	for _, m := range l.moves {
		copies += m.Copies
	}
	if copies == 0 {
		return 0
	}
	return (l.before - l.after) / float64(copies)
}

func planLayer(in Input, layer int) layerPlan {
	s := newSearch(in, layer)
	result := layerPlan{}
	result.moves, result.uncovered = s.coverLost()
	forced := len(result.moves)
	result.before = s.skew()
	result.after = result.before
	if result.before <= in.Config.TriggerSkew {
		return result
	}
	skews := []float64{result.before}
	// A plan loads at most MaxCopies, so the result of a longer search would be unused.
	escapes := 0
	for copies := 0; copies < in.Config.MaxCopies && skews[len(skews)-1] > in.Config.TargetSkew; {
		m, ok := s.improve()
		if !ok && escapes < maxEscapes {
			escapes++
			m, ok = s.escape()
		}
		if !ok {
			break
		}
		copies += m.Copies
		skews = append(skews, s.skew())
		m.Gain = skews[len(skews)-2] - skews[len(skews)-1]
		result.moves = append(result.moves, m)
	}
	keep := mostProfitablePrefix(in.Config, result.moves[forced:], skews)
	result.moves = result.moves[:forced+keep]
	result.after = skews[keep]
	return result
}

// mostProfitablePrefix returns the number of leading moves whose gain over the
// horizon exceeds the cost of their copies by the most.
func mostProfitablePrefix(c Config, moves []Move, skews []float64) int {
	best, bestAt, copies := 0.0, 0, 0
	for n, m := range moves {
		copies += m.Copies
		value := (skews[0]-skews[n+1])*c.HorizonSteps - float64(copies)*c.CopyCostSteps
		if value > best {
			best, bestAt = value, n+1
		}
	}
	return bestAt
}
