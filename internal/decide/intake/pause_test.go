package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// never checks that the server is not picked.
func never(t *testing.T, s *intake.Service, at time.Duration, id ident.ServerID) {
	t.Helper()
	for range 20 {
		picked, ok := s.Pick(start.Add(at), nil)
		must.False(t, ok && picked.ID == id)
	}
}

// Guards against requests to a server that turned one away and asked for a pause, also if all
// others fail, if a later answer asks for a shorter pause, or if it was not listed for a time.
func TestServerThatAskedForAPauseGetsNoRequest(t *testing.T) {
	s := newService(nil, 2)
	s.Pause(start, "0", time.Time{}, 3*time.Second)
	s.Pause(start.Add(time.Second), "0", time.Time{}, time.Second)
	for range 3 {
		s.Ended(start, "1", true)
	}
	never(t, s, 0, "0")
	never(t, s, 2900*time.Millisecond, "0")
	must.False(t, s.MaySend(start.Add(2900*time.Millisecond), "0"))
	must.Eq(t, 100*time.Millisecond, s.ResumesIn(start.Add(2900*time.Millisecond)))
	s.SetServers(start.Add(time.Second), nil)
	s.SetServers(start.Add(2*time.Second), []registry.Server{{ID: "0", Slots: 6}})
	never(t, s, 2900*time.Millisecond, "0")
	picked, ok := s.Pick(start.Add(3*time.Second), nil)
	must.True(t, ok)
	must.Eq(t, "0", picked.ID)
	must.True(t, s.MaySend(start.Add(3*time.Second), "0"))
}

// Guards against a restarted server that gets no requests because of a pause that the earlier
// process asked for.
func TestRestartedServerHasNoPause(t *testing.T) {
	s := intake.New(intake.Config{Domain: "z"}, rand.New(rand.NewPCG(1, 2)))
	s.SetServers(start, []registry.Server{{ID: "0", Slots: 6, Started: start}})
	s.Pause(start, "0", start, time.Minute)
	s.SetServers(start, []registry.Server{{ID: "0", Slots: 6, Started: start.Add(time.Second)}})
	_, ok := s.Pick(start, nil)
	must.True(t, ok)
}
