package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// State is the state that an engine reports.
type State struct {
	Role   record.ReplicaRole `json:"role"`
	Models []ModelState       `json:"models"`
	// HighestToken is the greatest fencing token of an order that the engine carried out.
	HighestToken ident.FencingToken `json:"fencing"`
	// ChecksFencing is true if the engine refuses orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing"`
}

// ModelState is the state of one model in an engine.
type ModelState struct {
	Name     ident.ModelName `json:"name"`
	Version  string          `json:"version"`
	Adapters []string        `json:"adapters"`
	// Loading is the version that is being loaded, or empty.
	Loading string `json:"loading"`
}

// Order is an order to an engine.
type Order struct {
	FencingToken ident.FencingToken `json:"fencing"`
	Kind         string             `json:"kind"`
	Model        ident.ModelName    `json:"model,omitempty"`
	Version      string             `json:"version,omitempty"`
	Adapter      string             `json:"adapter,omitempty"`
	Role         record.ReplicaRole `json:"role,omitempty"`
	// Bytes is the size of the weights in bytes.
	Bytes int64 `json:"bytes,omitempty"`
}

// ErrFenced means that the engine has already carried out an order with a greater
// fencing token.
var ErrFenced = errors.New("engine has seen a greater fencing token")

// State reads the engine's state.
func (e *Engine) State(ctx context.Context) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/v1/state", nil)
	if err != nil {
		return State{}, errors.Wrap(err, "read engine state")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return State{}, errors.Wrap(err, "read engine state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, errors.Errorf("read engine state: status %d", response.StatusCode)
	}
	var state State
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&state)
	return state, errors.Wrap(err, "decode engine state")
}

// SendOrder sends an order. The error wraps ErrOldToken if the engine refused the order
// because of its fencing token.
func (e *Engine) SendOrder(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrapf(err, "encode engine order %s", o.Kind)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create engine order %s", o.Kind)
	}
	request.Header.Set(contentTypeHeader, jsonType)
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "send engine order %s", o.Kind)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrapf(ErrFenced, "engine refused order %s with fencing token %d", o.Kind, o.FencingToken)
	default:
		return errors.Errorf("send engine order %s: status %d", o.Kind, response.StatusCode)
	}
}
