package dev

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// The ports that are not the callers' lie in one block below the range from
// which Linux takes the ports of outgoing connections, so that a restarted
// process finds its port free.
const (
	blockOffset  = 1000
	lowestBlock  = 10000
	highestBlock = 32000
	blockStep    = 500
)

// entryAddresses are the listeners of one entry.
type entryAddresses struct{ listen, link, operations string }

// serverAddresses are the listeners of one backend server and its sidecar.
type serverAddresses struct{ link, operations, backend string }

// layout is where everything listens.
type layout struct {
	entries []entryAddresses
	// servers holds the replicas and then the replicas of the service.
	servers                    []serverAddresses
	config, instances, weights string
}

// newLayout finds free ports. The sidecars' link addresses are the first of the
// block, because records name them.
func newLayout(o Options) (layout, error) {
	host, port, err := splitAddress(o.Listen)
	if err != nil {
		return layout{}, err
	}
	servers := o.Replicas + o.Services
	internal := 3*servers + 2*o.Entries + 3
	chosen := 0
	if port == 0 {
		chosen = o.Entries
	} else if err := callersFree(host, port, o.Entries); err != nil {
		return layout{}, err
	}
	base, err := freeBlock(host, port, internal+chosen)
	if err != nil {
		return layout{}, err
	}
	if port == 0 {
		port = base + internal
	}
	return place(o, host, port, base, servers), nil
}

func place(o Options, host string, port, base, servers int) layout {
	at := func(n int) string { return net.JoinHostPort(host, strconv.Itoa(base+n)) }
	l := layout{config: at(3 * servers), instances: at(3*servers + 1), weights: at(3*servers + 2)}
	for i := range servers {
		l.servers = append(l.servers, serverAddresses{link: at(i), operations: at(servers + i), backend: at(2*servers + i)})
	}
	for k := range o.Entries {
		l.entries = append(l.entries, entryAddresses{
			listen: net.JoinHostPort(host, strconv.Itoa(port+k)),
			link:   at(3*servers + 3 + 2*k), operations: at(3*servers + 4 + 2*k),
		})
	}
	return l
}

func callersFree(host string, port, entries int) error {
	for k := range entries {
		if port+k > 65535 {
			return errors.Errorf("entry %d would need port %d", k, port+k)
		}
		if err := probe(host, port+k); err != nil {
			return err
		}
	}
	return nil
}

// freeBlock returns the first port of a block without listeners.
func freeBlock(host string, port, size int) (int, error) {
	first := port + blockOffset
	if port == 0 {
		// Spreads the test processes of one machine.
		first = lowestBlock + os.Getpid()%((highestBlock-lowestBlock)/blockStep)*blockStep
	}
	if blockFree(host, first, size) {
		return first, nil
	}
	for base := first - first%blockStep + blockStep; base < first+highestBlock-lowestBlock; base += blockStep {
		candidate := lowestBlock + (base-lowestBlock)%(highestBlock-lowestBlock)
		if candidate >= lowestBlock && blockFree(host, candidate, size) {
			return candidate, nil
		}
	}
	return 0, errors.Errorf("no %d free ports in a row on %s", size, host)
}

func blockFree(host string, base, size int) bool {
	if base+size > highestBlock {
		return false
	}
	for n := range size {
		if probe(host, base+n) != nil {
			return false
		}
	}
	return true
}

// probe reports whether a port can be bound.
func probe(host string, port int) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
	if err != nil {
		return errors.Wrap(err, "the port is not free")
	}
	return errors.Wrap(listener.Close(), "probe")
}
