package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialLimit bounds the opening of a connection: a hundred round trips between
	// failure domains, and less than a quarter of the shortest time limit of a call.
	dialLimit = 250 * time.Millisecond
	// silenceLimit ends a connection whose peer does not acknowledge. It is below
	// the two seconds after which a client abandons a silent stream.
	silenceLimit = 1500 * time.Millisecond
	probeCount   = 2
)

// Dial opens a connection that notices an unreachable peer by itself.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialLimit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}
