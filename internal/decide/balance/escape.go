package balance

import (
	"math"
	"slices"
	"sort"
)

// Bounds of an escape, which keep a plan for 256 experts on 256 ranks within
// 10 ms a layer.
const (
	escapeStarts = 6
	escapeMoves  = 5
	maxEscapes   = 4
)

// repackSizes are the numbers of ranks that a repack may concern.
func repackSizes() []int { return []int{4, 8, 12, 16} }

// escape leaves a state in which no single move helps: it copies a heavy expert
// of the slowest rank although that overloads another rank and lets further moves
// spread the overload, or repacks the heavy copies of a few ranks, and keeps the
// sequence with the greatest gain per copy.
// An expert that is too hot for one rank while all others are full needs this.
func (s *search) escape() (Move, bool) {
	before := s.total()
	var best *search
	var bestMove Move
	bestGain := minGain
	for _, c := range s.escapeStarts() {
		trial := s.clone()
		move := trial.apply(c)
		for range escapeMoves {
			next, ok := trial.best()
			if !ok {
				break
			}
			move.Changes = append(move.Changes, next.Changes...)
			move.Copies += next.Copies
			if gain := (before - trial.total()) / float64(move.Copies); gain > bestGain {
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
			if gain := (before - trial.total()) / float64(move.Copies); gain > bestGain {
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

// escapeStarts returns, for the heaviest expert of the slowest rank, the copies
// that do the least harm, at most one on each rank.
func (s *search) escapeStarts() []candidate {
	hot := s.hottest()
	heavy := s.heaviest(hot)
	relief := s.relief(heavy)
	least := make([]candidate, len(s.speeds))
	for r := range least {
		least[r].gain = math.Inf(-1)
	}
	for b, holders := range s.holders {
		if len(holders) < 2 || b == heavy {
			continue
		}
		for _, r := range holders {
			if r != hot && !s.holds(heavy, r) {
				s.tryCopy(heavy, b, r, relief, &least[r])
			}
		}
	}
	sort.SliceStable(least, func(a, b int) bool { return least[a].gain > least[b].gain })
	starts := least[:min(escapeStarts, len(least))]
	return slices.DeleteFunc(starts, func(c candidate) bool { return math.IsInf(c.gain, -1) })
}

func (s *search) total() float64 {
	sum := 0.0
	for _, t := range s.time {
		sum += penalty(t)
	}
	return sum
}

func (s *search) clone() *search {
	c := *s
	c.place = s.place.Clone()
	c.on = slices.Clone(s.on)
	c.time = slices.Clone(s.time)
	c.holders = make([][]int, len(s.holders))
	for e := range s.holders {
		c.holders[e] = slices.Clone(s.holders[e])
	}
	return &c
}
