package rank_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network/networktest"
	"github.com/anvilpoint/anvilpoint/internal/rank"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
	"github.com/anvilpoint/anvilpoint/task"
)

// Guards against agents that do not connect, or that crash once they do: an agent whose
// write function was not set passed all unit tests and crashed the leaders of one
// simulated day 57 times.
func TestGroupChangesItsMapOverRealLinks(t *testing.T) {
	hosts := []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"}
	engines := platformtest.NewEngineGroup(t, hosts, 12)
	store := platformtest.NewStore(t)
	engines.Register(store, "model")
	reserved := networktest.NewReserved()
	links, metrics := reserved.Port(t, hosts...), reserved.Port(t, hosts...)
	ctx, cancel := context.WithCancel(context.Background())
	group := task.NewGroup(context.Background())
	for r, host := range hosts {
		s := &settings.Hosted{
			Role: message.RoleSidecar, Instance: ident.InstanceID(fmt.Sprint("side-", r)), Domain: "z1",
			LinkListen: net.JoinHostPort(host, links), Metrics: net.JoinHostPort(host, metrics),
			Store: store.Address(), Server: engines.Address(r), Service: "model", Grace: 4 * time.Second,
		}
		group.Go(string(s.Instance), func(context.Context) error {
			return rank.Run(ctx, rank.Options{
				Settings: s, Logger: zerolog.Nop(), Events: eventlog.Discard(hlc.New(time.Now)), Network: reserved,
			})
		})
	}
	t.Cleanup(func() {
		cancel()
		must.NoError(t, group.Stop(10*time.Second))
	})
	version := uint64(0)
	for range 2000 {
		var mixed bool
		version, mixed = engines.Map()
		must.False(t, mixed)
		if version > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	must.Positive(t, version)
}
