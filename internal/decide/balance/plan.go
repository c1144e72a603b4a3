// Package balance plans where the experts of a model are placed on the ranks of
// a group. The ranks run in lock-step, so the slowest rank sets the time of a
// step.
//
// The planner is a local search from the present map that exchanges and copies
// experts by gain per byte, after the greedy rule for moving few jobs in
// Aggarwal, Motwani and Zhu, "The Load Rebalancing Problem" (SPAA 2003). Spare
// slots hold copies of hot experts, as in the DeepSeek-V3 technical report
// (2024, redundant experts). The planner is compared with packing from scratch,
// longest processing time first (Graham, "Bounds on Multiprocessing Timing
// Anomalies", 1969), after copying the hottest experts.
package balance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Config are the limits of the planner.
type Config struct {
	// Trigger is the skew (slowest rank over the best that any map allows) below
	// which a layer is left alone. Target is the skew at which the search stops. The gap between
	// them keeps a layer from being changed back and forth.
	Trigger float64
	Target  float64
	// CopyCost is the cost of moving one expert copy, in steps of mean length.
	CopyCost float64
	// Horizon is the number of steps over which a gain is counted. Popularity
	// drifts over hours, so a gain outlasts several plans.
	Horizon float64
	// MaxCopies bounds the copies that one portion moves, and with it the search
	// in one layer.
	MaxCopies int
}

// DefaultConfig returns limits that suit a plan every 30 s.
func DefaultConfig() Config {
	return Config{Trigger: 1.05, Target: 1.02, CopyCost: 2, Horizon: 10000, MaxCopies: 64}
}

// Input is what a plan is made from.
type Input struct {
	Config Config
	// Map is the present map; it also gives the slots of each rank.
	Map *expertmap.Map
	// Load is the smoothed work by layer and expert, in any unit.
	Load [][]float64
	// Speeds are the ranks' speeds relative to a healthy rank. Zero is a lost rank.
	Speeds []float64
	// Domains are the ranks' failure domains. Copies of one expert are spread
	// over them if nothing else decides.
	Domains []ident.FailureDomain
}

// Move is a set of changes that belong together: a copy or an exchange.
type Move struct {
	Changes []expertmap.Change
	// Copies is the number of expert copies that ranks have to load.
	Copies int
	// Gain is the expected decrease of the layer's step time, as a share of the
	// best step time that any map allows.
	Gain float64
}

// Plan is a portion of moves, most useful first.
type Plan struct {
	Moves  []Move
	Copies int
	// Before and After are the mean skew over the layers.
	Before float64
	After  float64
	// Uncovered counts experts for which the live ranks have no slot.
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

// Make plans one portion over all layers.
func Make(in Input) Plan {
	var plan Plan
	layers := make([]layerPlan, len(in.Map.Layers))
	for l := range in.Map.Layers {
		layers[l] = planLayer(in, l)
		plan.Uncovered += layers[l].uncovered
		plan.Before += layers[l].before / float64(len(layers))
	}
	sort.SliceStable(layers, func(a, b int) bool { return layers[a].worth() > layers[b].worth() })
	plan.After = plan.Before
	for _, l := range layers {
		for _, m := range l.moves {
			if plan.Copies+m.Copies > in.Config.MaxCopies {
				break
			}
			plan.Moves = append(plan.Moves, m)
			plan.Copies += m.Copies
			plan.After -= m.Gain / float64(len(layers))
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

// worth is the gain per copy over the whole layer.
func (l layerPlan) worth() float64 {
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
	result.moves, result.uncovered = s.cover()
	forced := len(result.moves)
	result.before = s.skew()
	result.after = result.before
	if result.before <= in.Config.Trigger {
		return result
	}
	skews := []float64{result.before}
	// A portion moves at most MaxCopies, so a longer search would be thrown away.
	escapes := 0
	for copies := 0; copies < in.Config.MaxCopies && skews[len(skews)-1] > in.Config.Target; {
		m, ok := s.best()
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
	keep := payingPrefix(in.Config, result.moves[forced:], skews)
	result.moves = result.moves[:forced+keep]
	result.after = skews[keep]
	return result
}

// payingPrefix returns how many moves to make: as many as bring the most gain
// over the horizon beyond the cost of their bytes.
func payingPrefix(c Config, moves []Move, skews []float64) int {
	best, bestAt, copies := 0.0, 0, 0
	for n, m := range moves {
		copies += m.Copies
		value := (skews[0]-skews[n+1])*c.Horizon - float64(copies)*c.CopyCost
		if value > best {
			best, bestAt = value, n+1
		}
	}
	return bestAt
}
