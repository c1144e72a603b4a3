package clientconn

import (
	"context"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

// ClaimAnswer waits until the connection of a request may hold further bytes of an answer.
// It returns ErrNoMemory if the client must do without.
func ClaimAnswer(ctx context.Context, bytes int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.claim(ctx, clientload.ForAnswer, bytes, bytes)
}
