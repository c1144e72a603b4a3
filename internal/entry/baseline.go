package entry

import (
	"slices"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// baseline chooses a server without regard to load reports, classes or credit. The
// load tool compares the router's choices with it.
type baseline struct {
	policy settings.Policy
	turn   int
}

// pick returns the next linked server in turn, or the one with the fewest
// requests of this entry.
func (b *baseline) pick(p *picker, q query) (ident.ServerID, outcome.Outcome, bool) {
	wanted := q.request("").Model
	var candidates []ident.ServerID
	for _, s := range routingServers(p.snapshot) {
		if s.Model == wanted && p.linked[s.ID] && !p.draining[s.ID] && !slices.Contains(q.excluded, s.ID) {
			candidates = append(candidates, s.ID)
		}
	}
	if len(candidates) == 0 {
		return "", outcome.DidNotRun(outcome.ReasonNoServer, ""), false
	}
	slices.Sort(candidates)
	b.turn++
	best := candidates[b.turn%len(candidates)]
	if b.policy == settings.PolicyRoundRobin {
		return best, outcome.Outcome{}, true
	}
	for _, c := range candidates {
		if p.pending(c) < p.pending(best) {
			best = c
		}
	}
	return best, outcome.Outcome{}, true
}

// pending is the number of this entry's requests at the server.
func (p *picker) pending(id ident.ServerID) int {
	_, pending, _ := p.router.ServerState(id)
	return pending
}
