package gateway

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// ownReport is what this entry reports to the others.
type ownReport struct {
	report *message.EntryReport
	rates  *message.AnnouncedRates
}

// observeRate records an answer that announces a rate.
func (d *dispatch) observeRate(now time.Time, m rateObserved) {
	if d.service(m.service).ObserveRate(now, now, m.server, m.perSecond, true) {
		d.logger.Info().Str("server", string(m.server)).Float64("per_second", m.perSecond).Msg("backend server announced a rate")
	}
}

// updatePeer records the report of another entry.
func (d *dispatch) updatePeer(now time.Time, m peerReport) {
	d.entries[m.from] = now
	byServer := make(map[ident.ServerID]int, len(m.report.Servers))
	for _, w := range m.report.Servers {
		if id, known := d.tags[w.Server]; known {
			byServer[id] = w.Running
		}
	}
	demand := make(map[ident.ServiceName]float64, len(m.report.Demand))
	for _, one := range m.report.Demand {
		demand[one.Service] = one.PerSecond
	}
	rates := make(map[ident.ServerID]intake.RateReport)
	for _, r := range d.rates[m.from] {
		if id, known := d.tags[r.Server]; known {
			rates[id] = intake.RateReport{
				Started: r.Started, PerSecond: r.PerSecond, Announced: r.Announced, AnsweredAt: now.Add(-r.Age), FirstHand: r.FirstHand,
			}
		}
	}
	delete(d.rates, m.from)
	for name, s := range d.services {
		s.UpdatePeer(now, m.from, intake.PeerReport{Running: byServer, Demand: demand[name], Rates: rates})
	}
}

// updateSlowdowns records the slow servers that a group reports.
func (d *dispatch) updateSlowdowns(now time.Time, slow []message.ServerSlowdown) {
	if len(slow) == 0 {
		return
	}
	slowdowns := make(map[string]float64, len(slow))
	for _, one := range slow {
		slowdowns[one.Address] = one.Slowdown
	}
	for _, s := range d.services {
		s.UpdateSlowdowns(now, slowdowns)
	}
}

// report returns this entry's requests at each server, the demand for each service, and what
// it knows of announced rates.
func (d *dispatch) report(now time.Time) ownReport {
	r, rates := new(message.EntryReport), new(message.AnnouncedRates)
	limited := 0
	for name, s := range d.services {
		r.Demand = append(r.Demand, message.ServiceDemand{Service: name, PerSecond: s.Demand(now)})
		for id, n := range s.Running() {
			r.Servers = append(r.Servers, message.ServerWork{Server: message.TagOf(id), Running: n})
		}
		for id, one := range s.Rates(now) {
			if one.Announced {
				limited++
			}
			rates.Rates = append(rates.Rates, message.AnnouncedRate{
				Server: message.TagOf(id), Started: one.Started, PerSecond: one.PerSecond, Announced: one.Announced,
				Age: now.Sub(one.AnsweredAt), FirstHand: one.FirstHand,
			})
		}
	}
	d.metrics.rateLimited.Set(float64(limited))
	return ownReport{report: r, rates: rates}
}
