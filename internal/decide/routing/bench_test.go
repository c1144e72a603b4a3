package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// BenchmarkPick measures one request: pick, start, first output and end.
// docs/CAPACITY.md uses the increase per linked replica.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 48, 192} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			now := time.Unix(0, 0)
			r := routing.New(1, routing.Config{Domain: "a"})
			var members []routing.Server
			for i := range n {
				members = append(members, routing.Server{ID: ident.ServerID(fmt.Sprintf("s%d", i)), Domain: "a", Model: "m"})
			}
			r.Step(now, routing.Membership{Servers: members})
			for _, s := range members {
				r.Step(now, routing.Link{Server: s.ID, Up: true})
				r.Step(now, routing.Report{Server: s.ID, Slots: 32, Rate: 1000})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				q := routing.Request{ID: ident.RequestID(fmt.Sprint(i)), Model: "m", Class: ident.Interactive, Account: "x", Cost: 100, PromptTokens: 100, Prefix: uint64(i % 50), PrefixTokens: 50}
				server, _, ok := r.Pick(now, q)
				if !ok {
					b.Fatal("Pick found no server")
				}
				r.Step(now, routing.Started{Server: server, Request: q})
				r.Step(now, routing.FirstOutput{Server: server, Request: q.ID, After: time.Millisecond})
				r.Step(now, routing.Ended{Server: server, Request: q.ID})
			}
		})
	}
}
