// Package standin holds what the stand-ins of the outside systems share: an
// HTTP server that ends with its context, and JSON answers. The stand-ins
// themselves are in the packages below it. They exist for tests and for the dev
// command; the product never imports them.
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

// headerTimeout bounds how long a connection may take to send a request head.
const headerTimeout = 10 * time.Second

// Serve answers HTTP requests on the listener until the context ends. It then
// closes every connection at once, as the death of the process would.
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
	if stopErr := group.Stop(headerTimeout); stopErr != nil {
		return stopErr
	}
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "HTTP server")
}

// Fault is the body of an answer that refuses a request.
type Fault struct {
	Error string `json:"error"`
	// Faults lists every single fault of a refused document.
	Faults []string `json:"faults,omitempty"`
	// Valid lists the values that would have been accepted.
	Valid []string `json:"valid,omitempty"`
}

// WriteJSON answers with a JSON document.
func WriteJSON[T any](w http.ResponseWriter, status int, document T) {
	body, err := json.Marshal(document)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has gone; there is nobody to tell.
	_, _ = w.Write(append(body, '\n'))
}

// Refuse answers with a Fault that holds only a sentence.
func Refuse(w http.ResponseWriter, status int, sentence string) {
	WriteJSON(w, status, Fault{Error: sentence})
}

// Stopped answers a request that the stand-in's task can no longer take.
func Stopped(w http.ResponseWriter) {
	Refuse(w, http.StatusServiceUnavailable, "the stand-in is stopping")
}
