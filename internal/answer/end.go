package answer

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/network"
)

// End is how the connection of an answer ended that has no other end.
type End struct {
	// RequestWritten reports whether the whole request was written to the connection. A
	// server that closes before it has read the request resets the connection.
	RequestWritten bool
	Connection     net.Conn
	// Dial and Address lead to the server.
	Dial    func(ctx context.Context, address string) (net.Conn, error)
	Address string
}

// Check returns nil if the answer is whole. Otherwise io.ErrUnexpectedEOF is in the chain of
// the error.
func (e End) Check(ctx context.Context) error {
	switch {
	case !e.RequestWritten:
		return errors.WithMessage(io.ErrUnexpectedEOF, "the connection ended before the request was written")
	case network.WasReset(e.Connection):
		return errors.WithMessage(io.ErrUnexpectedEOF, "the connection was reset")
	case network.RefusesConnections(ctx, e.Dial, e.Address):
		return errors.WithMessage(io.ErrUnexpectedEOF, "the server refuses connections")
	default:
		return nil
	}
}
