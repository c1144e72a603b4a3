package rank

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Guards against a leader that fills its own link when it starts: it asked every
// process whose rank it did not know once for each rank that it did not know, which
// was 20,000 messages a second in a group of 72.
func TestUnknownRanksAreAskedOnce(t *testing.T) {
	const ranks = 72
	a := &agent{
		rank: mapswitch.NewRank(planStart), leader: mapswitch.NewLeader(planStart, 1), logger: zerolog.Nop(),
		links: make(map[*link.Link]*rankLink), byRank: make(map[ident.Rank]*link.Link), metrics: newMetrics(),
	}
	sent := 0
	a.write = func(*link.Link, message.Message) bool { sent++; return true }
	for range ranks - 1 {
		a.links[new(link.Link)] = &rankLink{}
	}
	now := planStart.Add(time.Second)
	a.carryOut(context.Background(), now, a.leader.SetFormation(now, "g", 1, ranks))
	a.carryOut(context.Background(), now, a.leader.Tick(now))
	must.Eq(t, ranks-1, sent)
}

// Guards against entries that are not told of a slow rank, or are told of all.
func TestEntriesAreToldOfSlowRanks(t *testing.T) {
	a := &agent{
		leader: mapswitch.NewLeader(planStart, 1), logger: zerolog.Nop(),
		entries: map[*link.Link]struct{}{new(link.Link): {}},
	}
	var told []message.Message
	a.write = func(_ *link.Link, m message.Message) bool { told = append(told, m); return true }
	a.leader.SetFormation(planStart, "g", 1, 3)
	for r, pace := range []float64{1, 5, 1.05} {
		a.leader.Receive(planStart, mapswitch.Status{
			Leader: 1, Group: "g", Epoch: 1, Rank: ident.Rank(r), Phase: mapswitch.Idle, Pace: pace, Server: fmt.Sprint("server-", r),
		})
	}
	a.tellPaces(planStart.Add(time.Second))
	a.tellPaces(planStart.Add(time.Second + paceInterval/2))
	must.Eq(t, []message.Message{&message.SlowServers{Slow: []message.ServerPace{{Address: "server-1", Pace: 5}}}}, told)
}
