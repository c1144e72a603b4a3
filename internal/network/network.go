// Package network abstracts the operating system's sockets. The dev command replaces it
// by an implementation that injects faults.
package network

import (
	"context"
	"net"
)

// Network opens the TCP sockets of one process.
type Network interface {
	// Listen binds an address exclusively.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// Dial connects to an address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// System is the operating system's network.
type System struct{}

// Listen implements Network. The kernel refuses a second listener on the same
// address while the first one's process lives, even if that process is paused.
func (System) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Dial implements Network.
func (System) Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
