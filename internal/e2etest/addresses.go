package e2etest

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Listening ports are chosen from minPort to maxPort-1. The range lies below the
// one from which Linux takes the ports of outgoing connections; a port in that one
// can be taken by a connection between its choice and its use.
const (
	minPort = 2000
	maxPort = 7900
)

// portsPerProcess is the distance between the first ports of test processes with
// successive process ids.
const portsPerProcess = 100

// addressAllocator hands out loopback addresses, each once until the range of
// ports is used up.
type addressAllocator struct{ next int }

// newAddressAllocator starts at a port that depends on the process id, so that
// test processes on one machine seldom try the same ports.
func newAddressAllocator() *addressAllocator {
	return &addressAllocator{next: minPort + os.Getpid()%((maxPort-minPort)/portsPerProcess)*portsPerProcess}
}

// allocate returns n addresses on which no process listens.
func (a *addressAllocator) allocate(n int) ([]string, error) {
	var addresses []string
	for attempts := 0; len(addresses) < n; attempts++ {
		if attempts > maxPort-minPort {
			return nil, errors.Errorf("allocate %d loopback addresses: only %d free ports from %d to %d", n, len(addresses), minPort, maxPort-1)
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(a.next))
		a.next++
		if a.next >= maxPort {
			a.next = minPort
		}
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
