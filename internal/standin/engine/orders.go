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
	// Role is set for orders of the kind role.
	Role string `json:"role,omitempty"`
	// Bytes is the size of the weights to load.
	Bytes int64 `json:"bytes,omitempty"`
}

// OrderReply is the answer to an order. Its status is 409 if the order was refused.
type OrderReply struct {
	// Fencing is the highest token of an executed order, including this one.
	Fencing ident.FencingToken `json:"fencing"`
	Error   string             `json:"error,omitempty"`
}

// OrderCounts counts orders, as ground truth for tests.
type OrderCounts struct {
	Executed uint64 `json:"obeyed"`
	Refused  uint64 `json:"refused"`
	// Superseded counts the executed orders whose token was not greater than that of an
	// earlier executed order. An engine that checks fencing tokens has none.
	Superseded uint64 `json:"superseded"`
}

// orders holds the fencing state and what the executed orders have set: role and models.
type orders struct {
	checksFencing bool
	highestToken  ident.FencingToken
	last          Order
	role          string
	models        []Model
	counts        OrderCounts
}

func newOrders(c Config) *orders {
	o := &orders{checksFencing: c.ChecksFencing, role: c.Role}
	for _, m := range c.Models {
		m.Adapters = append([]string{}, m.Adapters...)
		o.models = append(o.models, m)
	}
	return o
}

// validate returns why an order is malformed, or an empty string.
func (o Order) validate() string {
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

// accept checks the fencing token of an order. The second result is true if the order is
// new and must be executed; a repetition of the last executed order is not.
func (o *orders) accept(order Order) (OrderReply, bool) {
	if order == o.last {
		return OrderReply{Fencing: o.highestToken}, false
	}
	stale := order.Fencing <= o.highestToken
	if stale && o.checksFencing {
		o.counts.Refused++
		return OrderReply{Fencing: o.highestToken, Error: fmt.Sprintf("fencing token %d is not greater than %d, the highest token executed", order.Fencing, o.highestToken)}, false
	}
	if stale {
		o.counts.Superseded++
	}
	o.counts.Executed++
	o.highestToken = max(o.highestToken, order.Fencing)
	o.last = order
	return OrderReply{Fencing: o.highestToken}, true
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

// hasModel reports whether a version of the model is loaded.
func (o *orders) hasModel(name ident.ModelName) bool {
	for _, m := range o.models {
		if m.Name == name && m.Version != "" {
			return true
		}
	}
	return false
}

func (o *orders) modelList() []Model {
	list := make([]Model, 0, len(o.models))
	for _, m := range o.models {
		m.Adapters = append([]string{}, m.Adapters...)
		list = append(list, m)
	}
	return list
}

// execute executes an accepted order. Loading goes on after it returns.
func (e *Engine) execute(order Order) {
	switch order.Kind {
	case OrderRole:
		e.orders.role = order.Role
		return
	case OrderLoadModel:
		e.orders.model(order.Model).Loading = order.Version
	}
	e.downloads.Go("load", func(ctx context.Context) error {
		if err := e.download(ctx, order); err != nil {
			return err
		}
		e.mailbox.Send(ctx, &downloadFinished{order: order})
		return nil
	})
}

// download reads the weights of an order. It retries while the weight store refuses or
// cannot be reached.
func (e *Engine) download(ctx context.Context, order Order) error {
	if e.config.WeightStore == "" {
		return sleep(ctx, e.config.LoadTime)
	}
	name := string(order.Model) + "@" + order.Version + order.Adapter
	target := e.config.WeightStore + "/v1/weights/" + url.PathEscape(name) + "?bytes=" + strconv.FormatInt(order.Bytes, 10)
	for {
		retryAfter, err := e.fetch(ctx, target)
		if err == nil && retryAfter == 0 {
			return nil
		}
		if err := sleep(ctx, max(retryAfter, time.Second)); err != nil {
			return err
		}
	}
}

// fetch reads weights once. It returns the time to wait before a retry, or zero if the
// weights were read completely.
func (e *Engine) fetch(ctx context.Context, target string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, errors.Wrapf(err, "create request for %s", target)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "request weights")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return max(time.Second, time.Duration(seconds)*time.Second), nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	return 0, errors.Wrap(err, "read weights")
}

func sleep(ctx context.Context, d time.Duration) error {
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
