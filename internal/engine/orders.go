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

// State is what an engine reports of itself.
type State struct {
	Role   record.ReplicaRole `json:"role"`
	Models []ModelState       `json:"models"`
	// Fencing is the greatest token of an obeyed order.
	Fencing ident.FencingToken `json:"fencing"`
	// ChecksFencing says that the engine refuses orders with an old token.
	ChecksFencing bool `json:"checks_fencing"`
}

// ModelState is one model of an engine.
type ModelState struct {
	Name     ident.ModelName `json:"name"`
	Version  string          `json:"version"`
	Adapters []string        `json:"adapters"`
	// Loading is the version that is being loaded, or empty.
	Loading string `json:"loading"`
}

// Order is an order to an engine.
type Order struct {
	Fencing ident.FencingToken `json:"fencing"`
	Kind    string             `json:"kind"`
	Model   ident.ModelName    `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Role    record.ReplicaRole `json:"role,omitempty"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes,omitempty"`
}

// ErrOldToken means that the engine has obeyed an order with a greater token.
var ErrOldToken = errors.New("the engine has seen a greater fencing token")

// State reads the engine's state.
func (e *Engine) State(ctx context.Context) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.url+"/v1/state", nil)
	if err != nil {
		return State{}, errors.Wrap(err, "engine state")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return State{}, errors.Wrap(err, "engine state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, errors.Errorf("engine state: status %d", response.StatusCode)
	}
	var state State
	err = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&state)
	return state, errors.Wrap(err, "engine state")
}

// Send sends an order. The error wraps ErrOldToken if the engine refused it for
// its token.
func (e *Engine) Send(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	request.Header.Set(contentType, jsonType)
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "engine order")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Wrap(ErrOldToken, "engine order")
	default:
		return errors.Errorf("engine order: status %d", response.StatusCode)
	}
}
