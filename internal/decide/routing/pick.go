package routing

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// affinityChoices is how many candidates of a request are selected by its prefix.
	affinityChoices = 2
	// randomChoices is how many candidates of a request are drawn at random.
	randomChoices = 2
)

// Pick chooses the server for a request. False means that no server may get it
// now, and the outcome gives the reason.
func (r *Router) Pick(now time.Time, q Request) (ident.ServerID, outcome.Outcome, bool) {
	usable := r.usable(now, q)
	if len(usable) == 0 {
		usable = r.fallback(now, q)
	}
	if len(usable) == 0 {
		return "", r.noServer(now, q), false
	}
	p := r.choose(now, q, usable)
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

func (r *Router) choose(now time.Time, q Request, usable []*replica) *replica {
	switch r.config.Baseline {
	case RoundRobin:
		r.turn++
		return usable[r.turn%len(usable)]
	case LeastOutstanding:
		return r.leastOutstanding(usable)
	}
	candidates := r.candidates(q, usable)
	best, lowest := candidates[0].replica, 0.0
	for n, c := range candidates {
		if s := r.score(now, q, c); n == 0 || s < lowest {
			best, lowest = c.replica, s
		}
	}
	return best
}

// candidate is a replica with the probability that it holds the prefix, as assumed
// without a hint.
type candidate struct {
	replica *replica
	prior   float64
}

// leastOutstanding returns the replica with the fewest running requests of this
// entry. It breaks ties at random, as usual implementations do.
func (r *Router) leastOutstanding(usable []*replica) *replica {
	best, ties := usable[0], 0
	for _, p := range usable {
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

// candidates returns the replicas to score. The random ones come first, so that a
// tie goes to a random replica.
func (r *Router) candidates(q Request, usable []*replica) []candidate {
	var list []candidate
	// A partial shuffle draws without replacement.
	draw := slices.Clone(usable)
	for n := range min(randomChoices, len(draw)) {
		k := n + r.random.IntN(len(draw)-n)
		draw[n], draw[k] = draw[k], draw[n]
		list = append(list, candidate{replica: draw[n]})
	}
	for _, p := range usable {
		if p.lifecycle.In("trial") && len(list) < randomChoices+1 {
			list = append(list, candidate{replica: p})
		}
	}
	if q.Prefix == 0 {
		return list
	}
	for n, p := range topReplicas(q.Prefix, usable, affinityChoices) {
		list = append(list, candidate{replica: p, prior: priorConfidence / float64(n+1)})
	}
	return list
}

// score estimates the time in seconds until the request is served.
func (r *Router) score(now time.Time, q Request, c candidate) float64 {
	s := c.replica.wait(now, q.Class, r.config.MinRate)
	s += float64(c.replica.prefillTokens) / r.config.PrefillRate
	s += r.distancePenalty(c.replica.members[0]).Seconds()
	if q.Prefix != 0 {
		server, _ := c.replica.member(q.Tried)
		s -= r.hints.confidence(now, server, q.Prefix, c.prior) * float64(q.PrefixTokens) / r.config.PrefillRate
	}
	return s
}

// distancePenalty returns what the score adds for a server's location.
func (r *Router) distancePenalty(s Server) time.Duration {
	switch {
	case s.Region != "" && s.Region != r.config.Region:
		return r.config.RegionPenalty
	case s.Domain != r.config.Domain:
		return r.config.DomainPenalty
	default:
		return 0
	}
}
