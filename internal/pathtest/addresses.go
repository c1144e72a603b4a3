package pathtest

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Test processes take their ports below the range from which Linux takes the
// ports of outgoing connections. A port within that range can be taken by an
// outgoing connection between its choice and its use.
const (
	lowestPort  = 2000
	highestPort = 7900
	portStep    = 100
)

// addressSource hands out loopback addresses, each once.
type addressSource struct{ next int }

// newAddressSource starts at a port that differs between the test processes of
// one machine.
func newAddressSource() *addressSource {
	return &addressSource{next: lowestPort + os.Getpid()%((highestPort-lowestPort)/portStep)*portStep}
}

// take returns addresses that nobody listens on.
func (s *addressSource) take(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > highestPort-lowestPort {
			return nil, errors.New("no free port")
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(s.next))
		s.next++
		if s.next >= highestPort {
			s.next = lowestPort
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
