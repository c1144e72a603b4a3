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
	// uses holds how the suspects have each of their traits. It is computed by index.
	uses map[Trait]*traitUse
	// blamable are the traits of the suspects that count: if a server was about to write an
	// answer, only that request does.
	blamable []Trait
	// began reports whether a server was about to write an answer to one of the suspects.
	began bool
}

// traitUse is how the suspects of a crash have a trait.
type traitUse struct {
	// mayRun reports whether the server may have been running a suspect with the trait,
	// repeated whether one had crashed another server before.
	mayRun, repeated bool
	// suspects are those that count.
	suspects []Suspect
}

func (s Suspect) equal(other Suspect) bool {
	return s.Began == other.Began && s.Silent == other.Silent && s.Repeated == other.Repeated && s.Traits.equal(other.Traits)
}

// index computes what depends on the suspects only.
func (c *Crash) index() {
	c.began = slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Began })
	c.uses, c.blamable = make(map[Trait]*traitUse), nil
	for _, s := range c.Suspects {
		for _, t := range s.all() {
			u := c.uses[t]
			if u == nil {
				u = new(traitUse)
				c.uses[t] = u
			}
			u.mayRun = u.mayRun || s.Began || s.Silent
			u.repeated = u.repeated || s.Repeated
			if c.began && !s.Began {
				continue
			}
			if len(u.suspects) == 0 {
				c.blamable = append(c.blamable, t)
			}
			u.suspects = append(u.suspects, s)
		}
	}
}

// open returns the blamable traits without those that are shown to be sound since.
func (c *Crash) open(known *proofs) []Trait {
	var open []Trait
	for _, t := range c.blamable {
		if !known.since(t, c.At.Add(proofLag)) {
			open = append(open, t)
		}
	}
	return open
}

// noteProofs records which traits of the suspects were shown to be sound at any time.
func (c *Crash) noteProofs(known *proofs) {
	for t := range c.uses {
		if _, ok := known.latest(t); ok {
			c.proven[t] = true
		}
	}
}

// candidates returns the open traits that may explain the crash, of each kind.
func (c *Crash) candidates(open []Trait, outages map[Trait]int) []Trait {
	isWhole := func(t Trait) bool { return t.whole() }
	isPart := func(t Trait) bool { return !t.whole() }
	return append(c.candidatesOf(isPart, open, outages), c.candidatesOf(isWhole, open, outages)...)
}

// candidatesOf returns the open traits of one kind that were never shown to be sound, and if
// there are none, those that were suspects in two outages and were not shown to be sound in
// between.
func (c *Crash) candidatesOf(kind func(Trait) bool, open []Trait, outages map[Trait]int) []Trait {
	var unproven, repeated []Trait
	for _, t := range open {
		if !kind(t) {
			continue
		}
		if !c.proven[t] {
			unproven = append(unproven, t)
		}
		if outages[t] > 1 {
			repeated = append(repeated, t)
		}
	}
	if len(unproven) > 0 {
		return unproven
	}
	return repeated
}

// weight returns the weight of the crash against one of the traits that may explain it.
func (c *Crash) weight(t Trait, blamed []Trait) float64 {
	switch {
	case !t.whole():
		// The suspicion of a part keeps other requests waiting.
		others := slices.ContainsFunc(blamed, func(other Trait) bool { return other != t && !other.whole() })
		if others || !c.began {
			return sharedWeight
		}
		return fullWeight
	case c.proven[t]:
		return turnedWeight
	case !c.uses[t].mayRun:
		return sharedWeight
	default:
		// A request that no entry has seen answered for a minute seldom comes again within
		// the next, so the hold costs little, however many requests share the suspicion.
		return fullWeight
	}
}
