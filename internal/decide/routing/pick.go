package routing

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// affinityChoices and randomChoices are the candidates of one request: the
// replicas that hold the prefix, if any does, and two drawn at random.
const (
	affinityChoices = 2
	randomChoices   = 2
)

// Pick chooses the server for a request. False means that no server may get it
// now; the outcome says why.
func (r *Router) Pick(now time.Time, q Request) (ident.ServerID, outcome.Outcome, bool) {
	fit := r.usable(now, q)
	if len(fit) == 0 {
		fit = r.lastResort(now, q)
	}
	if len(fit) == 0 {
		return "", r.noServer(now, q), false
	}
	p := r.choose(now, q, fit)
	server, ok := p.member(q.Tried)
	if !ok {
		return "", outcome.DidNotRun(outcome.ReasonNoServer, "No backend server of the model can be reached."), false
	}
	return server, outcome.Outcome{}, true
}

func (r *Router) noServer(now time.Time, q Request) outcome.Outcome {
	for _, p := range r.replicas {
		if p.members[0].Model == q.Model && p.usable(now) && !p.tried(q.Tried) {
			return outcome.DidNotRun(outcome.ReasonQueueFull, "The queues of all backend servers of the model are full.")
		}
	}
	return outcome.DidNotRun(outcome.ReasonNoServer, "No backend server of the model takes requests.")
}

func (r *Router) choose(now time.Time, q Request, fit []*replica) *replica {
	switch r.config.Baseline {
	case RoundRobin:
		r.turn++
		return fit[r.turn%len(fit)]
	case LeastOutstanding:
		return r.leastOutstanding(fit)
	}
	candidates := r.candidates(q, fit)
	best, lowest := candidates[0].replica, 0.0
	for n, c := range candidates {
		if s := r.score(now, q, c); n == 0 || s < lowest {
			best, lowest = c.replica, s
		}
	}
	return best
}

// candidate is a replica and the prior confidence that it holds the prefix.
type candidate struct {
	replica *replica
	prior   float64
}

// leastOutstanding breaks ties at random, as the usual implementations do.
func (r *Router) leastOutstanding(fit []*replica) *replica {
	best, ties := fit[0], 0
	for _, p := range fit {
		switch {
		case len(p.pending) < len(best.pending):
			best, ties = p, 1
		case len(p.pending) == len(best.pending):
			ties++
			if r.random.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// candidates draws the random ones first, so that equal scores go to a random
// replica.
func (r *Router) candidates(q Request, fit []*replica) []candidate {
	var list []candidate
	// A partial shuffle draws without repeating.
	draw := slices.Clone(fit)
	for n := range min(randomChoices, len(draw)) {
		k := n + r.random.IntN(len(draw)-n)
		draw[n], draw[k] = draw[k], draw[n]
		list = append(list, candidate{replica: draw[n]})
	}
	for _, p := range fit {
		if p.life.In("trial") && len(list) < randomChoices+1 {
			list = append(list, candidate{replica: p})
		}
	}
	if q.Prefix == 0 {
		return list
	}
	for n, p := range topReplicas(q.Prefix, fit, affinityChoices) {
		list = append(list, candidate{replica: p, prior: priorConfidence / float64(n+1)})
	}
	return list
}

// score is the estimated time in seconds until the request is served.
func (r *Router) score(now time.Time, q Request, c candidate) float64 {
	s := c.replica.wait(now, q.Class, r.config.DefaultRate)
	s += float64(c.replica.prompts) / r.config.PrefillRate
	s += r.distance(c.replica.members[0]).Seconds()
	if q.Prefix != 0 {
		server, _ := c.replica.member(q.Tried)
		s -= r.hints.confidence(now, server, q.Prefix, c.prior) * float64(q.PrefixTokens) / r.config.PrefillRate
	}
	return s
}

func (r *Router) distance(s Server) time.Duration {
	switch {
	case s.Region != "" && s.Region != r.config.Region:
		return r.config.FarRegion
	case s.Domain != r.config.Domain:
		return r.config.FarDomain
	default:
		return 0
	}
}
