package balance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// heavyShare is the work of a copy, in units of the best time of a rank, below
// which repacking moves it only to make room.
const heavyShare = 0.04

// stay is how much later a copy may finish on its present rank than on another
// one and still stay, in units of the best time.
const stay = 0.01

// copyItem is a copy that repacking places.
type copyItem struct {
	expert int
	from   int
	share  float64
}

// repacking is a repack under way.
type repacking struct {
	*search
	ranks []int
	// assigned are the experts placed so far, and base their time, by rank.
	assigned map[int][]int
	base     map[int]float64
}

// repack places the copies on the slowest and the fastest ranks, size of them
// together, anew: longest first, on the rank that would finish first. Light
// copies stay if they can. With extra, the experts with the most work per copy
// get that many more copies in place of the lightest spare copies on these
// ranks. The second result is false if that is impossible.
func (s *search) repack(size, extra int) (Move, bool) {
	p := repacking{search: s, ranks: s.extremes(size), assigned: make(map[int][]int), base: make(map[int]float64)}
	shares := make([]float64, len(s.load))
	for e := range shares {
		shares[e] = s.share(e)
	}
	more := make([]int, len(shares))
	var items []copyItem
	for range extra {
		e := hottestExpert(shares)
		r, ok := p.giveUpSpare(e, shares)
		if !ok {
			return Move{}, false
		}
		more[e]++
		shares[e] = s.load[e] / float64(len(s.holders[e])+more[e])
		items = append(items, copyItem{expert: e, from: r})
	}
	items = append(items, p.take()...)
	for i := range items {
		items[i].share = shares[items[i].expert]
	}
	sort.SliceStable(items, func(a, b int) bool { return items[a].share > items[b].share })
	for _, item := range items {
		if !p.put(item) {
			return Move{}, false
		}
	}
	m := p.realize()
	s.retime()
	return m, m.Copies > 0
}

func hottestExpert(shares []float64) int {
	hot := 0
	for e, share := range shares {
		if share > shares[hot] {
			hot = e
		}
	}
	return hot
}

// heaviest returns the expert with the most work on a rank.
func (s *search) heaviest(r int) int {
	heavy := int(s.place[r][0])
	for _, e := range s.place[r] {
		if s.share(int(e)) > s.share(heavy) {
			heavy = int(e)
		}
	}
	return heavy
}

// giveUpSpare frees the slot of the lightest spare copy of another expert.
func (p *repacking) giveUpSpare(expert int, shares []float64) (int, bool) {
	rank, slot, found := 0, 0, false
	for _, r := range p.ranks {
		for i, e := range p.place[r] {
			if len(p.holders[e]) > 1 && int(e) != expert && (!found || shares[e] < shares[p.place[rank][slot]]) {
				rank, slot, found = r, i, true
			}
		}
	}
	if !found {
		return 0, false
	}
	old := int(p.place[rank][slot])
	p.drop(old, rank)
	shares[old] = p.share(old)
	return rank, true
}

// take takes all copies off the ranks.
func (p *repacking) take() []copyItem {
	var items []copyItem
	for _, r := range p.ranks {
		for _, e := range p.place[r] {
			if p.holds(int(e), r) {
				items = append(items, copyItem{expert: int(e), from: r})
				p.drop(int(e), r)
			}
		}
	}
	return items
}

func (p *repacking) room(r, expert int) bool {
	return len(p.assigned[r]) < len(p.place[r]) && !p.holds(expert, r)
}

// put chooses the rank of a copy.
func (p *repacking) put(item copyItem) bool {
	best, bestTime := -1, 0.0
	if item.share < heavyShare && p.room(item.from, item.expert) {
		best = item.from
	} else {
		for _, r := range p.ranks {
			if !p.room(r, item.expert) {
				continue
			}
			time := p.base[r] + item.share/p.speeds[r]
			if r == item.from {
				time -= stay
			}
			if best < 0 || time < bestTime {
				best, bestTime = r, time
			}
		}
	}
	if best < 0 {
		return false
	}
	p.base[best] += item.share / p.speeds[best]
	p.assigned[best] = append(p.assigned[best], item.expert)
	p.hold(item.expert, best)
	return true
}

// realize writes the assigned experts into the slots. Experts that stay on their
// rank keep their slot.
func (p *repacking) realize() Move {
	var m Move
	for _, r := range p.ranks {
		old := p.place[r]
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
			p.place[r][slot] = expertmap.Expert(arriving[0])
			m.Changes = append(m.Changes, expertmap.Change{Layer: p.layer, Rank: ident.Rank(r), Slot: slot, Expert: expertmap.Expert(arriving[0])})
			m.Copies++
			arriving = arriving[1:]
		}
	}
	return m
}

// extremes returns the slowest and the fastest live ranks, half of each, slowest
// first.
func (s *search) extremes(size int) []int {
	var order []int
	for r := range s.speeds {
		if s.speeds[r] > 0 {
			order = append(order, r)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return s.time[order[a]] > s.time[order[b]] })
	if len(order) <= size {
		return order
	}
	return append(order[:size/2:size/2], order[len(order)-size/2:]...)
}
