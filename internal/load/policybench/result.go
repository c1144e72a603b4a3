package policybench

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Stats holds the results of one class, of the bookings, or of one account.
type Stats struct {
	Offered int
	// Served counts requests with a first token, InTarget those that had it within
	// the target.
	Served, InTarget int
	// P50 and P95 are percentiles of the time to the first token. They are set for
	// classes only.
	P50, P95 time.Duration
	// ServedCost is the cost of the served requests and OfferedCost that of the offered
	// ones, in tokens.
	ServedCost, OfferedCost int64
	// StartedCost is the cost of all requests that got their first token after the
	// warm-up, whenever they arrived.
	StartedCost int64
}

// Result holds the results of a run, without the warm-up.
type Result struct {
	Policy string
	// Classes holds the requests by class, and the bookings under Bookings.
	Classes map[ident.PriorityClass]*Stats
	// Accounts holds the requests and bookings by account.
	Accounts map[ident.ClientAccount]*Stats
	// Interactive holds the interactive requests by account.
	Interactive map[ident.ClientAccount]*Stats
	// Throughput is the cost of the completed requests, in tokens per second.
	Throughput float64
	// CacheHitRatio is the share of served requests with a prefix that found it in the cache.
	CacheHitRatio float64
	// ControlBytesPerSecond is the traffic of control messages of all processes, in bytes per
	// second.
	ControlBytesPerSecond float64
}

// Bookings is the key of the bookings in Result.Classes.
const Bookings ident.PriorityClass = "booking"

func (r *run) result(end time.Time) Result {
	res := Result{
		Policy: r.policy.Name, Classes: make(map[ident.PriorityClass]*Stats),
		Accounts:              make(map[ident.ClientAccount]*Stats),
		Interactive:           make(map[ident.ClientAccount]*Stats),
		ControlBytesPerSecond: float64(r.controlBytes) / r.scenario.Duration.Seconds(),
	}
	latencies := make(map[ident.PriorityClass][]time.Duration)
	completedCost, cacheHits, withPrefix := int64(0), 0, 0
	for _, q := range r.requests {
		if !q.completed.IsZero() && q.completed.After(start.Add(warmUp)) {
			completedCost += q.cost()
		}
		if !q.firstToken.IsZero() && q.firstToken.After(start.Add(warmUp)) {
			entryOf(res.Classes, q.resultKey()).StartedCost += q.cost()
		}
		// The outcome of a request whose deadline is after the end of the run is not known.
		if q.arrived.Before(start.Add(warmUp)) || q.arrived.Add(q.load.Deadline).After(end) {
			continue
		}
		key := q.resultKey()
		count(entryOf(res.Classes, key), q)
		count(entryOf(res.Accounts, q.load.Account), q)
		if key == ident.Interactive {
			count(entryOf(res.Interactive, q.load.Account), q)
		}
		if !q.firstToken.IsZero() {
			latencies[key] = append(latencies[key], q.latency())
		}
		if q.prefix != 0 && !q.firstToken.IsZero() {
			withPrefix++
			if q.cacheHit {
				cacheHits++
			}
		}
	}
	for key, list := range latencies {
		slices.Sort(list)
		res.Classes[key].P50, res.Classes[key].P95 = list[len(list)/2], list[len(list)*95/100]
	}
	res.Throughput = float64(completedCost) / (r.scenario.Duration - warmUp).Seconds()
	res.CacheHitRatio = float64(cacheHits) / float64(max(1, withPrefix))
	return res
}

// resultKey is the key of Result.Classes under which the request is counted.
func (q *request) resultKey() ident.PriorityClass {
	if q.load.Booking {
		return Bookings
	}
	return q.load.Class
}

// entryOf returns the value of a key, which it adds if it is missing.
func entryOf[K comparable](m map[K]*Stats, k K) *Stats {
	if m[k] == nil {
		m[k] = &Stats{}
	}
	return m[k]
}

// count adds the request to the counters.
func count(c *Stats, q *request) {
	c.Offered++
	c.OfferedCost += q.cost()
	if q.firstToken.IsZero() {
		return
	}
	c.Served++
	c.ServedCost += q.cost()
	if q.latency() <= q.load.Target {
		c.InTarget++
	}
}

// CostShare is the class's share of the cost that was begun after the warm-up.
func (r Result) CostShare(class ident.PriorityClass) float64 {
	total := int64(0)
	for _, c := range r.Classes {
		total += c.StartedCost
	}
	if r.Classes[class] == nil || total == 0 {
		return 0
	}
	return float64(r.Classes[class].StartedCost) / float64(total)
}

// WorstOtherInTarget is the smallest share of interactive requests within target of any
// account but the first, which GreedyAccount overloads.
func (r Result) WorstOtherInTarget() float64 {
	worst := 1.0
	for a, c := range r.Interactive {
		if a != accountName(0) {
			worst = min(worst, float64(c.InTarget)/float64(c.Offered))
		}
	}
	return worst
}

// OthersInTarget is the share of interactive requests within target over all accounts but the
// first, which GreedyAccount overloads.
func (r Result) OthersInTarget() float64 {
	offered, in := 0, 0
	for a, c := range r.Interactive {
		if a != accountName(0) {
			offered += c.Offered
			in += c.InTarget
		}
	}
	return float64(in) / float64(max(1, offered))
}

// Jain is Jain's fairness index of served over entitled cost. The entitlements are the
// max-min fair division of the served cost between the demands of the accounts.
func (r Result) Jain() float64 {
	entitled := r.entitled()
	sum, squares, n := 0.0, 0.0, 0.0
	for a, c := range r.Accounts {
		x := min(1, float64(c.ServedCost)/entitled[a])
		sum += x
		squares += x * x
		n++
	}
	return sum * sum / (n * squares)
}

// entitled returns the max-min fair share of the served cost by account: its demand, or
// an equal part of what the accounts with a smaller demand leave.
func (r Result) entitled() map[ident.ClientAccount]float64 {
	remaining, unsatisfied := 0.0, make(map[ident.ClientAccount]float64)
	for a, c := range r.Accounts {
		remaining += float64(c.ServedCost)
		unsatisfied[a] = float64(c.OfferedCost)
	}
	entitled := make(map[ident.ClientAccount]float64)
	for len(unsatisfied) > 0 {
		equalPart, changed := remaining/float64(len(unsatisfied)), false
		for a, demand := range unsatisfied {
			if demand <= equalPart {
				entitled[a] = demand
				remaining -= demand
				delete(unsatisfied, a)
				changed = true
			}
		}
		if changed {
			continue
		}
		for a := range unsatisfied {
			entitled[a] = equalPart
		}
		return entitled
	}
	return entitled
}
