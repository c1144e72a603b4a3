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
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/rank"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
	"github.com/anvilpoint/anvilpoint/task"
)

// freePorts returns ports that are free at the host.
func freePorts(t *testing.T, host string, count int) []string {
	t.Helper()
	var ports []string
	for range count {
		first, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		must.NoError(t, err)
		_, port, err := net.SplitHostPort(first.Addr().String())
		must.NoError(t, err)
		ports = append(ports, port)
		defer first.Close()
	}
	return ports
}

// Guards against processes beside ranks that do not find each other, or that end
// once they do: an agent without its writer passed every test of its parts and
// ended each leader of a played day 57 times.
func TestGroupChangesItsMapOverRealLinks(t *testing.T) {
	hosts := []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"}
	engines := platformtest.NewEngineGroup(t, hosts, 12)
	store := platformtest.NewStore(t)
	engines.Register(store, "model")
	ports := freePorts(t, hosts[0], 2)
	ctx, cancel := context.WithCancel(context.Background())
	group := task.NewGroup(context.Background())
	for r, host := range hosts {
		s := &settings.Hosted{
			Role: message.RoleSidecar, Instance: ident.InstanceID(fmt.Sprint("side-", r)), Domain: "z1",
			LinkListen: net.JoinHostPort(host, ports[0]), Metrics: net.JoinHostPort(host, ports[1]),
			Store: store.Address(), Server: engines.Address(r), Service: "model", Grace: 4 * time.Second,
		}
		group.Go(string(s.Instance), func(context.Context) error {
			return rank.Run(ctx, rank.Options{
				Settings: s, Logger: zerolog.Nop(), Events: eventlog.Discard(hlc.New(time.Now)), Network: network.System{},
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
