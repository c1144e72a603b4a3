package routing

import (
	"math"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// reportHalfLife discounts a reported queue by age: requests come and go
	// within seconds, so an old report says little about the present.
	reportHalfLife = 2 * time.Second
	// firstPause and longestPause bound how long a replica gets no work.
	firstPause   = 2 * time.Second
	longestPause = 60 * time.Second
	// slowFactor makes a first token slow if it takes this many times the mean
	// over all replicas, on a smoothed value so that single calls do not count.
	slowFactor = 3.0
	// slowCalls is how many slow calls in the reduced state stop all work.
	slowCalls = 5
	// firstTokenGain is the weight of one call in the smoothed first-token time.
	firstTokenGain = 0.2
	// reducedFactor multiplies the estimated wait of a replica that gets less.
	reducedFactor = 4.0
	// impairedFactor does the same for a slow or re-forming group.
	impairedFactor = 4.0
)

// started is a request of this entry that runs at a replica.
type started struct {
	cost int64
	// at tells requests that a report already contains from later ones.
	at    time.Time
	class ident.PriorityClass
}

// replica is a single server or a group, as this entry sees it.
type replica struct {
	name    string
	members []Server
	life    *chart.Instance[*replica]
	pause   time.Duration
	// slow counts slow calls since the replica got less work.
	slow    int
	pending map[ident.RequestID]started
	cost    int64
	report  Report
	// reported is when the state in the report was true.
	reported time.Time
	// firstToken is the smoothed first-token time in seconds.
	firstToken float64
	// spent is the cost sent by class since the credit in the report was given.
	spent [3]int64
	down  map[ident.ServerID]bool
}

func replicaMachine() *chart.Machine[*replica] {
	return chart.MustBind(charts.Must("replica"), chart.Binding[*replica]{
		Guards: map[string]func(*replica) bool{
			"slowOften": func(p *replica) bool { return p.slow+1 >= slowCalls },
		},
		Actions: map[string]func(*replica){
			"countSlow": func(p *replica) { p.slow++ },
			"lengthen":  func(p *replica) { p.slow = 0; p.pause = min(max(firstPause, 2*p.pause), longestPause) },
			"forgive":   func(p *replica) { p.slow, p.pause = 0, 0 },
		},
		Delays: map[string]func(*replica) time.Duration{
			"pause": func(p *replica) time.Duration { return max(firstPause, p.pause) },
		},
	})
}

// usable reports whether the replica may get a request now. A trial is one
// request at a time.
func (p *replica) usable(now time.Time) bool {
	p.life.Tick(now)
	if !p.life.In("eligible") || p.life.In("avoided") {
		return false
	}
	return !p.life.In("trial") || len(p.pending) == 0
}

// wait estimates the time in seconds until new work of the cost is done: what
// the replica reported, discounted by age, plus what this entry sent since.
func (p *replica) wait(now time.Time, class ident.PriorityClass, cost int64, defaultRate float64) float64 {
	rate := p.report.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	age := max(0, now.Sub(p.reported))
	trust := math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
	backlog := trust * float64(p.ahead(class))
	busy := trust * float64(p.report.Running)
	for _, w := range p.pending {
		if w.at.After(p.reported) {
			backlog += float64(w.cost)
			busy++
		}
	}
	if p.report.Slots > 0 && busy < float64(p.report.Slots) {
		// With a free slot only the sharing with the running requests counts.
		backlog *= busy / float64(p.report.Slots)
	}
	seconds := (backlog + float64(cost)) / rate
	switch {
	case p.life.In("reduced"):
		seconds *= reducedFactor
	case p.life.In("trial"):
		// A replica on trial must win sometimes, or it would never come back.
		seconds = 0
	}
	if p.report.Impaired {
		seconds *= impairedFactor
	}
	return seconds
}

// ahead is the reported queue that is at least as urgent as the class.
func (p *replica) ahead(class ident.PriorityClass) int64 {
	var sum int64
	for n, c := range ident.PriorityClasses() {
		sum += p.report.QueuedCost[n]
		if c == class {
			break
		}
	}
	return sum
}

// credit reports whether the replica's sidecar lets this entry send the cost.
// Work larger than the whole window may go when nothing else was sent.
func (p *replica) credit(class ident.PriorityClass, cost int64) bool {
	if !p.report.Credits {
		return true
	}
	n := classIndex(class)
	return p.spent[n] == 0 && p.report.Window[n] > 0 || p.spent[n]+cost <= p.report.Window[n]
}

func (p *replica) observeFirstToken(after time.Duration) {
	if p.firstToken == 0 {
		p.firstToken = after.Seconds()
		return
	}
	p.firstToken += firstTokenGain * (after.Seconds() - p.firstToken)
}

// member returns the server of the replica that takes the request: for a group
// the first rank with a link.
func (p *replica) member() (ident.ServerID, bool) {
	for _, s := range p.members {
		if !p.down[s.ID] {
			return s.ID, true
		}
	}
	return "", false
}

func classIndex(class ident.PriorityClass) int {
	for n, c := range ident.PriorityClasses() {
		if c == class {
			return n
		}
	}
	return len(ident.PriorityClasses()) - 1
}
