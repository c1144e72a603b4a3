package clientload_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// fixture steps a limiter in virtual time.
type fixture struct {
	limiter *clientload.Limiter
	now     time.Time
	claims  clientload.ClaimID
	// granted, denied and closed are what the limiter has decided so far.
	granted map[clientload.ClaimID]bool
	denied  map[clientload.ClaimID]clientload.Deny
	closed  []clientload.ConnectionID
}

func newFixture(connections int, memory int64) *fixture {
	return &fixture{
		limiter: clientload.New(clientload.Config{Connections: connections, Memory: memory, HeadBytes: 32 * kilobyte, BodyBytes: 4 * megabyte}),
		now:     start, granted: make(map[clientload.ClaimID]bool), denied: make(map[clientload.ClaimID]clientload.Deny),
	}
}

func (f *fixture) step(messages ...clientload.Message) {
	for _, m := range messages {
		for _, a := range f.limiter.Step(f.now, m) {
			switch a := a.(type) {
			case clientload.Grant:
				f.granted[a.Claim] = true
			case clientload.Deny:
				f.denied[a.Claim] = a
			case clientload.Close:
				f.closed = append(f.closed, a.Connection)
			}
		}
	}
}

// pass lets time pass in ticks.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(clientload.TickInterval)
		f.step(clientload.Tick{})
	}
}

// upload opens a connection and claims memory for a body.
func (f *fixture) upload(id clientload.ConnectionID, bytes int64) clientload.ClaimID {
	f.step(clientload.Opened{Connection: id}, clientload.HeadReceived{Connection: id})
	return f.claim(id, bytes, clientload.ForBody)
}

func (f *fixture) claim(id clientload.ConnectionID, bytes int64, use clientload.Use) clientload.ClaimID {
	f.claims++
	f.step(clientload.Claim{ID: f.claims, Connection: id, Bytes: bytes, Use: use})
	return f.claims
}

// Guards against connections without a request that take the place of ordinary clients.
func TestOldestSilentConnectionGivesWay(t *testing.T) {
	f := newFixture(3, megabyte)
	f.step(clientload.Opened{Connection: 1}, clientload.HeadReceived{Connection: 1, Whole: true}, clientload.RequestEnded{Connection: 1})
	for id := clientload.ConnectionID(2); id <= 5; id++ {
		f.now = f.now.Add(time.Millisecond)
		f.step(clientload.Opened{Connection: id})
	}
	must.Eq(t, []clientload.ConnectionID{2, 3}, f.closed)
}

// Guards against an entry that takes no new client because all others keep idle connections.
func TestLongestIdleConnectionGivesWay(t *testing.T) {
	f := newFixture(2, megabyte)
	for id := clientload.ConnectionID(1); id <= 2; id++ {
		f.step(clientload.Opened{Connection: id}, clientload.HeadReceived{Connection: id, Whole: true})
	}
	f.step(clientload.RequestEnded{Connection: 2})
	f.now = f.now.Add(time.Second)
	f.step(clientload.RequestEnded{Connection: 1}, clientload.Opened{Connection: 3})
	must.Eq(t, []clientload.ConnectionID{2}, f.closed)
}

// Guards against a request that is cut off while it runs because another client connects.
func TestRunningRequestsDoNotGiveWay(t *testing.T) {
	f := newFixture(1, megabyte)
	f.step(clientload.Opened{Connection: 1}, clientload.HeadReceived{Connection: 1, Whole: true})
	f.now = f.now.Add(time.Minute)
	f.step(clientload.Opened{Connection: 2})
	must.Eq(t, []clientload.ConnectionID{2}, f.closed)
}

// Guards against bodies that stop and keep the memory from the next client.
func TestStalledBodyGivesWayToTheNextClaim(t *testing.T) {
	f := newFixture(10, 4*megabyte)
	must.True(t, f.granted[f.upload(1, 1500*kilobyte)])
	f.now = f.now.Add(100 * time.Millisecond)
	must.True(t, f.granted[f.upload(2, 1500*kilobyte)])
	next := f.upload(3, 1500*kilobyte)
	for range 20 {
		f.step(clientload.Progressed{Connection: 2})
		f.pass(50 * time.Millisecond)
		if len(f.closed) > 0 {
			break
		}
	}
	must.Eq(t, []clientload.ConnectionID{1}, f.closed)
	must.False(t, f.granted[next])
	f.step(clientload.Closed{Connection: 1})
	must.True(t, f.granted[next])
}

// Guards against heads that stop short of their end and keep the memory from the next client.
func TestUnfinishedHeadGivesWayToTheNextClaim(t *testing.T) {
	f := newFixture(10, megabyte)
	for id := clientload.ConnectionID(1); id <= 4; id++ {
		f.step(clientload.Opened{Connection: id})
		must.True(t, f.granted[f.claim(id, 250*kilobyte, clientload.ForHead)])
		f.now = f.now.Add(10 * time.Millisecond)
	}
	next := f.upload(5, 100*kilobyte)
	f.pass(700 * time.Millisecond)
	must.Eq(t, []clientload.ConnectionID{1}, f.closed)
	f.step(clientload.Closed{Connection: 1})
	must.True(t, f.granted[next])
}

// Guards against an answer that its client does not read and that keeps the memory, and
// against cutting off one whose backend server is slow.
func TestUnreadAnswerGivesWay(t *testing.T) {
	f := newFixture(10, 4*megabyte)
	for id := clientload.ConnectionID(1); id <= 2; id++ {
		f.step(clientload.Opened{Connection: id}, clientload.HeadReceived{Connection: id, Whole: true})
		must.True(t, f.granted[f.claim(id, 2*megabyte, clientload.ForAnswer)])
		f.step(clientload.WriteBegan{Connection: id})
	}
	f.step(clientload.WriteEnded{Connection: 1})
	f.step(clientload.Opened{Connection: 3}, clientload.HeadReceived{Connection: 3, Whole: true})
	f.claim(3, megabyte, clientload.ForAnswer)
	f.pass(time.Second)
	must.Eq(t, []clientload.ConnectionID{2}, f.closed)
}

// Guards against small requests that wait behind large ones.
func TestSmallClaimsDoNotWaitBehindLargeOnes(t *testing.T) {
	f := newFixture(10, 4*megabyte)
	must.True(t, f.granted[f.upload(1, 3*megabyte)])
	large := f.upload(2, megabyte)
	must.False(t, f.granted[large])
	must.True(t, f.granted[f.upload(3, 100*kilobyte)])
	f.step(clientload.Closed{Connection: 1})
	must.True(t, f.granted[large])
}

// Guards against requests that wait for memory that they can never get, and against waits
// past the time after which clients abandon a request.
func TestClaimsAreDeniedInTime(t *testing.T) {
	f := newFixture(10, 4*megabyte)
	must.True(t, f.denied[f.upload(1, 5*megabyte)].Never)
	f.step(clientload.Opened{Connection: 2}, clientload.HeadReceived{Connection: 2})
	f.claims++
	f.step(clientload.Claim{ID: f.claims, Connection: 2, Bytes: 20 * kilobyte, Use: clientload.ForHead, Size: 33 * kilobyte})
	must.True(t, f.denied[f.claims].Never)
	f.step(clientload.SetLimits{HeadBytes: 64 * kilobyte, BodyBytes: 4 * megabyte})
	f.claims++
	f.step(clientload.Claim{ID: f.claims, Connection: 2, Bytes: 20 * kilobyte, Use: clientload.ForHead, Size: 33 * kilobyte})
	must.True(t, f.granted[f.claims])
	f.step(clientload.RequestReceived{Connection: 2})
	must.True(t, f.granted[f.upload(3, 2900*kilobyte)])
	f.step(clientload.RequestReceived{Connection: 3})
	late := f.upload(4, 2*megabyte)
	f.pass(900 * time.Millisecond)
	denial, denied := f.denied[late]
	must.True(t, denied)
	must.False(t, denial.Never)
	must.SliceEmpty(t, f.closed)
}

// Guards against memory that is granted beyond the limit or never given back, and against
// claims without an answer or with two, in random runs. The limiter checks the limit itself.
func TestRandomClients(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(rapid.IntRange(1, 6).Draw(r, "connections"), 4*megabyte)
		open := make(map[clientload.ConnectionID]bool)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			id := clientload.ConnectionID(rapid.IntRange(1, 10).Draw(r, "connection"))
			if !open[id] {
				open[id] = true
				f.step(clientload.Opened{Connection: id})
			}
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				f.step(clientload.HeadReceived{Connection: id, Whole: rapid.Bool().Draw(r, "whole")})
			case 1:
				f.step(clientload.RequestReceived{Connection: id})
			case 2:
				f.step(clientload.WriteBegan{Connection: id})
			case 3:
				f.step(clientload.WriteEnded{Connection: id})
			case 4:
				f.step(clientload.Progressed{Connection: id})
			case 5:
				f.step(clientload.RequestEnded{Connection: id})
			case 6:
				f.step(clientload.Closed{Connection: id})
				delete(open, id)
			case 7:
				f.pass(time.Duration(rapid.IntRange(1, 40).Draw(r, "ticks")) * clientload.TickInterval)
			default:
				use := clientload.Use(rapid.IntRange(0, 3).Draw(r, "use"))
				f.claim(id, int64(rapid.IntRange(1, 3*megabyte).Draw(r, "bytes")), use)
			}
			// Evicted connections close sooner or later.
			if len(f.closed) > 0 && rapid.Bool().Draw(r, "close") {
				f.step(clientload.Closed{Connection: f.closed[0]})
				delete(open, f.closed[0])
				f.closed = f.closed[1:]
			}
		}
		for id := range open {
			f.step(clientload.Closed{Connection: id})
		}
		memory, connections := f.limiter.Used()
		must.Eq(r, 0, memory)
		must.Eq(r, 0, connections)
		must.False(r, f.limiter.Waiting())
		must.Eq(r, int(f.claims), len(f.granted)+len(f.denied))
	})
}
