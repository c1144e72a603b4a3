package booking

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// grant is what a home knows about another process's authority in one epoch.
type grant struct {
	// given says that the process confirmed it, or that it no longer exists.
	given bool
	// gone says that the process no longer exists: it cannot seal anything.
	gone bool
	// from is the first-use time from which on keys are covered.
	from time.Time
	// unlisted is when the first of successive reads of the instance list did not
	// show the process. Zero means that the last read showed it.
	unlisted time.Time
	asked    time.Time
}

// epoch is a time during which the replicas of the service stayed the same, as
// this home saw it.
type epoch struct {
	// ask numbers the questions of the epoch.
	ask      uint64
	replicas []Replica
	hash     uint64
	// grants by link address.
	grants map[string]*grant
	// doubted says that authority from earlier epochs does not carry over,
	// because the process was paused in between.
	doubted bool
	// informed says that the instance list was read since a first or doubted
	// epoch began. It names processes that this home never heard of.
	informed bool
}

func (e *epoch) complete() bool {
	if !e.informed {
		return false
	}
	for _, g := range e.grants {
		if !g.given {
			return false
		}
	}
	return true
}

// ordered returns the other processes in a fixed order, so that runs with the
// same seed are the same.
func (e *epoch) ordered() []string { return slices.Sorted(maps.Keys(e.grants)) }

// authority is the part of a home that knows which processes may hold its keys.
type authority struct {
	self   Replica
	epochs []*epoch
	// known are all processes of the service that the home ever heard of, except
	// those that no longer exist, with the newest last, by link address.
	known []string
	// ever are all addresses that were ever known.
	ever map[string]bool
	// newcomers are processes that cannot have held any key of this home: when
	// they were first heard of, a complete view of the processes existed already,
	// and since then this home has confirmed nothing to them.
	newcomers map[string]bool
	// original are the incarnations of processes that were newcomers when they
	// were first heard from. No earlier incarnation held a key of this home.
	original map[string]ident.Incarnation
	// settled says that the view is complete, see settleAfter.
	settled bool
	// since is when this process started or woke from a pause.
	since time.Time
	next  uint64
}

func newAuthority(now time.Time, self Replica) authority {
	return authority{self: self, ever: make(map[string]bool), newcomers: make(map[string]bool), original: make(map[string]ident.Incarnation), since: now}
}

// settleAfter is how long after a start or pause a read of the instance list
// counts as a complete view. It is longer than the list lags.
const settleAfter = 10 * time.Second

func (a *authority) current() *epoch {
	if len(a.epochs) == 0 {
		return nil
	}
	return a.epochs[len(a.epochs)-1]
}

// learn adds a process to the known ones. True means that it is new.
func (a *authority) learn(r string) bool {
	if r == a.self.Address || r == "" || slices.Contains(a.known, r) {
		return false
	}
	if !a.ever[r] && a.settled {
		a.newcomers[r] = true
	}
	a.ever[r] = true
	a.known = append(a.known, r)
	if len(a.known) > maxKnown {
		a.known = a.known[1:]
	}
	return true
}

// doubt ends the view of the processes: others may have come and gained
// authority during a pause.
func (a *authority) doubt(now time.Time) {
	a.since, a.settled = now, false
	clear(a.newcomers)
}

// heard notes the incarnation of a process that sent a message.
func (a *authority) heard(r string, i ident.Incarnation) {
	if _, known := a.original[r]; !known && a.newcomers[r] {
		a.original[r] = i
	}
}

// remembers reports whether the incarnation knows all keys that its address ever
// held.
func (a *authority) remembers(r string, i ident.Incarnation) bool {
	first, ok := a.original[r]
	return ok && first == i
}

// confirm notes that this home has confirmed to a process that it gave up keys.
func (a *authority) confirm(r string) {
	a.ever[r] = true
	delete(a.newcomers, r)
}

func (a *authority) newGrant(r string) *grant {
	// A newcomer's grant covers all keys.
	return &grant{given: a.newcomers[r]}
}

// begin starts an epoch. All other known processes are asked.
func (a *authority) begin(replicas []Replica, doubted bool) {
	for _, r := range replicas {
		a.learn(r.Address)
	}
	a.next++
	e := &epoch{
		ask: a.next, replicas: replicas, hash: hashReplicas(replicas),
		grants: make(map[string]*grant), doubted: doubted,
		informed: !doubted && a.current() != nil && a.current().informed,
	}
	for _, r := range a.known {
		e.grants[r] = a.newGrant(r)
	}
	a.epochs = append(a.epochs, e)
	if len(a.epochs) > maxEpochs {
		a.epochs = a.epochs[1:]
	}
}

// include adds a process that was heard of after epochs began. It counts in the
// current epoch and in all that are not complete yet. In a complete one, every
// process that could hold this home's keys was known.
func (a *authority) include(r string) {
	if !a.learn(r) {
		return
	}
	for _, e := range a.epochs {
		if e.grants[r] == nil && (e == a.current() || !e.complete()) {
			e.grants[r] = a.newGrant(r)
		}
	}
}

// holds reports whether this home is the key's home in the epoch.
func (a *authority) holds(e *epoch, key message.KeyID) bool {
	home, ok := HomeOf(key, e.replicas)
	return ok && home == a.self
}

// epochsOf returns the epochs from the one in which this home became the key's
// home up to now, oldest first. It is empty if this is not the key's home.
func (a *authority) epochsOf(key message.KeyID) []*epoch {
	first := len(a.epochs)
	for n := len(a.epochs) - 1; n >= 0 && a.holds(a.epochs[n], key); n-- {
		first = n
		if a.epochs[n].doubted {
			break
		}
	}
	return a.epochs[first:]
}

// informed reports whether the processes that may hold the key are known.
func (a *authority) informed(key message.KeyID) bool {
	epochs := a.epochsOf(key)
	return len(epochs) > 0 && epochs[0].informed
}

// isGone reports whether a process no longer exists.
func (a *authority) isGone(r string) bool {
	e := a.current()
	return e != nil && e.grants[r] != nil && e.grants[r].gone
}

// uncovered returns the processes that may hold a key first used at the given
// time, as far as this home knows. They are the processes known when
// this home became the key's home, without those whose confirmation since then
// covers the key. Processes that only a later record named had no authority
// before it, and need this home's confirmation to gain it.
func (a *authority) uncovered(key message.KeyID, used time.Time) []string {
	epochs := a.epochsOf(key)
	if len(epochs) == 0 {
		return nil
	}
	var open []string
	for _, r := range epochs[0].ordered() {
		if !covered(epochs, r, used) {
			open = append(open, r)
		}
	}
	return open
}

func covered(epochs []*epoch, r string, used time.Time) bool {
	return slices.ContainsFunc(epochs, func(e *epoch) bool {
		g := e.grants[r]
		return g != nil && g.given && !used.Before(g.from)
	})
}

// granted takes in a confirmation for the current epoch.
func (a *authority) granted(r string, ask uint64, from time.Time) {
	e := a.current()
	if e == nil || e.ask != ask {
		return
	}
	g := e.grants[r]
	if g == nil {
		return
	}
	if !g.given || from.Before(g.from) {
		g.from = from
	}
	g.given = true
}

// listed takes in a read of the instance list. A process that two successive
// reads do not show no longer exists. The reads are further apart than an
// unnoticed pause is long, so that a process that is only paused and was taken
// for dead doubts its own authority when it wakes.
func (a *authority) listed(now time.Time, addresses map[string]bool) {
	e := a.current()
	if e == nil {
		return
	}
	a.settled = a.settled || now.Sub(a.since) >= settleAfter
	for _, earlier := range a.epochs {
		earlier.informed = true
	}
	for _, r := range e.ordered() {
		g := e.grants[r]
		switch {
		case addresses[r]:
			g.unlisted = time.Time{}
		case g.unlisted.IsZero():
			g.unlisted = now
		case !g.gone && now.Sub(g.unlisted) >= 2*pauseLimit:
			a.remove(now, r, g)
		}
	}
}

func (a *authority) remove(now time.Time, r string, g *grant) {
	g.gone = true
	if !g.given {
		g.given, g.from = true, now.Round(0).Add(Skew)
	}
	// It stays known while the record names it: its server may come back at the
	// same address.
	if !slices.ContainsFunc(a.current().replicas, func(k Replica) bool { return k.Address == r }) {
		a.known = slices.DeleteFunc(a.known, func(k string) bool { return k == r })
	}
}
