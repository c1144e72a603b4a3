package balance

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// search is the state of the local search in one layer.
type search struct {
	layer   int
	place   expertmap.Layer
	load    []float64
	speeds  []float64
	domains []ident.FailureDomain
	// holders are the ranks that hold each expert; on is the same as a matrix.
	holders [][]int
	on      []bool
	// time is the work of each rank divided by its speed, in units of the best
	// time that any map allows.
	time []float64
}

// sameDomainDiscount makes a copy in another failure domain the better one of
// two otherwise equal copies.
const sameDomainDiscount = 0.98

func newSearch(in Input, layer int) *search {
	s := &search{layer: layer, place: in.Map.Layers[layer].Clone(), speeds: in.Speeds, domains: in.Domains}
	total, speed := 0.0, 0.0
	for _, l := range in.Load[layer] {
		total += l
	}
	for _, v := range in.Speeds {
		speed += v
	}
	s.load = make([]float64, len(in.Load[layer]))
	for e, l := range in.Load[layer] {
		if total > 0 {
			s.load[e] = l / total * speed
		}
	}
	s.holders = make([][]int, len(s.load))
	s.on = make([]bool, len(s.load)*len(s.speeds))
	s.time = make([]float64, len(s.speeds))
	for r := range s.place {
		for _, e := range s.place[r] {
			s.hold(int(e), r)
		}
	}
	s.retime()
	return s
}

func (s *search) hold(e, r int) {
	if s.speeds[r] > 0 && !s.holds(e, r) {
		s.holders[e] = append(s.holders[e], r)
		s.on[e*len(s.speeds)+r] = true
	}
}

func (s *search) drop(e, r int) {
	for i, h := range s.holders[e] {
		if h == r {
			s.holders[e] = append(s.holders[e][:i], s.holders[e][i+1:]...)
			s.on[e*len(s.speeds)+r] = false
			return
		}
	}
}

func (s *search) holds(e, r int) bool { return s.on[e*len(s.speeds)+r] }

// share is the work of one copy; copies of an expert share its work evenly.
func (s *search) share(e int) float64 { return s.load[e] / float64(max(len(s.holders[e]), 1)) }

func (s *search) retime() {
	clear(s.time)
	for e := range s.holders {
		share := s.share(e)
		for _, r := range s.holders[e] {
			s.time[r] += share / s.speeds[r]
		}
	}
}

func (s *search) hottest() int {
	hot := 0
	for r, t := range s.time {
		if t > s.time[hot] {
			hot = r
		}
	}
	return hot
}

// skew is the slowest rank's time over the best that any map allows.
func (s *search) skew() float64 { return s.time[s.hottest()] }

// penalty grows steeply, so that the sum over the ranks is ruled by the slow ones.
func penalty(t float64) float64 {
	t *= t
	t *= t
	return t * t
}

// change is the decrease of the penalty if a rank's work changes.
func (s *search) change(r int, work float64) float64 {
	return penalty(s.time[r]) - penalty(s.time[r]+work/s.speeds[r])
}

// candidate is a move under consideration: expert a goes to the slot of b on
// rank r. In an exchange, b goes to the slot of a on the rank from.
type candidate struct {
	exchange bool
	a, b     int
	from, r  int
	fromSlot int
	slot     int
	gain     float64
}

// best makes the move with the greatest gain per copy that relieves the slowest
// rank. The second result is false if no move helps.
func (s *search) best() (Move, bool) {
	hot := s.hottest()
	var best candidate
	for slot, e := range s.place[hot] {
		s.tryExchanges(hot, slot, int(e), &best)
		s.tryCopies(hot, int(e), &best)
		if len(s.holders[e]) > 1 {
			s.tryDrop(hot, int(e), &best)
		}
	}
	if best.gain <= minGain {
		return Move{}, false
	}
	return s.apply(best), true
}

// minGain keeps rounding errors from looking like gains.
const minGain = 1e-9

func (s *search) tryExchanges(hot, hotSlot, a int, best *candidate) {
	shareA := s.share(a)
	for r := range s.place {
		if r == hot || s.speeds[r] <= 0 || s.time[r] >= s.time[hot] || s.holds(a, r) {
			continue
		}
		for slot, e := range s.place[r] {
			b := int(e)
			work := shareA - s.share(b)
			if work <= 0 || s.holds(b, hot) {
				continue
			}
			// Two copies are loaded, so the gain counts half.
			gain := (s.change(hot, -work) + s.change(r, work)) / 2
			if gain > best.gain {
				*best = candidate{exchange: true, a: a, b: b, from: hot, fromSlot: hotSlot, r: r, slot: slot, gain: gain}
			}
		}
	}
}

// tryCopies tries to copy an expert of the slowest rank over a spare copy
// elsewhere.
func (s *search) tryCopies(hot, a int, best *candidate) {
	relief := s.relief(a)
	for b, holders := range s.holders {
		if len(holders) < 2 || b == a {
			continue
		}
		for _, r := range holders {
			if s.time[r] < s.time[hot] && !s.holds(a, r) {
				s.tryCopy(a, b, r, relief, best)
			}
		}
	}
}

// tryDrop tries to replace a spare copy on the slowest rank by another expert.
func (s *search) tryDrop(hot, b int, best *candidate) {
	shareB := s.share(b)
	for a := range s.load {
		if a != b && !s.holds(a, hot) && s.load[a]/float64(len(s.holders[a])+1) < shareB {
			s.tryCopy(a, b, hot, s.relief(a), best)
		}
	}
}

// relief is the gain on the present holders of an expert if it gets one more copy.
func (s *search) relief(a int) float64 {
	less, gain := s.less(a), 0.0
	for _, h := range s.holders[a] {
		gain += s.change(h, -less)
	}
	return gain
}

// less is the decrease of the work of each copy if an expert gets one more.
func (s *search) less(a int) float64 {
	count := float64(len(s.holders[a]))
	return s.load[a]/count - s.load[a]/(count+1)
}

// tryCopy tries to put a copy of expert a over the copy of expert b on a rank.
func (s *search) tryCopy(a, b, r int, relief float64, best *candidate) {
	countA, countB := float64(len(s.holders[a])), float64(len(s.holders[b]))
	gain := relief + s.change(r, s.load[a]/(countA+1)-s.load[b]/countB)
	if gain <= best.gain {
		return
	}
	less, more := s.less(a), s.load[b]/(countB-1)-s.load[b]/countB
	for _, h := range s.holders[b] {
		switch {
		case h == r:
		case s.holds(a, h):
			gain += s.change(h, more-less) - s.change(h, -less)
		default:
			gain += s.change(h, more)
		}
	}
	if s.sharesDomain(a, r) {
		gain *= sameDomainDiscount
	}
	if gain > best.gain {
		*best = candidate{a: a, b: b, r: r, slot: s.slotOf(b, r), gain: gain}
	}
}

// sharesDomain reports whether a holder of the expert is in the rank's failure
// domain.
func (s *search) sharesDomain(e, r int) bool {
	if len(s.domains) == 0 {
		return false
	}
	for _, h := range s.holders[e] {
		if s.domains[h] == s.domains[r] {
			return true
		}
	}
	return false
}

func (s *search) slotOf(e, r int) int {
	for slot, other := range s.place[r] {
		if int(other) == e {
			return slot
		}
	}
	return -1
}

func (s *search) apply(c candidate) Move {
	m := Move{Copies: 1, Changes: []expertmap.Change{s.put(c.r, c.slot, c.a, c.b)}}
	if c.exchange {
		m.Copies = 2
		m.Changes = append(m.Changes, s.put(c.from, c.fromSlot, c.b, c.a))
	}
	s.retime()
	return m
}

// put replaces expert old in a slot.
func (s *search) put(r, slot, e, old int) expertmap.Change {
	s.place[r][slot] = expertmap.Expert(e)
	if !contains(s.place[r], old) {
		s.drop(old, r)
	}
	s.hold(e, r)
	return expertmap.Change{Layer: s.layer, Rank: ident.Rank(r), Slot: slot, Expert: expertmap.Expert(e)}
}

// cover places experts that no live rank holds over spare copies. These moves
// are made whatever they cost. The second result counts experts without a slot.
func (s *search) cover() ([]Move, int) {
	var moves []Move
	uncovered := 0
	for e := range s.load {
		if len(s.holders[e]) > 0 {
			continue
		}
		r, slot, ok := s.spareSlot()
		if !ok {
			uncovered++
			continue
		}
		moves = append(moves, s.apply(candidate{a: e, b: int(s.place[r][slot]), r: r, slot: slot}))
	}
	return moves, uncovered
}

// spareSlot finds the spare copy whose loss costs least.
func (s *search) spareSlot() (rank, slot int, found bool) {
	least := 0.0
	for r := range s.place {
		if s.speeds[r] <= 0 {
			continue
		}
		for i, e := range s.place[r] {
			n := float64(len(s.holders[e]))
			if n < 2 {
				continue
			}
			if cost := s.load[e] / (n - 1); !found || cost < least {
				least, rank, slot, found = cost, r, i, true
			}
		}
	}
	return rank, slot, found
}
