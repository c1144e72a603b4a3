package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// query describes the request for which a server is wanted.
type query struct {
	model   ident.ModelName
	service ident.ServiceName
	// key is set for calls that must all reach the same server.
	key      string
	account  ident.ClientAccount
	class    ident.PriorityClass
	prefix   uint64
	cost     int64
	excluded []ident.ServerID
}

// picker chooses backend servers. The dispatch task owns it.
type picker interface {
	// configure puts a record in force.
	configure(now time.Time, s *record.Snapshot)
	// linked says that a link to the server is up or down.
	linked(now time.Time, server ident.ServerID, up bool)
	// heard takes a heartbeat of the server.
	heard(now time.Time, server ident.ServerID, h *message.Heartbeat)
	// started and settled frame each attempt at the server.
	started(now time.Time, server ident.ServerID, cost int64)
	settled(now time.Time, server ident.ServerID, cost int64, refused, failed bool)
	// pick returns a server, or why there is none now.
	pick(now time.Time, q query) (ident.ServerID, outcome.Outcome, bool)
}

// leastOutstanding picks the linked server with the fewest attempts of this
// entry.
type leastOutstanding struct {
	random      *rand.Rand
	snapshot    *record.Snapshot
	up          map[ident.ServerID]bool
	draining    map[ident.ServerID]bool
	outstanding map[ident.ServerID]int
}

func newLeastOutstanding(random *rand.Rand) *leastOutstanding {
	return &leastOutstanding{
		random: random, up: make(map[ident.ServerID]bool),
		draining: make(map[ident.ServerID]bool), outstanding: make(map[ident.ServerID]int),
	}
}

func (p *leastOutstanding) configure(_ time.Time, s *record.Snapshot) { p.snapshot = s }

func (p *leastOutstanding) linked(_ time.Time, server ident.ServerID, up bool) {
	p.up[server] = up
	p.draining[server] = false
}

func (p *leastOutstanding) heard(_ time.Time, server ident.ServerID, h *message.Heartbeat) {
	p.draining[server] = h.Draining
}

func (p *leastOutstanding) started(_ time.Time, server ident.ServerID, _ int64) {
	p.outstanding[server]++
}

func (p *leastOutstanding) settled(_ time.Time, server ident.ServerID, _ int64, _, _ bool) {
	p.outstanding[server]--
}

func (p *leastOutstanding) pick(_ time.Time, q query) (ident.ServerID, outcome.Outcome, bool) {
	if p.snapshot == nil {
		return "", outcome.DidNotRun(outcome.ReasonConfiguration, ""), false
	}
	candidates := p.candidates(q)
	if q.key != "" {
		candidates = home(q.key, candidates)
	}
	var best []ident.ServerID
	for _, c := range candidates {
		if !p.up[c] || p.draining[c] || slices.Contains(q.excluded, c) {
			continue
		}
		if len(best) > 0 && p.outstanding[c] > p.outstanding[best[0]] {
			continue
		}
		if len(best) > 0 && p.outstanding[c] < p.outstanding[best[0]] {
			best = best[:0]
		}
		best = append(best, c)
	}
	if len(best) == 0 {
		return "", outcome.DidNotRun(outcome.ReasonNoServer, ""), false
	}
	return best[p.random.IntN(len(best))], outcome.Outcome{}, true
}

func (p *leastOutstanding) candidates(q query) []ident.ServerID {
	var out []ident.ServerID
	if q.service != "" {
		for _, r := range p.snapshot.Services[q.service].Replicas {
			out = append(out, r.ID)
		}
		return out
	}
	for id, r := range p.snapshot.Replicas {
		if r.Model == q.model && r.Role != record.RoleStandby {
			out = append(out, id)
		}
	}
	return out
}

// home returns the one server that the key belongs to, by rendezvous hashing.
func home(key string, servers []ident.ServerID) []ident.ServerID {
	var best ident.ServerID
	var score uint64
	for _, s := range servers {
		if h := xxhash.Sum64String(key + "\x00" + string(s)); best == "" || h > score {
			best, score = s, h
		}
	}
	if best == "" {
		return nil
	}
	return []ident.ServerID{best}
}
