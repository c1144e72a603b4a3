// Package registry keeps the set of backend servers from the watched instance list. If the
// list could not be written for so long that entries may have lapsed, or was restored from a
// copy, servers whose list entries are missing since are kept until they have had time to
// register again. List entries are ordered by the start of the server and its count of
// writes, not by the list's revisions: a list that is restored from a copy gives revisions
// out again.
package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// returnGrace is how long after an outage or a restore of the instance list a removed
// server is kept. Entries that lapsed during the outage, or that the copy lacks, are
// written again within about two seconds of its end.
const returnGrace = 2200 * time.Millisecond

const (
	// heartbeatInterval is the interval at which a server writes its list entry.
	heartbeatInterval = 1200 * time.Millisecond
	// writeTime is the time in which every server that runs has written its list entry, if
	// the list can be reached all the while.
	writeTime = heartbeatInterval + 300*time.Millisecond
	// lapseTime is the least time without a write in which list entries may lapse. They
	// lapse after three heartbeat intervals, and the last write may be one interval older
	// than the outage.
	lapseTime = 2 * heartbeatInterval
)

// Server is the list entry of a backend server.
type Server struct {
	ID      ident.ServerID
	Service ident.ServiceName
	// Address is the server's host and port.
	Address string
	Domain  ident.FailureDomain
	Slots   int
	// Leaving reports whether the server takes no new work.
	Leaving bool
	// Sequence counts the writes of this list entry since the server started.
	Sequence int64
	// Started is the start time of the server process, or zero if it is unknown. It
	// tells a restarted server from the earlier process.
	Started time.Time
}

// sameAs reports whether two list entries are equal but for Sequence.
func (s Server) sameAs(other Server) bool {
	s.Sequence, other.Sequence = 0, 0
	return s == other
}

// olderThan reports whether this list entry was written before the other one of the same
// server. Entries without a start time cannot be ordered.
func (s Server) olderThan(other Server) bool {
	if s.Started.Equal(other.Started) {
		return !s.Started.IsZero() && s.Sequence < other.Sequence
	}
	return s.Started.Before(other.Started)
}

// Change is a change of one list entry.
type Change struct {
	ID ident.ServerID
	// Server is nil if the list entry was removed or describes no usable server.
	Server *Server
}

// Registry is the set of backend servers from the instance list. It is owned by one
// task and not safe for concurrent use.
type Registry struct {
	servers map[ident.ServerID]Server
	// lapsed are the servers whose list entries were removed around an outage or a restore
	// of the list. They are dropped unless they return within returnGrace after backAt.
	lapsed map[ident.ServerID]bool
	// departures are the servers that are leaving, and those that were removed lately.
	departures map[ident.ServerID]Departure
	// unconfirmed are the servers that the list holds although they were removed from it
	// in an earlier era.
	unconfirmed map[ident.ServerID]unconfirmed
	// backAt is when the list was first read after the last outage in which entries may have
	// lapsed, or after the last restore.
	backAt time.Time
	// reachableSince is when the list was first read after its last outage, however short,
	// and writtenAt the last time at which every server that ran had written its entry.
	reachableSince, writtenAt time.Time
	// era is the era of the last read.
	era         uint64
	unreachable bool
	synced      bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers: make(map[ident.ServerID]Server), lapsed: make(map[ident.ServerID]bool),
		departures: make(map[ident.ServerID]Departure), unconfirmed: make(map[ident.ServerID]unconfirmed),
	}
}

// Synced reports whether the list has been read at least once.
func (r *Registry) Synced() bool { return r.synced }

// SetUnreachable records that the list cannot be reached.
func (r *Registry) SetUnreachable() { r.unreachable = r.synced }

// reached records a successful read of the list in an era.
func (r *Registry) reached(now time.Time, era uint64) {
	switch {
	case !r.synced:
		r.reachableSince, r.writtenAt = now, now
	case r.unreachable:
		r.reachableSince = now
	case now.Sub(r.reachableSince) >= writeTime:
		r.writtenAt = now
	}
	// An outage that is too short for entries to lapse keeps no removed server in use.
	if r.unreachable && now.Sub(r.writtenAt) >= lapseTime || r.synced && era != r.era {
		r.backAt = now
	}
	r.era, r.unreachable, r.synced = era, false, true
}

// Update is the effect of a read of the list.
type Update struct {
	// Changed reports whether the set of servers or any of them changed.
	Changed bool
	// Outdated are the list entries that were ignored, since newer ones are known.
	Outdated []Server
}

// Replace applies a full read of the list. The era counts how often the list was restored
// from a copy.
func (r *Registry) Replace(now time.Time, era uint64, list []Server) (u Update) {
	r.reached(now, era)
	listed := make(map[ident.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		r.apply(now, s, &u)
	}
	for id := range r.unconfirmed {
		if !listed[id] {
			delete(r.unconfirmed, id)
		}
	}
	for id := range r.servers {
		if !listed[id] {
			u.Changed = r.remove(now, id) || u.Changed
		}
	}
	return u
}

// Apply applies changes in their order in the list, in an era as for Replace.
func (r *Registry) Apply(now time.Time, era uint64, changes []Change) (u Update) {
	r.reached(now, era)
	for _, c := range changes {
		if c.Server != nil {
			r.apply(now, *c.Server, &u)
			continue
		}
		u.Changed = r.remove(now, c.ID) || u.Changed
	}
	return u
}

// apply applies one list entry unless it is outdated.
func (r *Registry) apply(now time.Time, s Server, u *Update) {
	if r.outdated(s) {
		u.Outdated = append(u.Outdated, s)
		r.doubt(now, s)
		return
	}
	u.Changed = r.put(now, s) || u.Changed
}

// outdated reports whether a newer list entry of the server, or its removal, is known.
func (r *Registry) outdated(s Server) bool {
	if known, exists := r.servers[s.ID]; exists {
		return s.olderThan(known)
	}
	d, departed := r.departures[s.ID]
	return departed && d.Removed && r.covers(d, s)
}

func (r *Registry) put(now time.Time, s Server) bool {
	old, exists := r.servers[s.ID]
	delete(r.lapsed, s.ID)
	delete(r.unconfirmed, s.ID)
	d, departed := r.departures[s.ID]
	switch {
	case departed && !d.Removed && r.covers(d, s):
		s.Leaving = true
	case s.Leaving && !(departed && !d.Removed && d.Started.Equal(s.Started)):
		r.note(now, Departure{ID: s.ID, Started: s.Started, Sequence: s.Sequence, Era: r.era, At: now})
	case !s.Leaving:
		delete(r.departures, s.ID)
	}
	r.servers[s.ID] = s
	return !exists || !old.sameAs(s)
}

func (r *Registry) remove(now time.Time, id ident.ServerID) bool {
	delete(r.unconfirmed, id)
	if _, exists := r.servers[id]; !exists {
		return false
	}
	if !r.backAt.IsZero() && now.Sub(r.backAt) < returnGrace {
		r.lapsed[id] = true
		return false
	}
	r.drop(now, id)
	return true
}

// drop removes a server and remembers that it departed.
func (r *Registry) drop(now time.Time, id ident.ServerID) {
	s := r.servers[id]
	d := Departure{ID: id, Started: s.Started, Sequence: s.Sequence, Era: r.era, Removed: true, At: now}
	if old, known := r.departures[id]; known && old.Started.Equal(d.Started) {
		d.Announced = old.Announced
	}
	r.note(now, d)
	delete(r.servers, id)
	delete(r.lapsed, id)
}

// Tick removes the servers that did not return in time after an outage or a restore of the
// list, and adds those that stayed in it. It reports whether there were any.
func (r *Registry) Tick(now time.Time) bool {
	// While the list cannot be reached, nobody sees who has returned.
	if r.unreachable {
		return false
	}
	changed := r.confirm(now)
	if len(r.lapsed) == 0 || now.Sub(r.backAt) < returnGrace {
		return changed
	}
	for id := range r.lapsed {
		r.drop(now, id)
	}
	return true
}

// Servers returns all servers, sorted by ID.
func (r *Registry) Servers() []Server {
	for id, d := range r.departures {
		s, listed := r.servers[id]
		invariant.Check(!listed || !d.Announced || !s.Started.Equal(d.Started) || s.Leaving,
			"a server that announced its leaving gets no new work", "server %s, started %s", id, d.Started)
	}
	return slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return 0
		}
	})
}
