package placement

import (
	"cmp"
	"slices"
)

// search is the state of the plan of one layer set.
type search struct {
	ranks  [][]int
	work   []float64
	limits Limits
	// holders are the ranks with a copy of each expert.
	holders [][]int
	// pace is the time of each rank for the same work.
	pace []float64
	// load is the time of each rank, relative to the best that any map allows, and
	// cost the sum over the ranks of its eighth power. It is ruled by the loaded ranks.
	load []float64
	cost float64
	// original lists the experts that a rank need not copy.
	original [][]int
	// fresh counts the new experts of each rank here, copies over all layer sets.
	fresh  []int
	copies []int
	steps  int
}

// maxSteps bounds the moves in one layer set.
const maxSteps = 200

// target is the skew at which the search of a layer set stops. The measured work
// differs from the work to come by more than that.
const target = 1.15

// maxTargets is how many of the least loaded ranks the work of the most loaded one
// may move to. Trying all ranks of a group of 72 takes five times as long, which on
// a small machine is longer than popularity stays the same.
const maxTargets = 16

// leastGain keeps rounding errors and moves that hardly help out of a plan.
const leastGain = 1e-6

func newSearch(ranks [][]int, work, pace []float64, limits Limits, copies []int) *search {
	s := &search{
		ranks: ranks, limits: limits, copies: copies, work: make([]float64, len(work)), pace: pace,
		holders: make([][]int, len(work)), load: make([]float64, len(ranks)), fresh: make([]int, len(ranks)),
		original: make([][]int, len(ranks)),
	}
	total, speed := 0.0, 0.0
	for _, w := range work {
		total += w
	}
	for r := range ranks {
		speed += 1 / s.paceOf(r)
	}
	for e, w := range work {
		if total > 0 {
			s.work[e] = w / total * speed
		}
	}
	for r, list := range ranks {
		s.original[r] = slices.Clone(list)
		for _, e := range list {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	s.reload()
	return s
}

func (s *search) reload() {
	for r, list := range s.ranks {
		s.load[r] = 0
		for _, e := range list {
			s.load[r] += s.paceOf(r) * s.work[e] / float64(len(s.holders[e]))
		}
	}
	s.cost = 0
	for _, l := range s.load {
		s.cost += rankCost(l)
	}
}

// paceOf is at least that of a healthy rank.
func (s *search) paceOf(r int) float64 {
	if r >= len(s.pace) {
		return 1
	}
	return max(s.pace[r], 1)
}

func (s *search) hottest() int {
	hot := 0
	for r := range s.load {
		if s.load[r] > s.load[hot] {
			hot = r
		}
	}
	return hot
}

func (s *search) skew() float64 {
	if len(s.load) == 0 {
		return 1
	}
	return s.load[s.hottest()]
}

func rankCost(load float64) float64 {
	load *= load
	load *= load
	return load * load
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

// improve makes the move that relieves the most loaded rank most.
func (s *search) improve() bool {
	if s.steps >= maxSteps || s.skew() < target {
		return false
	}
	s.steps++
	best := move{gain: leastGain}
	before := s.cost
	for _, edits := range s.candidates() {
		if !s.allowed(edits) {
			continue
		}
		s.apply(edits)
		gain := (before - s.cost) / float64(max(s.newExperts(edits), 1))
		s.revert(edits)
		if gain > best.gain {
			best = move{edits: edits, gain: gain}
		}
	}
	if best.edits == nil {
		return false
	}
	for _, e := range best.edits {
		s.count(e)
	}
	s.apply(best.edits)
	// The loads were changed step by step, which adds rounding errors up.
	s.reload()
	return true
}

// candidates lists the moves that take work off the most loaded rank.
func (s *search) candidates() [][]edit {
	hot := s.hottest()
	targets := s.targets()
	var list [][]edit
	for _, e := range s.ranks[hot] {
		if len(s.holders[e]) > 1 {
			list = append(list, []edit{{rank: hot, expert: e}})
		}
		for _, r := range targets {
			if r == hot || s.load[r] >= s.load[hot] || slices.Contains(s.ranks[r], e) {
				continue
			}
			list = s.toward(list, hot, r, e)
		}
	}
	return list
}

// targets are the least loaded ranks.
func (s *search) targets() []int {
	targets := make([]int, len(s.load))
	for r := range targets {
		targets[r] = r
	}
	slices.SortFunc(targets, func(a, b int) int { return cmp.Compare(s.load[a], s.load[b]) })
	return targets[:min(len(targets), maxTargets)]
}

// toward lists the ways to bring expert e of the most loaded rank to rank r.
func (s *search) toward(list [][]edit, hot, r, e int) [][]edit {
	add, leave := edit{rank: r, expert: e, add: true}, edit{rank: hot, expert: e}
	if len(s.ranks[r]) < s.limits.Places {
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
		if !slices.Contains(s.ranks[hot], f) && s.work[f] < s.work[e] {
			list = append(list, []edit{drop, leave, add, {rank: hot, expert: f, add: true}})
		}
	}
	return list
}

// allowed reports whether the ranks may copy that many experts.
func (s *search) allowed(edits []edit) bool {
	for _, e := range edits {
		if !e.add || slices.Contains(s.original[e.rank], e.expert) {
			continue
		}
		if s.fresh[e.rank] >= s.limits.MaxNew || s.copies[e.rank] >= s.limits.MaxCopies {
			return false
		}
	}
	return true
}

func (s *search) newExperts(edits []edit) int {
	n := 0
	for _, e := range edits {
		if e.add && !slices.Contains(s.original[e.rank], e.expert) {
			n++
		}
	}
	return n
}

// count keeps the number of new experts of the rank of an edit.
func (s *search) count(e edit) {
	if slices.Contains(s.original[e.rank], e.expert) {
		return
	}
	change := -1
	if e.add {
		change = 1
	}
	s.fresh[e.rank] += change
	s.copies[e.rank] += change
}

func (s *search) apply(edits []edit) {
	for _, e := range edits {
		s.edit(e.rank, e.expert, e.add)
	}
}

func (s *search) revert(edits []edit) {
	for i := len(edits) - 1; i >= 0; i-- {
		s.edit(edits[i].rank, edits[i].expert, !edits[i].add)
	}
}

// edit changes one place and the loads of the ranks that share the expert.
func (s *search) edit(r, e int, add bool) {
	s.share(e, -1)
	if add {
		s.ranks[r] = append(s.ranks[r], e)
		s.holders[e] = append(s.holders[e], r)
	} else {
		s.ranks[r] = remove(s.ranks[r], e)
		s.holders[e] = remove(s.holders[e], r)
	}
	s.share(e, 1)
}

// share adds an expert's work to the loads of its ranks, or takes it off.
func (s *search) share(e int, sign float64) {
	if len(s.holders[e]) == 0 {
		return
	}
	part := sign * s.work[e] / float64(len(s.holders[e]))
	for _, r := range s.holders[e] {
		s.cost -= rankCost(s.load[r])
		s.load[r] += part * s.paceOf(r)
		s.cost += rankCost(s.load[r])
	}
}

func remove(list []int, value int) []int {
	i := slices.Index(list, value)
	return slices.Delete(list, i, i+1)
}
