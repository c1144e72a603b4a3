package dev

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// All ports but those for callers are in one block of consecutive ports. The block lies
// below the range from which Linux takes the ports of outgoing connections, so that a
// restarted process finds its port free.
const (
	// blockOffset is the distance from the port of the first entry to the preferred block.
	blockOffset = 1000
	// minBlockPort is the lowest first port of a block that is searched for.
	minBlockPort = 10000
	// maxBlockPort is the upper limit of the ports of a block.
	maxBlockPort = 32000
	// blockAlignment is the distance between the first ports of two blocks that are tried.
	blockAlignment = 500
)

// maxPort is the highest TCP port.
const maxPort = 65535

// entryAddresses are the listeners of one entry.
type entryAddresses struct{ listen, link, operations string }

// serverAddresses are the listeners of one backend server and its sidecar.
type serverAddresses struct{ link, operations, backend string }

// layout holds the addresses of all listeners except the admin listener.
type layout struct {
	entries []entryAddresses
	// servers holds the replicas and then the replicas of the service.
	servers                    []serverAddresses
	config, instances, weights string
}

// newLayout chooses free ports. The link addresses of the sidecars come first in the block,
// because records contain them.
func newLayout(o Options) (layout, error) {
	host, port, err := splitAddress(o.Listen)
	if err != nil {
		return layout{}, err
	}
	servers := o.Replicas + o.Services
	internal := 3*servers + 2*o.Entries + 3
	callerPorts := 0
	if port == 0 {
		callerPorts = o.Entries
	} else if err := checkCallerPorts(host, port, o.Entries); err != nil {
		return layout{}, err
	}
	base, err := findFreeBlock(host, port, internal+callerPorts)
	if err != nil {
		return layout{}, err
	}
	if port == 0 {
		port = base + internal
	}
	return assignAddresses(o, host, port, base, servers), nil
}

// assignAddresses returns the layout with the first entry at a port and the block at base.
func assignAddresses(o Options, host string, port, base, servers int) layout {
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

// checkCallerPorts returns an error unless all ports of the entries for callers are free.
func checkCallerPorts(host string, port, entries int) error {
	for k := range entries {
		if port+k > maxPort {
			return errors.Errorf("entry %d would need port %d, but the highest port is %d", k, port+k, maxPort)
		}
		if err := checkPort(host, port+k); err != nil {
			return err
		}
	}
	return nil
}

// findFreeBlock returns the first port of a block of free ports. It prefers the block at
// blockOffset above the port, or one derived from the process id if the port is 0.
func findFreeBlock(host string, port, size int) (int, error) {
	first := port + blockOffset
	if port == 0 {
		// Test processes that run at the same time thus start at different blocks.
		first = minBlockPort + os.Getpid()%((maxBlockPort-minBlockPort)/blockAlignment)*blockAlignment
	}
	if isBlockFree(host, first, size) {
		return first, nil
	}
	for base := first - first%blockAlignment + blockAlignment; base < first+maxBlockPort-minBlockPort; base += blockAlignment {
		candidate := minBlockPort + (base-minBlockPort)%(maxBlockPort-minBlockPort)
		if candidate >= minBlockPort && isBlockFree(host, candidate, size) {
			return candidate, nil
		}
	}
	return 0, errors.Errorf("no %d consecutive free ports from %d to %d on %s", size, minBlockPort, maxBlockPort-1, host)
}

func isBlockFree(host string, base, size int) bool {
	if base+size > maxBlockPort {
		return false
	}
	for n := range size {
		if checkPort(host, base+n) != nil {
			return false
		}
	}
	return true
}

// checkPort returns an error unless a port is free.
func checkPort(host string, port int) error {
	address := net.JoinHostPort(host, strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "check that %s is free", address)
	}
	return errors.Wrapf(listener.Close(), "close listener on %s", address)
}
