// Package placement plans which experts each rank of a group holds, for engines
// that let a rank replace only a few experts at a time. The ranks run in
// lock-step and the copies of an expert share its work evenly, so the most
// loaded rank sets the time of a pass.
//
// A plan is a local search from the present placement, as in package balance,
// but over ranks with free places and with a bound on the new experts of each
// rank. It is made several times a second in a small process, so it makes the
// moves that relieve the most loaded rank and stops when none helps.
package placement

import "slices"

// Map holds the experts by layer set and rank, in ascending order.
type Map [][][]int

// Clone returns a copy.
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

// Complete reports whether each of the experts is on at least one rank of every layer set.
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

// Limits bound a plan.
type Limits struct {
	// Places is the number of experts that a rank can hold per layer set.
	Places int
	// MaxNew bounds the experts per layer set that are new to a rank.
	MaxNew int
	// MaxCopies bounds the new experts of a rank over all layer sets, and with them
	// the time until the map can be used.
	MaxCopies int
}

// Plan is a proposed map.
type Plan struct {
	Map Map
	// Before and After are the skews of the present and the planned map.
	Before, After float64
	// Copies is the largest number of new experts of any rank.
	Copies int
}

// Load is what a plan balances.
type Load struct {
	// Work is the work of each expert by layer set, in any unit.
	Work [][]float64
	// Pace is the time of each rank for the same work, 1 for a healthy one. Ranks
	// without a pace count as healthy.
	Pace []float64
}

// Make plans from the present map.
func Make(present Map, load Load, limits Limits) Plan {
	p := Plan{Map: present.Clone()}
	if len(present) == 0 {
		return p
	}
	searches := make([]*search, len(present))
	copies := make([]int, len(present[0]))
	for l := range present {
		searches[l] = newSearch(p.Map[l], load.Work[l], load.Pace, limits, copies)
		p.Before += searches[l].skew() / float64(len(present))
	}
	// One move per layer set in turn shares the copies of a rank among them.
	for moved := true; moved; {
		moved = false
		for _, s := range searches {
			moved = s.improve() || moved
		}
	}
	for l, s := range searches {
		p.After += s.skew() / float64(len(present))
		for _, list := range p.Map[l] {
			slices.Sort(list)
		}
	}
	p.Copies = slices.Max(copies)
	return p
}

// Skew returns the mean over the layer sets of the slowest rank's time over the
// best that any map allows.
func Skew(m Map, load Load) float64 {
	sum := 0.0
	for l := range m {
		sum += newSearch(m[l], load.Work[l], load.Pace, Limits{}, nil).skew() / float64(len(m))
	}
	return sum
}
