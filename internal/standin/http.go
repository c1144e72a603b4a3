// Package standin holds what the stand-ins of outside systems share: an HTTP server
// that ends with its context, and JSON answers. The stand-ins themselves are in the
// packages below it. They exist for tests and development; no component of the
// product uses them.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/task"
)

// headerTimeout is the timeout for reading the headers of a request.
const headerTimeout = 10 * time.Second

// closeTimeout is the timeout for closing the connections at the end of Serve.
const closeTimeout = 10 * time.Second

// Serve answers HTTP requests on the listener until the context ends. It then
// closes every connection at once, as when the process is killed.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	group := task.NewGroup(ctx)
	done := make(chan struct{})
	group.Go("close", func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-done:
		}
		return server.Close()
	})
	err := server.Serve(listener)
	close(done)
	if stopErr := group.Stop(closeTimeout); stopErr != nil {
		return stopErr
	}
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve HTTP on %s", listener.Addr())
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
	// Errors lists all errors of a document that was refused.
	Errors []string `json:"faults,omitempty"`
	// Valid lists the values that would have been accepted.
	Valid []string `json:"valid,omitempty"`
}

// WriteJSON answers a request with a body in JSON.
func WriteJSON[T any](w http.ResponseWriter, status int, body T) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(append(encoded, '\n'))
}

// WriteError answers a request with an error message.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// WriteStopped answers a request with status 503, since the stand-in's task has ended.
func WriteStopped(w http.ResponseWriter) {
	WriteError(w, http.StatusServiceUnavailable, "the stand-in is stopping")
}
