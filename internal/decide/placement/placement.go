// Package placement plans which experts each rank of a group holds, for engines
// that let a rank replace only a few experts at a time. The ranks run in
// lock-step and the copies of an expert share its load evenly, so the slowest
// rank sets the time of a pass.
//
// The planner is a local search from the current map, as in package expertbalance, but
// ranks can have free slots and the number of new experts of each rank is
// bounded. It runs several times a second in a small process, so it only makes
// moves that take load off the slowest rank and stops when none helps.
package placement

import "slices"

// Map holds the experts of each rank, by layer set and rank, in ascending order. A
// layer set is a set of layers with the same placement.
type Map [][][]int

func (m Map) Clone() Map {
	c := make(Map, len(m))
	for l := range m {
		c[l] = make([][]int, len(m[l]))
		for r := range m[l] {
			c[l][r] = slices.Clone(m[l][r])
		}
	}
	return c
}

// Rank returns the experts of a rank by layer set.
func (m Map) Rank(rank int) [][]int {
	experts := make([][]int, len(m))
	for l := range m {
		experts[l] = m[l][rank]
	}
	return experts
}

// Complete reports whether every expert from 0 to experts-1, and no other, is on at
// least one rank in every layer set.
func (m Map) Complete(experts int) bool {
	for _, ranks := range m {
		seen := make([]bool, experts)
		count := 0
		for _, list := range ranks {
			for _, e := range list {
				if e < 0 || e >= experts {
					return false
				}
				if !seen[e] {
					seen[e] = true
					count++
				}
			}
		}
		if count != experts {
			return false
		}
	}
	return true
}

// Limits bounds a plan.
type Limits struct {
	// Slots is the number of experts that a rank can hold per layer set.
	Slots int
	// MaxNew bounds the experts per layer set that are new to a rank.
	MaxNew int
	// MaxCopies bounds the new experts of a rank over all layer sets, and with them
	// the time until the map can be used.
	MaxCopies int
}

// Plan is a proposed map.
type Plan struct {
	Map Map
	// SkewBefore is the skew of the current map, as the mean over the layer sets.
	SkewBefore float64
	// SkewAfter is the skew of the planned map, as the mean over the layer sets.
	SkewAfter float64
	// MaxRankCopies is the largest number of new experts of any rank.
	MaxRankCopies int
}

// Load is the measured load that a plan balances.
type Load struct {
	// Work is the load of each expert, by layer set and expert, in any unit.
	Work [][]float64
	// Slowdown is the time that each rank takes for the same load, relative to a healthy
	// rank. Ranks without a slowdown, and slowdowns below 1, count as healthy.
	Slowdown []float64
}

// ComputePlan computes a plan from the current map.
func ComputePlan(current Map, load Load, limits Limits) Plan {
	p := Plan{Map: current.Clone()}
	if len(current) == 0 {
		return p
	}
	searches := make([]*search, len(current))
	copies := make([]int, len(current[0]))
	for l := range current {
		searches[l] = newSearch(p.Map[l], load.Work[l], load.Slowdown, limits, copies)
		p.SkewBefore += searches[l].skew() / float64(len(current))
	}
	// The layer sets take turns, one move each, so that they share MaxCopies.
	for moved := true; moved; {
		moved = false
		for _, s := range searches {
			moved = s.improve() || moved
		}
	}
	for l, s := range searches {
		p.SkewAfter += s.skew() / float64(len(current))
		for _, list := range p.Map[l] {
			slices.Sort(list)
		}
	}
	p.MaxRankCopies = slices.Max(copies)
	return p
}

// Skew returns the slowest rank's time over the best time that any map allows, as
// the mean over the layer sets.
func Skew(m Map, load Load) float64 {
	sum := 0.0
	for l := range m {
		sum += newSearch(m[l], load.Work[l], load.Slowdown, Limits{}, nil).skew() / float64(len(m))
	}
	return sum
}
