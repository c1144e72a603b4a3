package expertbalance

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// search is the state of the local search in one layer.
type search struct {
	layer int
	// layout holds the expert in each slot, by rank and slot.
	layout expertmap.Layer
	// load is the load of each expert. The loads of all experts add up to the sum of
	// the speeds, so that the best step time that any map allows is 1.
	load    []float64
	speeds  []float64
	domains []ident.FailureDomain
	// holders lists the live ranks that hold each expert.
	holders [][]int
	// holdsAt is the holders as a matrix: expert times the number of ranks plus rank.
	holdsAt []bool
	// rankTime is the load of each rank divided by its speed.
	rankTime []float64
}

// sameDomainDiscount scales the gain of a copy to a failure domain that already
// holds the expert, so that another domain wins between otherwise equal copies.
const sameDomainDiscount = 0.98

func newSearch(in Input, layer int) *search {
	s := &search{layer: layer, layout: in.Map.Layers[layer].Clone(), speeds: in.Speeds, domains: in.Domains}
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
	s.holdsAt = make([]bool, len(s.load)*len(s.speeds))
	s.rankTime = make([]float64, len(s.speeds))
	for r := range s.layout {
		for _, e := range s.layout[r] {
			s.addHolder(int(e), r)
		}
	}
	s.recomputeTimes()
	return s
}

func (s *search) addHolder(e, r int) {
	if s.speeds[r] > 0 && !s.holds(e, r) {
		s.holders[e] = append(s.holders[e], r)
		s.holdsAt[e*len(s.speeds)+r] = true
	}
}

func (s *search) removeHolder(e, r int) {
	for i, h := range s.holders[e] {
		if h == r {
			s.holders[e] = append(s.holders[e][:i], s.holders[e][i+1:]...)
			s.holdsAt[e*len(s.speeds)+r] = false
			return
		}
	}
}

func (s *search) holds(e, r int) bool { return s.holdsAt[e*len(s.speeds)+r] }

// copyLoad is the load of one copy. Copies of an expert share its load evenly.
func (s *search) copyLoad(e int) float64 { return s.load[e] / float64(max(len(s.holders[e]), 1)) }

func (s *search) recomputeTimes() {
	clear(s.rankTime)
	for e := range s.holders {
		load := s.copyLoad(e)
		for _, r := range s.holders[e] {
			s.rankTime[r] += load / s.speeds[r]
		}
	}
}

func (s *search) slowestRank() int {
	slowest := 0
	for r, t := range s.rankTime {
		if t > s.rankTime[slowest] {
			slowest = r
		}
	}
	return slowest
}

// skew is the slowest rank's time over the best time that any map allows.
func (s *search) skew() float64 { return s.rankTime[s.slowestRank()] }

// penalty is the eighth power of a rank's time, so that the slow ranks dominate the
// sum over the ranks.
func penalty(t float64) float64 {
	t *= t
	t *= t
	return t * t
}

// penaltyDrop is the decrease of a rank's penalty if its load changes by delta.
func (s *search) penaltyDrop(r int, delta float64) float64 {
	return penalty(s.rankTime[r]) - penalty(s.rankTime[r]+delta/s.speeds[r])
}

// candidate is a move under consideration: expert a replaces expert b in a slot of
// rank r. In a swap, b also replaces a in fromSlot of fromRank.
type candidate struct {
	swap           bool
	a, b           int
	fromRank, rank int
	fromSlot       int
	slot           int
	gain           float64
}

// improve makes the move with the greatest gain per copy among those that take load
// off the slowest rank. The second result is false if no move helps.
func (s *search) improve() (Move, bool) {
	slowest := s.slowestRank()
	var best candidate
	for slot, e := range s.layout[slowest] {
		s.trySwaps(slowest, slot, int(e), &best)
		s.tryCopies(slowest, int(e), &best)
		if len(s.holders[e]) > 1 {
			s.tryReplaceSpare(slowest, int(e), &best)
		}
	}
	if best.gain <= minGain {
		return Move{}, false
	}
	return s.apply(best), true
}

// minGain is the least decrease of the penalty per copy that is not taken for a
// rounding error.
const minGain = 1e-9

// trySwaps tries to swap expert a of the slowest rank for each lighter expert of
// the other ranks.
func (s *search) trySwaps(slowest, slowSlot, a int, best *candidate) {
	loadA := s.copyLoad(a)
	for r := range s.layout {
		if r == slowest || s.speeds[r] <= 0 || s.rankTime[r] >= s.rankTime[slowest] || s.holds(a, r) {
			continue
		}
		for slot, e := range s.layout[r] {
			b := int(e)
			diff := loadA - s.copyLoad(b)
			if diff <= 0 || s.holds(b, slowest) {
				continue
			}
			// A swap loads two copies, so the gain per copy is half.
			gain := (s.penaltyDrop(slowest, -diff) + s.penaltyDrop(r, diff)) / 2
			if gain > best.gain {
				*best = candidate{swap: true, a: a, b: b, fromRank: slowest, fromSlot: slowSlot, rank: r, slot: slot, gain: gain}
			}
		}
	}
}

// tryCopies tries to copy expert a of the slowest rank over each spare copy of
// another expert on the other ranks.
func (s *search) tryCopies(slowest, a int, best *candidate) {
	holdersGain := s.holdersGain(a)
	for b, holders := range s.holders {
		if len(holders) < 2 || b == a {
			continue
		}
		for _, r := range holders {
			if s.rankTime[r] < s.rankTime[slowest] && !s.holds(a, r) {
				s.tryCopy(a, b, r, holdersGain, best)
			}
		}
	}
}

// tryReplaceSpare tries to replace a spare copy of expert b on the slowest rank by a
// lighter copy of another expert.
func (s *search) tryReplaceSpare(slowest, b int, best *candidate) {
	loadB := s.copyLoad(b)
	for a := range s.load {
		if a != b && !s.holds(a, slowest) && s.load[a]/float64(len(s.holders[a])+1) < loadB {
			s.tryCopy(a, b, slowest, s.holdersGain(a), best)
		}
	}
}

// holdersGain is the decrease of the penalty of an expert's current holders if it
// gets one more copy.
func (s *search) holdersGain(a int) float64 {
	less, gain := s.copyLoadDrop(a), 0.0
	for _, h := range s.holders[a] {
		gain += s.penaltyDrop(h, -less)
	}
	return gain
}

// copyLoadDrop is the decrease of the load of each copy if an expert gets one more.
func (s *search) copyLoadDrop(a int) float64 {
	count := float64(len(s.holders[a]))
	return s.load[a]/count - s.load[a]/(count+1)
}

// tryCopy tries to replace the copy of expert b on rank r by a copy of expert a.
func (s *search) tryCopy(a, b, r int, holdersGain float64, best *candidate) {
	countA, countB := float64(len(s.holders[a])), float64(len(s.holders[b]))
	gain := holdersGain + s.penaltyDrop(r, s.load[a]/(countA+1)-s.load[b]/countB)
	if gain <= best.gain {
		return
	}
	less, more := s.copyLoadDrop(a), s.load[b]/(countB-1)-s.load[b]/countB
	for _, h := range s.holders[b] {
		switch {
		case h == r:
		case s.holds(a, h):
			gain += s.penaltyDrop(h, more-less) - s.penaltyDrop(h, -less)
		default:
			gain += s.penaltyDrop(h, more)
		}
	}
	if s.sharesDomain(a, r) {
		gain *= sameDomainDiscount
	}
	if gain > best.gain {
		*best = candidate{a: a, b: b, rank: r, slot: s.slotOf(b, r), gain: gain}
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
	for slot, other := range s.layout[r] {
		if int(other) == e {
			return slot
		}
	}
	return -1
}

func (s *search) apply(c candidate) Move {
	m := Move{Copies: 1, Changes: []expertmap.Change{s.replace(c.rank, c.slot, c.a, c.b)}}
	if c.swap {
		m.Copies = 2
		m.Changes = append(m.Changes, s.replace(c.fromRank, c.fromSlot, c.b, c.a))
	}
	s.recomputeTimes()
	return m
}

// replace writes expert e over expert old in a slot and returns the change.
func (s *search) replace(r, slot, e, old int) expertmap.Change {
	s.layout[r][slot] = expertmap.Expert(e)
	if !contains(s.layout[r], old) {
		s.removeHolder(old, r)
	}
	s.addHolder(e, r)
	return expertmap.Change{Layer: s.layer, Rank: ident.Rank(r), Slot: slot, Expert: expertmap.Expert(e)}
}

// coverLost places experts that no live rank holds over spare copies, at any cost.
// The second result counts the experts for which no spare copy is left.
func (s *search) coverLost() ([]Move, int) {
	var moves []Move
	uncovered := 0
	for e := range s.load {
		if len(s.holders[e]) > 0 {
			continue
		}
		r, slot, ok := s.cheapestSpare()
		if !ok {
			uncovered++
			continue
		}
		moves = append(moves, s.apply(candidate{a: e, b: int(s.layout[r][slot]), rank: r, slot: slot}))
	}
	return moves, uncovered
}

// cheapestSpare returns the slot of the spare copy whose removal leaves the least
// load per remaining copy of its expert.
func (s *search) cheapestSpare() (rank, slot int, found bool) {
	least := 0.0
	for r := range s.layout {
		if s.speeds[r] <= 0 {
			continue
		}
		for i, e := range s.layout[r] {
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
