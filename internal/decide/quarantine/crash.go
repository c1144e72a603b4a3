package quarantine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Suspect is a request that had no output at a server when the server crashed.
type Suspect struct {
	Traits
	// Began reports whether the head of a stream had arrived: the server was about to write
	// the first output.
	Began bool
	// Silent reports whether nothing tells if the server was running the request, because
	// its answer is no stream.
	Silent bool
	// Repeated reports whether the request had crashed another server before.
	Repeated bool
}

// Crash is a crash of a server, with the suspects of one or several entries.
type Crash struct {
	Server   ident.ServerID
	At       time.Time
	Suspects []Suspect
	// proven are the traits of suspects that were shown to be sound before the crash. They
	// are kept here since proofs are forgotten earlier than crashes.
	proven map[Trait]bool
	// outage numbers the outage in which the server crashed.
	outage int
	// uses holds how the suspects have each of their open traits, those that were not shown to
	// be sound since the crash. add and update keep it.
	uses map[Trait]*traitUse
	// traits are the open traits of the suspects, in their order.
	traits []Trait
}

// traitUse is how the suspects of a crash have a trait.
type traitUse struct {
	// mayRun reports whether the server may have been running a suspect with the trait,
	// repeated whether one had crashed another server before.
	mayRun, repeated bool
	// began reports whether the server was about to write an answer to a suspect with the
	// trait, and sole whether only one suspect has it.
	began, sole bool
	// suspects are those with the trait. If the server was about to write an answer to some
	// of them, these are the ones that count.
	suspects []Suspect
}

// equal reports whether the two are one request. Entries may name different parts of it.
func (s Suspect) equal(other Suspect) bool {
	return s.Began == other.Began && s.Silent == other.Silent && s.Repeated == other.Repeated &&
		s.Request == other.Request && (s.Request != 0 || slices.Equal(s.Parts, other.Parts))
}

// full reports whether no more suspects are added.
func (c *Crash) full() bool {
	return len(c.Suspects) >= maxSuspects || len(c.uses) >= maxCrashTraits
}

// add adds a suspect with its traits.
func (c *Crash) add(s Suspect) {
	c.Suspects = append(c.Suspects, s)
	for _, t := range s.all() {
		u := c.uses[t]
		if u == nil {
			u = &traitUse{sole: true}
			c.uses[t] = u
			c.traits = append(c.traits, t)
		} else {
			u.sole = false
		}
		u.add(s)
	}
}

func (u *traitUse) add(s Suspect) {
	u.mayRun = u.mayRun || s.Began || s.Silent
	u.repeated = u.repeated || s.Repeated
	if s.Began && !u.began {
		u.began, u.suspects = true, nil
	}
	if s.Began == u.began {
		u.suspects = append(u.suspects, s)
	}
}

// update drops the traits of the suspects that were shown to be sound since, and records
// which of the others were shown to be sound before.
func (c *Crash) update(known *proofs) {
	c.traits = slices.DeleteFunc(c.traits, func(t Trait) bool {
		at, ok := known.latest(t)
		if !ok {
			return false
		}
		c.proven[t] = true
		if at.After(c.At.Add(proofLag)) {
			delete(c.uses, t)
			return true
		}
		return false
	})
}

// candidates returns the traits that may explain the crash, of each kind.
func (c *Crash) candidates(outages map[Trait]int) []Trait {
	isWhole := func(t Trait) bool { return t.whole() }
	isPart := func(t Trait) bool { return !t.whole() }
	return slices.Concat(c.candidatesOf(isPart, outages), c.candidatesOf(isWhole, outages))
}

// candidatesOf returns the open traits of one kind that may explain the crash: those that
// were never shown to be sound, and if there are none, those that were suspects in two
// outages and were not shown to be sound in between. A part that was a suspect in three of
// them counts in any case, since it may hide behind parts that no other request has.
//
// Of either, the server was more likely to run a request to which it was about to write an
// answer, so the traits of others count only if there are none of such requests. They do
// not clear the others, though: a request may crash its server before the head of the
// answer, while the server writes to sound ones. A trait that was never shown to be sound
// and was a suspect in two outages counts in any case.
func (c *Crash) candidatesOf(kind func(Trait) bool, outages map[Trait]int) []Trait {
	var unproven, repeated candidates
	for _, t := range c.traits {
		switch {
		case !kind(t):
		case !c.proven[t]:
			unproven.add(t, c.uses[t].began, outages[t] > 1)
		case outages[t] > 1:
			repeated.add(t, c.uses[t].began, false)
			if outages[t] > 2 && !t.whole() {
				unproven.recurring = append(unproven.recurring, t)
			}
		}
	}
	if list := unproven.likeliest(); len(list) > 0 {
		return list
	}
	return repeated.likeliest()
}

// candidates are traits that may explain a crash.
type candidates struct {
	// began are the traits of requests to which the server was about to write an answer,
	// recurring those of other requests that were suspects in two outages, and waiting the
	// rest.
	began, recurring, waiting []Trait
}

func (l *candidates) add(t Trait, began, recurring bool) {
	switch {
	case began:
		l.began = append(l.began, t)
	case recurring:
		l.recurring = append(l.recurring, t)
	default:
		l.waiting = append(l.waiting, t)
	}
}

func (l *candidates) likeliest() []Trait {
	if len(l.began) > 0 {
		return append(l.began, l.recurring...)
	}
	return append(l.recurring, l.waiting...)
}

// weight returns the weight of the crash against one of the traits that may explain it. It
// depends on the other traits of the same kind, since requests have traits of both kinds.
func (c *Crash) weight(t Trait, blamed []Trait) float64 {
	isOther := func(other Trait) bool { return other != t && other.whole() == t.whole() }
	isOtherBegan := func(other Trait) bool { return isOther(other) && c.uses[other].began }
	switch u := c.uses[t]; {
	case t.whole() && c.proven[t]:
		return turnedWeight
	case !u.mayRun && slices.ContainsFunc(blamed, isOtherBegan):
		return recurringWeight
	case !t.whole():
		// The suspicion of a part keeps other requests waiting.
		if u.began && !slices.ContainsFunc(blamed, isOther) {
			return fullWeight
		}
		return sharedWeight
	case !u.mayRun:
		return sharedWeight
	default:
		// A request that no entry has seen answered for a minute seldom comes again within
		// the next, so the hold costs little, however many requests share the suspicion.
		return fullWeight
	}
}
