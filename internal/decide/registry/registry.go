// Package registry decides which backend servers may get work from what the
// list of live servers says. The list is watched by revision; it may lapse
// while it cannot be reached.
package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// returnTime is how long after the list has come back a removed entry may still
// return. Entries that lapse while the list is away are written again within
// about two seconds of its return.
const returnTime = 2200 * time.Millisecond

// Server is one backend server in the list.
type Server struct {
	ID      ident.ServerID
	Service ident.ServiceName
	// Address is its host and port.
	Address string
	Domain  ident.FailureDomain
	Slots   int
	// Leaving says that the server takes no new work.
	Leaving bool
	// Sequence counts the writes of one start, and Started tells starts apart; zero
	// if it is not known.
	Sequence int64
	Started  time.Time
}

// sameAs reports whether two entries say the same beside the write counter.
func (s Server) sameAs(other Server) bool {
	s.Sequence, other.Sequence = 0, 0
	return s == other
}

// Change is one entry of the list: a server, or the end of one.
type Change struct {
	ID ident.ServerID
	// Server is nil if the entry is removed or names no usable server.
	Server *Server
}

// Registry is the set of servers that the list names. One task owns it.
type Registry struct {
	servers map[ident.ServerID]Server
	// doubtful are servers whose entries were removed around an outage of the list,
	// with the time at which they count as gone.
	doubtful map[ident.ServerID]time.Time
	// returned is when the list was last reached again after an outage.
	returned time.Time
	away     bool
	known    bool
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: make(map[ident.ServerID]Server), doubtful: make(map[ident.ServerID]time.Time)}
}

// Known reports whether the list was read at least once.
func (r *Registry) Known() bool { return r.known }

// Away says that the list cannot be reached.
func (r *Registry) Away() { r.away = r.known }

func (r *Registry) reached(now time.Time) {
	if r.away {
		r.returned = now
	}
	r.away, r.known = false, true
}

// Replace takes a whole reading of the list. It reports whether anything changed.
func (r *Registry) Replace(now time.Time, list []Server) bool {
	r.reached(now)
	changed := false
	listed := make(map[ident.ServerID]bool, len(list))
	for _, s := range list {
		listed[s.ID] = true
		changed = r.put(s) || changed
	}
	for id := range r.servers {
		if !listed[id] {
			changed = r.remove(now, id) || changed
		}
	}
	return changed
}

// Apply takes changes in the order of the list. It reports whether anything changed.
func (r *Registry) Apply(now time.Time, changes []Change) bool {
	r.reached(now)
	changed := false
	for _, c := range changes {
		if c.Server != nil {
			changed = r.put(*c.Server) || changed
			continue
		}
		changed = r.remove(now, c.ID) || changed
	}
	return changed
}

func (r *Registry) put(s Server) bool {
	old, known := r.servers[s.ID]
	// A write of an earlier start that arrives late says nothing about the server.
	if known && s.Started.Before(old.Started) {
		return false
	}
	delete(r.doubtful, s.ID)
	r.servers[s.ID] = s
	return !known || !old.sameAs(s)
}

func (r *Registry) remove(now time.Time, id ident.ServerID) bool {
	if _, known := r.servers[id]; !known {
		return false
	}
	if !r.returned.IsZero() && now.Sub(r.returned) < returnTime {
		if _, waits := r.doubtful[id]; !waits {
			r.doubtful[id] = r.returned.Add(returnTime)
		}
		return false
	}
	delete(r.servers, id)
	delete(r.doubtful, id)
	return true
}

// Tick lets doubtful servers go whose time is over. It reports whether anything changed.
func (r *Registry) Tick(now time.Time) bool {
	changed := false
	for id, at := range r.doubtful {
		if now.Before(at) {
			continue
		}
		delete(r.doubtful, id)
		delete(r.servers, id)
		changed = true
	}
	return changed
}

// Servers returns all servers, sorted by id.
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
