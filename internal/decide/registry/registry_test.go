package registry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

var start = time.Unix(1000, 0)

func server(id ident.ServerID) registry.Server {
	return registry.Server{ID: id, Service: "s", Address: "10.0.0.1:80", Started: start}
}

func change(s registry.Server) registry.Change { return registry.Change{ID: s.ID, Server: &s} }

func gone(id ident.ServerID) registry.Change { return registry.Change{ID: id} }

// Guards against work for a server whose entry was removed from a reachable list.
func TestRemovedServerIsGoneAtOnce(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a"), server("b")})
	must.True(t, r.Apply(start, 1, []registry.Change{gone("a")}).Changed)
	must.SliceLen(t, 1, r.Servers())
}

// Guards against removing all servers because their entries lapsed during an outage
// of the list, and against keeping a server that did not register again.
func TestLapsedServersMayReturn(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a"), server("b")})
	r.SetUnreachable()
	back := start.Add(5 * time.Second)
	must.False(t, r.Replace(back, 1, nil).Changed)
	must.SliceLen(t, 2, r.Servers())
	r.Apply(back.Add(time.Second), 1, []registry.Change{change(server("a"))})
	must.False(t, r.Tick(back.Add(2*time.Second)))
	must.True(t, r.Tick(back.Add(2500*time.Millisecond)))
	must.Eq(t, []registry.Server{server("a")}, r.Servers())
}

// Guards against work for a server that left the list, because a call to the list failed
// shortly before or fails now and then: no entry lapses in so short a time.
func TestRemovedServerIsGoneAfterAShortOutage(t *testing.T) {
	for _, outage := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second} {
		r := registry.New()
		r.Replace(start, 1, []registry.Server{server("a"), server("b")})
		now := start
		for range 5 {
			now = now.Add(2 * time.Second)
			r.Apply(now, 1, nil)
			r.SetUnreachable()
			now = now.Add(outage)
			r.Replace(now, 1, []registry.Server{server("a"), server("b")})
			now = now.Add(2 * time.Second)
			r.Apply(now, 1, nil)
		}
		r.SetUnreachable()
		now = now.Add(outage)
		must.True(t, r.Replace(now, 1, []registry.Server{server("b")}).Changed)
		must.True(t, r.Apply(now.Add(100*time.Millisecond), 1, []registry.Change{gone("b")}).Changed)
		must.SliceEmpty(t, r.Servers())
	}
}

// Guards against dropping servers whose entries lapsed because the list was away again and
// again, each time for less than a lapse takes.
func TestEntriesMayLapseInARowOfShortOutages(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a")})
	now := start
	for range 3 {
		r.SetUnreachable()
		now = now.Add(2 * time.Second)
		r.Replace(now, 1, []registry.Server{server("a")})
		now = now.Add(300 * time.Millisecond)
		r.Apply(now, 1, nil)
	}
	must.False(t, r.Apply(now.Add(100*time.Millisecond), 1, []registry.Change{gone("a")}).Changed)
	must.SliceLen(t, 1, r.Servers())
	must.True(t, r.Tick(now.Add(2500*time.Millisecond)))
	must.SliceEmpty(t, r.Servers())
}

// Guards against a late write of an earlier process that overwrites the state of the
// restarted one.
func TestLateWriteOfAnEarlierProcessIsIgnored(t *testing.T) {
	r := registry.New()
	now := server("a")
	now.Started, now.Leaving = start.Add(time.Minute), true
	r.Replace(start, 1, []registry.Server{now})
	must.False(t, r.Apply(start, 1, []registry.Change{change(server("a"))}).Changed)
	must.True(t, r.Servers()[0].Leaving)
}

// Guards against new work for a server that is leaving, or has left, because the list was
// restored from a copy without its last writes.
func TestEntriesOfACopyDoNotUndoNewerOnes(t *testing.T) {
	ready, leaving, departed := server("a"), server("a"), server("b")
	ready.Sequence, leaving.Sequence, leaving.Leaving = 4, 5, true
	r := registry.New()
	r.Replace(start, 1, []registry.Server{ready, departed})
	r.Apply(start, 1, []registry.Change{change(leaving), gone("b")})
	update := r.Replace(start.Add(time.Second), 2, []registry.Server{ready, departed})
	must.False(t, update.Changed)
	must.Eq(t, []registry.Server{ready, departed}, update.Outdated)
	must.Eq(t, []registry.Server{leaving}, r.Servers())
}

// Guards against dropping a server, and its connections, that registered after the copy was
// made from which the list is restored, when no read noticed an outage.
func TestServerMissingFromACopyMayRegisterAgain(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a"), server("b")})
	back := start.Add(5 * time.Second)
	must.False(t, r.Replace(back, 2, nil).Changed)
	must.SliceLen(t, 2, r.Servers())
	r.Apply(back.Add(time.Second), 2, []registry.Change{change(server("a"))})
	must.False(t, r.Tick(back.Add(2*time.Second)))
	must.True(t, r.Tick(back.Add(2500*time.Millisecond)))
	must.Eq(t, []registry.Server{server("a")}, r.Servers())
}

// Guards against dropping servers that may have registered again, since the list was lost a
// second time before they could be seen.
func TestLapsedServersAreKeptWhileTheListIsLostAgain(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a")})
	must.False(t, r.Replace(start.Add(time.Second), 2, nil).Changed)
	r.SetUnreachable()
	must.False(t, r.Tick(start.Add(5*time.Second)))
	must.False(t, r.Replace(start.Add(6*time.Second), 2, nil).Changed)
	must.False(t, r.Tick(start.Add(7*time.Second)))
	must.False(t, r.Replace(start.Add(8*time.Second), 3, nil).Changed)
	must.False(t, r.Tick(start.Add(9*time.Second)))
	must.True(t, r.Tick(start.Add(10500*time.Millisecond)))
}

// Guards against a sound server that stays unused because it was removed before the list was
// restored from a copy that holds it: it has no reason to register again.
func TestServerThatStaysInARestoredListIsUsedAgain(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a"), server("b"), server("c")})
	r.Apply(start, 1, []registry.Change{gone("a"), gone("b"), gone("c")})
	r.Announced(start, "c", start)
	back := start.Add(time.Second)
	r.Replace(back, 2, []registry.Server{server("a"), server("b"), server("c")})
	r.Apply(back.Add(3*time.Second), 2, []registry.Change{gone("b")})
	must.False(t, r.Tick(back.Add(4*time.Second)))
	must.SliceEmpty(t, r.Servers())
	must.True(t, r.Tick(back.Add(6*time.Second)))
	must.Eq(t, []registry.Server{server("a")}, r.Servers())
}

// Guards against a server that stays unused because its list entry had been removed before
// the list was restored, though it registers again or was restarted.
func TestServerThatRegistersAgainAfterARestoreIsUsed(t *testing.T) {
	again, restarted := server("a"), server("b")
	again.Sequence, restarted.Started = 7, start.Add(time.Minute)
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a"), server("b"), server("c")})
	r.Apply(start, 1, []registry.Change{gone("a"), gone("b"), gone("c")})
	r.Apply(start, 1, []registry.Change{change(server("c"))})
	r.Replace(start.Add(time.Second), 2, []registry.Server{again, restarted, server("c")})
	must.Eq(t, []registry.Server{again, restarted, server("c")}, r.Servers())
}

// Guards against an entry that starts from a copy of the list and sends work to servers that
// other entries know to be leaving or gone, whether it hears of them before or after it
// reads the list.
func TestDeparturesKnownToOtherEntriesBindOneThatStarts(t *testing.T) {
	leaving := server("a")
	leaving.Sequence, leaving.Leaving = 5, true
	other := registry.New()
	other.Replace(start, 1, []registry.Server{server("a"), server("b"), server("c")})
	other.Apply(start, 1, []registry.Change{change(leaving), gone("b")})
	departures := other.Departures(start)
	must.SliceLen(t, 2, departures)
	copied := []registry.Server{server("a"), server("b"), server("c")}
	want := []registry.Server{server("a"), server("c")}
	want[0].Leaving = true

	before := registry.New()
	must.False(t, before.Learn(start, departures))
	before.Replace(start, 2, copied)
	must.Eq(t, want, before.Servers())

	after := registry.New()
	after.Replace(start, 2, copied)
	must.True(t, after.Learn(start, departures))
	must.Eq(t, want, after.Servers())
}

// Guards against keeping from the other entries that a restarted server is leaving, because
// its earlier process was.
func TestLeavingOfARestartedServerIsTold(t *testing.T) {
	first, second := server("a"), server("a")
	first.Leaving, second.Leaving, second.Started = true, true, start.Add(time.Second)
	r := registry.New()
	r.Replace(start, 1, []registry.Server{first})
	r.Apply(start, 1, []registry.Change{change(second)})
	must.Eq(t, second.Started, r.Departures(start)[0].Started)
}

// Guards against departures that entries keep alive by telling each other of them.
func TestDeparturesAreForgotten(t *testing.T) {
	one, other := registry.New(), registry.New()
	one.Replace(start, 1, []registry.Server{server("a")})
	one.Apply(start, 1, []registry.Change{gone("a")})
	other.Learn(start.Add(time.Minute), one.Departures(start.Add(time.Minute)))
	must.SliceLen(t, 1, other.Departures(start.Add(time.Minute)))
	must.SliceEmpty(t, other.Departures(start.Add(3*time.Minute)))
}

// Guards against dropping a server because another entry, whose news are old, saw it removed
// before it registered again.
func TestOldDeparturesOfOtherEntriesAreIgnored(t *testing.T) {
	again, restarted := server("a"), server("b")
	again.Sequence, restarted.Started = 7, start.Add(time.Minute)
	r := registry.New()
	r.Replace(start, 2, []registry.Server{again, restarted, server("c")})
	must.False(t, r.Learn(start, []registry.Departure{
		{ID: "a", Started: start, Sequence: 6, Era: 1, Removed: true},
		{ID: "b", Started: start, Sequence: 6, Era: 1},
		{ID: "c", Started: start, Sequence: 6, Era: 2, Removed: true},
	}))
	must.Eq(t, []registry.Server{again, restarted, server("c")}, r.Servers())
}

// Guards against new work for a server that announced its leaving, because the list says
// otherwise later, and against leaving a restarted one unused.
func TestAnnouncedLeavingHoldsUntilARestart(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a")})
	must.True(t, r.Announced(start, "a", start))
	must.False(t, r.Announced(start, "a", start))
	later := server("a")
	later.Sequence = 9
	r.Apply(start, 1, []registry.Change{change(later)})
	must.True(t, r.Servers()[0].Leaving)
	r.Apply(start, 1, []registry.Change{gone("a"), change(later)})
	must.SliceEmpty(t, r.Servers())
	restarted := server("a")
	restarted.Started = start.Add(time.Second)
	r.Replace(start, 2, []registry.Server{restarted})
	must.Eq(t, []registry.Server{restarted}, r.Servers())
	must.False(t, r.Announced(start, "a", start))
	must.False(t, r.Servers()[0].Leaving)
}

// Guards against recomputing the spread of work at every periodic write of a server.
func TestWriteCounterAloneIsNoChange(t *testing.T) {
	r := registry.New()
	r.Replace(start, 1, []registry.Server{server("a")})
	next := server("a")
	next.Sequence = 7
	must.False(t, r.Apply(start, 1, []registry.Change{change(next)}).Changed)
	next.Leaving = true
	must.True(t, r.Apply(start, 1, []registry.Change{change(next)}).Changed)
}
