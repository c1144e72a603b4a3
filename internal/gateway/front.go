package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// maxBodyBytes bounds a request's body. The operator's limits are at most this.
	maxBodyBytes = 4 << 20
	// defaultLimit holds for a request that states no time limit on a route without one.
	defaultLimit = 30 * time.Second
)

// front answers clients. Its methods run in the HTTP server's goroutines and
// talk to the tasks by messages.
type front struct {
	dispatch *task.Mailbox[dispatchMessage]
	caller   *upstream.Caller
	protocol call.Protocol
	machines *request.Machines
	events   *eventlog.Log
	metrics  *metrics
	// draining is closed once the process is asked to stop.
	draining <-chan struct{}
}

// ServeHTTP implements http.Handler. It sees the request target as the client
// sent it, since a router would clean it.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	meta := f.protocol.Request(r.Header)
	f.metrics.arrived.Inc()
	select {
	case <-f.draining:
		w.Header().Set("Connection", "close")
	default:
	}
	if meta.ID == "" {
		f.refuse(w, meta, admission{status: http.StatusBadRequest, outcome: outcome.DidNotRun(outcome.ReasonMalformed, "the request has no id")})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		f.refuse(w, meta, unreadable(err))
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	// The answer is awaited also if the client leaves, since it may hold a place.
	a, ok := task.Ask(detached(r), f.dispatch, func(reply chan<- admission) dispatchMessage {
		m := admit{host: r.Host, path: path, timeLeft: meta.TimeLeft, reply: reply}
		if meta.Key != "" {
			m.key, m.hasKey = record.KeyHash(sha256.Sum256([]byte(meta.Key))), true
		}
		return m
	})
	if !ok {
		a = refusal(http.StatusServiceUnavailable, outcome.ReasonDraining, comeBack)
	}
	if a.status != 0 {
		f.refuse(w, meta, a)
		return
	}
	if r.Context().Err() != nil {
		f.giveBack(meta, a)
		panic(http.ErrAbortHandler)
	}
	newFlight(f, w, r, meta, body, a, arrived).run()
}

// giveBack frees the place of a request whose client has left while it waited.
func (f *front) giveBack(meta call.Meta, a admission) {
	f.dispatch.Send(context.Background(), settle{service: a.service, server: a.server.ID})
	f.events.Emit(eventlog.Event{
		Name: "request.left", Request: meta.ID, Account: a.account, Revision: a.version,
		Reason: string(outcome.ReasonCanceled), Detail: "the client left while the request waited for a place",
	})
}

func unreadable(err error) admission {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return admission{status: http.StatusRequestEntityTooLarge, outcome: outcome.DidNotRun(outcome.ReasonTooLarge, "")}
	}
	return admission{status: http.StatusBadRequest, outcome: outcome.DidNotRun(outcome.ReasonMalformed, "the body broke off")}
}

// refuse answers a request that was not sent to any server.
func (f *front) refuse(w http.ResponseWriter, meta call.Meta, a admission) {
	e := eventlog.Event{
		Name: "request.refused", Request: meta.ID, Account: a.account, Revision: a.version,
		Reason: string(a.outcome.Reason), Detail: refusalDetail(a),
	}
	f.events.Emit(e)
	f.metrics.ended.WithLabelValues(string(a.outcome.Kind), string(a.outcome.Reason)).Inc()
	f.protocol.Refuse(w.Header(), meta.ID, a.retryAfter)
	w.WriteHeader(a.status)
}

// detached returns a context that outlives the client's connection, for
// messages that must arrive.
func detached(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }
