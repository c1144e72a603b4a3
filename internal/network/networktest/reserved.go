// Package networktest keeps loopback addresses bound from the time that a test
// chooses them until the tested process listens on them. A port that is free for a
// moment in between can become the local port of any connection on the machine,
// and the process then fails to start.
package networktest

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/network"
)

// portTries bounds the search for a port that is free at several hosts. The range
// of local ports has 28,000, so that even a busy machine needs few tries.
const portTries = 100

// Reserved is the system's network, with listeners that are bound beforehand.
type Reserved struct {
	network.System
	// listeners holds one channel for each reserved address, with its listener until
	// a process listens there. The map does not change once processes run.
	listeners map[string]chan net.Listener
}

// NewReserved returns a network with no reserved address.
func NewReserved() *Reserved {
	return &Reserved{listeners: map[string]chan net.Listener{}}
}

// Address reserves a port of the host and returns its address. It is called before
// any process uses the network.
func (n *Reserved) Address(t *testing.T, host string) string {
	t.Helper()
	return net.JoinHostPort(host, n.Port(t, host))
}

// Port reserves the same port at all hosts. It is called before any process uses
// the network.
func (n *Reserved) Port(t *testing.T, hosts ...string) string {
	t.Helper()
	for range portTries {
		if port, ok := n.reserve(t, hosts); ok {
			return port
		}
	}
	t.Fatalf("no port is free at %v", hosts)
	return ""
}

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
		n.hold(t, l)
	}
	return port, true
}

// hold keeps the listener until a process asks for it or the test ends.
func (n *Reserved) hold(t *testing.T, l net.Listener) {
	held := make(chan net.Listener, 1)
	held <- l
	n.listeners[l.Addr().String()] = held
	t.Cleanup(func() {
		select {
		case unused := <-held:
			must.NoError(t, unused.Close())
		default:
		}
	})
}

// Listen implements network.Network. The first call for a reserved address gets the
// listener that holds it; later ones bind the address again.
func (n *Reserved) Listen(ctx context.Context, address string) (net.Listener, error) {
	select {
	case l := <-n.listeners[address]:
		return l, nil
	default:
		return n.System.Listen(ctx, address)
	}
}
