package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

// Kinds of orders.
const (
	OrderLoadModel   = "load-model"
	OrderLoadAdapter = "load-adapter"
	OrderRole        = "role"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Fencing ident.FencingToken `json:"fencing"`
	Kind    string             `json:"kind"`
	// Model and Version are set for load-model; Model and Adapter for load-adapter.
	Model   ident.ModelName `json:"model,omitempty"`
	Version string          `json:"version,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	// Role is set for role.
	Role string `json:"role,omitempty"`
	// Bytes is the size of the weights to load.
	Bytes int64 `json:"bytes,omitempty"`
}

// OrderReply answers an order. A refused order is answered with status 409.
type OrderReply struct {
	// Fencing is the highest token after the order.
	Fencing ident.FencingToken `json:"fencing"`
	Error   string             `json:"error,omitempty"`
}

// OrderCounts is the ground truth about the engine's orders.
type OrderCounts struct {
	Obeyed  uint64 `json:"obeyed"`
	Refused uint64 `json:"refused"`
	// Superseded counts the obeyed orders whose token was below that of an
	// earlier obeyed order.
	Superseded uint64 `json:"superseded"`
}

// orders holds what the engine was told to do.
type orders struct {
	checks  bool
	highest ident.FencingToken
	last    Order
	role    string
	models  []Model
	counts  OrderCounts
}

func newOrders(c Config) *orders {
	o := &orders{checks: c.ChecksFencing, role: c.Role}
	for _, m := range c.Models {
		m.Adapters = append([]string{}, m.Adapters...)
		o.models = append(o.models, m)
	}
	return o
}

// check returns why an order is malformed, or an empty string.
func (o Order) check() string {
	switch {
	case o.Kind == OrderLoadModel && (o.Model == "" || o.Version == ""):
		return "load-model needs model and version"
	case o.Kind == OrderLoadAdapter && (o.Model == "" || o.Adapter == ""):
		return "load-adapter needs model and adapter"
	case o.Kind == OrderRole && o.Role == "":
		return "role needs role"
	case o.Kind != OrderLoadModel && o.Kind != OrderLoadAdapter && o.Kind != OrderRole:
		return fmt.Sprintf("unknown kind %q; the kinds are load-model, load-adapter and role", o.Kind)
	}
	return ""
}

// take decides about an order. The second result says that the order is new and
// must be carried out.
func (o *orders) take(order Order) (OrderReply, bool) {
	if order == o.last {
		return OrderReply{Fencing: o.highest}, false
	}
	old := order.Fencing <= o.highest
	if old && o.checks {
		o.counts.Refused++
		return OrderReply{Fencing: o.highest, Error: fmt.Sprintf("the fencing token %d is not above %d", order.Fencing, o.highest)}, false
	}
	if old {
		o.counts.Superseded++
	}
	o.counts.Obeyed++
	o.highest = max(o.highest, order.Fencing)
	o.last = order
	return OrderReply{Fencing: o.highest}, true
}

// model returns the named model and adds it if it is new.
func (o *orders) model(name ident.ModelName) *Model {
	for n := range o.models {
		if o.models[n].Name == name {
			return &o.models[n]
		}
	}
	o.models = append(o.models, Model{Name: name, Adapters: []string{}})
	return &o.models[len(o.models)-1]
}

// serves reports whether a version of the model is loaded.
func (o *orders) serves(name ident.ModelName) bool {
	for _, m := range o.models {
		if m.Name == name && m.Version != "" {
			return true
		}
	}
	return false
}

func (o *orders) list() []Model {
	list := make([]Model, 0, len(o.models))
	for _, m := range o.models {
		m.Adapters = append([]string{}, m.Adapters...)
		list = append(list, m)
	}
	return list
}

// obey carries an order out.
func (e *Engine) obey(order Order) {
	switch order.Kind {
	case OrderRole:
		e.orders.role = order.Role
		return
	case OrderLoadModel:
		e.orders.model(order.Model).Loading = order.Version
	}
	e.loaders.Go("load", func(ctx context.Context) error {
		if err := e.download(ctx, order); err != nil {
			return err
		}
		e.mailbox.Send(ctx, &loaded{order: order})
		return nil
	})
}

// download reads the weights, and tries again for as long as the weight store
// is over its rate or cannot be reached.
func (e *Engine) download(ctx context.Context, order Order) error {
	if e.config.WeightStore == "" {
		return wait(ctx, e.config.LoadTime)
	}
	name := string(order.Model) + "@" + order.Version + order.Adapter
	target := e.config.WeightStore + "/v1/weights/" + url.PathEscape(name) + "?bytes=" + strconv.FormatInt(order.Bytes, 10)
	for {
		pause, err := e.fetch(ctx, target)
		if err == nil && pause == 0 {
			return nil
		}
		if err := wait(ctx, max(pause, time.Second)); err != nil {
			return err
		}
	}
}

// fetch returns how long to wait before the next try, or zero when the weights
// were read whole.
func (e *Engine) fetch(ctx context.Context, target string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrap(err, "weight store request")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "weight store")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return max(time.Second, time.Duration(seconds)*time.Second), nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	return 0, errors.Wrap(err, "weight store")
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func dialer(n network.Network) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
}
