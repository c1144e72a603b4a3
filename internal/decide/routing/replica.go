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
	// reportHalfLife is the age at which a load report counts half: requests come and
	// go within seconds, so an old report says little about the present.
	reportHalfLife = 2 * time.Second
	// minPause is how long a failing replica first gets no work. Each further failure
	// doubles the pause.
	minPause = 2 * time.Second
	// maxPause bounds how long a failing replica gets no work.
	maxPause = 60 * time.Second
	// slowFactor is the ratio of a replica's first-output time to the mean of the
	// others above which it is slow. The times are smoothed, so that single calls do
	// not count.
	slowFactor = 3.0
	// maxSlowCalls is the number of slow calls in the reduced state after which a
	// replica gets no work.
	maxSlowCalls = 5
	// fullBatchDelay is how much longer a first output takes with all slots in use than
	// with none, without any queue.
	fullBatchDelay = 100 * time.Millisecond
	// peakDecay multiplies a replica's best rate at each report. It is close to 1
	// because a lightly loaded replica reports a lower rate than it could reach.
	peakDecay = 0.999
	// firstOutputGain is the weight of one call in the smoothed first-output time.
	firstOutputGain = 0.2
	// reducedFactor multiplies the estimated wait of a replica in the reduced state.
	reducedFactor = 4.0
	// impairedFactor multiplies the estimated wait of a slow or re-forming group.
	impairedFactor = 4.0
)

// runningRequest is a request of this entry that runs at a replica.
type runningRequest struct {
	server ident.ServerID
	cost   int64
	// sentAt tells requests that a report already includes from later ones.
	sentAt time.Time
	class  ident.PriorityClass
	// prefillTokens is the length of the prompt in tokens, and zero after the first
	// token.
	prefillTokens int64
}

// creditUse is the cost sent against the credit of one class.
type creditUse struct {
	total    int64
	accounts map[ident.ClientAccount]int64
}

func (s *creditUse) add(account ident.ClientAccount, cost int64) {
	if s.accounts == nil {
		s.accounts = make(map[ident.ClientAccount]int64)
	}
	s.total += cost
	s.accounts[account] += cost
}

// accountShare returns what an account may send even if others have used up the
// credit: its equal share of the window.
func (s *creditUse) accountShare(window int64, account ident.ClientAccount) int64 {
	n := len(s.accounts)
	if _, counted := s.accounts[account]; !counted {
		n++
	}
	return window / int64(n)
}

// replica is a single server or a group, as this entry sees it.
type replica struct {
	name      string
	members   []Server
	lifecycle *chart.Lifecycle[*replica]
	pause     time.Duration
	// slow counts the slow calls in the reduced state.
	slow int
	// pending are this entry's running requests.
	pending map[ident.RequestID]runningRequest
	// reports holds the last report of each member.
	reports map[ident.ServerID]Report
	// report is the sum of the members' reports.
	report Report
	// peakRate is the decaying maximum of the reported rates, in cost per second.
	peakRate float64
	// ownReported is how many of this entry's requests the report includes.
	ownReported int
	// sentSince is the cost of this entry's requests that the report does not include.
	sentSince int64
	// prefillTokens are the prompt tokens of this entry's requests without a first
	// token.
	prefillTokens int64
	// reportedAt is the time whose state the report describes.
	reportedAt time.Time
	// firstOutputTime is the smoothed first-output time in seconds.
	firstOutputTime float64
	// spent is the cost sent, by class, since the report gave the credit.
	spent [3]creditUse
	// linkDown marks the members without a link to this entry.
	linkDown map[ident.ServerID]bool
	// runningAt counts this entry's running requests by member.
	runningAt map[ident.ServerID]int
}

func replicaMachine() *chart.Machine[*replica] {
	return chart.MustBind(charts.Must("replica"), chart.Binding[*replica]{
		Guards: map[string]func(*replica) bool{
			"slowCallLimitReached": func(p *replica) bool { return p.slow+1 >= maxSlowCalls },
		},
		Actions: map[string]func(*replica){
			"countSlowCall": func(p *replica) { p.slow++ },
			"lengthenPause": func(p *replica) { p.slow = 0; p.pause = min(max(minPause, 2*p.pause), maxPause) },
			"resetFailures": func(p *replica) { p.slow, p.pause = 0, 0 },
		},
		Delays: map[string]func(*replica) time.Duration{
			"pause": func(p *replica) time.Duration { return max(minPause, p.pause) },
		},
	})
}

// usable reports whether the replica may get a request now. On trial it gets one
// request at a time.
func (p *replica) usable(now time.Time) bool {
	p.lifecycle.Tick(now)
	if !p.lifecycle.In("eligible") || p.lifecycle.In("avoided") {
		return false
	}
	return !p.lifecycle.In("trial") || len(p.pending) == 0
}

// wait estimates the time in seconds until new work starts, from the last report,
// discounted by its age, and from this entry's own requests. In place of the
// requests that the report attributes to this entry, it uses the exact number.
func (p *replica) wait(now time.Time, class ident.PriorityClass, minRate float64) float64 {
	weight := p.reportWeight(now)
	others := max(0, float64(p.report.Running-p.ownReported)) * weight
	busy := others + float64(len(p.pending))
	share := 1.0
	if p.report.Slots > 0 {
		share = min(1, busy/float64(p.report.Slots))
	}
	seconds := fullBatchDelay.Seconds() * share
	if share == 1 {
		// New work waits for earlier work only when all slots are in use.
		seconds += (weight*float64(p.queuedAhead(class)) + float64(p.sentSince)) / max(p.peakRate, minRate)
	}
	switch {
	case p.lifecycle.In("reduced"):
		seconds = reducedFactor * (seconds + fullBatchDelay.Seconds())
	case p.lifecycle.In("trial"):
		// A replica on trial must get a request to recover.
		seconds = 0
	}
	if p.report.Impaired {
		seconds = impairedFactor * (seconds + fullBatchDelay.Seconds())
	}
	return seconds
}

// reportWeight returns the weight of the last report by its age, from 0 to 1.
func (p *replica) reportWeight(now time.Time) float64 {
	age := max(0, now.Sub(p.reportedAt))
	return math.Exp2(-age.Seconds() / reportHalfLife.Seconds())
}

// queuedAhead returns the reported queued cost that is at least as urgent as the
// class.
func (p *replica) queuedAhead(class ident.PriorityClass) int64 {
	var sum int64
	for n, c := range ident.PriorityClasses() {
		sum += p.report.QueuedCost[n]
		if c == class {
			break
		}
	}
	return sum
}

// hasCredit reports whether the replica's credit lets this entry send the request.
// An account that has not used its share of the credit may send although others
// have used up all of it: the sidecar's fair queue serves it first. One request of
// each account may always be sent, however large it is.
func (p *replica) hasCredit(q Request) bool {
	if !p.report.UsesCredit {
		return true
	}
	n := classIndex(q.Class)
	s, window := &p.spent[n], p.report.Window[n]
	if s.total == 0 && window > 0 || s.total+q.Cost <= window {
		return true
	}
	spent := s.accounts[q.Account]
	return spent == 0 || spent+q.Cost <= s.accountShare(window, q.Account)
}

func (p *replica) observeFirstOutput(after time.Duration) {
	if p.firstOutputTime == 0 {
		p.firstOutputTime = after.Seconds()
		return
	}
	p.firstOutputTime += firstOutputGain * (after.Seconds() - p.firstOutputTime)
}

// member returns the server of the replica that gets the request: the linked one
// with the fewest requests of this entry, without those that the request has tried.
func (p *replica) member(tried []ident.ServerID) (ident.ServerID, bool) {
	var best ident.ServerID
	for _, s := range p.members {
		if !p.linkDown[s.ID] && !slices.Contains(tried, s.ID) && (best == "" || p.runningAt[s.ID] < p.runningAt[best]) {
			best = s.ID
		}
	}
	return best, best != ""
}

// sumReports adds up the reports of the members. A group is impaired if any rank is,
// since its ranks run in lock-step.
func (p *replica) sumReports() Report {
	var sum Report
	for _, s := range p.members {
		r, known := p.reports[s.ID]
		if !known {
			continue
		}
		sum.Running += r.Running
		sum.Slots += r.Slots
		sum.Rate += r.Rate
		sum.UsesCredit = sum.UsesCredit || r.UsesCredit
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
