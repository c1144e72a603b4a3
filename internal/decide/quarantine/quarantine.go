// Package quarantine decides which requests are kept from the servers of a service, because
// they have something in common with requests that crashed a server.
//
// What requests have in common is a trait: a part of their prompt, or the request as a
// whole. The evidence is which requests had no output at a server when it crashed. Their
// traits are suspects, unless an output has shown that the trait is sound. A suspect is held
// for a time that grows with the evidence against it. Then one request is sent as a trial:
// an output clears the trait, another crash adds evidence. Entries tell each other of
// crashes, proofs and trials, so that all of them learn from each.
//
// For any sets of traits and any loss or order of reports:
//   - every hold ends by a trial within a bounded time while requests with the trait come, or
//     by the crash of such a trial;
//   - the trials that crash servers are few, over all entries together;
//   - an output clears the traits of its request at all entries.
package quarantine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// shortHold is how long a trait is held on evidence that other traits share, or that a
	// crash of another cause explains as well. It is about the time in which a group is
	// back after a crash.
	shortHold = 3 * time.Second
	// longHold is how long a trait is held that alone explains a crash. Each further crash
	// multiplies it by holdFactor. A trial of a deadly trait costs all callers of the group
	// an outage, while few requests have a trait that no output has shown to be sound.
	longHold   = time.Minute
	holdFactor = 4
	maxHold    = 10 * time.Minute
	// memoryTime is how long a crash counts against a trait.
	memoryTime = 24 * time.Hour
	// maxPartCrashes and maxRequestCrashes are the numbers of crashes of a part and of a whole
	// request after which it is not tried again within memoryTime: three more than the five
	// or three that may teach.
	maxPartCrashes    = 8
	maxRequestCrashes = 6
	// trialTimeout is how long a trial may take until the next one may begin.
	trialTimeout = 1500 * time.Millisecond
	// outageTime is the time within which crashes without any output in between count as one
	// outage, and reports of a crash of one server as one crash. A group is down for longer
	// after a crash, so that no trait could be shown to be sound in between.
	outageTime = 2 * time.Second
	// outputInTransit is how long after a crash output may arrive that was written before.
	outputInTransit = 200 * time.Millisecond
	// proofLag is how long after a crash a proof may seem to be that was earlier: it may be
	// of output in transit, and its age is stated when another entry sends it.
	proofLag = 400 * time.Millisecond
	// recurrencesToExplain is how often a request must come again to be the likely cause of
	// its crash, rather than a part of its prompt. Its caller's own retry is the first time.
	recurrencesToExplain = 2
	// settleTime is how long after a crash the reports and proofs of other entries may
	// still arrive.
	settleTime = 300 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered, maxSuspects the suspects of each.
	maxCrashes  = 64
	maxSuspects = 32
	// maxCrashTraits bounds the traits of a crash and maxTraits those of all crashes, which an
	// assessment reads. One request of maxParts parts has room.
	maxCrashTraits = 2 * maxParts
	maxTraits      = 4 * maxParts
	// maxProvenParts bounds the parts of a suspect that are named though they were shown to be
	// sound. The others are those without a proof.
	maxProvenParts = 32
)

// Transition is a change of the state of an accused trait, for the log.
type Transition struct {
	Trait    Trait
	From, To string
	// Hold is the time for which the trait is held, if it is.
	Hold time.Duration
}

// Quarantine holds the evidence about the requests for one service. It is owned by one
// task and not safe for concurrent use.
type Quarantine struct {
	machine *chart.Machine[*accusedTrait]
	observe func(Transition)
	proofs  proofs
	crashes []*Crash
	// suspected are the open traits of the crashes.
	suspected map[Trait]bool
	accused   map[Trait]*accusedTrait
	// inseparable are the sets of accused parts that the evidence does not tell apart.
	inseparable []*inseparable
	sightings   sightings
	// served counts the requests of this entry to which a server began to write an answer.
	served int
	// latestOutput is when a server last began to write an answer of this entry.
	latestOutput time.Time
}

// accusedTrait is a trait that may have crashed a server.
type accusedTrait struct {
	trait     Trait
	lifecycle *chart.Lifecycle[*accusedTrait]
	// releaseAt is the end of the hold, holdTime its length from now on.
	releaseAt time.Time
	holdTime  time.Duration
	// ownTrial reports whether a request of this entry is the trial.
	ownTrial bool
	// early decides whether a trial may begin before the end of the hold.
	early earlyRelease
	// recurrences counts how often a whole request came again, up to recurrencesToExplain.
	recurrences int
}

// New returns a quarantine without evidence. Observe, if not nil, is called after each
// transition of an accused trait, the first one without From.
func New(observe func(Transition)) *Quarantine {
	if observe == nil {
		observe = func(Transition) {}
	}
	q := &Quarantine{accused: make(map[Trait]*accusedTrait), observe: observe}
	q.machine = chart.MustBind(charts.Must("crash-trait"), chart.Binding[*accusedTrait]{
		Delays: map[string]func(*accusedTrait) time.Duration{
			"holdTime":     func(a *accusedTrait) time.Duration { return a.holdTime },
			"trialTimeout": func(*accusedTrait) time.Duration { return trialTimeout },
		},
		Observe: func(a *accusedTrait, t chart.Transition) {
			observe(Transition{Trait: a.trait, From: t.From, To: t.To, Hold: a.holdTime})
		},
	})
	return q
}

// Decision says whether a request may be sent.
type Decision struct {
	// Send allows the request. Trial are then the accused traits that it tries, if any.
	Send  bool
	Trial Traits
	// Wait is the time after which a refused request may come back.
	Wait time.Duration
	// Unsettled reports whether the evidence may be refuted within a few milliseconds.
	Unsettled bool
}

// Check decides whether a request with these traits may be sent now.
//
// An output clears all traits of a request, a crash accuses all of them. So a request is a
// trial of all its accused traits at once, and the one with the fewest of them goes first:
// it risks and tells most. All traits must be ready, and a request with all of several parts
// that the evidence does not tell apart waits longer than one with some of them.
func (q *Quarantine) Check(now time.Time, traits Traits) Decision {
	d := Decision{Send: true}
	if len(q.accused) == 0 {
		return d
	}
	accused := q.accusedOf(traits)
	if len(accused) == 0 {
		return d
	}
	for _, t := range accused {
		a := q.accused[t]
		a.lifecycle.Tick(now)
		if !t.whole() && a.lifecycle.In("held") && a.early.due(now, q.served) {
			a.lifecycle.Fire(now, "holdOver")
		}
		d.Send = d.Send && a.lifecycle.In("ready")
		d.Wait = max(d.Wait, a.releaseAt.Sub(now))
	}
	for _, i := range q.inseparable {
		if i.releaseAt.After(now) && i.within(accused) && !q.returnsEarly(now, i) {
			d.Send, d.Wait = false, max(d.Wait, i.releaseAt.Sub(now))
		}
	}
	if d.Send && q.sightings.smallerThan(now, accused, q.isAccused) {
		d.Send = false
	}
	if !d.Send {
		d.Unsettled = q.unsettled(now)
		return d
	}
	d.Trial = asTraits(accused)
	return d
}

// Refused records that a request was refused because Check did not allow it.
func (q *Quarantine) Refused(now time.Time, traits Traits) {
	accused := q.accusedOf(traits)
	if len(accused) == 0 {
		return
	}
	q.sightings.add(now, accused)
	for _, t := range accused {
		q.accused[t].early.refusals++
	}
}

func (q *Quarantine) isAccused(t Trait) bool { return q.accused[t] != nil }

// accusedOf returns the traits that are accused.
func (q *Quarantine) accusedOf(traits Traits) []Trait {
	return slices.DeleteFunc(traits.all(), func(t Trait) bool { return !q.isAccused(t) })
}

func (q *Quarantine) unsettled(now time.Time) bool {
	return slices.ContainsFunc(q.crashes, func(c *Crash) bool { return now.Sub(c.At) < settleTime })
}

// BeginTrial records that this entry sends a request to try the traits.
func (q *Quarantine) BeginTrial(now time.Time, traits Traits) {
	for _, t := range traits.all() {
		q.PeerTrial(now, t)
		if a := q.accused[t]; a != nil {
			a.ownTrial = a.lifecycle.In("trial")
		}
	}
}

// PeerTrial records that another entry sends a request to try the trait.
func (q *Quarantine) PeerTrial(now time.Time, t Trait) {
	a := q.accused[t]
	if a == nil {
		return
	}
	a.lifecycle.Tick(now)
	if a.lifecycle.In("held") {
		// The other entry learned of the crash earlier.
		a.lifecycle.Fire(now, "holdOver")
	}
	a.lifecycle.Fire(now, "trialBegun")
}

// AttemptEnded ends the trial of this entry's request with these traits, if it was one.
func (q *Quarantine) AttemptEnded(now time.Time, traits Traits) {
	for _, t := range traits.all() {
		if a := q.accused[t]; a != nil && a.ownTrial {
			a.ownTrial = false
			a.lifecycle.Fire(now, "trialEnded")
		}
	}
}

// Recurred records that a request came again while it may be held, here or at another entry.
// It reports whether other entries should know.
func (q *Quarantine) Recurred(now time.Time, request ident.Fingerprint) bool {
	a := q.accused[Trait{Request: request}]
	if a == nil || a.recurrences >= recurrencesToExplain {
		return false
	}
	a.recurrences++
	if a.recurrences == recurrencesToExplain {
		q.assess(now)
	}
	return true
}

// Proof says that a server wrote an output to a request with the trait.
type Proof struct {
	Trait Trait
	At    time.Time
}

// Output records that a server has begun to write an answer to a request with these
// traits. It returns the proofs that matter to other entries.
func (q *Quarantine) Output(now time.Time, traits Traits) []Proof {
	q.latestOutput = now
	q.served++
	var news []Proof
	for _, t := range traits.all() {
		if q.suspected[t] {
			news = append(news, Proof{Trait: t, At: now})
		}
		q.proofs.add(t, now)
	}
	if len(news) > 0 {
		q.assess(now)
	}
	return news
}

// AddProofs records the proofs of another entry.
func (q *Quarantine) AddProofs(now time.Time, proofs []Proof) {
	relevant := false
	for _, p := range proofs {
		q.proofs.add(p.Trait, p.At)
		relevant = relevant || q.suspected[p.Trait]
	}
	if relevant {
		q.assess(now)
	}
}

// reported returns the suspect with the parts that a crash can be about: those without a proof,
// and of the others the ones that were shown to be sound last, since one of them may have
// turned deadly.
func (q *Quarantine) reported(s Suspect) Suspect {
	type proven struct {
		part ident.PromptPart
		at   time.Time
	}
	var named []ident.PromptPart
	var others []proven
	for _, p := range s.Parts {
		if at, ok := q.proofs.latest(Trait{Part: p}); ok {
			others = append(others, proven{part: p, at: at})
		} else {
			named = append(named, p)
		}
	}
	slices.SortStableFunc(others, func(a, b proven) int { return b.at.Compare(a.at) })
	for _, p := range others[:min(len(others), maxProvenParts)] {
		named = append(named, p.part)
	}
	s.Parts = named
	return s
}

// AddCrash records a crash that this entry or another one reports. It returns this entry's
// proofs about the traits of the suspects.
func (q *Quarantine) AddCrash(now time.Time, c Crash) []Proof {
	q.merge(c)
	q.assess(now)
	return q.proofsAbout(c)
}

// proofsAbout returns the proofs about the traits of the suspects.
func (q *Quarantine) proofsAbout(c Crash) []Proof {
	var known []Proof
	seen := make(map[Trait]bool)
	for _, s := range c.Suspects {
		for _, t := range s.all() {
			if seen[t] {
				continue
			}
			seen[t] = true
			at, ok := q.proofs.latest(t)
			if !ok && c.proven[t] {
				// The proof is forgotten, and was from before the crash.
				at, ok = c.At, true
			}
			if ok {
				known = append(known, Proof{Trait: t, At: at})
			}
		}
	}
	return known
}

// knowsCrash reports whether the crash is remembered with all these suspects.
func (q *Quarantine) knowsCrash(c Crash) bool {
	known := q.sameCrash(c)
	return known != nil && !slices.ContainsFunc(c.Suspects, func(s Suspect) bool {
		return !known.full() && !slices.ContainsFunc(known.Suspects, s.equal)
	})
}

// knowsProof reports whether a proof of the trait is remembered that is not much older. The
// time of a proof moves by the time that each message takes.
func (q *Quarantine) knowsProof(p Proof) bool {
	at, ok := q.proofs.latest(p.Trait)
	return ok && !p.At.After(at.Add(proofLag))
}

func (q *Quarantine) onTrial(t Trait) bool {
	a := q.accused[t]
	return a != nil && a.lifecycle.In("trial")
}

// sameCrash returns the remembered crash that the report is about, or nil.
func (q *Quarantine) sameCrash(c Crash) *Crash {
	for _, known := range q.crashes {
		if known.Server == c.Server && known.At.Sub(c.At).Abs() <= outageTime {
			return known
		}
	}
	return nil
}

// merge adds a crash to those remembered, or its suspects to the same crash.
func (q *Quarantine) merge(c Crash) {
	known := q.sameCrash(c)
	if known == nil {
		known = &Crash{Server: c.Server, At: c.At, outage: q.outageOf(c.At), proven: make(map[Trait]bool), uses: make(map[Trait]*traitUse)}
		q.crashes = append(q.crashes, known)
	}
	for _, s := range c.Suspects {
		if !known.full() && !slices.ContainsFunc(known.Suspects, s.equal) {
			known.add(s)
		}
	}
	for len(q.crashes) > maxCrashes || len(q.crashes) > 1 && q.countTraits() > maxTraits {
		n := q.leastTelling()
		q.crashes = slices.Delete(q.crashes, n, n+1)
	}
}

// countTraits returns the number of open traits of all crashes.
func (q *Quarantine) countTraits() int {
	n := 0
	for _, c := range q.crashes {
		n += len(c.traits)
	}
	return n
}

// leastTelling returns the index of the oldest crash whose suspects have nothing in common
// with those of another, or of the oldest one.
func (q *Quarantine) leastTelling() int {
	counts := make(map[Trait]int)
	for _, c := range q.crashes {
		for t := range c.uses {
			counts[t]++
		}
	}
	return max(slices.IndexFunc(q.crashes, func(c *Crash) bool {
		for t := range c.uses {
			if counts[t] > 1 {
				return false
			}
		}
		return true
	}), 0)
}

// outageOf returns the number of the outage of a crash: that of the latest crash, unless
// servers have written output since it began or much time has passed.
func (q *Quarantine) outageOf(at time.Time) int {
	if len(q.crashes) == 0 {
		return 1
	}
	latest := q.crashes[len(q.crashes)-1]
	began := latest.At
	for _, c := range q.crashes {
		if c.outage == latest.outage && c.At.Before(began) {
			began = c.At
		}
	}
	if q.latestOutput.Sub(began) > outputInTransit || at.Sub(latest.At) > outageTime {
		return latest.outage + 1
	}
	return latest.outage
}

// Crashes returns the crashes whose cause is open, for an entry that knows none.
func (q *Quarantine) Crashes() []Crash {
	var open []Crash
	for _, c := range q.crashes {
		open = append(open, *c)
	}
	return open
}

// Held returns the numbers of prompt parts and of whole requests that are held.
func (q *Quarantine) Held(now time.Time) (parts, requests int) {
	for t, a := range q.accused {
		switch {
		case !a.releaseAt.After(now):
		case t.whole():
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}
