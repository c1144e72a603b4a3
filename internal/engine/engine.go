// Package engine is a client of a model engine's HTTP interface: chat completions
// streamed as server-sent events, cancellation, load reports, orders, and the engine's
// part of an expert-parallel group.
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

// RequestIDHeader is the header that carries the id under which a request can be
// cancelled.
const RequestIDHeader = "X-Request-Id"

const (
	contentTypeHeader = "Content-Type"
	jsonType          = "application/json"
	eventStreamType   = "text/event-stream"
)

// callTimeout bounds a cancellation and the reading of a load report.
const callTimeout = 2 * time.Second

// maxAnswerBytes bounds what is read of an error, a load report or a state.
const maxAnswerBytes = 64 << 10

// ErrTruncated means that a stream ended, or that emit stopped it, before its last event.
var ErrTruncated = errors.New("engine stream ended before [DONE]")

// truncatedError is ErrTruncated with its cause.
type truncatedError struct{ cause error }

// Error implements error.
func (e truncatedError) Error() string { return ErrTruncated.Error() + ": " + e.cause.Error() }

// Unwrap returns ErrTruncated and the cause.
func (e truncatedError) Unwrap() []error { return []error{ErrTruncated, e.cause} }

// Engine is a client of one model engine. It is immutable.
type Engine struct {
	url    string
	client *http.Client
}

// New returns a client of the engine at the base URL.
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

// StatusError is an answer of the engine with a status other than 200.
type StatusError struct {
	Status int
	// Type is the content type of Body.
	Type string
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string { return "engine answered with status " + strconv.Itoa(e.Status) }

// Complete runs the call. Each batch holds the data of the events that were available
// at the same time, in order, without the final [DONE]. Emit may block, which slows the
// engine down, and returns false to stop.
func (e *Engine) Complete(ctx context.Context, call Call, emit func(batch [][]byte) bool) error {
	body, err := completionBody(call)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create completion request")
	}
	request.Header.Set(contentTypeHeader, jsonType)
	request.Header.Set("Accept", eventStreamType)
	request.Header.Set(RequestIDHeader, attemptID(call.Request, call.Attempt))
	response, err := e.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send completion request to the engine")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	return readEvents(response.Body, emit)
}

// statusError returns the answer as a StatusError.
func statusError(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrapf(err, "read engine answer with status %d", response.StatusCode)
	}
	if len(body) > maxAnswerBytes {
		return errors.Errorf("engine answer with status %d exceeds %d bytes", response.StatusCode, maxAnswerBytes)
	}
	return &StatusError{Status: response.StatusCode, Type: response.Header.Get(contentTypeHeader), Body: body}
}

// Cancel cancels an attempt that is running or queued in the engine.
func (e *Engine) Cancel(ctx context.Context, request ident.RequestID, attempt ident.Attempt) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := e.url + "/v1/requests/" + url.PathEscape(attemptID(request, attempt))
	r, err := http.NewRequestWithContext(limited, http.MethodDelete, path, nil)
	if err != nil {
		return errors.Wrap(err, "create cancellation request")
	}
	response, err := e.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "cancel request at the engine")
	}
	return errors.Wrap(response.Body.Close(), "cancel request at the engine")
}

// attemptID identifies one attempt, so that cancelling an old attempt cannot stop a new
// one.
func attemptID(request ident.RequestID, attempt ident.Attempt) string {
	return string(request) + "." + strconv.FormatUint(uint64(attempt), 10)
}

// Load is an engine's load report.
type Load struct {
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the engine can run at once.
	Slots           int     `json:"slots"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Leaving is true once the engine has announced that it will shut down.
	Leaving bool `json:"leaving"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Load reads the engine's load report.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodGet, e.url+"/v1/load", nil)
	if err != nil {
		return Load{}, errors.Wrap(err, "read engine load")
	}
	response, err := e.client.Do(request)
	if err != nil {
		return Load{}, errors.Wrap(err, "read engine load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Load{}, errors.Errorf("read engine load: status %d", response.StatusCode)
	}
	var load Load
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&load)
	return load, errors.Wrap(err, "decode engine load")
}
