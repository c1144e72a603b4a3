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
	r.Replace(start, []registry.Server{server("a"), server("b")})
	must.True(t, r.Apply(start, []registry.Change{gone("a")}).Changed)
	must.SliceLen(t, 1, r.Servers())
}

// Guards against removing all servers because their entries lapsed during an outage
// of the list, and against keeping a server that did not register again.
func TestLapsedServersMayReturn(t *testing.T) {
	r := registry.New()
	r.Replace(start, []registry.Server{server("a"), server("b")})
	r.SetUnreachable()
	back := start.Add(5 * time.Second)
	must.False(t, r.Replace(back, nil).Changed)
	must.SliceLen(t, 2, r.Servers())
	r.Apply(back.Add(time.Second), []registry.Change{change(server("a"))})
	must.False(t, r.Tick(back.Add(2*time.Second)))
	must.True(t, r.Tick(back.Add(2500*time.Millisecond)))
	must.Eq(t, []registry.Server{server("a")}, r.Servers())
}

// Guards against a late write of an earlier process that overwrites the state of the
// restarted one.
func TestLateWriteOfAnEarlierProcessIsIgnored(t *testing.T) {
	r := registry.New()
	now := server("a")
	now.Started, now.Leaving = start.Add(time.Minute), true
	r.Replace(start, []registry.Server{now})
	must.False(t, r.Apply(start, []registry.Change{change(server("a"))}).Changed)
	must.True(t, r.Servers()[0].Leaving)
}

// Guards against recomputing the spread of work at every periodic write of a server.
func TestWriteCounterAloneIsNoChange(t *testing.T) {
	r := registry.New()
	r.Replace(start, []registry.Server{server("a")})
	next := server("a")
	next.Sequence = 7
	must.False(t, r.Apply(start, []registry.Change{change(next)}).Changed)
	next.Leaving = true
	must.True(t, r.Apply(start, []registry.Change{change(next)}).Changed)
}
