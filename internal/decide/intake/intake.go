// Package intake decides, at an entry that calls the backend servers of a service
// directly, which requests it admits and which backend server gets each.
//
// The ranks of an expert-parallel group run in lock-step, so the time between
// two events of any stream is the time of one forward pass of the whole group. An
// entry learns that time from its own streams, and limits the requests in the
// group so that a pass stays within the routes' gap target. The order in which
// waiting requests are offered to Admit is up to the caller.
package intake

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

const (
	// peerTTL is how long the request counts of another entry are used. Entries send
	// them several times a second; after 1 s without, the entry has probably stopped
	// and its requests have ended.
	peerTTL = time.Second
	// minPause is how long a failing server first gets no work. Each further failure
	// doubles the pause.
	minPause = time.Second
	// maxPause bounds how long a failing server gets no work.
	maxPause = 8 * time.Second
	// maxSlowCalls is the number of slow calls in the reduced state after which a
	// server gets no work.
	maxSlowCalls = 5
	// reducedPenalty, in requests, raises the score of a server that failed recently.
	reducedPenalty = 3.0
	// domainPenalty, in requests, raises the score of a server in another failure
	// domain. It decides only between servers with about the same load.
	domainPenalty = 0.4
	// scoreNoise is the range, in requests, of the random part of a server's score.
	scoreNoise = 1.0
	// shareFreeRatio is the ratio of a group's request limit below which an entry may
	// exceed its own share of the limit.
	shareFreeRatio = 0.6
	// lateRatio is the ratio of a group's request limit up to which requests are
	// admitted that can no longer be on time.
	lateRatio = 0.85
	// returnedRatio is the ratio of a group's request limit up to which requests are
	// admitted that were refused once; their clients will not try again.
	returnedRatio = 0.95
	// minDemand, in requests per second, is added to each entry's demand, so that an
	// entry without requests may admit its first ones.
	minDemand = 0.5
	// slowdownTTL is how long a slowdown that a group reported for a server is used.
	slowdownTTL = 1500 * time.Millisecond
	// plainRequestsPerSlot is how many requests per slot a plain service may hold. Its
	// servers queue a few requests beyond their slots.
	plainRequestsPerSlot = 2
)

// Config describes the entry and the service.
type Config struct {
	// Domain is the entry's own failure domain.
	Domain ident.FailureDomain
	// Engine describes the service's model engines. Nil means a plain service.
	Engine *record.EngineProfile
}

// Service admits the requests of one service and picks their servers. It is owned
// by one task and not safe for concurrent use.
type Service struct {
	config  Config
	machine *chart.Machine[*server]
	rates   *chart.Machine[*announcedRate]
	pauses  *chart.Machine[*requestedPause]
	servers map[ident.ServerID]*server
	// unlistedPauses holds servers that are not listed and have asked for a pause.
	unlistedPauses map[ident.ServerID]*server
	// order holds the servers in the order of the list.
	order  []*server
	peers  map[ident.InstanceID]peerCounts
	demand rate
	pass   passModel
	random *rand.Rand
}

// server is a backend server as this entry sees it.
type server struct {
	registry.Server
	lifecycle *chart.Lifecycle[*server]
	pause     time.Duration
	// slow counts the slow calls in the reduced state.
	slow    int
	running int
	// elsewhere is the number of requests that other entries have here.
	elsewhere int
	// slowBy is the server's time for the same work relative to a healthy one's, as
	// its group reported at slowAt.
	slowBy float64
	slowAt time.Time
	rate   announcedRate
	// requested is shared by two values of a server that was not listed for a time.
	requested *requestedPause
}

// PeerReport is what another entry reports about a service.
type PeerReport struct {
	// Running is the number of its requests at each server.
	Running map[ident.ServerID]int
	// Demand is its demand in requests per second.
	Demand float64
	// Rates is what it knows of the rates that servers announce.
	Rates map[ident.ServerID]RateReport
}

// peerCounts is the report that another entry sent at a time.
type peerCounts struct {
	PeerReport
	at time.Time
}

// New returns the intake of a service without servers.
func New(c Config, random *rand.Rand) *Service {
	s := &Service{
		config: c, random: random, servers: make(map[ident.ServerID]*server),
		peers: make(map[ident.InstanceID]peerCounts), pass: newPassModel(c.Engine),
		unlistedPauses: make(map[ident.ServerID]*server), pauses: newPauseMachine(),
	}
	s.machine = chart.MustBind(charts.Must("replica"), chart.Binding[*server]{
		Guards: map[string]func(*server) bool{
			"slowCallLimitReached": func(b *server) bool { return b.slow+1 >= maxSlowCalls },
		},
		Actions: map[string]func(*server){
			"countSlowCall": func(b *server) { b.slow++ },
			"lengthenPause": func(b *server) { b.slow, b.pause = 0, min(max(minPause, 2*b.pause), maxPause) },
			"resetFailures": func(b *server) { b.slow, b.pause = 0, 0 },
		},
		Delays: map[string]func(*server) time.Duration{
			"pause": func(b *server) time.Duration { return max(minPause, b.pause) },
		},
	})
	s.rates = chart.MustBind(charts.Must("announced-rate"), chart.Binding[*announcedRate]{
		Actions: map[string]func(*announcedRate){"resetQuota": func(r *announcedRate) { r.quota, r.drawnAt = 0, time.Time{} }},
	})
	return s
}

// Configure sets the description of the service's engines. If it has changed, the
// estimate of the pass time starts anew.
func (s *Service) Configure(e *record.EngineProfile) {
	if e == nil || s.config.Engine != nil && *e == *s.config.Engine {
		return
	}
	s.config.Engine = e
	s.pass = newPassModel(e)
}

// SetServers replaces the servers of the service and keeps the state of those that
// remain. A server that was restarted under the same ID counts as a new one.
func (s *Service) SetServers(now time.Time, list []registry.Server) {
	kept := make(map[ident.ServerID]*server, len(list))
	s.order = s.order[:0]
	for _, one := range list {
		b := s.servers[one.ID]
		if b == nil || !b.Started.Equal(one.Started) {
			b = s.newServer(now, one)
			s.restorePause(b)
		}
		b.Server, b.elsewhere, b.rate.startsElsewhere = one, 0, 0
		switch {
		case one.Leaving:
			b.lifecycle.Fire(now, "drain")
		case b.lifecycle.In("draining"):
			b.lifecycle.Fire(now, "undrain")
		}
		kept[one.ID] = b
		s.order = append(s.order, b)
	}
	s.keepPauses(now, kept)
	s.servers = kept
	for _, p := range s.peers {
		s.countPeer(p, 1)
	}
}

func (s *Service) newServer(now time.Time, listed registry.Server) *server {
	b := &server{Server: listed, requested: new(requestedPause)}
	b.lifecycle = s.machine.New(now, b)
	b.rate.lifecycle = s.rates.New(now, &b.rate)
	b.requested.lifecycle = s.pauses.New(now, b.requested)
	return b
}

// countPeer adds another entry's request counts to the servers, or with sign -1
// subtracts them.
func (s *Service) countPeer(p peerCounts, sign int) {
	for id, n := range p.Running {
		if b := s.servers[id]; b != nil {
			b.elsewhere += sign * n
		}
	}
	for id, r := range p.Rates {
		if b := s.servers[id]; b != nil {
			b.rate.startsElsewhere += sign * r.Started
		}
	}
}

// Drain stops new work for a server that announced its shutdown, or whose address
// now belongs to another server.
func (s *Service) Drain(now time.Time, id ident.ServerID) {
	if b := s.servers[id]; b != nil {
		b.lifecycle.Fire(now, "drain")
	}
}

// UpdatePeer records what another entry reports.
func (s *Service) UpdatePeer(now time.Time, from ident.InstanceID, report PeerReport) {
	s.countPeer(s.peers[from], -1)
	s.peers[from] = peerCounts{at: now, PeerReport: report}
	s.countPeer(s.peers[from], 1)
	s.observePeerRates(now, report.Rates)
}

// dropStalePeers drops the counts of entries that sent none for longer than peerTTL.
func (s *Service) dropStalePeers(now time.Time) {
	for from, p := range s.peers {
		if now.Sub(p.at) > peerTTL {
			s.countPeer(p, -1)
			delete(s.peers, from)
		}
	}
}

// UpdateSlowdowns records the slow servers that a group reports: by address, their time
// for the same work relative to a healthy server's.
func (s *Service) UpdateSlowdowns(now time.Time, slowdowns map[string]float64) {
	for _, b := range s.order {
		if slowdown, slow := slowdowns[b.Address]; slow {
			b.slowBy, b.slowAt = slowdown, now
		}
	}
}

// slowdown returns the server's time for the same work relative to a healthy one's.
func (b *server) slowdown(now time.Time) float64 {
	if b.slowAt.IsZero() || now.Sub(b.slowAt) > slowdownTTL {
		return 1
	}
	return max(b.slowBy, 1)
}

// Arrived counts an arriving client request for the demand.
func (s *Service) Arrived(now time.Time) { s.demand.add(now) }

// Demand returns this entry's demand in requests per second.
func (s *Service) Demand(now time.Time) float64 { return s.demand.rate(now) }

// share returns this entry's share of a group's request limit, which is its share
// of the demand. Each entry fills only its own share, so that entries with outdated
// counts of each other do not give away the same slot.
func (s *Service) share(now time.Time) float64 {
	own := s.demand.rate(now) + minDemand
	all := own
	for _, p := range s.peers {
		all += p.Demand + minDemand
	}
	return own / all
}

// Running returns the number of this entry's requests at each server.
func (s *Service) Running() map[ident.ServerID]int {
	running := make(map[ident.ServerID]int)
	for id, b := range s.servers {
		if b.running > 0 {
			running[id] = b.running
		}
	}
	return running
}

// load returns the number of requests at the server, of all entries.
func (b *server) load() int { return b.running + b.elsewhere }

// State holds the values on which Admit based a decision.
type State struct {
	// Running is the number of requests of all entries.
	Running int
	// Limit is the request limit for all entries.
	Limit int
	// Usable is the number of servers that may get work.
	Usable int
	// Own is the number of requests of this entry.
	Own int
	// Share is this entry's share of the limit, from 0 to 1.
	Share float64
	// Gap is the estimated time of one pass.
	Gap time.Duration
}

// Standing tells whether a request can still be answered on time.
type Standing int

// The standings, in the order in which requests get slots.
const (
	// OnTime requests can still be answered within the latency objective.
	OnTime Standing = iota
	// Returned requests were refused once and sent again by the client; they are late.
	Returned
	// Late requests have waited too long to be on time.
	Late
)

// limitRatio returns the ratio of a group's request limit up to which requests of
// the standing are admitted.
func (s Standing) limitRatio() float64 {
	switch s {
	case OnTime:
		return 1
	case Returned:
		return returnedRatio
	default:
		return lateRatio
	}
}

// Admit reports whether a request may go to the service now. Late requests leave
// some slots free for those that can still be on time. The gap target is the
// longest acceptable time between two events of a stream.
func (s *Service) Admit(now time.Time, standing Standing, gapTarget time.Duration) (State, bool) {
	s.dropStalePeers(now)
	state := State{Gap: s.pass.gap()}
	slots, healthy, slowest := 0, 0.0, 1.0
	for _, b := range s.order {
		state.Running += b.load()
		state.Own += b.running
		slowest = max(slowest, b.slowdown(now))
	}
	candidates := s.candidates(now, nil)
	allowed := s.withinRate(now, candidates)
	for _, b := range candidates {
		state.Usable++
		healthy += 1 / b.slowdown(now)
		if slices.Contains(allowed, b) {
			slots += max(b.Slots, 1)
		} else if s.config.Engine == nil {
			state.Running -= b.load()
		}
	}
	if len(allowed) == 0 {
		return state, false
	}
	if s.config.Engine == nil {
		state.Limit = plainRequestsPerSlot * slots
		return state, state.Running < state.Limit
	}
	limit := healthy * s.pass.limitPerServer(gapTarget, slowest, len(s.order)) * standing.limitRatio()
	state.Limit, state.Share = int(limit), s.share(now)
	return state, float64(state.Own) < state.Share*limit || float64(state.Running) < shareFreeRatio*limit
}

// Pick returns the server with the lowest score of those that the request has not
// tried. False means that there is none.
func (s *Service) Pick(now time.Time, tried []ident.ServerID) (registry.Server, bool) {
	s.dropStalePeers(now)
	var best *server
	lowest := 0.0
	for _, b := range s.withinRate(now, s.candidates(now, tried)) {
		if score := s.score(now, b); best == nil || score < lowest {
			best, lowest = b, score
		}
	}
	if best == nil {
		return registry.Server{}, false
	}
	return best.Server, true
}

// candidates returns the servers that may get work, without those that a request
// has tried. If all others failed recently, it returns these: the fault may lie
// elsewhere, and a failing server is better than none.
func (s *Service) candidates(now time.Time, tried []ident.ServerID) []*server {
	var usable, failing []*server
	for _, b := range s.order {
		b.lifecycle.Tick(now)
		switch {
		case slices.Contains(tried, b.ID) || !b.lifecycle.In("eligible") || b.requested.paused(now):
		case b.usable():
			usable = append(usable, b)
		default:
			failing = append(failing, b)
		}
	}
	if len(usable) == 0 {
		return failing
	}
	return usable
}

// usable reports whether the server may get work. On trial it gets one request at
// a time.
func (b *server) usable() bool {
	if !b.lifecycle.In("eligible") || b.lifecycle.In("avoided") {
		return false
	}
	return !b.lifecycle.In("trial") || b.running == 0
}

// score returns the server's load in requests with the penalties, multiplied by its
// slowdown. The lowest score wins.
func (s *Service) score(now time.Time, b *server) float64 {
	// The counts of other entries are up to 0.15 s old. Without the random part, all
	// entries would choose the same server until the next counts arrive.
	score := float64(b.load()) + s.random.Float64()*scoreNoise
	if b.Domain != s.config.Domain {
		score += domainPenalty
	}
	if b.lifecycle.In("reduced") {
		score += reducedPenalty
	}
	// All ranks of a group wait for the slowest, so a slow one gets fewer requests.
	return (score + 1) * b.slowdown(now)
}

// Started counts a request that was sent to the server.
func (s *Service) Started(now time.Time, id ident.ServerID) {
	if b := s.servers[id]; b != nil {
		invariant.Check(!b.requested.paused(now), "a server that asked for a pause gets no request", "server %s", id)
		b.running++
		b.rate.started(now)
	}
}

// Ended counts the end of a request at the server. Failed means that the server
// ended it early or could not be reached.
func (s *Service) Ended(now time.Time, id ident.ServerID, failed bool) {
	b := s.servers[id]
	if b == nil {
		return
	}
	b.running = max(b.running-1, 0)
	switch {
	case failed:
		b.lifecycle.Fire(now, "failed")
	case b.lifecycle.In("trial"):
		b.lifecycle.Fire(now, "recovered")
	}
}

// ObserveGap records the mean time between two events of one of this entry's streams.
func (s *Service) ObserveGap(now time.Time, gap time.Duration) {
	if s.config.Engine == nil || len(s.order) == 0 {
		return
	}
	running, slowest := 0, 1.0
	for _, b := range s.order {
		running += b.load()
		slowest = max(slowest, b.slowdown(now))
	}
	s.pass.observe(gap, float64(running)/float64(len(s.order)), slowest)
}
