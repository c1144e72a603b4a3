package intake

import (
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

// announcedRate is the rate that a server announces, and the requests that it got.
type announcedRate struct {
	lifecycle *chart.Lifecycle[*announcedRate]
	// perSecond is the number of requests a second that the server takes from all entries.
	perSecond float64
	// answeredAt is when the answer arrived from which the rate is known, or that announced
	// none. firstHand reports whether it was an answer to this entry.
	answeredAt time.Time
	firstHand  bool
	starts     startCounter
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

// started counts a request that is sent to the server.
func (r *announcedRate) started(now time.Time) {
	r.starts.add(now)
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
