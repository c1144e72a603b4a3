package gateway

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// leavingAnnounced reports that a backend server with the start time said in an answer that
// it is leaving.
type leavingAnnounced struct {
	server  ident.ServerID
	started time.Time
}

func (leavingAnnounced) isControlMessage() {}

// handleLeaving stops new work for a server that announced its leaving, and tells the other
// entries: some may hear of it neither from the server nor from the store.
func (c *control) handleLeaving(ctx context.Context, now time.Time, m leavingAnnounced) {
	if !c.registry.Announced(now, m.server, m.started) {
		return
	}
	c.logger.Info().Str("server", string(m.server)).Time("started", m.started).Msg("backend server announced that it is leaving")
	c.publishServers(ctx)
	one := encodeDepartures(now, []registry.Departure{{ID: m.server, Started: m.started, Announced: true, At: now}})
	for _, l := range c.linkPerPeer() {
		l.Send(one)
	}
}

// learnDepartures applies the departures that another entry knows.
func (c *control) learnDepartures(ctx context.Context, now time.Time, m *message.ServerDepartures) {
	if c.registry.Learn(now, decodeDepartures(now, m)) {
		c.publishServers(ctx)
	}
}

func encodeDepartures(now time.Time, list []registry.Departure) *message.ServerDepartures {
	m := new(message.ServerDepartures)
	for _, d := range list {
		one := message.ServerDeparture{Server: d.ID, Sequence: d.Sequence, Era: d.Era, Removed: d.Removed, Announced: d.Announced, Age: now.Sub(d.At)}
		if !d.Started.IsZero() {
			one.StartedMS = d.Started.UnixMilli()
		}
		m.Departures = append(m.Departures, one)
	}
	return m
}

func decodeDepartures(now time.Time, m *message.ServerDepartures) []registry.Departure {
	list := make([]registry.Departure, 0, len(m.Departures))
	for _, one := range m.Departures {
		d := registry.Departure{ID: one.Server, Sequence: one.Sequence, Era: one.Era, Removed: one.Removed, Announced: one.Announced, At: now.Add(-one.Age)}
		if one.StartedMS != 0 {
			d.Started = time.UnixMilli(one.StartedMS)
		}
		list = append(list, d)
	}
	return list
}
