package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// departureTTL is how long a departure is remembered after the server was removed. Copies
// from which the list is restored are some seconds old.
const departureTTL = 2 * time.Minute

// Departure says that a server is leaving or was removed from the list. Entries tell each
// other of departures, since one that starts from a copy of the list cannot know them.
type Departure struct {
	ID ident.ServerID
	// Started is the start time of the server, or zero if it is unknown.
	Started time.Time
	// Sequence counts the writes of the server's list entry up to the departure.
	Sequence int64
	// Era is the era of the list in which the departure became known.
	Era uint64
	// Removed reports whether the list entry was removed; otherwise the server is leaving.
	Removed bool
}

// departure is a departure that became known at a time.
type departure struct {
	Departure
	at time.Time
}

// note remembers a departure.
func (r *Registry) note(now time.Time, d Departure) {
	for id, old := range r.departures {
		if _, listed := r.servers[id]; !listed && now.Sub(old.at) > departureTTL {
			delete(r.departures, id)
		}
	}
	r.departures[d.ID] = departure{Departure: d, at: now}
}

// covers reports whether the list entry was written before the departure.
func (r *Registry) covers(d Departure, s Server) bool {
	switch {
	case !s.Started.Equal(d.Started):
		return s.Started.Before(d.Started)
	case s.Started.IsZero():
		return false
	case d.Era == r.era:
		// What the list holds after the departure was written after it.
		return s.Sequence < d.Sequence
	default:
		return s.Sequence <= d.Sequence
	}
}

// Departures returns what another entry should know, sorted by ID.
func (r *Registry) Departures(now time.Time) []Departure {
	var list []Departure
	for _, d := range r.departures {
		if now.Sub(d.at) <= departureTTL {
			list = append(list, d.Departure)
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Learn applies departures that another entry knows. It reports whether the set of servers
// or any of them changed.
func (r *Registry) Learn(now time.Time, list []Departure) bool {
	changed := false
	for _, d := range list {
		changed = r.learn(now, d) || changed
	}
	return changed
}

func (r *Registry) learn(now time.Time, d Departure) bool {
	if old, known := r.departures[d.ID]; known && d.before(old.Departure) {
		return false
	}
	s, listed := r.servers[d.ID]
	switch {
	case !listed:
		r.note(now, d)
		return false
	case s.Started.After(d.Started) || s.Started.Equal(d.Started) && s.Sequence > d.Sequence:
		return false
	case !d.Removed:
		r.note(now, d)
		r.servers[d.ID] = s.leaving()
		return !s.Leaving
	case d.Era == r.era:
		// The own list is of the same history and as good as that of the other entry.
		return false
	default:
		r.drop(now, d.ID)
		r.note(now, d)
		return true
	}
}

// before reports whether this departure is older than the other one of the same server.
func (d Departure) before(other Departure) bool {
	if d.Started.Equal(other.Started) {
		return d.Sequence < other.Sequence
	}
	return d.Started.Before(other.Started)
}

// leaving returns the list entry with the server leaving.
func (s Server) leaving() Server {
	s.Leaving = true
	return s
}
