package intake

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// startBuckets times startBucket is the window in which the requests sent to a server
	// are counted.
	startBuckets = 16
	startBucket  = 250 * time.Millisecond
	startWindow  = startBuckets * startBucket
	// withdrawalTTL is how long other entries are told that a server no longer announces
	// a rate.
	withdrawalTTL = 10 * time.Second
	// peerRateLag is how much older than it seems the announcement may be that another
	// entry passes on: the age is stated when it is sent.
	peerRateLag = 300 * time.Millisecond
	// minRate, in requests a second, is used for lower rates. Without any request an entry
	// would never learn that a server takes more again.
	minRate = 0.1
	// quotaInterval is how often an entry draws how many requests it may send to a server
	// with a rate. The reports of the other entries are up to about 0.35 s old.
	quotaInterval = 500 * time.Millisecond
	// budgetRatio is the ratio of the requests that the rate allows in startWindow up to
	// which quotas are given. Since quotas shrink with what is left, the entries together
	// stay below it: at 0.98 of the rate if they always have requests.
	budgetRatio = 1.1
	// maxBurstRatio bounds the quotas of all entries in one interval, as a ratio of the
	// requests that the rate allows in it.
	maxBurstRatio = 2.0
	// surgeEntries is how many entries may use the whole of what is left in one interval, if
	// requests come to all of them at once after a time without demand.
	surgeEntries = 4
)

// startCounter counts the requests that were sent to a server within startWindow.
type startCounter struct {
	buckets [startBuckets]int
	// latest is the number of the latest bucket, in startBuckets since the zero time.
	latest int64
}

func (c *startCounter) advance(now time.Time) {
	current := now.UnixNano() / int64(startBucket)
	for n := max(c.latest+1, current-startBuckets+1); n <= current; n++ {
		c.buckets[n%startBuckets] = 0
	}
	c.latest = max(c.latest, current)
}

func (c *startCounter) add(now time.Time) {
	c.advance(now)
	c.buckets[c.latest%startBuckets]++
}

func (c *startCounter) count(now time.Time) int {
	c.advance(now)
	sum := 0
	for _, n := range c.buckets {
		sum += n
	}
	return sum
}

// announcedRate is the rate that a server announces, and what this entry has used of it.
type announcedRate struct {
	lifecycle *chart.Lifecycle[*announcedRate]
	// perSecond is the number of requests a second that the server takes from all entries.
	perSecond float64
	// answeredAt is when the answer arrived from which the rate is known, or that announced
	// none. firstHand reports whether it was an answer to this entry.
	answeredAt time.Time
	firstHand  bool
	starts     startCounter
	// quota is the number of requests that this entry may still send before the next draw.
	quota   int
	drawnAt time.Time
	// startsElsewhere is the number of requests that the other entries have sent within
	// startWindow.
	startsElsewhere int
}

// announce records an answer that announces the rate, or none.
func (r *announcedRate) announce(now, answeredAt time.Time, perSecond float64, announced, firstHand bool) (changed bool) {
	before := r.lifecycle.State()
	r.answeredAt, r.firstHand = answeredAt, firstHand
	if !announced {
		r.lifecycle.Fire(now, "withdrawn")
		return before != r.lifecycle.State()
	}
	changed = r.perSecond != perSecond
	r.perSecond = perSecond
	r.lifecycle.Fire(now, "announced")
	return changed || before != r.lifecycle.State()
}

// left returns how many requests all entries together may send in the next interval.
func (r *announcedRate) left(now time.Time) float64 {
	rate := max(r.perSecond, minRate)
	sent := float64(r.starts.count(now) + r.startsElsewhere)
	burst := max(maxBurstRatio*rate*quotaInterval.Seconds(), 1)
	return max(min(budgetRatio*rate*startWindow.Seconds()-sent, burst), 0)
}

// drawDue reports whether this entry must draw its quota before it sends a request.
func (r *announcedRate) drawDue(now time.Time) bool {
	return r.lifecycle.In("limited") && now.Sub(r.drawnAt) >= quotaInterval
}

// draw sets the quota to a part of what is left, rounded at random so that the quotas of
// many entries add up to it on average.
func (r *announcedRate) draw(now time.Time, part, random float64) {
	r.quota, r.drawnAt = int(r.left(now)*part+random), now
}

// allows reports whether this entry may send a request to the server.
func (r *announcedRate) allows() bool { return !r.lifecycle.In("limited") || r.quota > 0 }

// started counts a request that is sent to the server.
func (r *announcedRate) started(now time.Time) {
	r.starts.add(now)
	r.quota--
}

// RateReport is what entries tell each other of the rate that a server announces.
type RateReport struct {
	// Started is the number of requests that the entry has sent to the server within the
	// last four seconds.
	Started int
	// PerSecond is the rate; Announced is false if the server announces none any more.
	PerSecond float64
	Announced bool
	// AnsweredAt is the time of the server's answer. FirstHand reports whether the entry
	// has received it itself.
	AnsweredAt time.Time
	FirstHand  bool
}

// Rates returns what this entry tells the others of announced rates, by server.
func (s *Service) Rates(now time.Time) map[ident.ServerID]RateReport {
	reports := make(map[ident.ServerID]RateReport)
	for _, b := range s.order {
		r := &b.rate
		limited := r.lifecycle.In("limited")
		if !limited && (!r.firstHand || now.Sub(r.answeredAt) > withdrawalTTL) {
			continue
		}
		reports[b.ID] = RateReport{
			Started: r.starts.count(now), PerSecond: r.perSecond, Announced: limited, AnsweredAt: r.answeredAt, FirstHand: r.firstHand,
		}
	}
	return reports
}

// ObserveRate records an answer of a server that announces a rate, or none. It reports
// whether what is known of the server has changed.
func (s *Service) ObserveRate(now, answeredAt time.Time, id ident.ServerID, perSecond float64, announced bool) bool {
	b := s.servers[id]
	if b == nil || answeredAt.Before(b.rate.answeredAt) || !announced && !b.rate.lifecycle.In("limited") {
		return false
	}
	return b.rate.announce(now, answeredAt, perSecond, announced, true)
}

// observePeerRates records what another entry reports of announced rates. Only what it has
// received itself counts, so that no entry passes on for ever what another one said.
func (s *Service) observePeerRates(now time.Time, rates map[ident.ServerID]RateReport) {
	for id, report := range rates {
		b := s.servers[id]
		if b == nil || !report.FirstHand || !report.AnsweredAt.After(b.rate.answeredAt.Add(peerRateLag)) {
			continue
		}
		if report.Announced || b.rate.lifecycle.In("limited") {
			b.rate.announce(now, report.AnsweredAt, report.PerSecond, report.Announced, false)
		}
	}
}

// withinRate returns the servers to which this entry may send a request now.
func (s *Service) withinRate(now time.Time, candidates []*server) []*server {
	if !slices.ContainsFunc(candidates, func(b *server) bool { return b.rate.lifecycle.In("limited") }) {
		return candidates
	}
	var allowed []*server
	for _, b := range candidates {
		if b.rate.drawDue(now) {
			b.rate.draw(now, s.quotaPart(now), s.random.Float64())
		}
		if b.rate.allows() {
			allowed = append(allowed, b)
		}
	}
	return allowed
}

// quotaPart returns the part of what is left of a rate that this entry may use: its share of
// the demand, or more if few requests are expected in an interval, since then most entries
// have none.
func (s *Service) quotaPart(now time.Time) float64 {
	demand := s.demand.rate(now)
	for _, p := range s.peers {
		demand += p.Demand
	}
	expected := max(demand*quotaInterval.Seconds(), float64(len(s.peers)+1)/surgeEntries, 1)
	return max(s.share(now), 1/expected)
}
