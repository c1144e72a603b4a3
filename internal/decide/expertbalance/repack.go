package expertbalance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// heavyLoad is the load of a copy, relative to the best step time of a rank, below
// which a repack moves the copy only if its rank has no free slot.
const heavyLoad = 0.04

// stayBonus is how much longer, relative to the best step time, a copy's current
// rank may take than another rank and still keep the copy.
const stayBonus = 0.01

// copyItem is a copy that a repack places.
type copyItem struct {
	expert int
	from   int
	load   float64
}

// repacking is the state of one repack.
type repacking struct {
	*search
	ranks []int
	// assigned holds the experts placed so far, by rank.
	assigned map[int][]int
	// assignedTime holds the time of the experts placed so far, by rank.
	assignedTime map[int]float64
}

// repack reassigns all copies on the slowest and the fastest ranks, size ranks in
// all: heaviest copy first, on the rank that would finish first. A light copy stays
// on its rank if there is a slot. The experts with the greatest load per copy also
// get extra copies in all, which replace the lightest spare copies on these ranks.
// The second result is false if that is impossible or changes nothing.
func (s *search) repack(size, extra int) (Move, bool) {
	p := repacking{search: s, ranks: s.slowestAndFastest(size), assigned: make(map[int][]int), assignedTime: make(map[int]float64)}
	copyLoads := make([]float64, len(s.load))
	for e := range copyLoads {
		copyLoads[e] = s.copyLoad(e)
	}
	more := make([]int, len(copyLoads))
	var items []copyItem
	for range extra {
		e := heaviestIndex(copyLoads)
		r, ok := p.dropLightestSpare(e, copyLoads)
		if !ok {
			return Move{}, false
		}
		more[e]++
		copyLoads[e] = s.load[e] / float64(len(s.holders[e])+more[e])
		items = append(items, copyItem{expert: e, from: r})
	}
	items = append(items, p.removeAll()...)
	for i := range items {
		items[i].load = copyLoads[items[i].expert]
	}
	sort.SliceStable(items, func(a, b int) bool { return items[a].load > items[b].load })
	for _, item := range items {
		if !p.assign(item) {
			return Move{}, false
		}
	}
	m := p.writeAssigned()
	s.recomputeTimes()
	return m, m.Copies > 0
}

// heaviestIndex returns the expert with the greatest load per copy.
func heaviestIndex(copyLoads []float64) int {
	heaviest := 0
	for e, load := range copyLoads {
		if load > copyLoads[heaviest] {
			heaviest = e
		}
	}
	return heaviest
}

// heaviestOn returns the expert with the greatest load per copy on a rank.
func (s *search) heaviestOn(r int) int {
	heavy := int(s.layout[r][0])
	for _, e := range s.layout[r] {
		if s.copyLoad(int(e)) > s.copyLoad(heavy) {
			heavy = int(e)
		}
	}
	return heavy
}

// dropLightestSpare removes the lightest spare copy of another expert from these
// ranks and returns its rank. The second result is false if there is none.
func (p *repacking) dropLightestSpare(expert int, copyLoads []float64) (int, bool) {
	rank, slot, found := 0, 0, false
	for _, r := range p.ranks {
		for i, e := range p.layout[r] {
			if len(p.holders[e]) > 1 && int(e) != expert && (!found || copyLoads[e] < copyLoads[p.layout[rank][slot]]) {
				rank, slot, found = r, i, true
			}
		}
	}
	if !found {
		return 0, false
	}
	old := int(p.layout[rank][slot])
	p.removeHolder(old, rank)
	copyLoads[old] = p.copyLoad(old)
	return rank, true
}

// removeAll removes all copies from these ranks and returns them.
func (p *repacking) removeAll() []copyItem {
	var items []copyItem
	for _, r := range p.ranks {
		for _, e := range p.layout[r] {
			if p.holds(int(e), r) {
				items = append(items, copyItem{expert: int(e), from: r})
				p.removeHolder(int(e), r)
			}
		}
	}
	return items
}

// fits reports whether the rank has a free slot and no copy of the expert.
func (p *repacking) fits(r, expert int) bool {
	return len(p.assigned[r]) < len(p.layout[r]) && !p.holds(expert, r)
}

// assign chooses the rank of a copy. It returns false if no rank can take it.
func (p *repacking) assign(item copyItem) bool {
	best, bestTime := -1, 0.0
	if item.load < heavyLoad && p.fits(item.from, item.expert) {
		best = item.from
	} else {
		for _, r := range p.ranks {
			if !p.fits(r, item.expert) {
				continue
			}
			finish := p.assignedTime[r] + item.load/p.speeds[r]
			if r == item.from {
				finish -= stayBonus
			}
			if best < 0 || finish < bestTime {
				best, bestTime = r, finish
			}
		}
	}
	if best < 0 {
		return false
	}
	p.assignedTime[best] += item.load / p.speeds[best]
	p.assigned[best] = append(p.assigned[best], item.expert)
	p.addHolder(item.expert, best)
	return true
}

// writeAssigned writes the assigned experts into the slots. An expert that stays on
// its rank keeps its slot.
func (p *repacking) writeAssigned() Move {
	var m Move
	for _, r := range p.ranks {
		old := p.layout[r]
		var arriving []int
		for _, e := range p.assigned[r] {
			if !contains(old, e) {
				arriving = append(arriving, e)
			}
		}
		kept := make(map[expertmap.Expert]bool)
		for slot, e := range old {
			if len(arriving) == 0 {
				break
			}
			if p.holds(int(e), r) && !kept[e] {
				kept[e] = true
				continue
			}
			p.layout[r][slot] = expertmap.Expert(arriving[0])
			m.Changes = append(m.Changes, expertmap.Change{Layer: p.layer, Rank: ident.Rank(r), Slot: slot, Expert: expertmap.Expert(arriving[0])})
			m.Copies++
			arriving = arriving[1:]
		}
	}
	return m
}

// slowestAndFastest returns size live ranks, half of them the slowest and half the
// fastest, slowest first.
func (s *search) slowestAndFastest(size int) []int {
	var order []int
	for r := range s.speeds {
		if s.speeds[r] > 0 {
			order = append(order, r)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return s.rankTime[order[a]] > s.rankTime[order[b]] })
	if len(order) <= size {
		return order
	}
	return append(order[:size/2:size/2], order[len(order)-size/2:]...)
}
