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
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

// headerTimeout bounds how long a client may take to send the header of a request.
const headerTimeout = 10 * time.Second

const (
	// maxHeadBytes is the maximum size of the head of a request. The callers are operators,
	// the platform and other processes, whose heads are short.
	maxHeadBytes = 16 << 10
	// maxConnections is the maximum number of open connections, and maxMemory the maximum
	// size in bytes of what they hold beyond their allowances.
	maxConnections = 128
	maxMemory      = 4 << 20
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
)

// shutdownTimeout is how long requests in progress may take to finish when a server stops.
const shutdownTimeout = 2 * time.Second

// Readiness is the answer to /readyz. The text says what is missing, or which record was
// refused.
type Readiness struct {
	Ready bool
	Text  string
}

// Handler returns the routes of the listener. It calls ready for each /readyz.
func Handler(registry *prometheus.Registry, ready func(ctx context.Context) Readiness) *httprouter.Router {
	router := httprouter.New()
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeText(w, http.StatusOK, "ok\n")
	})
	router.GET("/readyz", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		state := ready(r.Context())
		status := http.StatusOK
		if !state.Ready {
			status = http.StatusServiceUnavailable
		}
		writeText(w, status, state.Text+"\n")
	})
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return router
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The write fails only if the client has disconnected, which needs no report.
	_, _ = w.Write([]byte(text))
}

// Listen binds the address through the network.
func Listen(ctx context.Context, n network.Network, address string) (net.Listener, error) {
	l, err := n.Listen(ctx, address)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// Serve runs an HTTP server on the listener until the context ends. Requests in progress
// then have shutdownTimeout to finish. What its callers can make the process hold is bounded.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	limiter := clientconn.NewLimiter(clientload.Config{
		Connections: maxConnections, Memory: maxMemory, HeadBytes: maxHeadBytes, BodyBytes: maxHeadBytes,
	}, clientconn.NewMetrics(prometheus.NewRegistry()))
	limited, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	// The limiter ends with its context only.
	tasks.Go(func() { _ = limiter.Run(limited) })
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	clientconn.Prepare(server)
	return RunServer(ctx, &clientconn.Listener{
		Listener: l, Limiter: limiter, Timeouts: clientconn.Timeouts{Head: headerTimeout, Body: headerTimeout, Write: headerTimeout},
	}, server)
}

// ServeLinks is Serve for the links of other processes, which outlast their requests.
func ServeLinks(ctx context.Context, l net.Listener, handler http.Handler) error {
	return RunServer(ctx, l, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes})
}

// RunServer is Serve for a server with timeouts and limits of its own.
func RunServer(ctx context.Context, l net.Listener, server *http.Server) error {
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
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
	return errors.Wrapf(err, "serve HTTP on %s", l.Addr())
}
