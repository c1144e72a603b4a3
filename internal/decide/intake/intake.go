// Package intake decides which requests an entry takes for a service whose
// backend servers it calls itself, and which backend server gets each.
//
// The ranks of an expert-parallel group run in lock-step, so the time between
// two events of any stream is the time of one pass of the whole group. An entry
// learns that time from its own streams, and bounds the requests in the group
// so that a pass stays within the routes' gap target. Which of the waiting
// requests gets a free place is decided by who waits, not here.
package intake

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

const (
	// peerMemory is how long the counts of another entry hold. Entries tell their
	// counts several times a second; after a second without news the other entry
	// is likely gone, and its requests with it.
	peerMemory = time.Second
	// firstPause and longestPause bound how long a failing server gets no work.
	firstPause   = time.Second
	longestPause = 8 * time.Second
	// slowCalls is how many slow calls in the reduced state stop all work.
	slowCalls = 5
	// reducedLoad is added to the load of a server that failed lately.
	reducedLoad = 3.0
	// farLoad is added to the load of a server in another failure domain. It only
	// decides between servers that are loaded alike.
	farLoad = 0.4
	// loadNoise is the range of the random part of a server's load.
	loadNoise = 1.0
	// freePart is the part of the bound on a group below which an entry does not
	// keep to its own part of it.
	freePart = 0.6
	// latePart is the part of the bound on a group that requests may fill which can
	// no longer be on time, and returnedPart the part for those that came back after
	// a refusal and will not come again.
	latePart     = 0.85
	returnedPart = 0.95
	// leastDemand in requests per second lets an entry without requests take its
	// first ones.
	leastDemand = 0.5
	// paceMemory is how long a server counts as slow after its group has told so.
	paceMemory = 1500 * time.Millisecond
	// plainQueue is how many requests per slot a plain service may hold. Its
	// servers queue a few requests beyond their slots.
	plainQueue = 2
)

// Config is what an entry's intake for one service knows beforehand.
type Config struct {
	Domain ident.FailureDomain
	Engine *record.EngineModel
}

// Service decides for one service. One task owns it.
type Service struct {
	config  Config
	machine *chart.Machine[*server]
	servers map[ident.ServerID]*server
	order   []*server
	peers   map[ident.InstanceID]peerCounts
	demand  rate
	pace    pace
	random  *rand.Rand
}

// server is a backend server as this entry sees it.
type server struct {
	registry.Server
	life    *chart.Instance[*server]
	pause   time.Duration
	slow    int
	running int
	// elsewhere is the number of requests that other entries have here.
	elsewhere int
	// slowBy is the server's time for the same work relative to a healthy one's, as
	// its group told at slowAt.
	slowBy float64
	slowAt time.Time
}

type peerCounts struct {
	at      time.Time
	running map[ident.ServerID]int
	demand  float64
}

// New returns the intake of a service without servers.
func New(c Config, random *rand.Rand) *Service {
	s := &Service{
		config: c, random: random, servers: make(map[ident.ServerID]*server),
		peers: make(map[ident.InstanceID]peerCounts), pace: newPace(c.Engine),
	}
	s.machine = chart.MustBind(charts.Must("replica"), chart.Binding[*server]{
		Guards: map[string]func(*server) bool{
			"slowOften": func(b *server) bool { return b.slow+1 >= slowCalls },
		},
		Actions: map[string]func(*server){
			"countSlow": func(b *server) { b.slow++ },
			"lengthen":  func(b *server) { b.slow, b.pause = 0, min(max(firstPause, 2*b.pause), longestPause) },
			"forgive":   func(b *server) { b.slow, b.pause = 0, 0 },
		},
		Delays: map[string]func(*server) time.Duration{
			"pause": func(b *server) time.Duration { return max(firstPause, b.pause) },
		},
	})
	return s
}

// Configure takes a changed description of the service's engines.
func (s *Service) Configure(e *record.EngineModel) {
	if e == nil || s.config.Engine != nil && *e == *s.config.Engine {
		return
	}
	s.config.Engine = e
	s.pace = newPace(e)
}

// SetServers replaces the servers of the service. What is known about servers
// that stay is kept; a new start under an old id is a new server.
func (s *Service) SetServers(now time.Time, list []registry.Server) {
	kept := make(map[ident.ServerID]*server, len(list))
	s.order = s.order[:0]
	for _, one := range list {
		b := s.servers[one.ID]
		if b == nil || !b.Started.Equal(one.Started) {
			b = &server{Server: one}
			b.life = s.machine.New(now, b)
		}
		b.Server, b.elsewhere = one, 0
		switch {
		case one.Leaving:
			b.life.Fire(now, "drain")
		case b.life.In("draining"):
			b.life.Fire(now, "undrain")
		}
		kept[one.ID] = b
		s.order = append(s.order, b)
	}
	s.servers = kept
	for _, p := range s.peers {
		s.countPeer(p, 1)
	}
}

// countPeer adds what another entry has to the servers, or takes it off.
func (s *Service) countPeer(p peerCounts, sign int) {
	for id, n := range p.running {
		if b := s.servers[id]; b != nil {
			b.elsewhere += sign * n
		}
	}
}

// Leave stops work for a server that says itself that it leaves, or whose
// address belongs to another server now.
func (s *Service) Leave(now time.Time, id ident.ServerID) {
	if b := s.servers[id]; b != nil {
		b.life.Fire(now, "drain")
	}
}

// Heard takes what another entry has at the servers of the service, and the rate
// of requests that it gets.
func (s *Service) Heard(now time.Time, from ident.InstanceID, running map[ident.ServerID]int, demand float64) {
	s.countPeer(s.peers[from], -1)
	s.peers[from] = peerCounts{at: now, running: running, demand: demand}
	s.countPeer(s.peers[from], 1)
}

// forgetPeers drops the counts of entries that have told nothing for too long.
func (s *Service) forgetPeers(now time.Time) {
	for from, p := range s.peers {
		if now.Sub(p.at) > peerMemory {
			s.countPeer(p, -1)
			delete(s.peers, from)
		}
	}
}

// HeardPaces takes the paces of the slow servers, by address.
func (s *Service) HeardPaces(now time.Time, paces map[string]float64) {
	for _, b := range s.order {
		if pace, slow := paces[b.Address]; slow {
			b.slowBy, b.slowAt = pace, now
		}
	}
}

// paceOf is the server's time for the same work relative to a healthy one's.
func (b *server) paceOf(now time.Time) float64 {
	if b.slowAt.IsZero() || now.Sub(b.slowAt) > paceMemory {
		return 1
	}
	return max(b.slowBy, 1)
}

// Arrived counts a client's request.
func (s *Service) Arrived(now time.Time) { s.demand.add(now) }

// Demand is the rate of requests that this entry gets.
func (s *Service) Demand(now time.Time) float64 { return s.demand.rate(now) }

// share is this entry's part of the bound on a group: its part of the demand. Each
// entry fills its own part, so that entries with old counts of each other do not
// give the same place out together.
func (s *Service) share(now time.Time) float64 {
	own := s.demand.rate(now) + leastDemand
	all := own
	for _, p := range s.peers {
		all += p.demand + leastDemand
	}
	return own / all
}

// Running returns what this entry has at each server.
func (s *Service) Running() map[ident.ServerID]int {
	running := make(map[ident.ServerID]int)
	for id, b := range s.servers {
		if b.running > 0 {
			running[id] = b.running
		}
	}
	return running
}

// load is the number of requests at the server, of all entries.
func (b *server) load() int { return b.running + b.elsewhere }

// State is what a decision to take or refuse a request was made from.
type State struct {
	// Running is the number of requests of all entries, Limit the bound for them,
	// and Usable the number of servers that take work.
	Running int
	Limit   int
	Usable  int
	// Own is the number of requests of this entry, and Share its part of the bound.
	Own   int
	Share float64
	// Gap is the estimated time of one pass.
	Gap time.Duration
}

// Standing is what a request's delay so far means for its worth.
type Standing int

// The standings, in the order in which requests get places.
const (
	// OnTime requests can still be answered within the latency objective.
	OnTime Standing = iota
	// Returned requests came back after a refusal, and are late.
	Returned
	// Late requests have waited too long to be on time.
	Late
)

// part is the part of the bound on a group that requests of the standing may fill.
func (s Standing) part() float64 {
	switch s {
	case OnTime:
		return 1
	case Returned:
		return returnedPart
	default:
		return latePart
	}
}

// Admit reports whether a request may go to the service now. One that is late
// leaves some places to those that can still be on time.
func (s *Service) Admit(now time.Time, standing Standing, gapTarget time.Duration) (State, bool) {
	s.forgetPeers(now)
	state := State{Gap: s.pace.gap()}
	slots, healthy, slowest := 0, 0.0, 1.0
	for _, b := range s.order {
		state.Running += b.load()
		state.Own += b.running
		slowest = max(slowest, b.paceOf(now))
	}
	for _, b := range s.candidates(now, nil) {
		state.Usable++
		slots += max(b.Slots, 1)
		healthy += 1 / b.paceOf(now)
	}
	if state.Usable == 0 {
		return state, false
	}
	if s.config.Engine == nil {
		state.Limit = plainQueue * slots
		return state, state.Running < state.Limit
	}
	bound := healthy * s.pace.perServer(gapTarget, slowest, len(s.order)) * standing.part()
	state.Limit, state.Share = int(bound), s.share(now)
	return state, float64(state.Own) < state.Share*bound || float64(state.Running) < freePart*bound
}

// Pick chooses the server with the least work among those not yet tried.
func (s *Service) Pick(now time.Time, tried []ident.ServerID) (registry.Server, bool) {
	s.forgetPeers(now)
	var best *server
	lowest := 0.0
	for _, b := range s.candidates(now, tried) {
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
// has tried. If all that are left failed lately, they are taken all the same: the
// fault may lie elsewhere, and a doubtful server is better than none.
func (s *Service) candidates(now time.Time, tried []ident.ServerID) []*server {
	var usable, doubtful []*server
	for _, b := range s.order {
		b.life.Tick(now)
		switch {
		case slices.Contains(tried, b.ID) || !b.life.In("eligible"):
		case b.usable():
			usable = append(usable, b)
		default:
			doubtful = append(doubtful, b)
		}
	}
	if len(usable) == 0 {
		return doubtful
	}
	return usable
}

// usable reports whether the server may get work. A trial is one request at a time.
func (b *server) usable() bool {
	if !b.life.In("eligible") || b.life.In("avoided") {
		return false
	}
	return !b.life.In("trial") || b.running == 0
}

func (s *Service) score(now time.Time, b *server) float64 {
	// The counts of other entries are up to 0.15 s old. Without the random part all
	// entries would choose the same server meanwhile.
	score := float64(b.load()) + s.random.Float64()*loadNoise
	if b.Domain != s.config.Domain {
		score += farLoad
	}
	if b.life.In("reduced") {
		score += reducedLoad
	}
	// All ranks wait for a slow one, so it gets the fewer requests the slower it is.
	return (score + 1) * b.paceOf(now)
}

// Started counts a request that is sent to the server.
func (s *Service) Started(id ident.ServerID) {
	if b := s.servers[id]; b != nil {
		b.running++
	}
}

// Ended counts the end of a request at the server. Failed means that the server
// broke off or could not be reached.
func (s *Service) Ended(now time.Time, id ident.ServerID, failed bool) {
	b := s.servers[id]
	if b == nil {
		return
	}
	b.running = max(b.running-1, 0)
	switch {
	case failed:
		b.life.Fire(now, "failed")
	case b.life.In("trial"):
		b.life.Fire(now, "recovered")
	}
}

// Paced takes the mean gap between events that a stream of this entry has seen.
func (s *Service) Paced(now time.Time, gap time.Duration) {
	if s.config.Engine == nil || len(s.order) == 0 {
		return
	}
	running, slowest := 0, 1.0
	for _, b := range s.order {
		running += b.load()
		slowest = max(slowest, b.paceOf(now))
	}
	s.pace.observe(gap, float64(running)/float64(len(s.order)), slowest)
}
