package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// fullWeight is the weight of a crash against a request that the server was running, and
	// against a part that is the only one to explain it.
	fullWeight = 1.0
	// sharedWeight is the weight of any other crash.
	sharedWeight = 0.5
	// turnedWeight is the weight of a crash against a request that had been sound before. A
	// read that callers repeat often is in flight at most crashes of another cause, so it
	// takes three outages in a row, without an answer in between, to hold it for long.
	turnedWeight = 0.4
	// recurringWeight is the weight of a crash against what waited, while the server was about
	// to write an answer to another suspect. A sound part that is rarely used may be in flight
	// at two crashes, so it takes three to hold it for long.
	recurringWeight = 0.4
	// explainedMargin is by how much more evidence there is against one trait than against
	// another if it alone explains the crashes that they share.
	explainedMargin = 1.0
)

// assess computes anew which traits are accused, and for how long each is held.
func (q *Quarantine) assess(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		c.update(&q.proofs)
		return now.Sub(c.At) > memoryTime || len(c.traits) == 0
	})
	blamed := q.blame()
	weights := q.weigh(blamed)
	for t, a := range q.accused {
		if _, still := weights[t]; !still {
			a.lifecycle.Fire(now, "cleared")
			delete(q.accused, t)
		}
	}
	history := q.crashHistory(blamed)
	var members map[Trait]bool
	q.inseparable, members = q.findInseparable(blamed, history)
	for t, weight := range weights {
		h := history[t]
		hold := q.hold(t, weight, h.crashes)
		if members[t] {
			// A request with some of the inseparable parts may return soon; one with all of
			// them is held by the set.
			hold = min(hold, shortHold)
		}
		q.accuse(now, t, h.latest.Add(hold), h)
	}
	q.forget(now)
}

// blame returns the traits that may explain each crash, by the index of the crash.
func (q *Quarantine) blame() [][]Trait {
	outages := q.countOutages()
	blamed := make([][]Trait, len(q.crashes))
	for n, c := range q.crashes {
		blamed[n] = c.candidates(outages)
	}
	weights := q.weigh(blamed)
	for n := range blamed {
		blamed[n] = withoutExplained(blamed[n], weights)
	}
	return blamed
}

// hold returns how long a trait is held after the latest of the crashes it is blamed for.
func (q *Quarantine) hold(t Trait, weight float64, crashes []*Crash) time.Duration {
	switch {
	case !t.whole() && q.recurringRequestsExplain(t, crashes):
		return shortHold
	case len(crashes) >= t.maxCrashes():
		return memoryTime
	case !t.whole() && turned(t, crashes) && !tellsApart(t, crashes):
		return shortHold
	default:
		return holdTime(weight)
	}
}

// turned reports whether the part was shown to be sound before it is blamed.
func turned(part Trait, crashes []*Crash) bool {
	return slices.ContainsFunc(crashes, func(c *Crash) bool { return c.proven[part] })
}

// tellsApart reports whether the crashes tell a part that turned deadly from a sound one that
// many requests have. Such a part is in flight at most crashes of another cause, and while
// all requests with it are held, no output can clear it. Therefore it is held for long only
// if one of the crashes had a single suspect with it, as the crash of a trial has, and if it
// had the time to be shown to be sound between the first crash and the last.
func tellsApart(part Trait, crashes []*Crash) bool {
	first, last, sole := crashes[0].At, crashes[0].At, false
	for _, c := range crashes {
		sole = sole || c.uses[part].sole
		if c.At.Before(first) {
			first = c.At
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	return sole && last.Sub(first) > outageTime
}

// forget drops the crashes that are old and blame no trait. A crash that another entry has
// just told is assessed before.
func (q *Quarantine) forget(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c *Crash) bool {
		return now.Sub(c.At) > proofTime && !slices.ContainsFunc(c.traits, q.isAccused)
	})
	q.suspected = make(map[Trait]bool)
	for _, c := range q.crashes {
		for _, t := range c.traits {
			q.suspected[t] = true
		}
	}
}

// accuse holds the trait until the time, unless it is held until then already.
func (q *Quarantine) accuse(now time.Time, t Trait, until time.Time, h crashHistory) {
	a := q.accused[t]
	if a != nil && a.releaseAt.Equal(until) {
		return
	}
	known := a != nil
	if !known {
		a = &accusedTrait{trait: t}
		q.accused[t] = a
	}
	a.releaseAt, a.holdTime, a.ownTrial = until, max(until.Sub(now), 0), false
	a.early.restart(h, q.served)
	if known {
		a.lifecycle.Fire(now, "blamed")
		return
	}
	a.lifecycle = q.machine.New(now, a)
	q.observe(Transition{Trait: t, To: a.lifecycle.State(), Hold: a.holdTime})
}

// countOutages counts the outages in which each trait was a suspect since it was last shown
// to be sound. A request that crashes a second server counts as one more, against what was a
// suspect in the first crash, too.
func (q *Quarantine) countOutages() map[Trait]int {
	counts, latest := make(map[Trait]int), make(map[Trait]int)
	requests := make(distinctRequests)
	for _, c := range q.crashes {
		for _, t := range c.traits {
			if !requests.add(c, t) {
				continue
			}
			before := counts[t]
			if c.outage != latest[t] {
				counts[t]++
				latest[t] = c.outage
			}
			if before > 0 && c.uses[t].repeated {
				counts[t]++
			}
		}
	}
	return counts
}

// distinctRequests holds the requests that count against each part. A part is blamed once
// for all crashes by copies of one request, since the request as a whole explains them, too.
type distinctRequests map[ident.PromptPart]map[ident.Fingerprint]bool

// add reports whether the crash counts against the trait: each crash does against a whole
// request; against a part one by a request that has not counted yet does, and one by the
// retry of a request, which would not have been sent if the request were held.
func (d distinctRequests) add(c *Crash, t Trait) bool {
	if t.whole() {
		return true
	}
	news := false
	for _, s := range c.uses[t].suspects {
		if s.Request == 0 || s.Repeated || !d[t.Part][s.Request] {
			news = true
		}
		if d[t.Part] == nil {
			d[t.Part] = make(map[ident.Fingerprint]bool)
		}
		d[t.Part][s.Request] = true
	}
	return news
}

// weigh returns the evidence against each blamed trait: the sum over the outages of the
// greatest weight of a crash.
func (q *Quarantine) weigh(blamed [][]Trait) map[Trait]float64 {
	tallies := make(map[Trait]tally)
	requests := make(distinctRequests)
	for n, traits := range blamed {
		c := q.crashes[n]
		for _, t := range traits {
			if !requests.add(c, t) {
				continue
			}
			y := tallies[t]
			y.add(c, c.weight(t, traits))
			tallies[t] = y
		}
	}
	weights := make(map[Trait]float64, len(tallies))
	for t, y := range tallies {
		weights[t] = y.total()
	}
	return weights
}

// tally adds up the greatest weight of a crash in each outage.
type tally struct {
	// sum is that of the earlier outages, weight the greatest in the latest one.
	sum, weight float64
	outage      int
}

func (y *tally) add(c *Crash, weight float64) {
	if y.outage == c.outage {
		y.weight = max(y.weight, weight)
		return
	}
	*y = tally{sum: y.total(), weight: weight, outage: c.outage}
}

func (y *tally) total() float64 { return y.sum + y.weight }

// withoutExplained drops the traits against which there is much less evidence than against
// another one of the same crash. A part does not explain a whole request away, since
// requests with the part are kept back anyway.
func withoutExplained(traits []Trait, weights map[Trait]float64) []Trait {
	most, mostWhole := 0.0, 0.0
	for _, t := range traits {
		most = max(most, weights[t])
		if t.whole() {
			mostWhole = max(mostWhole, weights[t])
		}
	}
	return slices.DeleteFunc(traits, func(t Trait) bool {
		if t.whole() {
			return weights[t]+explainedMargin <= mostWhole
		}
		return weights[t]+explainedMargin <= most
	})
}

// recurringRequestsExplain reports whether all crashes for which the part is blamed are by
// requests that came again since. Requests that only share the part do not.
func (q *Quarantine) recurringRequestsExplain(part Trait, crashes []*Crash) bool {
	for _, c := range crashes {
		for _, s := range c.uses[part].suspects {
			if a := q.accused[Trait{Request: s.Request}]; a == nil || a.recurrences < recurrencesToExplain {
				return false
			}
		}
	}
	return true
}

// maxCrashes returns the number of crashes after which the trait is not tried again.
func (t Trait) maxCrashes() int {
	if t.whole() {
		return maxRequestCrashes
	}
	return maxPartCrashes
}

// crashHistory holds the crashes for which a trait is blamed, and when the latest was.
type crashHistory struct {
	crashes []*Crash
	// indexes are those of the crashes, in ascending order.
	indexes []int
	latest  time.Time
}

// key returns a text that tells sets of crashes apart.
func (h crashHistory) key() []byte {
	var key []byte
	for _, n := range h.indexes {
		key = binary.AppendUvarint(key, uint64(n))
	}
	return key
}

// containsAll reports whether the crashes of the other history are among these.
func (h crashHistory) containsAll(other crashHistory) bool {
	return !slices.ContainsFunc(other.indexes, func(n int) bool {
		_, found := slices.BinarySearch(h.indexes, n)
		return !found
	})
}

func (q *Quarantine) crashHistory(blamed [][]Trait) map[Trait]crashHistory {
	history := make(map[Trait]crashHistory)
	for n, traits := range blamed {
		for _, t := range traits {
			h := history[t]
			h.crashes, h.indexes = append(h.crashes, q.crashes[n]), append(h.indexes, n)
			if at := q.crashes[n].At; at.After(h.latest) {
				h.latest = at
			}
			history[t] = h
		}
	}
	return history
}

// holdTime returns how long a trait is held after the latest crash.
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
