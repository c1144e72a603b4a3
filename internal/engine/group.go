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

// GroupLimit bounds a call of the group interface. It is shorter than the time
// after which an order without an answer counts as settled.
const GroupLimit = 2 * time.Second

// loadLimit bounds the loading of a map, which answers once the weights are there.
const loadLimit = 30 * time.Second

// maxGroupBytes bounds an answer that holds a map and the work by expert.
const maxGroupBytes = 8 << 20

// GroupState is what an engine says about its part of a group: GET /v1/group.
type GroupState struct {
	Boot    uint64            `json:"boot"`
	Current expertmap.Epoch   `json:"current"`
	Next    expertmap.Epoch   `json:"next"`
	Map     []expertmap.Layer `json:"map,omitempty"`
	Entered uint64            `json:"entered"`
	Armed   expertmap.Epoch   `json:"armed"`
	Held    bool              `json:"held"`
	Fence   expertmap.Epoch   `json:"fence"`
	// ComputeMicros is the rank's time for a fixed amount of work.
	ComputeMicros uint32 `json:"compute_micros"`
	// StepMicros is the recent mean step time, and RankMicros the part in which
	// this rank worked instead of waiting for the others.
	StepMicros float64 `json:"step_micros"`
	RankMicros float64 `json:"rank_micros"`
	// Work counts, since the start, the tokens by layer and expert.
	Work [][]float64 `json:"work,omitempty"`
}

// GroupOrder is the body of POST /v1/group/load, arm and release. Arming for
// step 0 stops the engine before its next step.
type GroupOrder struct {
	Token expertmap.Epoch   `json:"token"`
	Map   []expertmap.Layer `json:"map,omitempty"`
	Step  uint64            `json:"step,omitempty"`
	Run   expertmap.Epoch   `json:"run,omitempty"`
}

// GroupAnswer is the answer to a GroupOrder: status 200, or 409 with a refusal.
type GroupAnswer struct {
	// Refused is late, fenced or lost; empty if the engine obeyed.
	Refused string     `json:"refused,omitempty"`
	State   GroupState `json:"state"`
}

// Refusals of orders.
const (
	RefusedLate   = "late"
	RefusedFenced = "fenced"
	RefusedLost   = "lost"
)

// Group reads the engine's part of a group, with the map and the work by expert
// if detail is set.
func (e *Engine) Group(ctx context.Context, detail bool) (GroupState, error) {
	path := "/v1/group"
	if detail {
		path += "?detail=true"
	}
	var state GroupState
	err := e.groupCall(ctx, http.MethodGet, path, nil, &state)
	return state, err
}

// GroupOrder gives an order: call is load, arm or release. An error means that
// the engine may or may not have obeyed.
func (e *Engine) GroupOrder(ctx context.Context, call string, order GroupOrder) (GroupAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return GroupAnswer{}, errors.Wrap(err, "engine group")
	}
	var answer GroupAnswer
	err = e.groupCall(ctx, http.MethodPost, "/v1/group/"+call, body, &answer)
	return answer, err
}

func (e *Engine) groupCall(ctx context.Context, method, path string, body []byte, answer any) error {
	limit := GroupLimit
	if path == "/v1/group/load" {
		limit = loadLimit
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, method, e.url+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine group")
	}
	request.Header.Set(contentType, jsonType)
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "engine group")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		return errors.Errorf("engine group: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxGroupBytes)).Decode(answer)
	return errors.Wrap(err, "engine group")
}
