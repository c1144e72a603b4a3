package networktest_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/network/networktest"
)

// Guards against a reserved port that something else binds before the tested process
// listens: in one test an entry did not start because a connection had taken its port.
func TestReservedAddressStaysBound(t *testing.T) {
	n := networktest.NewReserved()
	address := n.Address(t, "127.0.0.1")
	_, err := net.Listen("tcp", address)
	must.Error(t, err)
	l, err := n.Listen(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, address, l.Addr().String())
	must.NoError(t, l.Close())
	again, err := n.Listen(t.Context(), address)
	must.NoError(t, err)
	must.NoError(t, again.Close())
}

// Guards against a port that is reserved on one host only.
func TestPortIsReservedOnAllHosts(t *testing.T) {
	n := networktest.NewReserved()
	port := n.Port(t, "127.0.0.2", "127.0.0.3")
	for _, host := range []string{"127.0.0.2", "127.0.0.3"} {
		_, err := net.Listen("tcp", net.JoinHostPort(host, port))
		must.Error(t, err)
	}
}
