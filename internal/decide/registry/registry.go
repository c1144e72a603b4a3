// Package registry keeps the set of backend servers from the watched instance
// list. If the list was unreachable, servers whose list entries lapsed meanwhile
// are kept until they have had time to register again.
package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// returnGrace is how long after an outage of the instance list a removed server is
// kept. Entries that lapsed during the outage are written again within about two
// seconds of its end.
const returnGrace = 2200 * time.Millisecond

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
	// lapsed are the servers whose list entries were removed around an outage of the
	// list, with the deadline for their return.
	lapsed map[ident.ServerID]time.Time
	// restoredAt is the end of the last outage of the list.
	restoredAt  time.Time
	unreachable bool
	synced      bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: make(map[ident.ServerID]Server), lapsed: make(map[ident.ServerID]time.Time)}
}

// Synced reports whether the list has been read at least once.
func (r *Registry) Synced() bool { return r.synced }

// SetUnreachable records that the list cannot be reached.
func (r *Registry) SetUnreachable() { r.unreachable = r.synced }

// reached records a successful read of the list.
func (r *Registry) reached(now time.Time) {
	if r.unreachable {
		r.restoredAt = now
	}
	r.unreachable, r.synced = false, true
}

// Update is the effect of a read of the list.
type Update struct {
	// Changed reports whether the set of servers or any of them changed.
	Changed bool
	// Outdated are the list entries that were ignored, since newer ones are known.
	Outdated []Server
}

// put applies one list entry.
func (u *Update) put(r *Registry, s Server) {
	if r.outdated(s) {
		u.Outdated = append(u.Outdated, s)
		return
	}
	u.Changed = r.put(s) || u.Changed
}

// Replace applies a full read of the list.
func (r *Registry) Replace(now time.Time, list []Server) (u Update) {
	r.reached(now)
	listed := make(map[ident.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		u.put(r, s)
	}
	for id := range r.servers {
		if !listed[id] {
			u.Changed = r.remove(now, id) || u.Changed
		}
	}
	return u
}

// Apply applies changes in their order in the list.
func (r *Registry) Apply(now time.Time, changes []Change) (u Update) {
	r.reached(now)
	for _, c := range changes {
		if c.Server != nil {
			u.put(r, *c.Server)
			continue
		}
		u.Changed = r.remove(now, c.ID) || u.Changed
	}
	return u
}

// outdated reports whether a newer list entry of the server is known.
func (r *Registry) outdated(s Server) bool {
	known, exists := r.servers[s.ID]
	// A late write of an earlier process says nothing about the present one.
	return exists && s.Started.Before(known.Started)
}

func (r *Registry) put(s Server) bool {
	old, exists := r.servers[s.ID]
	delete(r.lapsed, s.ID)
	r.servers[s.ID] = s
	return !exists || !old.sameAs(s)
}

func (r *Registry) remove(now time.Time, id ident.ServerID) bool {
	if _, exists := r.servers[id]; !exists {
		return false
	}
	if !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < returnGrace {
		if _, lapsed := r.lapsed[id]; !lapsed {
			r.lapsed[id] = r.restoredAt.Add(returnGrace)
		}
		return false
	}
	delete(r.servers, id)
	delete(r.lapsed, id)
	return true
}

// Tick removes the servers that did not return in time after an outage of the list.
// It reports whether there were any.
func (r *Registry) Tick(now time.Time) bool {
	changed := false
	for id, deadline := range r.lapsed {
		if now.Before(deadline) {
			continue
		}
		delete(r.lapsed, id)
		delete(r.servers, id)
		changed = true
	}
	return changed
}

// Servers returns all servers, sorted by ID.
func (r *Registry) Servers() []Server {
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
