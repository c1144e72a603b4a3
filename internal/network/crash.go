package network

import (
	"context"
	"io"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// ClosedByPeer reports whether an error of a connection says that the other side ended it.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// RefusesConnections reports whether nothing accepts connections at the address. After the
// other side ended a connection, this tells a crash of its process from the loss of one
// connection. A machine that does not answer is not counted as crashed.
func RefusesConnections(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) bool {
	socket, err := dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The connection has carried nothing, so an error from Close does not matter.
	_ = socket.Close()
	return false
}
