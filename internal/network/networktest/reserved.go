// Package networktest reserves loopback addresses for tests: an address stays bound from
// the time that the test chooses it until the tested process listens on it. A port that
// is unbound in between can become the local port of any connection on the machine, and
// the process then fails to start.
package networktest

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/network"
)

// maxPortAttempts bounds the search for a port that is free on several hosts. The system
// has 28,000 local ports, so that even a busy machine needs few attempts.
const maxPortAttempts = 100

// Reserved is the system's network with listeners that are bound in advance.
type Reserved struct {
	network.System
	// listeners holds a channel for each reserved address, which contains the listener
	// until a process listens there. The map must not change once processes run.
	listeners map[string]chan net.Listener
}

// NewReserved returns a network without reserved addresses.
func NewReserved() *Reserved {
	return &Reserved{listeners: map[string]chan net.Listener{}}
}

// Address reserves a port on the host and returns its address. It must be called before
// any process uses the network.
func (n *Reserved) Address(t *testing.T, host string) string {
	t.Helper()
	return net.JoinHostPort(host, n.Port(t, host))
}

// Port reserves the same port on all hosts. It must be called before any process uses
// the network.
func (n *Reserved) Port(t *testing.T, hosts ...string) string {
	t.Helper()
	for range maxPortAttempts {
		if port, ok := n.reserve(t, hosts); ok {
			return port
		}
	}
	t.Fatalf("no port that is free on all of %v found in %d attempts", hosts, maxPortAttempts)
	return ""
}

// reserve tries to reserve one port on all hosts.
func (n *Reserved) reserve(t *testing.T, hosts []string) (port string, ok bool) {
	t.Helper()
	port = "0"
	var bound []net.Listener
	for _, host := range hosts {
		l, err := net.Listen("tcp", net.JoinHostPort(host, port))
		if err != nil {
			for _, b := range bound {
				must.NoError(t, b.Close())
			}
			return "", false
		}
		bound = append(bound, l)
		_, port, err = net.SplitHostPort(l.Addr().String())
		must.NoError(t, err)
	}
	for _, l := range bound {
		n.keep(t, l)
	}
	return port, true
}

// keep stores the listener until a process listens on its address or the test ends.
func (n *Reserved) keep(t *testing.T, l net.Listener) {
	reserved := make(chan net.Listener, 1)
	reserved <- l
	n.listeners[l.Addr().String()] = reserved
	t.Cleanup(func() {
		select {
		case unused := <-reserved:
			must.NoError(t, unused.Close())
		default:
		}
	})
}

// Listen implements network.Network. The first call for a reserved address returns its
// listener; later calls bind the address again.
func (n *Reserved) Listen(ctx context.Context, address string) (net.Listener, error) {
	select {
	case l := <-n.listeners[address]:
		return l, nil
	default:
		return n.System.Listen(ctx, address)
	}
}
