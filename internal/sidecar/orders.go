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

// engineCallLimit bounds a read-back and the answer to an order. The engine
// loads in the background.
const engineCallLimit = 2 * time.Second

// orderAnswer passes what the engine answered to the control task.
type orderAnswer struct{ message orders.Message }

func (orderAnswer) isControlMessage() {}

// orderer makes the calls that package orders decides on.
type orderer struct {
	engine  *engine.Engine
	group   *task.Group
	control *task.Mailbox[controlMessage]
	// model is the model that the record gives to the engine, and bytes its size.
	model func() (ident.ModelName, int64)
}

func (o *orderer) readBack() {
	model, _ := o.model()
	o.group.Go("engine read-back", func(ctx context.Context) error {
		limited, cancel := context.WithTimeout(ctx, engineCallLimit)
		defer cancel()
		asked := time.Now()
		state, err := o.engine.State(limited)
		if err != nil {
			o.control.Send(ctx, orderAnswer{orders.ReadBackFailed{}})
			return nil
		}
		o.control.Send(ctx, orderAnswer{observed(asked, state, model)})
		return nil
	})
}

// observed reduces an engine's state to the model that the record asks for.
func observed(asked time.Time, s engine.State, model ident.ModelName) orders.Observed {
	out := orders.Observed{RequestedAt: asked, State: orders.State{Role: s.Role}}
	if s.ChecksFencing {
		out.HighestToken = s.Fencing
	}
	for _, m := range s.Models {
		out.Loading = out.Loading || m.Loading != ""
		if m.Name == model && m.Version != "" {
			out.State.Model, out.State.Version, out.State.Adapters = m.Name, m.Version, m.Adapters
		}
	}
	return out
}

func (o *orderer) send(order orders.Order) {
	_, bytes := o.model()
	o.group.Go("engine order", func(ctx context.Context) error {
		o.control.Send(ctx, orderAnswer{orders.OrderEnded{Token: order.Token, Result: o.write(ctx, order, bytes)}})
		return nil
	})
}

// write checks the lease right before the order is written.
func (o *orderer) write(ctx context.Context, order orders.Order, bytes int64) orders.Result {
	limited, cancel := context.WithTimeout(ctx, engineCallLimit)
	defer cancel()
	message := engine.Order{
		Fencing: order.Token, Kind: string(order.Kind), Model: order.Model, Version: order.Version,
		Adapter: order.Adapter, Role: order.Role,
	}
	if order.Kind == orders.LoadModel {
		message.Bytes = bytes
	}
	if !order.MayWrite(time.Now()) {
		return orders.NotSent
	}
	switch err := o.engine.Send(limited, message); {
	case err == nil:
		return orders.Done
	case errors.Is(err, engine.ErrOldToken):
		return orders.Refused
	default:
		return orders.Failed
	}
}
