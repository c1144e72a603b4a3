package task

import (
	"context"
	"time"
)

// Sleep waits for the pause. It returns false if the context ends first.
func Sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
