package task

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// ErrStopped is the cause of a group's context after Stop.
var ErrStopped = errors.New("task group stopped")

// maxUnreadEnds is the number of ends that wait for a group's owner. Beyond it the
// oldest end is dropped, so that an owner that does not read cannot block its
// tasks.
const maxUnreadEnds = 64

// EndKind says how a run of a task ended.
type EndKind int

const (
	// Finished means that the task returned without an error.
	Finished EndKind = iota
	// Failed means that the task returned an error.
	Failed
	// Panicked means that the task panicked. The whole group is then stopped.
	Panicked
)

// End reports to a group's owner that a run of a task has ended.
type End struct {
	Task string
	Kind EndKind
	Err  error
}

// Group supervises a set of tasks: it starts them, reports their ends and stops them.
type Group struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	draining chan struct{}
	ends     *Mailbox[End]
	wait     conc.WaitGroup
}

// NewGroup returns a group whose context is derived from the parent.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{
		ctx:      ctx,
		cancel:   cancel,
		draining: make(chan struct{}),
		ends:     NewMailbox[End](maxUnreadEnds, DropOldest),
	}
}

// Context returns the context of the tasks. It ends when the group is stopped, a
// task panics or the parent context ends.
func (g *Group) Context() context.Context { return g.ctx }

// Draining returns a channel that is closed when Stop begins. Tasks then accept no
// new work and return once the work in flight is done.
func (g *Group) Draining() <-chan struct{} { return g.draining }

// Ends returns the channel on which the end of each run of a task is reported.
func (g *Group) Ends() <-chan End { return g.ends.Receive() }

// Go starts a task. A panic in it stops the whole group, since it means that an
// invariant was violated.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wait.Go(func() {
		g.runOnce(name, run)
	})
}

// GoRestart starts a task and restarts it after the pause whenever it returns an
// error, until it returns nil or the group stops.
func (g *Group) GoRestart(name string, pause time.Duration, run func(ctx context.Context) error) {
	g.wait.Go(func() {
		for g.runOnce(name, run) == Failed {
			timer := time.NewTimer(pause)
			select {
			case <-timer.C:
			case <-g.draining:
				timer.Stop()
				return
			case <-g.ctx.Done():
				timer.Stop()
				return
			}
		}
	})
}

// runOnce runs a task to its end and reports the end.
func (g *Group) runOnce(name string, run func(ctx context.Context) error) EndKind {
	end := End{Task: name}
	caught := panics.Try(func() { end.Err = run(g.ctx) })
	switch {
	case caught != nil:
		end.Kind = Panicked
		end.Err = errors.Wrapf(caught.AsError(), "task %s", name)
		g.cancel(end.Err)
	case end.Err != nil:
		end.Kind = Failed
	}
	g.ends.Send(context.Background(), end)
	return end.Kind
}

// Stop asks the tasks to drain, cancels them after the grace period, and waits
// until all have returned. If a task panicked, it returns the panic as an error.
// It must be called at most once.
func (g *Group) Stop(grace time.Duration) error {
	close(g.draining)
	done := make(chan struct{})
	go func() {
		g.wait.Wait()
		close(done)
	}()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		g.cancel(ErrStopped)
		<-done
	}
	g.cancel(ErrStopped)
	if cause := context.Cause(g.ctx); !errors.Is(cause, ErrStopped) && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}
