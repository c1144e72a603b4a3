package expertbalance

import (
	"math"
	"slices"
	"sort"
)

// Bounds on escapes from a local optimum. They keep a plan for 256 experts on
// 256 ranks within 10 ms per layer.
const (
	// maxEscapeStarts is the number of first copies that an escape tries.
	maxEscapeStarts = 6
	// maxEscapeMoves is the number of moves that an escape makes after its first copy.
	maxEscapeMoves = 5
	// maxEscapes is the number of escapes in the search of one layer.
	maxEscapes = 4
)

// repackSizes returns the numbers of ranks that a repack tries.
func repackSizes() []int { return []int{4, 8, 12, 16} }

// escape leaves a local optimum, where no single move helps. It tries to copy the
// heaviest expert of the slowest rank although that overloads another rank, followed
// by moves that spread the overload, and to repack the heavy copies of a few ranks.
// It keeps the sequence with the greatest gain per copy. An expert that is too hot
// for one rank while all others are full needs this.
func (s *search) escape() (Move, bool) {
	before := s.totalPenalty()
	var best *search
	var bestMove Move
	bestGain := minGain
	for _, c := range s.escapeStarts() {
		trial := s.clone()
		move := trial.apply(c)
		for range maxEscapeMoves {
			next, ok := trial.improve()
			if !ok {
				break
			}
			move.Changes = append(move.Changes, next.Changes...)
			move.Copies += next.Copies
			if gain := (before - trial.totalPenalty()) / float64(move.Copies); gain > bestGain {
				best, bestGain = trial.clone(), gain
				bestMove = Move{Changes: slices.Clone(move.Changes), Copies: move.Copies}
			}
		}
	}
	for _, size := range repackSizes() {
		for _, extra := range []int{0, 1, 2, 3} {
			trial := s.clone()
			move, ok := trial.repack(size, extra)
			if !ok {
				continue
			}
			if gain := (before - trial.totalPenalty()) / float64(move.Copies); gain > bestGain {
				best, bestGain, bestMove = trial, gain, move
			}
		}
	}
	if best == nil {
		return Move{}, false
	}
	*s = *best
	return bestMove, true
}

// escapeStarts returns the copies of the slowest rank's heaviest expert that
// increase the penalty least, at most one on each rank.
func (s *search) escapeStarts() []candidate {
	slowest := s.slowestRank()
	heavy := s.heaviestOn(slowest)
	holdersGain := s.holdersGain(heavy)
	least := make([]candidate, len(s.speeds))
	for r := range least {
		least[r].gain = math.Inf(-1)
	}
	for b, holders := range s.holders {
		if len(holders) < 2 || b == heavy {
			continue
		}
		for _, r := range holders {
			if r != slowest && !s.holds(heavy, r) {
				s.tryCopy(heavy, b, r, holdersGain, &least[r])
			}
		}
	}
	sort.SliceStable(least, func(a, b int) bool { return least[a].gain > least[b].gain })
	starts := least[:min(maxEscapeStarts, len(least))]
	return slices.DeleteFunc(starts, func(c candidate) bool { return math.IsInf(c.gain, -1) })
}

// totalPenalty is the sum of the penalties of all ranks.
func (s *search) totalPenalty() float64 {
	sum := 0.0
	for _, t := range s.rankTime {
		sum += penalty(t)
	}
	return sum
}

func (s *search) clone() *search {
	c := *s
	c.layout = s.layout.Clone()
	c.holdsAt = slices.Clone(s.holdsAt)
	c.rankTime = slices.Clone(s.rankTime)
	c.holders = make([][]int, len(s.holders))
	for e := range s.holders {
		c.holders[e] = slices.Clone(s.holders[e])
	}
	return &c
}
