// Package operations serves the operators' listener of a process: /healthz,
// /readyz and /metrics.
package operations

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/anvilpoint/anvilpoint/internal/network"
)

// headerLimit bounds how long a client may take to send the head of a request.
const headerLimit = 10 * time.Second

// closeLimit bounds the end of a server whose connections are to finish.
const closeLimit = 2 * time.Second

// Readiness answers /readyz. The text names what is missing, or a refused record.
type Readiness struct {
	Ready bool
	Text  string
}

// Handler returns the routes of the listener. Ready is asked for each /readyz.
func Handler(registry *prometheus.Registry, ready func(ctx context.Context) Readiness) *httprouter.Router {
	router := httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		answer(w, http.StatusOK, "ok\n")
	})
	router.GET("/readyz", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		state := ready(r.Context())
		status := http.StatusOK
		if !state.Ready {
			status = http.StatusServiceUnavailable
		}
		answer(w, status, state.Text+"\n")
	})
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return router
}

func answer(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// A client that has gone away is no fault of this process.
	_, _ = w.Write([]byte(text))
}

// Listen binds the address through the network.
func Listen(ctx context.Context, n network.Network, address string) (net.Listener, error) {
	l, err := n.Listen(ctx, address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// Serve runs an HTTP server on the listener until the context ends. Requests
// are given a short time to finish then.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeLimit)
		defer cancel()
		if server.Shutdown(limited) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "HTTP server")
}
