package task_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/task"
)

// Guards against a full mailbox that blocks or drops messages contrary to its policy.
func TestFullPolicies(t *testing.T) {
	ctx := context.Background()
	reject := task.NewMailbox[int](1, task.RejectNew)
	must.Eq(t, task.Delivered, reject.Send(ctx, 1))
	must.Eq(t, task.Rejected, reject.Send(ctx, 2))
	drop := task.NewMailbox[int](1, task.DropOldest)
	must.Eq(t, task.Delivered, drop.Send(ctx, 1))
	must.Eq(t, task.ReplacedOldest, drop.Send(ctx, 2))
	must.Eq(t, 2, <-drop.Receive())
	block := task.NewMailbox[int](1, task.Block)
	must.Eq(t, task.Delivered, block.Send(ctx, 1))
	ended, cancel := context.WithCancel(ctx)
	cancel()
	must.Eq(t, task.Canceled, block.Send(ended, 2))
	block.Close()
	must.Eq(t, task.Closed, block.Send(ctx, 3))
}

// Guards against a request that waits forever for a task that has ended.
func TestAskEndsWithTheTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := task.NewMailbox[chan<- int](1, task.Block)
		time.AfterFunc(time.Second, m.Close)
		_, ok := task.Ask(t.Context(), m, func(reply chan<- int) chan<- int { return reply })
		must.False(t, ok)
	})
}

// Guards against tasks that are canceled before the grace period ends or run on
// after it.
func TestStopDrainsThenCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		g := task.NewGroup(t.Context())
		g.Go("polite", func(context.Context) error { <-g.Draining(); time.Sleep(time.Second); return nil })
		g.Go("stubborn", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
		must.NoError(t, g.Stop(5*time.Second))
		must.Eq(t, 5*time.Second, time.Since(start))
		must.Eq(t, task.End{Task: "polite", Kind: task.Finished}, <-g.Ends())
		must.Eq(t, task.Failed, (<-g.Ends()).Kind)
	})
}

// Guards against a process that continues after a task panicked.
func TestPanicStopsTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.NewGroup(t.Context())
		g.Go("other", func(ctx context.Context) error { <-ctx.Done(); return nil })
		g.Go("broken", func(context.Context) error { panic("invariant") })
		<-g.Context().Done()
		must.ErrorContains(t, g.Stop(time.Second), "invariant")
	})
}

// Guards against a supervisor that gives up after the first failure or never
// stops restarting.
func TestRestartUntilSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := task.NewGroup(t.Context())
		runs := 0
		g.GoRestart("flaky", time.Second, func(context.Context) error {
			runs++
			if runs < 3 {
				return errors.New("not yet")
			}
			return nil
		})
		time.Sleep(10 * time.Second)
		must.NoError(t, g.Stop(time.Second))
		must.Eq(t, 3, runs)
	})
}

// Guards against a sender that blocks forever on a full mailbox whose owner does
// not read, because another sender took the room that its drop had made. It kept a
// process with hundreds of links from stopping.
func TestDropOldestNeverWaits(t *testing.T) {
	m := task.NewMailbox[int](1, task.DropOldest)
	var senders conc.WaitGroup
	for n := range 64 {
		senders.Go(func() {
			for k := range 2000 {
				m.Send(context.Background(), n*2000+k)
			}
		})
	}
	senders.Wait()
	must.Eq(t, 1, m.Len())
}

// Guards against a sleep that continues after its context has ended.
func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		must.True(t, task.Sleep(t.Context(), time.Second))
		must.Eq(t, time.Second, time.Since(start))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		must.False(t, task.Sleep(ctx, time.Minute))
		must.Eq(t, 2*time.Second, time.Since(start))
	})
}
