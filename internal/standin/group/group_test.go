package group_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

// Guards against ground truth that misses a step in which two ranks use different maps.
func TestTwoMapsAreRecorded(t *testing.T) {
	a := expertbalance.InitialMap(1, 4, []int{2, 2})
	b, _ := a.Apply([]expertmap.Change{{Rank: 0, Slot: 0, Expert: 1}, {Rank: 1, Slot: 0, Expert: 0}})
	g := group.NewRanks([]bool{true, true})
	for r, m := range []*expertmap.Map{a, b} {
		token := expertmap.Epoch(10 + r)
		for _, o := range []expertmap.Order{
			{Kind: expertmap.OrderHold, Token: token}, {Kind: expertmap.OrderLoad, Token: token, Map: m},
			{Kind: expertmap.OrderArm, Token: token, Step: 1}, {Kind: expertmap.OrderRelease, Token: token, RunEpoch: token},
		} {
			must.Eq(t, expertmap.ResultDone, g.Execute(ident.Rank(r), o))
		}
		must.Eq(t, expertmap.ResultFenced, g.Execute(ident.Rank(r), expertmap.Order{Kind: expertmap.OrderHold, Token: token - 1}))
	}
	must.True(t, g.EnterStep(0))
	must.Len(t, 0, g.MapMismatches())
	must.True(t, g.EnterStep(1))
	must.Len(t, 1, g.MapMismatches())
	must.Eq(t, uint64(1), g.CompletedSteps())
}

// Guards against an HTTP interface that does not execute the orders as Ranks does or that
// accepts a malformed map.
func TestInterface(t *testing.T) {
	c := group.Defaults()
	c.ChecksFencing, c.Layers, c.Experts, c.LoadTime = []bool{true}, 1, 4, 0
	g := group.New(c)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	server := httptest.NewServer(g.Handler(0))
	defer server.Close()
	e := engine.New(server.URL, server.Client())
	order := func(call string, o engine.GroupOrder) engine.GroupAnswer {
		a, err := e.SendGroupOrder(ctx, call, o)
		must.NoError(t, err)
		return a
	}
	must.True(t, order("arm", engine.GroupOrder{Token: 7}).State.Held)
	must.Eq(t, engine.RefusedMapMissing, order("release", engine.GroupOrder{Token: 7, RunEpoch: 7}).Refused)
	m := expertbalance.InitialMap(1, 4, []int{5})
	must.Eq(t, "", order("load", engine.GroupOrder{Token: 7, Map: m.Layers}).Refused)
	must.Eq(t, uint64(0), order("arm", engine.GroupOrder{Token: 7, Step: 3}).State.Entered-2)
	must.Eq(t, expertmap.Epoch(7), order("release", engine.GroupOrder{Token: 7, RunEpoch: 7}).State.Next)
	must.Eq(t, engine.RefusedFenced, order("arm", engine.GroupOrder{Token: 6, Step: 9}).Refused)
	_, err := e.SendGroupOrder(ctx, "load", engine.GroupOrder{Token: 8, Map: m.Layers[:0]})
	must.ErrorContains(t, err, "status 400")
	for {
		truth, err := g.Truth(ctx)
		must.NoError(t, err)
		must.Len(t, 0, truth.MapMismatches)
		if truth.Steps > 2 {
			break
		}
	}
	state, err := e.Group(ctx, true)
	must.NoError(t, err)
	must.Eq(t, m.Layers, state.Map)
	must.Positive(t, state.Work[0][0])
	cancel()
	must.NoError(t, <-ended)
}
