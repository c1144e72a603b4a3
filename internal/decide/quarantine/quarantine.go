// Package quarantine decides which parts of prompts are kept from the model engines of a
// service, because requests with such a part crash the engine that begins to write an
// answer to them.
//
// The evidence is which requests had no output at an engine when it crashed. Their parts
// are suspects, unless an output has shown that the part is sound. A suspect is held for a
// time that grows with the evidence against it. Then one request is sent as a trial: an
// output clears the part, another crash adds evidence. Entries tell each other of crashes,
// proofs and trials, so that all of them learn from each.
package quarantine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// shortHold is how long a part is held on evidence that other parts share, or that a
	// crash of another cause explains as well. It is about the time in which a group is
	// back after a crash.
	shortHold = 3 * time.Second
	// longHold is how long a part is held that alone explains a crash. Each further crash
	// multiplies it by holdFactor. A trial of a deadly part costs all callers of the group
	// an outage, while few requests have a part that no output has shown to be sound.
	longHold   = time.Minute
	holdFactor = 4
	maxHold    = 10 * time.Minute
	// memoryTime is how long a crash counts against a part. It covers the crashes of
	// several trials that are maxHold apart.
	memoryTime = 4 * maxHold
	// trialTimeout is how long a trial may take until the next one may begin.
	trialTimeout = 1500 * time.Millisecond
	// outageTime is the time within which crashes without any output in between count as one
	// outage, and reports of a crash of one server as one crash. A group is down for longer
	// after a crash, so that no part could be shown to be sound in between.
	outageTime = 2 * time.Second
	// outputInTransit is how long after a crash output may arrive that was written before.
	outputInTransit = 200 * time.Millisecond
	// proofLag is how long after a crash a proof may seem to be that was earlier: it may be
	// of output in transit, and its age is stated when another entry sends it.
	proofLag = 400 * time.Millisecond
	// settleTime is how long after a crash the reports and proofs of other entries may
	// still arrive.
	settleTime = 300 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 64
)

// Suspect is a request that had no output at a server when the server crashed.
type Suspect struct {
	// Parts are the shared parts of the request's prompt.
	Parts []ident.PromptPart
	// Began reports whether the head of the answer had arrived: the server was about to
	// write the first output.
	Began bool
	// Repeated reports whether the request had crashed another server before.
	Repeated bool
}

// Crash is a crash of a server, with the suspects of one or several entries.
type Crash struct {
	Server   ident.ServerID
	At       time.Time
	Suspects []Suspect
	// proven are the parts of suspects that were shown to be sound before the crash. They
	// are kept here since proofs are forgotten earlier than crashes.
	proven []ident.PromptPart
	// outage numbers the outage in which the server crashed.
	outage int
}

// Transition is a change of the state of an accused part, for the log.
type Transition struct {
	Part     ident.PromptPart
	From, To string
	// Hold is the time for which the part is held, if it is.
	Hold time.Duration
}

// Quarantine holds the evidence about the prompt parts of one service. It is owned by one
// task and not safe for concurrent use.
type Quarantine struct {
	machine *chart.Machine[*accusedPart]
	proofs  proofs
	crashes []*Crash
	accused map[ident.PromptPart]*accusedPart
	// latestOutput is when a server last began to write an answer of this entry.
	latestOutput time.Time
}

// accusedPart is a part that may have crashed a server.
type accusedPart struct {
	part      ident.PromptPart
	lifecycle *chart.Lifecycle[*accusedPart]
	// releaseAt is the end of the hold, holdTime its length from now on.
	releaseAt time.Time
	holdTime  time.Duration
	// ownTrial reports whether a request of this entry is the trial.
	ownTrial bool
}

// New returns a quarantine without evidence. Observe, if not nil, is called after each
// transition of an accused part.
func New(observe func(Transition)) *Quarantine {
	q := &Quarantine{accused: make(map[ident.PromptPart]*accusedPart)}
	q.machine = chart.MustBind(charts.Must("prompt-part"), chart.Binding[*accusedPart]{
		Delays: map[string]func(*accusedPart) time.Duration{
			"holdTime":     func(a *accusedPart) time.Duration { return a.holdTime },
			"trialTimeout": func(*accusedPart) time.Duration { return trialTimeout },
		},
		Observe: func(a *accusedPart, t chart.Transition) {
			if observe != nil {
				observe(Transition{Part: a.part, From: t.From, To: t.To, Hold: a.holdTime})
			}
		},
	})
	return q
}

// Decision says whether a request may be sent.
type Decision struct {
	// Send allows the request. Trial is then the accused part that it tries, if any.
	Send  bool
	Trial ident.PromptPart
	// Wait is the time after which a refused request may come back.
	Wait time.Duration
	// Unsettled reports whether the evidence may be refuted within a few milliseconds.
	Unsettled bool
}

// Check decides whether a request with these parts may be sent now. A request with
// several accused parts is never a trial, since its crash would not tell them apart.
func (q *Quarantine) Check(now time.Time, parts []ident.PromptPart) Decision {
	d := Decision{Send: true}
	if len(q.accused) == 0 {
		return d
	}
	for _, p := range parts {
		a := q.accused[p]
		if a == nil {
			continue
		}
		a.lifecycle.Tick(now)
		if d.Trial != "" || !d.Send || !a.lifecycle.In("ready") {
			d.Send = false
		}
		d.Trial = p
		d.Wait = max(d.Wait, a.releaseAt.Sub(now))
	}
	if !d.Send {
		d.Trial, d.Unsettled = "", q.unsettled(now)
	}
	return d
}

func (q *Quarantine) unsettled(now time.Time) bool {
	return slices.ContainsFunc(q.crashes, func(c *Crash) bool { return now.Sub(c.At) < settleTime })
}

// BeginTrial records that this entry sends a request to try the part.
func (q *Quarantine) BeginTrial(now time.Time, part ident.PromptPart) {
	q.PeerTrial(now, part)
	if a := q.accused[part]; a != nil {
		a.ownTrial = a.lifecycle.In("trial")
	}
}

// PeerTrial records that another entry sends a request to try the part.
func (q *Quarantine) PeerTrial(now time.Time, part ident.PromptPart) {
	a := q.accused[part]
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

// AttemptEnded ends the trial of this entry's request with these parts, if it was one.
func (q *Quarantine) AttemptEnded(now time.Time, parts []ident.PromptPart) {
	for _, p := range parts {
		if a := q.accused[p]; a != nil && a.ownTrial {
			a.ownTrial = false
			a.lifecycle.Fire(now, "trialEnded")
		}
	}
}

// Proof says that a server wrote an output to a request with the part.
type Proof struct {
	Part ident.PromptPart
	At   time.Time
}

// Output records that a server has begun to write an answer to a request with these
// parts. It returns the proofs that matter to other entries.
func (q *Quarantine) Output(now time.Time, parts []ident.PromptPart) []Proof {
	q.latestOutput = now
	var news []Proof
	for _, p := range parts {
		if q.suspected(p) {
			news = append(news, Proof{Part: p, At: now})
		}
		q.proofs.add(p, now)
	}
	if len(news) > 0 {
		q.assess(now)
	}
	return news
}

// AddProofs records the proofs of another entry.
func (q *Quarantine) AddProofs(now time.Time, proofs []Proof) {
	for _, p := range proofs {
		q.proofs.add(p.Part, p.At)
	}
	q.assess(now)
}

// suspected reports whether a crash is remembered to which the part may be the key, and no
// output since has shown that it is sound.
func (q *Quarantine) suspected(p ident.PromptPart) bool {
	return slices.ContainsFunc(q.crashes, func(c *Crash) bool { return c.names(p) && !q.proofs.since(p, c.At.Add(proofLag)) })
}

// AddCrash records a crash that this entry or another one reports. It returns this entry's
// proofs about the parts of the suspects.
func (q *Quarantine) AddCrash(now time.Time, c Crash) []Proof {
	q.merge(c)
	q.assess(now)
	var known []Proof
	for _, s := range c.Suspects {
		for _, p := range s.Parts {
			at, ok := q.proofs.latest(p)
			if ok && !slices.ContainsFunc(known, func(other Proof) bool { return other.Part == p }) {
				known = append(known, Proof{Part: p, At: at})
			}
		}
	}
	return known
}

// merge adds a crash to those remembered, or its suspects to the same crash.
func (q *Quarantine) merge(c Crash) {
	for _, known := range q.crashes {
		if known.Server != c.Server || known.At.Sub(c.At).Abs() > outageTime {
			continue
		}
		for _, s := range c.Suspects {
			if !slices.ContainsFunc(known.Suspects, s.equal) {
				known.Suspects = append(known.Suspects, s)
			}
		}
		return
	}
	c.outage = q.outageOf(c.At)
	q.crashes = append(q.crashes, &c)
	if len(q.crashes) > maxCrashes {
		q.crashes = q.crashes[1:]
	}
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

func (s Suspect) equal(other Suspect) bool {
	return s.Began == other.Began && s.Repeated == other.Repeated && slices.Equal(s.Parts, other.Parts)
}

// Crashes returns the crashes whose cause is open, for an entry that knows none.
func (q *Quarantine) Crashes() []Crash {
	var open []Crash
	for _, c := range q.crashes {
		open = append(open, *c)
	}
	return open
}

// Accused returns the number of parts under suspicion.
func (q *Quarantine) Accused() int { return len(q.accused) }
