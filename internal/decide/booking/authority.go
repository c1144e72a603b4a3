package booking

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// grant is whether another process has given up this home's keys in one epoch.
type grant struct {
	// confirmed reports whether the process confirmed it or no longer exists.
	confirmed bool
	// exited reports whether the process no longer exists, so it cannot seal a key.
	exited bool
	// coversFrom is the first-use time from which on keys are covered.
	coversFrom time.Time
	// unlistedSince is the time of the first of the latest reads of the instance
	// list that did not show the process. Zero means that the last read showed it.
	unlistedSince time.Time
	// requestedAt is when the last Release was sent.
	requestedAt time.Time
}

// epoch is a period in which the replicas of the service did not change, as seen
// by this home. A pause of the process also starts an epoch.
type epoch struct {
	// id is sent with each Release and echoed by its answer.
	id           uint64
	replicas     []Replica
	replicasHash uint64
	// grants holds all other known processes, by link address.
	grants map[string]*grant
	// afterPause reports whether the process was paused before this epoch, so that
	// authority from earlier epochs does not carry over.
	afterPause bool
	// peersKnown reports whether the instance list was read after the home's first
	// epoch, or the latest one with afterPause, began. The list also names
	// processes that no peer has mentioned.
	peersKnown bool
}

// complete reports whether every other process has given up this home's keys.

func (e *epoch) complete() bool {
	if !e.peersKnown {
		return false
	}
	for _, g := range e.grants {
		if !g.confirmed {
			return false
		}
	}
	return true
}

// sortedPeers returns the addresses of the other processes in a fixed order, so
// that simulations with the same seed are identical.
func (e *epoch) sortedPeers() []string { return slices.Sorted(maps.Keys(e.grants)) }

// authority is the part of a home that knows which processes may hold its keys.
type authority struct {
	self   Replica
	epochs []*epoch
	// processes are the link addresses of all other known processes of the
	// service that still exist, newest last.
	processes []string
	// everKnown are all addresses that were ever in processes.
	everKnown map[string]bool
	// newcomers are processes that cannot have held any key of this home: the view
	// of the processes was already complete when they became known, and this home
	// has not given up any key to them since.
	newcomers map[string]bool
	// firstIncarnation holds the incarnation of each process that was a newcomer
	// when its first message arrived. No earlier incarnation held a key of this
	// home.
	firstIncarnation map[string]ident.Incarnation
	// viewComplete reports whether all processes of the service are known, see
	// viewCompleteAfter.
	viewComplete bool
	// viewStarted is when this process started or noticed a pause.
	viewStarted time.Time
	lastEpochID uint64
}

func newAuthority(now time.Time, self Replica) authority {
	return authority{self: self, everKnown: make(map[string]bool), newcomers: make(map[string]bool), firstIncarnation: make(map[string]ident.Incarnation), viewStarted: now}
}

// viewCompleteAfter is the time after a start or pause from which on a read of
// the instance list counts as complete. It exceeds the lag of the list.
const viewCompleteAfter = 10 * time.Second

func (a *authority) current() *epoch {
	if len(a.epochs) == 0 {
		return nil
	}
	return a.epochs[len(a.epochs)-1]
}

// addProcess adds an address to the known processes. True means that it is new.
func (a *authority) addProcess(address string) bool {
	if address == a.self.Address || address == "" || slices.Contains(a.processes, address) {
		return false
	}
	if !a.everKnown[address] && a.viewComplete {
		a.newcomers[address] = true
	}
	a.everKnown[address] = true
	a.processes = append(a.processes, address)
	if len(a.processes) > maxProcesses {
		a.processes = a.processes[1:]
	}
	return true
}

// resetView marks the view of the processes as incomplete after a pause, during
// which other processes may have started and gained authority.
func (a *authority) resetView(now time.Time) {
	a.viewStarted, a.viewComplete = now, false
	clear(a.newcomers)
}

// noteIncarnation records the incarnation of a newcomer at its first message.
func (a *authority) noteIncarnation(address string, i ident.Incarnation) {
	if _, known := a.firstIncarnation[address]; !known && a.newcomers[address] {
		a.firstIncarnation[address] = i
	}
}

// hasFullMemory reports whether the incarnation of a process knows every key of
// this home that any process at its address ever held.
func (a *authority) hasFullMemory(address string, i ident.Incarnation) bool {
	first, ok := a.firstIncarnation[address]
	return ok && first == i
}

// noteConfirmedTo records that this home has given up keys to a process, which is
// then no longer a newcomer.
func (a *authority) noteConfirmedTo(address string) {
	a.everKnown[address] = true
	delete(a.newcomers, address)
}

func (a *authority) newGrant(address string) *grant {
	// A newcomer never held a key of this home, so nothing needs to be asked.
	return &grant{confirmed: a.newcomers[address]}
}

// begin starts an epoch, in which all other known processes must confirm again.
func (a *authority) begin(replicas []Replica, afterPause bool) {
	for _, r := range replicas {
		a.addProcess(r.Address)
	}
	a.lastEpochID++
	e := &epoch{
		id: a.lastEpochID, replicas: replicas, replicasHash: hashReplicas(replicas),
		grants: make(map[string]*grant), afterPause: afterPause,
		peersKnown: !afterPause && a.current() != nil && a.current().peersKnown,
	}
	for _, r := range a.processes {
		e.grants[r] = a.newGrant(r)
	}
	a.epochs = append(a.epochs, e)
	if len(a.epochs) > maxEpochs {
		a.epochs = a.epochs[1:]
	}
}

// include adds a process that became known after the epochs began. It must
// confirm in the current epoch and in all incomplete ones. A complete epoch is
// left alone: every process that could hold this home's keys was known in it.
func (a *authority) include(address string) {
	if !a.addProcess(address) {
		return
	}
	for _, e := range a.epochs {
		if e.grants[address] == nil && (e == a.current() || !e.complete()) {
			e.grants[address] = a.newGrant(address)
		}
	}
}

// isHome reports whether this process is the key's home in the epoch.
func (a *authority) isHome(e *epoch, key message.KeyID) bool {
	home, ok := HomeOf(key, e.replicas)
	return ok && home == a.self
}

// epochsOf returns the epochs since this process became the key's home, oldest
// first. It is empty if this is not the key's home now.
func (a *authority) epochsOf(key message.KeyID) []*epoch {
	first := len(a.epochs)
	for n := len(a.epochs) - 1; n >= 0 && a.isHome(a.epochs[n], key); n-- {
		first = n
		if a.epochs[n].afterPause {
			break
		}
	}
	return a.epochs[first:]
}

// peersKnownFor reports whether all processes that may hold the key are known.
func (a *authority) peersKnownFor(key message.KeyID) bool {
	epochs := a.epochsOf(key)
	return len(epochs) > 0 && epochs[0].peersKnown
}

// hasExited reports whether a process no longer exists.
func (a *authority) hasExited(address string) bool {
	e := a.current()
	return e != nil && e.grants[address] != nil && e.grants[address].exited
}

// uncovered returns the known processes that may still hold a key first used at
// the given time: those known when this process became the key's home, except
// the ones whose confirmation since then covers the key. A process that only a
// later record named had no authority before that record, and gains it only by
// this home's confirmation.
func (a *authority) uncovered(key message.KeyID, used time.Time) []string {
	epochs := a.epochsOf(key)
	if len(epochs) == 0 {
		return nil
	}
	var open []string
	for _, r := range epochs[0].sortedPeers() {
		if !covered(epochs, r, used) {
			open = append(open, r)
		}
	}
	return open
}

// covered reports whether a confirmation of the process in one of the epochs
// covers a key first used at the given time.
func covered(epochs []*epoch, address string, used time.Time) bool {
	return slices.ContainsFunc(epochs, func(e *epoch) bool {
		g := e.grants[address]
		return g != nil && g.confirmed && !used.Before(g.coversFrom)
	})
}

// recordRelease records a confirmation for the current epoch. One for an earlier
// epoch is ignored.
func (a *authority) recordRelease(address string, epochID uint64, coversFrom time.Time) {
	e := a.current()
	if e == nil || e.id != epochID {
		return
	}
	g := e.grants[address]
	if g == nil {
		return
	}
	if !g.confirmed || coversFrom.Before(g.coversFrom) {
		g.coversFrom = coversFrom
	}
	g.confirmed = true
}

// applyInstanceList applies a read of the instance list. A process that is absent
// from successive reads over 2*pauseThreshold no longer exists. That is longer
// than a pause can go unnoticed, so a paused process that was taken for dead drops
// its own authority when it resumes.
func (a *authority) applyInstanceList(now time.Time, listed map[string]bool) {
	e := a.current()
	if e == nil {
		return
	}
	a.viewComplete = a.viewComplete || now.Sub(a.viewStarted) >= viewCompleteAfter
	for _, earlier := range a.epochs {
		earlier.peersKnown = true
	}
	for _, r := range e.sortedPeers() {
		g := e.grants[r]
		switch {
		case listed[r]:
			g.unlistedSince = time.Time{}
		case g.unlistedSince.IsZero():
			g.unlistedSince = now
		case !g.exited && now.Sub(g.unlistedSince) >= 2*pauseThreshold:
			a.markExited(now, r, g)
		}
	}
}

// markExited records that a process no longer exists. Keys first used after now
// plus the maximum clock skew are covered.
func (a *authority) markExited(now time.Time, address string, g *grant) {
	g.exited = true
	if !g.confirmed {
		g.confirmed, g.coversFrom = true, now.Round(0).Add(MaxClockSkew)
	}
	// It stays known while the record names it, because its server may restart at
	// the same address.
	if !slices.ContainsFunc(a.current().replicas, func(other Replica) bool { return other.Address == address }) {
		a.processes = slices.DeleteFunc(a.processes, func(other string) bool { return other == address })
	}
}
