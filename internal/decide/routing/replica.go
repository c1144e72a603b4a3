package routing

import (
	"math"
	"slices"
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
	// crowding is how much longer a first token takes with all slots in use than
	// with none, without any queue.
	crowding = 100 * time.Millisecond
	// peakDecay forgets a replica's best rate slowly, report by report. A lightly
	// loaded replica reports a low rate although it could do more.
	peakDecay = 0.999
	// firstTokenGain is the weight of one call in the smoothed first-token time.
	firstTokenGain = 0.2
	// reducedFactor multiplies the estimated wait of a replica that gets less.
	reducedFactor = 4.0
	// impairedFactor does the same for a slow or re-forming group.
	impairedFactor = 4.0
)

// started is a request of this entry that runs at a replica.
type started struct {
	server ident.ServerID
	cost   int64
	// at tells requests that a report already contains from later ones.
	at    time.Time
	class ident.PriorityClass
	// prompt is the length of the prompt until the first token has come.
	prompt int64
}

// spending is the use of the credit of one class.
type spending struct {
	total    int64
	accounts map[ident.ClientAccount]int64
}

func (s *spending) add(account ident.ClientAccount, cost int64) {
	if s.accounts == nil {
		s.accounts = make(map[ident.ClientAccount]int64)
	}
	s.total += cost
	s.accounts[account] += cost
}

// part is what each account may send even if others have used up the credit.
func (s *spending) part(window int64, account ident.ClientAccount) int64 {
	n := len(s.accounts)
	if _, counted := s.accounts[account]; !counted {
		n++
	}
	return window / int64(n)
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
	// reports are the last ones of each member, and report is their sum.
	reports map[ident.ServerID]Report
	report  Report
	// peak is the best rate that the replica reported lately.
	peak float64
	// ownRunning is how many requests of this entry the report contains, and
	// sentSince the cost that it does not contain.
	ownRunning int
	sentSince  int64
	// prompts are the prompt tokens of this entry's requests that have no first
	// token yet.
	prompts int64
	// reported is when the state in the report was true.
	reported time.Time
	// firstToken is the smoothed first-token time in seconds.
	firstToken float64
	// spent is the cost sent since the credit in the report was given.
	spent [3]spending
	down  map[ident.ServerID]bool
	// at counts this entry's running requests by member.
	at map[ident.ServerID]int
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

// wait estimates the time in seconds until new work starts: what the replica
// reported, discounted by age, plus what this entry has there itself. The
// entry's own part of the report is replaced by what it knows exactly.
func (p *replica) wait(now time.Time, class ident.PriorityClass, defaultRate float64) float64 {
	trust := p.trust(now)
	foreign := max(0, float64(p.report.Running-p.ownRunning)) * trust
	busy := foreign + float64(len(p.pending))
	share := 1.0
	if p.report.Slots > 0 {
		share = min(1, busy/float64(p.report.Slots))
	}
	seconds := crowding.Seconds() * share
	if share == 1 {
		// Only with all slots in use must new work wait for earlier work.
		seconds += (trust*float64(p.ahead(class)) + float64(p.sentSince)) / max(p.peak, defaultRate)
	}
	switch {
	case p.life.In("reduced"):
		seconds = reducedFactor * (seconds + crowding.Seconds())
	case p.life.In("trial"):
		// A replica on trial must win sometimes, or it would never come back.
		seconds = 0
	}
	if p.report.Impaired {
		seconds = impairedFactor * (seconds + crowding.Seconds())
	}
	return seconds
}

// trust is the weight of the last report.
func (p *replica) trust(now time.Time) float64 {
	age := max(0, now.Sub(p.reported))
	return math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
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

// credit reports whether the replica's sidecar lets this entry send the request.
// An account that has not used its part of the credit may send although others
// have used up the whole: the sidecar's queue puts it first. One request of
// each account may go in any case, however large it is.
func (p *replica) credit(q Request) bool {
	if !p.report.Credits {
		return true
	}
	n := classIndex(q.Class)
	s, window := &p.spent[n], p.report.Window[n]
	if s.total == 0 && window > 0 || s.total+q.Cost <= window {
		return true
	}
	spent := s.accounts[q.Account]
	return spent == 0 || spent+q.Cost <= s.part(window, q.Account)
}

func (p *replica) observeFirstToken(after time.Duration) {
	if p.firstToken == 0 {
		p.firstToken = after.Seconds()
		return
	}
	p.firstToken += firstTokenGain * (after.Seconds() - p.firstToken)
}

// member returns the server of the replica that takes the request: for a group
// the linked rank with the fewest requests of this entry, without those that
// the request has tried.
func (p *replica) member(tried []ident.ServerID) (ident.ServerID, bool) {
	var best ident.ServerID
	for _, s := range p.members {
		if !p.down[s.ID] && !slices.Contains(tried, s.ID) && (best == "" || p.at[s.ID] < p.at[best]) {
			best = s.ID
		}
	}
	return best, best != ""
}

// sum adds up the reports of the members. A group is impaired if any rank is,
// since its ranks run in lock-step.
func (p *replica) sum() Report {
	var sum Report
	for _, s := range p.members {
		r, known := p.reports[s.ID]
		if !known {
			continue
		}
		sum.Running += r.Running
		sum.Slots += r.Slots
		sum.Rate += r.Rate
		sum.Credits = sum.Credits || r.Credits
		sum.Impaired = sum.Impaired || r.Impaired
		for n := range sum.Window {
			sum.Window[n] += r.Window[n]
			sum.QueuedCost[n] += r.QueuedCost[n]
		}
	}
	return sum
}

func classIndex(class ident.PriorityClass) int {
	for n, c := range ident.PriorityClasses() {
		if c == class {
			return n
		}
	}
	return len(ident.PriorityClasses()) - 1
}
