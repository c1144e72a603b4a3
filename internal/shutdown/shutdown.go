// Package shutdown runs the control task of an entry or a sidecar until the
// process has shut down.
package shutdown

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/task"
)

// Process describes how a process is shut down.
type Process struct {
	Group *task.Group
	// Kill ends the process at once, without draining, when it is closed.
	Kill <-chan struct{}
	// Control is the control task. It returns once the process has drained.
	Control func(ctx context.Context) error
	// Stop asks the control task to drain.
	Stop func()
	// Drained, if set, is called after draining.
	Drained func()
	// Linger is the time after draining during which the last answers can still be
	// written.
	Linger time.Duration
}

// Wait runs the control task. When the context ends, it asks the task to drain and
// waits until it has. It returns earlier if the process is killed or a task panics.
func (p Process) Wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.Stop)
	defer stop()
	done := make(chan struct{})
	p.Group.Go("control", func(ctx context.Context) error {
		defer close(done)
		return p.Control(ctx)
	})
	select {
	case <-p.Kill:
		return errors.WithMessage(p.Group.Stop(0), "killed")
	case <-p.Group.Context().Done():
		return p.Group.Stop(0)
	case <-done:
	}
	if p.Drained != nil {
		p.Drained()
	}
	p.linger()
	return p.Group.Stop(0)
}

func (p Process) linger() {
	timer := time.NewTimer(p.Linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.Kill:
	}
}
