package clientconn

import (
	"context"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

// HoldAnswer tells that the process holds an answer of a number of bytes for the connection
// of a request. It returns ErrNoMemory if the answer must be dropped.
func HoldAnswer(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.claim(ctx, clientload.ForHeldAnswer, bytes, bytes)
}

// HangUp returns a function that closes the connection of a request at once. Any goroutine
// may call it.
func HangUp(ctx context.Context) func() {
	c := connOf(ctx)
	if c == nil {
		return func() {}
	}
	return func() {
		c.limiter.metrics.evicted.Inc()
		// The connection is not used any more, so an error from Close does not matter.
		_ = c.Conn.Close()
	}
}

// ClaimAnswer waits until the connection of a request may hold further bytes of an answer.
// It returns ErrNoMemory if the client must do without.
func ClaimAnswer(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.claim(ctx, clientload.ForAnswer, bytes, bytes)
}
