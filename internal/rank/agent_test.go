package rank

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Guards against a leader that saturates its own link when it starts: it once asked
// every agent of unknown rank once per unknown rank, which was 20,000 messages a second
// in a group of 72.
func TestUnknownRanksAreAskedOnce(t *testing.T) {
	const ranks = 72
	a := &agent{
		rank: mapchange.NewRank(testStart), leader: mapchange.NewLeader(testStart, 1), logger: zerolog.Nop(),
		links: make(map[*link.Link]*rankLink), linkByRank: make(map[ident.Rank]*link.Link), metrics: newMetrics(),
	}
	sent := 0
	a.write = func(*link.Link, message.Message) bool { sent++; return true }
	for range ranks - 1 {
		a.links[new(link.Link)] = &rankLink{}
	}
	now := testStart.Add(time.Second)
	a.execute(context.Background(), now, a.leader.SetFormation(now, "g", 1, ranks))
	a.execute(context.Background(), now, a.leader.Tick(now))
	must.Eq(t, ranks-1, sent)
}

// Guards against a leader that does not report a slow rank to the entries, or reports
// healthy ranks as well.
func TestSlowRanksAreReportedToEntries(t *testing.T) {
	a := &agent{
		leader: mapchange.NewLeader(testStart, 1), logger: zerolog.Nop(),
		entryLinks: map[*link.Link]struct{}{new(link.Link): {}},
	}
	var sent []message.Message
	a.write = func(_ *link.Link, m message.Message) bool { sent = append(sent, m); return true }
	a.leader.SetFormation(testStart, "g", 1, 3)
	for r, slowdown := range []float64{1, 5, 1.05} {
		a.leader.Receive(testStart, mapchange.Status{
			Leader: 1, Group: "g", Epoch: 1, Rank: ident.Rank(r), Phase: mapchange.Idle, Slowdown: slowdown, Server: fmt.Sprint("server-", r),
		})
	}
	a.sendSlowServers(testStart.Add(time.Second))
	a.sendSlowServers(testStart.Add(time.Second + slowServersInterval/2))
	must.Eq(t, []message.Message{&message.SlowServers{Slow: []message.ServerSlowdown{{Address: "server-1", Slowdown: 5}}}}, sent)
}
