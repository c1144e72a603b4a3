package policybench

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// ClassResult is what one class, or the bookings, got.
type ClassResult struct {
	Offered int
	// Served counts requests with a first token, InTarget those within the target.
	Served, InTarget int
	P50, P95         time.Duration
	// Cost is the served cost, Demand the offered one, in tokens.
	Cost, Demand int64
	// Begun is the cost of all requests that got their first token after the
	// warm-up, whenever they arrived.
	Begun int64
}

// Result is the outcome of a run, without the warm-up.
type Result struct {
	Policy string
	// Classes by name; bookings are under the name "booking".
	Classes map[ident.PriorityClass]*ClassResult
	// Accounts holds the served and offered cost by account.
	Accounts map[ident.ClientAccount]*ClassResult
	// Interactive holds the interactive requests by account.
	Interactive map[ident.ClientAccount]*ClassResult
	// Useful is the cost of completed work per second.
	Useful float64
	// Hits is the share of requests with a prefix that found it cached.
	Hits float64
	// ControlBytes per second over all processes.
	ControlBytes float64
}

// Bookings is the name under which bookings are counted.
const Bookings ident.PriorityClass = "booking"

func (r *run) result(end time.Time) Result {
	res := Result{
		Policy: r.policy.Name, Classes: make(map[ident.PriorityClass]*ClassResult),
		Accounts:     make(map[ident.ClientAccount]*ClassResult),
		Interactive:  make(map[ident.ClientAccount]*ClassResult),
		ControlBytes: float64(r.controlBytes) / r.scenario.Length.Seconds(),
	}
	latencies := make(map[ident.PriorityClass][]time.Duration)
	useful, hits, prefixed := int64(0), 0, 0
	for _, q := range r.requests {
		if !q.done.IsZero() && q.done.After(start.Add(warmUp)) {
			useful += q.cost()
		}
		if !q.first.IsZero() && q.first.After(start.Add(warmUp)) {
			entryOf(res.Classes, q.name()).Begun += q.cost()
		}
		// Requests whose time was not over at the end of the run say nothing.
		if q.arrived.Before(start.Add(warmUp)) || q.arrived.Add(q.load.Deadline).After(end) {
			continue
		}
		name := q.name()
		count(entryOf(res.Classes, name), q)
		count(entryOf(res.Accounts, q.load.Account), q)
		if name == ident.Interactive {
			count(entryOf(res.Interactive, q.load.Account), q)
		}
		if !q.first.IsZero() {
			latencies[name] = append(latencies[name], q.latency())
		}
		if q.prefix != 0 && !q.first.IsZero() {
			prefixed++
			if q.hit {
				hits++
			}
		}
	}
	for name, list := range latencies {
		slices.Sort(list)
		res.Classes[name].P50, res.Classes[name].P95 = list[len(list)/2], list[len(list)*95/100]
	}
	res.Useful = float64(useful) / (r.scenario.Length - warmUp).Seconds()
	res.Hits = float64(hits) / float64(max(1, prefixed))
	return res
}

// name is the class under which the request is counted.
func (q *request) name() ident.PriorityClass {
	if q.load.Booking {
		return Bookings
	}
	return q.load.Class
}

func entryOf[K comparable](m map[K]*ClassResult, k K) *ClassResult {
	if m[k] == nil {
		m[k] = &ClassResult{}
	}
	return m[k]
}

func count(c *ClassResult, q *request) {
	c.Offered++
	c.Demand += q.cost()
	if q.first.IsZero() {
		return
	}
	c.Served++
	c.Cost += q.cost()
	if q.latency() <= q.load.Target {
		c.InTarget++
	}
}

// Share is the class's part of the cost that was begun after the warm-up.
func (r Result) Share(class ident.PriorityClass) float64 {
	total := int64(0)
	for _, c := range r.Classes {
		total += c.Begun
	}
	if r.Classes[class] == nil || total == 0 {
		return 0
	}
	return float64(r.Classes[class].Begun) / float64(total)
}

// WorstSmall is the least part of interactive requests within target of any
// account but the first, which is the greedy one.
func (r Result) WorstSmall() float64 {
	worst := 1.0
	for a, c := range r.Interactive {
		if a != accountName(0) {
			worst = min(worst, float64(c.InTarget)/float64(c.Offered))
		}
	}
	return worst
}

// Small is the part of the interactive requests within target over all accounts
// but the first.
func (r Result) Small() float64 {
	offered, in := 0, 0
	for a, c := range r.Interactive {
		if a != accountName(0) {
			offered += c.Offered
			in += c.InTarget
		}
	}
	return float64(in) / float64(max(1, offered))
}

// Jain is Jain's fairness index of served over entitled cost. An account is
// entitled to its demand or to an equal part of what was served, whichever is
// less; what the others do not need is divided again.
func (r Result) Jain() float64 {
	entitled := r.entitled()
	sum, squares, n := 0.0, 0.0, 0.0
	for a, c := range r.Accounts {
		x := min(1, float64(c.Cost)/entitled[a])
		sum += x
		squares += x * x
		n++
	}
	return sum * sum / (n * squares)
}

func (r Result) entitled() map[ident.ClientAccount]float64 {
	left, open := 0.0, make(map[ident.ClientAccount]float64)
	for a, c := range r.Accounts {
		left += float64(c.Cost)
		open[a] = float64(c.Demand)
	}
	entitled := make(map[ident.ClientAccount]float64)
	for len(open) > 0 {
		part, settled := left/float64(len(open)), false
		for a, demand := range open {
			if demand <= part {
				entitled[a] = demand
				left -= demand
				delete(open, a)
				settled = true
			}
		}
		if settled {
			continue
		}
		for a := range open {
			entitled[a] = part
		}
		return entitled
	}
	return entitled
}
