package registry

import "time"

// confirmTime is how long a server that was removed in an earlier era must stay in the list
// until it is used again. The list drops a server after three heartbeat intervals of silence.
const confirmTime = 5 * time.Second

// unconfirmed is a list entry that may be of the copy from which the list was restored.
type unconfirmed struct {
	Server
	since time.Time
}

// doubt remembers an outdated list entry of a server that was removed. If the server is sound
// after all, it has no reason to register again, since the list holds it.
func (r *Registry) doubt(now time.Time, s Server) {
	d, departed := r.departures[s.ID]
	_, known := r.unconfirmed[s.ID]
	if departed && d.Removed && !d.Announced && d.Started.Equal(s.Started) && !known {
		r.unconfirmed[s.ID] = unconfirmed{Server: s, since: now}
	}
}

// confirm adds the servers that stayed in the list. It reports whether there were any.
func (r *Registry) confirm(now time.Time) bool {
	changed := false
	for id, u := range r.unconfirmed {
		if now.Sub(u.since) < confirmTime || now.Sub(r.backAt) < confirmTime {
			continue
		}
		delete(r.unconfirmed, id)
		// The server itself may have announced its leaving meanwhile.
		if r.departures[id].Announced {
			continue
		}
		delete(r.departures, id)
		r.servers[id] = u.Server
		changed = true
	}
	return changed
}
