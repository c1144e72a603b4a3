package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/task"
)

// settleTime is how long an order without an answer may still take effect at an
// engine that ignores fencing tokens: the timeout of a call plus a margin. Loading a
// map may take longer, but a late load changes no map that is in use.
const settleTime = engine.GroupTimeout + time.Second

// failedCallDelay is the delay before a failed call is reported, so that an engine
// that is down is not called in a tight loop.
const failedCallDelay = 200 * time.Millisecond

// groupCaller is the task that calls the engine's group interface, one call at a
// time.
type groupCaller struct {
	engine  *engine.Engine
	mailbox *task.Mailbox[engineCall]
	results *task.Mailbox[groupMessage]
}

// engineCall is an order or, if order is nil, a read of the engine's group state.
type engineCall struct {
	generation int
	order      *expertmap.Order
	// detail asks for the map and the work by expert with the state.
	detail bool
	// checksFencing is set if the engine checks fencing tokens.
	checksFencing bool
}

// callMailboxCapacity is enough for the one order in progress and a few reads.
const callMailboxCapacity = 8

func newGroupCaller(e *engine.Engine, group *task.Mailbox[groupMessage]) *groupCaller {
	return &groupCaller{engine: e, results: group, mailbox: task.NewMailbox[engineCall](callMailboxCapacity, task.Block)}
}

// poll reads the engine's state unless other calls are waiting.
func (c *groupCaller) poll(generation int, detail bool) {
	if c.mailbox.Len() == 0 {
		c.mailbox.Send(context.Background(), engineCall{generation: generation, detail: detail})
	}
}

func (c *groupCaller) order(ctx context.Context, generation int, checksFencing bool, o expertmap.Order) {
	c.mailbox.Send(ctx, engineCall{generation: generation, order: &o, checksFencing: checksFencing})
}

func (c *groupCaller) run(ctx context.Context) error {
	defer c.mailbox.Close()
	for {
		select {
		case call := <-c.mailbox.Receive():
			c.results.Send(ctx, c.call(ctx, call))
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *groupCaller) call(ctx context.Context, call engineCall) engineCallResult {
	a := engineCallResult{generation: call.generation, order: call.order, result: expertmap.ResultDone}
	if call.order == nil || call.order.Kind == expertmap.OrderReadState {
		a.state, a.err = c.engine.Group(ctx, call.detail)
	} else {
		var answer engine.GroupAnswer
		answer, a.err = c.engine.SendGroupOrder(ctx, groupCallName(call.order.Kind), orderBody(*call.order))
		a.state, a.result = answer.State, orderResult(answer.Refused)
	}
	if a.err != nil {
		a.result = expertmap.ResultUnanswered
		sleep(ctx, call.failureDelay())
	}
	return a
}

// failureDelay returns the delay before a failed call is reported. For an engine that
// ignores fencing tokens, an order can no longer take effect after it.
func (c engineCall) failureDelay() time.Duration {
	if c.order == nil || c.checksFencing {
		return failedCallDelay
	}
	return settleTime
}

func groupCallName(k expertmap.OrderKind) string {
	switch k {
	case expertmap.OrderLoad:
		return "load"
	case expertmap.OrderRelease:
		return "release"
	default:
		return "arm"
	}
}

func orderBody(o expertmap.Order) engine.GroupOrder {
	body := engine.GroupOrder{Token: o.Token, Step: o.Step, RunEpoch: o.RunEpoch}
	if o.Map != nil {
		body.Map = o.Map.Layers
	}
	return body
}

func orderResult(refused string) expertmap.Result {
	switch refused {
	case "":
		return expertmap.ResultDone
	case engine.RefusedTooLate:
		return expertmap.ResultTooLate
	case engine.RefusedFenced:
		return expertmap.ResultFenced
	default:
		return expertmap.ResultMapMissing
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
