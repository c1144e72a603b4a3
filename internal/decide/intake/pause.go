package intake

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// requestedPause is the pause that a server asks of this entry.
type requestedPause struct {
	lifecycle *chart.Lifecycle[*requestedPause]
	// left is the duration of the pause at the time of the last transition.
	left time.Duration
}

func newPauseMachine() *chart.Machine[*requestedPause] {
	return chart.MustBind(charts.Must("requested-pause"), chart.Binding[*requestedPause]{
		Delays: map[string]func(*requestedPause) time.Duration{"pause": func(p *requestedPause) time.Duration { return p.left }},
	})
}

// request begins or extends the pause.
func (p *requestedPause) request(now time.Time, length time.Duration) {
	p.left = max(length, p.remaining(now))
	p.lifecycle.Fire(now, "turnedAway")
}

// remaining returns the time until the server takes requests of this entry again.
func (p *requestedPause) remaining(now time.Time) time.Duration {
	p.lifecycle.Tick(now)
	until, running := p.lifecycle.Deadline()
	if !running {
		return 0
	}
	return until.Sub(now)
}

// paused reports whether the server gets no request of this entry.
func (p *requestedPause) paused(now time.Time) bool { return p.remaining(now) > 0 }

// Pause stops requests to a server, with the start time, that turned one away and asked for
// a pause.
func (s *Service) Pause(now time.Time, id ident.ServerID, started time.Time, length time.Duration) {
	b := s.servers[id]
	if b == nil || !b.Started.Equal(started) {
		b = s.unlistedPauses[id]
	}
	if b == nil || !b.Started.Equal(started) {
		b = s.newServer(now, registry.Server{ID: id, Started: started})
		s.unlistedPauses[id] = b
	}
	b.requested.request(now, length)
}

// keepPauses keeps the pauses of servers that are no longer listed. A server may be back in
// the list before its pause is over.
func (s *Service) keepPauses(now time.Time, listed map[ident.ServerID]*server) {
	for id, b := range s.servers {
		if listed[id] == nil && b.requested.paused(now) {
			s.unlistedPauses[id] = b
		}
	}
	for id, b := range s.unlistedPauses {
		if !b.requested.paused(now) {
			delete(s.unlistedPauses, id)
		}
	}
}

// restorePause restores the pause of a server that was not listed for a time.
func (s *Service) restorePause(of *server) {
	old := s.unlistedPauses[of.ID]
	if old != nil && old.Started.Equal(of.Started) {
		of.requested = old.requested
		delete(s.unlistedPauses, of.ID)
	}
}

// ResumesIn returns the time until the first paused server takes requests again, zero if
// there is none. Servers that are leaving do not count.
func (s *Service) ResumesIn(now time.Time) time.Duration {
	first := time.Duration(0)
	for _, b := range s.order {
		left := b.requested.remaining(now)
		if left > 0 && b.lifecycle.In("eligible") && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// MaySend reports whether a request for which the server was picked may still be sent to it.
// The server may have asked for a pause, or begun to leave, while the connection was opened.
func (s *Service) MaySend(now time.Time, id ident.ServerID) bool {
	b := s.servers[id]
	return b != nil && b.lifecycle.In("eligible") && !b.requested.paused(now)
}
