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

// endCapacity bounds the ends that an owner has not read yet. Ends beyond it
// are dropped, oldest first, so that an owner that does not read cannot block
// its tasks.
const endCapacity = 64

// EndKind says how a task ended.
type EndKind int

const (
	// Finished means that the task returned without an error.
	Finished EndKind = iota
	// Failed means that the task returned an error.
	Failed
	// Panicked means that an invariant broke. The group stops.
	Panicked
)

// End tells an owner that one of its tasks has ended.
type End struct {
	Task string
	Kind EndKind
	Err  error
}

// Group owns a set of tasks: it starts them, hears of their end and stops them.
type Group struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	draining chan struct{}
	ends     *Mailbox[End]
	wait     conc.WaitGroup
}

// NewGroup returns a group whose tasks end with the parent context at the latest.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{
		ctx:      ctx,
		cancel:   cancel,
		draining: make(chan struct{}),
		ends:     NewMailbox[End](endCapacity, DropOldest),
	}
}

// Context ends when the group is stopped or a task panicked.
func (g *Group) Context() context.Context { return g.ctx }

// Draining is closed when Stop begins. Tasks then take no new work and return
// once the work in flight is done.
func (g *Group) Draining() <-chan struct{} { return g.draining }

// Ends receives the end of each task.
func (g *Group) Ends() <-chan End { return g.ends.Receive() }

// Go starts a task. A panic in it stops the whole group, since a panic means a
// broken invariant.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.wait.Go(func() {
		g.report(name, run)
	})
}

// GoRestart starts a task and starts it again after the pause whenever it
// returns an error, until it returns nil or the group stops.
func (g *Group) GoRestart(name string, pause time.Duration, run func(ctx context.Context) error) {
	g.wait.Go(func() {
		for g.report(name, run) == Failed {
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

func (g *Group) report(name string, run func(ctx context.Context) error) EndKind {
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
// for all of them. It returns the panic of a task, if there was one. It is
// called at most once.
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
