package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/task"
)

// settleTime is how long an order without an answer may still take effect at an
// engine that ignores fencing tokens: the limit of a call and a margin. Loading a
// map may take longer, but a late load changes no map that is in use.
const settleTime = engine.GroupLimit + time.Second

// retryCall is the pause before a failed call is reported, so that a dead engine
// is not asked without pause.
const retryCall = 200 * time.Millisecond

// groupCaller is the task that calls the engine, one call after the other.
type groupCaller struct {
	engine  *engine.Engine
	mailbox *task.Mailbox[engineCall]
	group   *task.Mailbox[groupMessage]
}

// engineCall is an order, or without one a reading of the state.
type engineCall struct {
	generation int
	order      *expertmap.Order
	detail     bool
	// checks says that the engine checks fencing tokens.
	checks bool
}

// callCapacity holds the one order under way and a few readings.
const callCapacity = 8

func newGroupCaller(e *engine.Engine, group *task.Mailbox[groupMessage]) *groupCaller {
	return &groupCaller{engine: e, group: group, mailbox: task.NewMailbox[engineCall](callCapacity, task.Block)}
}

// poll asks for the state unless calls are waiting already.
func (c *groupCaller) poll(generation int, detail bool) {
	if c.mailbox.Len() == 0 {
		c.mailbox.Send(context.Background(), engineCall{generation: generation, detail: detail})
	}
}

func (c *groupCaller) order(ctx context.Context, generation int, checks bool, o expertmap.Order) {
	c.mailbox.Send(ctx, engineCall{generation: generation, order: &o, checks: checks})
}

func (c *groupCaller) run(ctx context.Context) error {
	defer c.mailbox.Close()
	for {
		select {
		case call := <-c.mailbox.Receive():
			c.group.Send(ctx, c.call(ctx, call))
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *groupCaller) call(ctx context.Context, call engineCall) engineAnswer {
	a := engineAnswer{generation: call.generation, order: call.order, result: expertmap.ResultDone}
	if call.order == nil || call.order.Kind == expertmap.OrderReadState {
		a.state, a.err = c.engine.Group(ctx, call.detail)
	} else {
		var answer engine.GroupAnswer
		answer, a.err = c.engine.GroupOrder(ctx, callName(call.order.Kind), orderBody(*call.order))
		a.state, a.result = answer.State, result(answer.Refused)
	}
	if a.err != nil {
		a.result = expertmap.ResultUnanswered
		pause(ctx, call.pause())
	}
	return a
}

// pause is the time after a failed call until it cannot take effect any more.
func (c engineCall) pause() time.Duration {
	if c.order == nil || c.checks {
		return retryCall
	}
	return settleTime
}

func callName(k expertmap.OrderKind) string {
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
	body := engine.GroupOrder{Token: o.Token, Step: o.Step, Run: o.RunEpoch}
	if o.Map != nil {
		body.Map = o.Map.Layers
	}
	return body
}

func result(refused string) expertmap.Result {
	switch refused {
	case "":
		return expertmap.ResultDone
	case engine.RefusedLate:
		return expertmap.ResultTooLate
	case engine.RefusedFenced:
		return expertmap.ResultFenced
	default:
		return expertmap.ResultMapMissing
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
