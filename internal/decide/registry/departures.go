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
	// Announced reports whether the server itself said in an answer that it is leaving. It
	// then is, whatever the list says, until it is started again.
	Announced bool
	// At is when the first entry learned of it, by the clock of this entry.
	At time.Time
}

// note remembers a departure.
func (r *Registry) note(now time.Time, d Departure) {
	for id, old := range r.departures {
		if _, listed := r.servers[id]; !listed && now.Sub(old.At) > departureTTL {
			delete(r.departures, id)
		}
	}
	r.departures[d.ID] = d
}

// covers reports whether the list entry was written before the departure.
func (r *Registry) covers(d Departure, s Server) bool {
	switch {
	case !s.Started.Equal(d.Started):
		return s.Started.Before(d.Started)
	case d.Announced:
		return true
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
		if now.Sub(d.At) <= departureTTL {
			list = append(list, d)
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
	if old, known := r.departures[d.ID]; known {
		if d.Started.Before(old.Started) {
			return false
		}
		d = d.merge(old)
	}
	s, listed := r.servers[d.ID]
	switch {
	case !listed:
		r.note(now, d)
		return false
	case s.Started.After(d.Started) || s.Started.Equal(d.Started) && s.Sequence > d.Sequence && !d.Announced:
		return false
	case d.Removed && d.Era != r.era:
		r.drop(now, d.ID)
		r.note(now, d)
		r.doubt(now, s)
		return true
	case d.Removed && !d.Announced:
		// The own list is of the same history and as good as that of the other entry.
		return false
	default:
		d.Removed = false
		r.note(now, d)
		r.servers[d.ID] = s.leaving()
		return !s.Leaving
	}
}

// merge adds what an earlier departure of the same server says.
func (d Departure) merge(earlier Departure) Departure {
	if !d.Started.Equal(earlier.Started) {
		return d
	}
	announced := d.Announced || earlier.Announced
	if d.Sequence < earlier.Sequence || d.Sequence == earlier.Sequence && earlier.Removed {
		d = earlier
	}
	d.Announced = announced
	return d
}

// Announced records that the server with the start time said in an answer that it is
// leaving. It reports whether that was new.
func (r *Registry) Announced(now time.Time, id ident.ServerID, started time.Time) bool {
	return r.learn(now, Departure{ID: id, Started: started, Era: r.era, Announced: true, At: now})
}

// leaving returns the list entry with the server leaving.
func (s Server) leaving() Server {
	s.Leaving = true
	return s
}
