package placement

import (
	"cmp"
	"slices"
)

// search is the state of the local search in one layer set.
type search struct {
	// ranks holds the experts of each rank.
	ranks [][]int
	// load is the load of each expert. The loads add up to the sum of the ranks'
	// speeds, so that the best time that any map allows is 1.
	load   []float64
	limits Limits
	// holders lists the ranks with a copy of each expert.
	holders [][]int
	// slowdown is the time that each rank takes for the same load, 1 if healthy.
	slowdown []float64
	// rankTime is the time of each rank.
	rankTime []float64
	// totalPenalty is the sum of the penalties of all ranks.
	totalPenalty float64
	// initial holds the experts of each rank in the current map, which it need not copy.
	initial [][]int
	// newHere counts the new experts of each rank in this layer set.
	newHere []int
	// newTotal counts the new experts of each rank in all layer sets.
	newTotal []int
	moves    int
}

// maxMoves bounds the moves in one layer set.
const maxMoves = 200

// targetSkew is the skew at which the search of a layer set stops. The load
// changes between two measurements by more than the remaining skew.
const targetSkew = 1.15

// maxTargetRanks is the number of least loaded ranks to which load of the slowest
// rank may move. Trying all ranks of a group of 72 takes five times as long, which on
// a small machine is longer than the experts' popularity stays the same.
const maxTargetRanks = 16

// minGain is the least decrease of the penalty per copy. It excludes rounding
// errors and moves that hardly help.
const minGain = 1e-6

func newSearch(ranks [][]int, work, slowdown []float64, limits Limits, copies []int) *search {
	s := &search{
		ranks: ranks, limits: limits, newTotal: copies, load: make([]float64, len(work)), slowdown: slowdown,
		holders: make([][]int, len(work)), rankTime: make([]float64, len(ranks)), newHere: make([]int, len(ranks)),
		initial: make([][]int, len(ranks)),
	}
	total, speed := 0.0, 0.0
	for _, w := range work {
		total += w
	}
	for r := range ranks {
		speed += 1 / s.slowdownOf(r)
	}
	for e, w := range work {
		if total > 0 {
			s.load[e] = w / total * speed
		}
	}
	for r, list := range ranks {
		s.initial[r] = slices.Clone(list)
		for _, e := range list {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.recomputeTimes()
	return s
}

// recomputeTimes computes the ranks' times and the total penalty from the map.
func (s *search) recomputeTimes() {
	for r, list := range s.ranks {
		s.rankTime[r] = 0
		for _, e := range list {
			s.rankTime[r] += s.slowdownOf(r) * s.load[e] / float64(len(s.holders[e]))
		}
	}
	s.totalPenalty = 0
	for _, t := range s.rankTime {
		s.totalPenalty += penalty(t)
	}
}

// slowdownOf returns the slowdown of a rank, at least the 1 of a healthy one.
func (s *search) slowdownOf(r int) float64 {
	if r >= len(s.slowdown) {
		return 1
	}
	return max(s.slowdown[r], 1)
}

func (s *search) slowestRank() int {
	slowest := 0
	for r := range s.rankTime {
		if s.rankTime[r] > s.rankTime[slowest] {
			slowest = r
		}
	}
	return slowest
}

func (s *search) skew() float64 {
	if len(s.rankTime) == 0 {
		return 1
	}
	return s.rankTime[s.slowestRank()]
}

// penalty is the eighth power of a rank's time, so that the slow ranks dominate the
// sum over the ranks.
func penalty(t float64) float64 {
	t *= t
	t *= t
	return t * t
}

// edit adds an expert to a rank, or removes it.
type edit struct {
	rank, expert int
	add          bool
}

// move is a set of edits that are made together.
type move struct {
	edits []edit
	gain  float64
}

// improve makes the move with the greatest gain per copy among those that take load
// off the slowest rank. It returns false if the search is over.
func (s *search) improve() bool {
	if s.moves >= maxMoves || s.skew() < targetSkew {
		return false
	}
	s.moves++
	best := move{gain: minGain}
	before := s.totalPenalty
	for _, edits := range s.candidates() {
		if !s.allowed(edits) {
			continue
		}
		s.apply(edits)
		gain := (before - s.totalPenalty) / float64(max(s.newExperts(edits), 1))
		s.revert(edits)
		if gain > best.gain {
			best = move{edits: edits, gain: gain}
		}
	}
	if best.edits == nil {
		return false
	}
	for _, e := range best.edits {
		s.countNew(e)
	}
	s.apply(best.edits)
	// Trying moves changed the times in small steps, which accumulates rounding errors.
	s.recomputeTimes()
	return true
}

// candidates lists the moves that take load off the slowest rank.
func (s *search) candidates() [][]edit {
	slowest := s.slowestRank()
	targets := s.fastestRanks()
	var list [][]edit
	for _, e := range s.ranks[slowest] {
		if len(s.holders[e]) > 1 {
			list = append(list, []edit{{rank: slowest, expert: e}})
		}
		for _, r := range targets {
			if r == slowest || s.rankTime[r] >= s.rankTime[slowest] || slices.Contains(s.ranks[r], e) {
				continue
			}
			list = s.appendMoves(list, slowest, r, e)
		}
	}
	return list
}

// fastestRanks returns the fastest ranks, at most maxTargetRanks.
func (s *search) fastestRanks() []int {
	targets := make([]int, len(s.rankTime))
	for r := range targets {
		targets[r] = r
	}
	slices.SortFunc(targets, func(a, b int) int { return cmp.Compare(s.rankTime[a], s.rankTime[b]) })
	return targets[:min(len(targets), maxTargetRanks)]
}

// appendMoves appends the moves that bring expert e of the slowest rank to rank r:
// into a free slot, over a spare copy, or in a swap with a lighter expert.
func (s *search) appendMoves(list [][]edit, slowest, r, e int) [][]edit {
	add, leave := edit{rank: r, expert: e, add: true}, edit{rank: slowest, expert: e}
	if len(s.ranks[r]) < s.limits.Slots {
		list = append(list, []edit{add}, []edit{add, leave})
	}
	for _, f := range s.ranks[r] {
		if f == e {
			continue
		}
		drop := edit{rank: r, expert: f}
		if len(s.holders[f]) > 1 {
			list = append(list, []edit{drop, add}, []edit{drop, add, leave})
		}
		if !slices.Contains(s.ranks[slowest], f) && s.load[f] < s.load[e] {
			list = append(list, []edit{drop, leave, add, {rank: slowest, expert: f, add: true}})
		}
	}
	return list
}

// allowed reports whether the edits keep the limits on new experts.
func (s *search) allowed(edits []edit) bool {
	for _, e := range edits {
		if !e.add || slices.Contains(s.initial[e.rank], e.expert) {
			continue
		}
		if s.newHere[e.rank] >= s.limits.MaxNew || s.newTotal[e.rank] >= s.limits.MaxCopies {
			return false
		}
	}
	return true
}

// newExperts counts the experts that the edits add to ranks and that these ranks do
// not hold in the current map.
func (s *search) newExperts(edits []edit) int {
	n := 0
	for _, e := range edits {
		if e.add && !slices.Contains(s.initial[e.rank], e.expert) {
			n++
		}
	}
	return n
}

// countNew updates the number of new experts of the rank of an edit.
func (s *search) countNew(e edit) {
	if slices.Contains(s.initial[e.rank], e.expert) {
		return
	}
	change := -1
	if e.add {
		change = 1
	}
	s.newHere[e.rank] += change
	s.newTotal[e.rank] += change
}

func (s *search) apply(edits []edit) {
	for _, e := range edits {
		s.applyEdit(e.rank, e.expert, e.add)
	}
}

func (s *search) revert(edits []edit) {
	for i := len(edits) - 1; i >= 0; i-- {
		s.applyEdit(edits[i].rank, edits[i].expert, !edits[i].add)
	}
}

// applyEdit adds an expert to a rank, or removes it, and updates the times of all
// ranks that hold the expert.
func (s *search) applyEdit(r, e int, add bool) {
	s.addLoad(e, -1)
	if add {
		s.ranks[r] = append(s.ranks[r], e)
		s.holders[e] = append(s.holders[e], r)
	} else {
		s.ranks[r] = remove(s.ranks[r], e)
		s.holders[e] = remove(s.holders[e], r)
	}
	s.addLoad(e, 1)
}

// addLoad adds an expert's load to the times of its ranks. Sign is 1, or -1 to
// subtract the load.
func (s *search) addLoad(e int, sign float64) {
	if len(s.holders[e]) == 0 {
		return
	}
	part := sign * s.load[e] / float64(len(s.holders[e]))
	for _, r := range s.holders[e] {
		s.totalPenalty -= penalty(s.rankTime[r])
		s.rankTime[r] += part * s.slowdownOf(r)
		s.totalPenalty += penalty(s.rankTime[r])
	}
}

func remove(list []int, value int) []int {
	i := slices.Index(list, value)
	return slices.Delete(list, i, i+1)
}
