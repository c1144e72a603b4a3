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
	"github.com/anvilpoint/anvilpoint/internal/record"
)

const gapTarget = 120 * time.Millisecond

var start = time.Unix(1000, 0)

func engine() *record.EngineProfile {
	return &record.EngineProfile{Slots: 12, Stride: 4, Step: 4550 * time.Microsecond, PerSequence: 905 * time.Microsecond}
}

func newService(e *record.EngineProfile, servers int) *intake.Service {
	s := intake.New(intake.Config{Domain: "z", Engine: e}, rand.New(rand.NewPCG(1, 2)))
	var list []registry.Server
	for n := range servers {
		list = append(list, registry.Server{ID: ident.ServerID(fmt.Sprint(n)), Address: fmt.Sprint("a", n), Domain: "z", Slots: 6})
	}
	s.SetServers(start, list)
	return s
}

// fill admits requests until one is refused, and returns their number.
func fill(s *intake.Service, standing intake.Standing) int {
	for n := 0; ; n++ {
		if _, ok := s.Admit(start, standing, gapTarget); !ok {
			return n
		}
		server, _ := s.Pick(start, nil)
		s.Started(start, server.ID)
	}
}

// Guards against a request limit that ignores how long passes take: slow passes must
// leave fewer requests in the group.
func TestLimitFollowsTheTimeOfAPass(t *testing.T) {
	counts := make(map[time.Duration]int)
	for _, gap := range []time.Duration{45 * time.Millisecond, 110 * time.Millisecond} {
		s := newService(engine(), 16)
		for n := range 80 {
			s.Started(start, ident.ServerID(fmt.Sprint(n%16)))
		}
		for range 200 {
			s.ObserveGap(start, gap)
		}
		for n := range 80 {
			s.Ended(start, ident.ServerID(fmt.Sprint(n%16)), false)
		}
		counts[gap] = fill(s, intake.OnTime)
	}
	t.Logf("requests admitted by gap: %v", counts)
	must.Greater(t, counts[110*time.Millisecond], counts[45*time.Millisecond])
	must.Less(t, 16*12+1, counts[45*time.Millisecond])
}

// Guards against two entries that give away the same slots: with equal demand, each
// fills about half of the limit.
func TestEntriesShareTheLimitByDemand(t *testing.T) {
	alone := fill(newService(engine(), 16), intake.OnTime)
	s := newService(engine(), 16)
	for range 20 {
		s.Arrived(start)
	}
	other := make(map[ident.ServerID]int)
	for n := range 16 {
		other[ident.ServerID(fmt.Sprint(n))] = alone / 16
	}
	s.UpdatePeer(start, "other", intake.PeerReport{Running: other, Demand: s.Demand(start)})
	own := fill(s, intake.OnTime)
	t.Logf("alone %d, beside a full entry %d", alone, own)
	must.Between(t, alone*4/10, own, alone*6/10)
}

// Guards against counts of a stopped entry that hold slots for good.
func TestCountsOfASilentEntryAreForgotten(t *testing.T) {
	s := newService(engine(), 16)
	s.UpdatePeer(start.Add(-2*time.Second), "gone", intake.PeerReport{Running: map[ident.ServerID]int{"0": 500}, Demand: 100})
	state, ok := s.Admit(start, intake.OnTime, gapTarget)
	must.True(t, ok)
	must.Eq(t, 0, state.Running)
}

// Guards against late requests that take the slots of those that can be on time.
func TestLateRequestsLeaveSlots(t *testing.T) {
	must.Less(t, fill(newService(engine(), 16), intake.OnTime), fill(newService(engine(), 16), intake.Late))
}

// Guards against work for a server that is draining, that the request has tried, or
// that has failed while others have not.
func TestPickAvoidsUnfitServers(t *testing.T) {
	s := newService(nil, 3)
	s.Drain(start, "0")
	for range 3 {
		s.Ended(start, "1", true)
	}
	for range 20 {
		server, ok := s.Pick(start, nil)
		must.True(t, ok)
		must.Eq(t, "2", server.ID)
	}
	// A server that failed is better than none, a draining one is not.
	server, ok := s.Pick(start, []ident.ServerID{"2"})
	must.True(t, ok)
	must.Eq(t, "1", server.ID)
	_, ok = s.Pick(start, []ident.ServerID{"1", "2"})
	must.False(t, ok)
}

// Guards against requests that pile up at one server.
func TestPickSpreadsRequests(t *testing.T) {
	s := newService(engine(), 16)
	counts := make(map[ident.ServerID]int)
	for range 160 {
		server, _ := s.Pick(start, nil)
		s.Started(start, server.ID)
		counts[server.ID]++
	}
	for _, n := range counts {
		must.Between(t, 9, n, 11)
	}
}

// Guards against a server that restarts under its ID and inherits the state of the
// earlier process.
func TestRestartedServerIsANewServer(t *testing.T) {
	s := newService(nil, 1)
	s.Drain(start, "0")
	_, ok := s.Pick(start, nil)
	must.False(t, ok)
	s.SetServers(start, []registry.Server{{ID: "0", Domain: "z", Started: start}})
	_, ok = s.Pick(start, nil)
	must.True(t, ok)
}

// Guards against a slow rank that gets as many requests as the others, which all
// wait for it: passes of the whole group then took 330 ms for five seconds.
func TestSlowRankGetsFewRequests(t *testing.T) {
	s := newService(engine(), 16)
	s.UpdateSlowdowns(start, map[string]float64{"a3": 5})
	fill(s, intake.OnTime)
	running := s.Running()
	t.Logf("%v", running)
	must.LessEq(t, 2, running["3"])
	must.Greater(t, 5, running["4"])
}

// Guards against a server that counts as slow for good: no message says that it has
// recovered.
func TestSlowdownExpires(t *testing.T) {
	s := newService(engine(), 4)
	s.UpdateSlowdowns(start.Add(-10*time.Second), map[string]float64{"a3": 5})
	fill(s, intake.OnTime)
	must.Greater(t, 5, s.Running()["3"])
}

// Guards against refusing most requests for a gap target that cannot be met: with a
// rank that is eight times slower, every answer is late whatever the load.
func TestUnreachableTargetFillsTheSlots(t *testing.T) {
	s := newService(engine(), 16)
	s.UpdateSlowdowns(start, map[string]float64{"a3": 8})
	must.Greater(t, 15*10, fill(s, intake.OnTime))
}

// Guards against a limit that allows only for the mean pass of a large group: every
// stream then met one pass of nearly twice the mean, and three quarters were late
// although the mean was at two thirds of the target.
func TestLargeGroupKeepsShorterPasses(t *testing.T) {
	const small, large = 16, 72
	perServer := func(servers int) float64 {
		return float64(fill(newService(engine(), servers), intake.OnTime)) / float64(servers)
	}
	t.Logf("%.1f and %.1f requests a server", perServer(small), perServer(large))
	must.Less(t, 0.7*perServer(small), perServer(large))
	must.Greater(t, 1, perServer(large))
}
