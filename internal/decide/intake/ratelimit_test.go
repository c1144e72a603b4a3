package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// reportEvery is the interval of the entries' reports, reportDelay how late they take
	// effect.
	reportEvery = 150 * time.Millisecond
	reportDelay = 200 * time.Millisecond
	// rateWindow is the time in which requests are counted, rateTolerance and rateSlack
	// how far they may exceed the announced rate in it.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// fleet simulates entries before two servers of a plain service, of which one announces a
// rate, in virtual time.
type fleet struct {
	random  *rand.Rand
	entries []*intake.Service
	// inbox holds the reports that entries have sent and not received yet.
	inbox []delayedReport
	now   time.Time
	// sent holds when the limited server got requests, unsent counts the requests for
	// which there was no server.
	sent         []time.Time
	other        int
	unsent       int
	perSecond    float64
	announcing   bool
	withoutOther bool
	// patience is how long a request waits for a server, waiting the requests that do.
	patience time.Duration
	waiting  []waitingRequest
}

type waitingRequest struct {
	entry int
	since time.Time
}

type delayedReport struct {
	due    time.Time
	from   int
	report intake.PeerReport
}

func newFleet(entries int, perSecond float64, withoutOther bool) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, uint64(entries))), now: start, perSecond: perSecond, announcing: true, withoutOther: withoutOther}
	for range entries {
		f.entries = append(f.entries, f.newEntry())
	}
	return f
}

func (f *fleet) newEntry() *intake.Service {
	s := intake.New(intake.Config{Domain: "z"}, f.random)
	list := []registry.Server{{ID: "limited", Domain: "z", Slots: 50}}
	if !f.withoutOther {
		list = append(list, registry.Server{ID: "other", Domain: "z", Slots: 50})
	}
	s.SetServers(f.now, list)
	return s
}

// run sends requests to random entries for a time, with one tick a millisecond.
func (f *fleet) run(length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.exchangeReports()
		if f.now.Sub(start)%(20*time.Millisecond) == 0 {
			f.retryWaiting()
		}
		for f.random.Float64() < perSecond/1000/(1+perSecond/1000) {
			entry := f.random.IntN(len(f.entries))
			f.entries[entry].Arrived(f.now)
			if !f.request(entry) {
				f.waiting = append(f.waiting, waitingRequest{entry: entry, since: f.now})
			}
		}
	}
}

func (f *fleet) exchangeReports() {
	if f.now.Sub(start)%reportEvery == 0 {
		for n, s := range f.entries {
			f.inbox = append(f.inbox, delayedReport{due: f.now.Add(reportDelay), from: n, report: intake.PeerReport{
				Running: s.Running(), Demand: s.Demand(f.now), Rates: s.Rates(f.now),
			}})
		}
	}
	for len(f.inbox) > 0 && !f.inbox[0].due.After(f.now) {
		one := f.inbox[0]
		f.inbox = f.inbox[1:]
		for n, s := range f.entries {
			if n != one.from {
				s.UpdatePeer(f.now, ident.InstanceID(fmt.Sprint(one.from)), one.report)
			}
		}
	}
}

// retryWaiting sends the waiting requests for which there is a server, and drops those that
// have waited too long.
func (f *fleet) retryWaiting() {
	var kept []waitingRequest
	for _, w := range f.waiting {
		switch {
		case f.request(w.entry):
		case f.now.Sub(w.since) >= f.patience:
			f.unsent++
		default:
			kept = append(kept, w)
		}
	}
	f.waiting = kept
}

// request sends a request from the entry and reports whether there was a server for it.
func (f *fleet) request(entry int) bool {
	s := f.entries[entry]
	_, admitted := s.Admit(f.now, intake.OnTime, 0)
	server, picked := s.Pick(f.now, nil)
	if !admitted || !picked {
		return false
	}
	s.Started(f.now, server.ID)
	s.Ended(f.now, server.ID, false)
	if server.ID != "limited" {
		f.other++
		return true
	}
	f.sent = append(f.sent, f.now)
	s.ObserveRate(f.now, f.now, "limited", f.perSecond, f.announcing)
	return true
}

// most returns the most requests that the limited server got in a window that begins after
// the time.
func (f *fleet) most(after time.Time) int {
	most, first := 0, 0
	for n, at := range f.sent {
		for f.sent[first].Before(after) && first < n || at.Sub(f.sent[first]) > rateWindow {
			first++
		}
		if !f.sent[first].Before(after) {
			most = max(most, n-first+1)
		}
	}
	return most
}

// Guards against a server that gets more than the rate that it announced, because each
// entry keeps to it alone or all of them use a free place at once; and against a rate that
// is left unused while requests are refused.
func TestEntriesShareAnAnnouncedRate(t *testing.T) {
	for _, entries := range []int{1, 3, 10, 24} {
		for _, perSecond := range []float64{0.5, 2.2, 8, 40} {
			for _, demand := range []float64{10, 60, 300} {
				f := newFleet(entries, perSecond, true)
				f.run(30*time.Second, demand)
				name := fmt.Sprintf("%d entries, rate %v, demand %v", entries, perSecond, demand)
				allowed := perSecond*rateWindow.Seconds()*rateTolerance + rateSlack
				must.LessEq(t, int(allowed), f.most(start.Add(3*time.Second)), must.Sprint(name))
				if demand > 2*perSecond {
					used := float64(len(f.sent)) / 30
					must.GreaterEq(t, 0.7*perSecond, used, must.Sprint(name))
				}
			}
		}
	}
}

// Guards against requests that are refused because one server has used up its rate while
// another one is free.
func TestOtherServersTakeWhatTheRateLeaves(t *testing.T) {
	f := newFleet(10, 2, false)
	f.run(20*time.Second, 30)
	must.Zero(t, f.unsent)
	must.Greater(t, 10*len(f.sent), 20*f.other)
}

// Guards against a rate that stays in force after the server stopped announcing it.
func TestWithdrawnRateIsForgottenByAllEntries(t *testing.T) {
	f := newFleet(10, 2, true)
	f.run(10*time.Second, 60)
	f.announcing = false
	f.run(3*time.Second, 60)
	before := len(f.sent)
	f.run(5*time.Second, 60)
	must.Greater(t, 250, len(f.sent)-before)
}

// Guards against a server that takes no requests for a while and gets none ever after, so
// that no entry learns that it takes some again.
func TestRateOfZeroIsTriedNowAndThen(t *testing.T) {
	f := newFleet(10, 0, true)
	f.run(60*time.Second, 30)
	must.LessEq(t, rateSlack, f.most(start.Add(3*time.Second)))
	f.announcing = false
	f.run(20*time.Second, 30)
	must.Greater(t, 300, len(f.sent))
}

// Guards against an entry that starts anew and sends at its own rate until the server has
// told it.
func TestRestartedEntryLearnsTheRateFromOthers(t *testing.T) {
	f := newFleet(10, 2, true)
	f.run(10*time.Second, 60)
	f.entries[0] = f.newEntry()
	f.run(time.Second, 0)
	rates := f.entries[0].Rates(f.now)
	must.True(t, rates["limited"].Announced)
	must.False(t, rates["limited"].FirstHand)
}

// Guards against an older report of another entry that undoes what this one has learned
// from the server since.
func TestOwnAnswerOutlivesOlderReports(t *testing.T) {
	f := newFleet(1, 2, true)
	s := f.entries[0]
	must.True(t, s.ObserveRate(start, start, "limited", 2, true))
	must.True(t, s.ObserveRate(start.Add(time.Second), start.Add(time.Second), "limited", 0, false))
	s.UpdatePeer(start.Add(1200*time.Millisecond), "other", intake.PeerReport{Rates: map[ident.ServerID]intake.RateReport{
		"limited": {PerSecond: 2, Announced: true, AnsweredAt: start.Add(1100 * time.Millisecond), FirstHand: true},
	}})
	must.False(t, s.Rates(start.Add(1200 * time.Millisecond))["limited"].Announced)
}

// Guards against a burst of all entries at once when many requests come after a quiet time.
func TestSurgeAfterAQuietTimeKeepsToTheRate(t *testing.T) {
	for _, entries := range []int{10, 24} {
		for _, perSecond := range []float64{0.5, 2.2, 8} {
			f := newFleet(entries, perSecond, true)
			f.run(4*time.Second, 60)
			f.run(20*time.Second, 0.2)
			f.run(10*time.Second, 400)
			must.LessEq(t, int(perSecond*rateWindow.Seconds()*rateTolerance+rateSlack), f.most(start.Add(3*time.Second)),
				must.Sprintf("%d entries, rate %v", entries, perSecond))
		}
	}
}

// Guards against refusals although the requests of all entries together are well below the
// rate. A refused request is tried again every 20 ms for half a second, as a waiting one is.
func TestRequestsBelowTheRateAreSent(t *testing.T) {
	for _, entries := range []int{1, 10, 24} {
		f := newFleet(entries, 8, true)
		f.run(4*time.Second, 4)
		f.unsent, f.sent = 0, nil
		f.patience = 500 * time.Millisecond
		f.run(30*time.Second, 4)
		must.LessEq(t, len(f.sent)/20, f.unsent, must.Sprintf("%d entries", entries))
	}
}
