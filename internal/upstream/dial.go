package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is a hundred round trips between failure domains, and less than a quarter
	// of the shortest time limit of a call.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is the TCP user timeout: a connection fails if sent data is not
	// acknowledged for this long. It is below the 2 s after which a client abandons a
	// stream without output.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveProbes is the number of unanswered keep-alive probes, one per second, after
	// which a connection fails.
	keepAliveProbes = 2
)

// Dial opens a connection that detects an unreachable peer by keep-alive probes and a
// TCP user timeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
