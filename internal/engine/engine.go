// Package engine talks to a model engine over its HTTP interface: chat
// completions streamed as server-sent events, cancellation and load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// RequestHeader tells the engine the id under which a request can be canceled.
const RequestHeader = "X-Request-Id"

const (
	contentType = "Content-Type"
	jsonType    = "application/json"
	eventType   = "text/event-stream"
)

// cancelLimit bounds the call that cancels a request.
const cancelLimit = 2 * time.Second

// maxErrorBytes bounds what is read of an engine's error answer.
const maxErrorBytes = 64 << 10

// ErrCutOff means that a stream ended without its last event.
var ErrCutOff = errors.New("the stream of the engine was cut off")

// Engine is one model engine. It is immutable.
type Engine struct {
	url    string
	client *http.Client
}

// New returns the engine at the base URL.
func New(url string, client *http.Client) *Engine { return &Engine{url: url, client: client} }

// Call is one attempt at a completion.
type Call struct {
	Request ident.RequestID
	Attempt ident.Attempt
	Class   ident.PriorityClass
	// Resume is the number of tokens that the caller already has.
	Resume uint64
	// Body is the caller's request body, a JSON object.
	Body []byte
}

// StatusError is an answer of the engine other than a stream.
type StatusError struct {
	Status int
	Type   string
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string { return "engine answered status " + strconv.Itoa(e.Status) }

// Complete runs the call. Each batch holds the data of the events that were
// ready at once, in order, without the final [DONE]. Emit blocks to slow the
// engine down and returns false to stop.
func (e *Engine) Complete(ctx context.Context, call Call, emit func(batch [][]byte) bool) error {
	body, err := rewrite(call)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "engine request")
	}
	request.Header.Set(contentType, jsonType)
	request.Header.Set("Accept", eventType)
	request.Header.Set(RequestHeader, callID(call.Request, call.Attempt))
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "engine request")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	return readEvents(response.Body, emit)
}

func statusError(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return errors.Wrap(err, "engine answer")
	}
	return &StatusError{Status: response.StatusCode, Type: response.Header.Get(contentType), Body: body}
}

// Cancel stops a call that is running or waiting in the engine.
func (e *Engine) Cancel(ctx context.Context, request ident.RequestID, attempt ident.Attempt) error {
	limited, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	path := e.url + "/v1/requests/" + url.PathEscape(callID(request, attempt))
	r, err := http.NewRequestWithContext(limited, http.MethodDelete, path, nil)
	if err != nil {
		return errors.Wrap(err, "engine cancellation")
	}
	response, err := e.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "engine cancellation")
	}
	return errors.Wrap(response.Body.Close(), "engine cancellation")
}

// callID names one attempt, so that canceling an old attempt cannot stop a new one.
func callID(request ident.RequestID, attempt ident.Attempt) string {
	return string(request) + "." + strconv.FormatUint(uint64(attempt), 10)
}

// Load is an engine's load report.
type Load struct {
	Running         int     `json:"running"`
	Queued          int     `json:"queued"`
	Slots           int     `json:"slots"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	Leaving         bool    `json:"leaving"`
	AgeMS           int64   `json:"age_ms"`
}

// Load reads the engine's load report.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	limited, cancel := context.WithTimeout(ctx, cancelLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, e.url+"/v1/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "engine load")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "engine load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("engine load: status %d", response.StatusCode)
	}
	var load Load
	err = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&load)
	return load, errors.Wrap(err, "engine load")
}
