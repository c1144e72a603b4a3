package quarantine

import (
	"slices"
	"time"
)

// maxInseparable bounds the sets of inseparable parts that an assessment computes.
const maxInseparable = 256

// inseparable is a set of parts that the evidence does not tell apart: each of them may alone
// explain the same crashes. A request with all of them has the part that crashed servers for
// certain, and its crash would not tell which one it is. A request with some of them does
// tell, and is the more likely to be sound: the deadly requests had all of them.
type inseparable struct {
	parts map[Trait]bool
	// releaseAt is the end of the hold of requests with all of the parts.
	releaseAt time.Time
}

// within reports whether a request with these traits has all of the parts.
func (i *inseparable) within(traits []Trait) bool {
	n := 0
	for _, t := range traits {
		if i.parts[t] {
			n++
		}
	}
	return n == len(i.parts)
}

// findInseparable returns the sets of two or more inseparable parts. Parts that are blamed for
// the same crashes have one set. It also returns for which parts there is a set.
func (q *Quarantine) findInseparable(blamed [][]Trait, history map[Trait]crashHistory) ([]*inseparable, map[Trait]bool) {
	var sets []*inseparable
	byCrashes := make(map[string]bool)
	members := make(map[Trait]bool)
	for n, traits := range blamed {
		for _, t := range traits {
			if t.whole() || history[t].indexes[0] != n {
				continue
			}
			key := string(history[t].key())
			if _, known := byCrashes[key]; !known && len(sets) < maxInseparable {
				parts := explainingAll(traits, history, t)
				byCrashes[key] = len(parts) > 1
				if len(parts) > 1 {
					sets = append(sets, q.newInseparable(t, parts, blamed, history[t]))
				}
			}
			if byCrashes[key] {
				members[t] = true
			}
		}
	}
	return sets, members
}

// explainingAll returns the parts that are blamed for all crashes for which the part is.
func explainingAll(traits []Trait, history map[Trait]crashHistory, part Trait) map[Trait]bool {
	parts := make(map[Trait]bool)
	for _, t := range traits {
		if !t.whole() && history[t].containsAll(history[part]) {
			parts[t] = true
		}
	}
	return parts
}

func (q *Quarantine) newInseparable(first Trait, parts map[Trait]bool, blamed [][]Trait, h crashHistory) *inseparable {
	hold := q.hold(first, q.weightOfAll(first, parts, blamed, h), h.crashes)
	return &inseparable{parts: parts, releaseAt: h.latest.Add(hold)}
}

// weightOfAll returns the evidence against inseparable parts: that against one part in the
// place of all of them.
func (q *Quarantine) weightOfAll(first Trait, parts map[Trait]bool, blamed [][]Trait, h crashHistory) float64 {
	var sum tally
	requests := make(distinctRequests)
	for _, n := range h.indexes {
		c := q.crashes[n]
		if !requests.add(c, first) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(blamed[n]), func(t Trait) bool { return t != first && parts[t] })
		sum.add(c, c.weight(first, others))
	}
	return sum.total()
}

// returnsEarly reports whether so many requests with each of the parts were refused that one
// with all of them may be tried early.
func (q *Quarantine) returnsEarly(now time.Time, i *inseparable) bool {
	for t := range i.parts {
		a := q.accused[t]
		if a == nil || !a.early.due(now, q.served) {
			return false
		}
	}
	return true
}
