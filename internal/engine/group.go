package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
)

// GroupTimeout bounds a call of the group interface other than the loading of a map. It is
// shorter than the time after which an unanswered order is considered settled.
const GroupTimeout = 2 * time.Second

// mapLoadTimeout bounds the loading of a map. The engine answers once it has the weights.
const mapLoadTimeout = 30 * time.Second

// maxGroupBytes bounds an answer, which may contain a map and the work by expert.
const maxGroupBytes = 8 << 20

// GroupState is the state of an engine's part of a group, as answered to GET /v1/group.
type GroupState struct {
	// Boot is unique to each start of the engine.
	Boot uint64 `json:"boot"`
	// Current is the epoch of the map in use, and Next of the map used from the armed step
	// on.
	Current expertmap.Epoch `json:"current"`
	Next    expertmap.Epoch `json:"next"`
	// Map is the map of epoch Next.
	Map []expertmap.Layer `json:"map,omitempty"`
	// Entered is the last step that the engine entered.
	Entered uint64 `json:"entered"`
	// Armed is the epoch whose decision the engine waits for, zero without one.
	Armed expertmap.Epoch `json:"armed"`
	// Held is true while the engine enters no step.
	Held bool `json:"held"`
	// HighestToken is the greatest fencing token that the engine has seen.
	HighestToken expertmap.Epoch `json:"fence"`
	// ComputeMicros is the rank's time for a fixed amount of work, in microseconds.
	ComputeMicros uint32 `json:"compute_micros"`
	// StepMicros is the recent mean step time in microseconds, and RankMicros the part of
	// it in which this rank computed instead of waiting for the others.
	StepMicros float64 `json:"step_micros"`
	RankMicros float64 `json:"rank_micros"`
	// Work is the number of tokens since the engine's start, by layer and expert.
	Work [][]float64 `json:"work,omitempty"`
}

// GroupOrder is the body of POST /v1/group/load, /v1/group/arm and /v1/group/release.
// Arming for step 0 stops the engine before its next step.
type GroupOrder struct {
	// Token is the fencing token of the order.
	Token expertmap.Epoch   `json:"token"`
	Map   []expertmap.Layer `json:"map,omitempty"`
	// Step is the step before which an armed engine stops.
	Step uint64 `json:"step,omitempty"`
	// RunEpoch is the epoch of the map to run after a release.
	RunEpoch expertmap.Epoch `json:"run,omitempty"`
}

// GroupAnswer is the answer to a GroupOrder, with status 200, or 409 for a refusal.
type GroupAnswer struct {
	// Refused is the reason of a refusal, or empty if the engine carried out the order.
	Refused string     `json:"refused,omitempty"`
	State   GroupState `json:"state"`
}

// The reasons for which an engine refuses an order.
const (
	// RefusedTooLate means that the engine has already entered the step.
	RefusedTooLate = "late"
	// RefusedFenced means that the engine has seen a greater fencing token.
	RefusedFenced = "fenced"
	// RefusedMapMissing means that the engine does not have the map that the order names.
	RefusedMapMissing = "lost"
)

// Group reads the state of the engine's part of a group. With detail, the state contains
// the map and the work by expert.
func (e *Engine) Group(ctx context.Context, detail bool) (GroupState, error) {
	path := "/v1/group"
	if detail {
		path += "?detail=true"
	}
	var state GroupState
	err := e.groupCall(ctx, http.MethodGet, path, nil, &state)
	return state, err
}

// SendGroupOrder sends an order. Operation is load, arm or release. After an error the engine
// may have carried it out.
func (e *Engine) SendGroupOrder(ctx context.Context, operation string, order GroupOrder) (GroupAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return GroupAnswer{}, errors.Wrapf(err, "encode group order %s", operation)
	}
	var answer GroupAnswer
	err = e.groupCall(ctx, http.MethodPost, "/v1/group/"+operation, body, &answer)
	return answer, err
}

func (e *Engine) groupCall(ctx context.Context, method, path string, body []byte, answer any) error {
	timeout := GroupTimeout
	if path == "/v1/group/load" {
		timeout = mapLoadTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, method, e.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create engine request %s %s", method, path)
	}
	request.Header.Set(contentTypeHeader, jsonType)
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "send engine request %s %s", method, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return errors.Errorf("engine request %s %s: status %d", method, path, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxGroupBytes)).Decode(answer)
	return errors.Wrapf(err, "decode engine answer to %s %s", method, path)
}
