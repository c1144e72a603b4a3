package quarantine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// fullWeight is the weight of a crash that only one part explains, while a server was
	// about to write an answer to it.
	fullWeight = 1.0
	// sharedWeight is the weight of any other crash.
	sharedWeight = 0.5
	// explainedMargin is by how much more evidence there is against one part than against
	// another if it alone explains the crashes that they share.
	explainedMargin = 1.0
)

// assess computes anew which parts are accused, and for how long each is held.
func (q *Quarantine) assess(now time.Time) {
	q.forget(now)
	for _, c := range q.crashes {
		c.noteProofs(&q.proofs)
	}
	blamed := make([][]ident.PromptPart, len(q.crashes))
	for n, c := range q.crashes {
		blamed[n] = q.candidates(c)
	}
	weights := q.weigh(blamed)
	for n := range blamed {
		blamed[n] = withoutExplained(blamed[n], weights)
	}
	weights = q.weigh(blamed)
	for p, a := range q.accused {
		if _, still := weights[p]; !still {
			a.lifecycle.Fire(now, "cleared")
			delete(q.accused, p)
		}
	}
	for p, weight := range weights {
		q.accuse(now, p, q.latestCrash(p, blamed).Add(holdTime(weight)))
	}
}

// forget drops the crashes whose suspects are all shown to be sound, and those that are old
// and blame no part.
func (q *Quarantine) forget(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		open := c.open(&q.proofs)
		blames := slices.ContainsFunc(open, func(p ident.PromptPart) bool { return q.accused[p] != nil })
		age := now.Sub(c.At)
		return len(open) == 0 || age > memoryTime || age > proofTime && !blames
	})
}

// accuse holds the part until the time, unless it is held until then already.
func (q *Quarantine) accuse(now time.Time, p ident.PromptPart, until time.Time) {
	a := q.accused[p]
	if a != nil && a.releaseAt.Equal(until) {
		return
	}
	known := a != nil
	if !known {
		a = &accusedPart{part: p}
		q.accused[p] = a
	}
	a.releaseAt, a.holdTime, a.ownTrial = until, max(until.Sub(now), 0), false
	if known {
		a.lifecycle.Fire(now, "blamed")
		return
	}
	a.lifecycle = q.machine.New(now, a)
}

// names reports whether the part is one of a suspect.
func (c *Crash) names(p ident.PromptPart) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return slices.Contains(s.Parts, p) })
}

// open returns the parts of the suspects without those that are shown to be sound since.
// If a server was about to write an answer, only that request is a suspect.
func (c *Crash) open(known *proofs) []ident.PromptPart {
	began := slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Began })
	var parts []ident.PromptPart
	for _, s := range c.Suspects {
		if began && !s.Began {
			continue
		}
		for _, p := range s.Parts {
			if !slices.Contains(parts, p) && !known.since(p, c.At.Add(proofLag)) {
				parts = append(parts, p)
			}
		}
	}
	return parts
}

// noteProofs records which parts of the suspects were shown to be sound at any time.
func (c *Crash) noteProofs(known *proofs) {
	for _, s := range c.Suspects {
		for _, p := range s.Parts {
			if _, ok := known.latest(p); ok && !slices.Contains(c.proven, p) {
				c.proven = append(c.proven, p)
			}
		}
	}
}

// candidates returns the parts that may explain the crash: those that were never shown to
// be sound, and if there are none, those that were suspects in two outages and were not
// shown to be sound in between.
func (q *Quarantine) candidates(c *Crash) []ident.PromptPart {
	open := c.open(&q.proofs)
	var unproven, repeated []ident.PromptPart
	for _, p := range open {
		if !slices.Contains(c.proven, p) {
			unproven = append(unproven, p)
		}
		if q.outages(p) > 1 {
			repeated = append(repeated, p)
		}
	}
	if len(unproven) > 0 {
		return unproven
	}
	return repeated
}

// outages counts the outages in which the part was a suspect since it was last shown to be
// sound. A request that crashes a second server counts as one more.
func (q *Quarantine) outages(p ident.PromptPart) int {
	count, latest := 0, 0
	for _, c := range q.crashes {
		if !slices.Contains(c.open(&q.proofs), p) {
			continue
		}
		if c.outage != latest {
			count, latest = count+1, c.outage
		}
		if c.repeats(p) {
			count++
		}
	}
	return count
}

// repeats reports whether the part is one of a request that had crashed a server before.
func (c *Crash) repeats(p ident.PromptPart) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Repeated && slices.Contains(s.Parts, p) })
}

// weigh returns the evidence against each blamed part: the sum over the outages of the
// greatest weight of a crash.
func (q *Quarantine) weigh(blamed [][]ident.PromptPart) map[ident.PromptPart]float64 {
	type tally struct {
		sum, weight float64
		outage      int
	}
	tallies := make(map[ident.PromptPart]tally)
	for n, parts := range blamed {
		c := q.crashes[n]
		weight := sharedWeight
		if len(parts) == 1 && slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Began }) {
			weight = fullWeight
		}
		for _, p := range parts {
			t := tallies[p]
			if t.outage == c.outage {
				t.weight = max(t.weight, weight)
			} else {
				t = tally{sum: t.sum + t.weight, weight: weight, outage: c.outage}
			}
			tallies[p] = t
		}
	}
	weights := make(map[ident.PromptPart]float64, len(tallies))
	for p, t := range tallies {
		weights[p] = t.sum + t.weight
	}
	return weights
}

// withoutExplained drops the parts against which there is much less evidence than against
// another part of the same crash.
func withoutExplained(parts []ident.PromptPart, weights map[ident.PromptPart]float64) []ident.PromptPart {
	most := 0.0
	for _, p := range parts {
		most = max(most, weights[p])
	}
	return slices.DeleteFunc(parts, func(p ident.PromptPart) bool { return weights[p]+explainedMargin <= most })
}

func (q *Quarantine) latestCrash(p ident.PromptPart, blamed [][]ident.PromptPart) (at time.Time) {
	for n, parts := range blamed {
		if slices.Contains(parts, p) && q.crashes[n].At.After(at) {
			at = q.crashes[n].At
		}
	}
	return at
}

// holdTime returns how long a part is held after the latest crash.
func holdTime(weight float64) time.Duration {
	if weight < fullWeight {
		return shortHold
	}
	hold := longHold
	for ; weight >= 2*fullWeight && hold < maxHold; weight -= fullWeight {
		hold *= holdFactor
	}
	return min(hold, maxHold)
}
