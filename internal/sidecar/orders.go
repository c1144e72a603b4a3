package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// engineCallTimeout bounds a read of the engine's state and the sending of an order.
// It does not cover the time of a load, which the engine does in the background.
const engineCallTimeout = 2 * time.Second

// orderAnswer is the result of an engine call, sent to the control task.
type orderAnswer struct{ message orders.Message }

func (orderAnswer) isControlMessage() {}

// orderCaller reads the engine's state and sends it the orders that package orders
// decides on.
type orderCaller struct {
	engine  *engine.Engine
	tasks   *task.Group
	control *task.Mailbox[controlMessage]
	// model returns the model that the record assigns to the engine, and its size in
	// bytes.
	model func() (ident.ModelName, int64)
}

func (o *orderCaller) readBack() {
	model, _ := o.model()
	o.tasks.Go("engine read-back", func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
		defer cancel()
		asked := time.Now()
		state, err := o.engine.State(callCtx)
		if err != nil {
			o.control.Send(ctx, orderAnswer{orders.ReadBackFailed{}})
			return nil
		}
		o.control.Send(ctx, orderAnswer{observed(asked, state, model)})
		return nil
	})
}

// observed extracts the state of the model that the record assigns to the engine.
func observed(asked time.Time, s engine.State, model ident.ModelName) orders.Observed {
	out := orders.Observed{RequestedAt: asked, State: orders.State{Role: s.Role}}
	if s.ChecksFencing {
		out.HighestToken = s.HighestToken
	}
	for _, m := range s.Models {
		out.Loading = out.Loading || m.Loading != ""
		if m.Name == model && m.Version != "" {
			out.State.Model, out.State.Version, out.State.Adapters = m.Name, m.Version, m.Adapters
		}
	}
	return out
}

func (o *orderCaller) send(order orders.Order) {
	_, bytes := o.model()
	o.tasks.Go("engine order", func(ctx context.Context) error {
		o.control.Send(ctx, orderAnswer{orders.OrderEnded{Token: order.Token, Result: o.write(ctx, order, bytes)}})
		return nil
	})
}

// write sends the order. It checks the order's deadline immediately before, because
// the process may have been paused since the decision.
func (o *orderCaller) write(ctx context.Context, order orders.Order, bytes int64) orders.Result {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	message := engine.Order{
		FencingToken: order.Token, Kind: string(order.Kind), Model: order.Model, Version: order.Version,
		Adapter: order.Adapter, Role: order.Role,
	}
	if order.Kind == orders.LoadModel {
		message.Bytes = bytes
	}
	if !order.MayWrite(time.Now()) {
		return orders.NotSent
	}
	switch err := o.engine.SendOrder(callCtx, message); {
	case err == nil:
		return orders.Done
	case errors.Is(err, engine.ErrFenced):
		return orders.Refused
	default:
		return orders.Failed
	}
}
