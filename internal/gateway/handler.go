package gateway

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// maxBodyBytes is the maximum size of a request body, unless the operators allow more.
	maxBodyBytes = 4 << 20
	// absoluteBodyBytes is the maximum size of a request body whatever the operators allow.
	absoluteBodyBytes = 1 << 30
	// defaultTimeout applies if neither the client nor the route gives a time limit.
	defaultTimeout = 30 * time.Second
)

// clientHandler handles the requests of clients. Its methods run in the goroutines of
// the HTTP server and exchange messages with the tasks.
type clientHandler struct {
	dispatch  *task.Mailbox[dispatchMessage]
	control   *task.Mailbox[controlMessage]
	transport *upstream.Transport
	protocol  call.Protocol
	machines  *request.Machines
	events    *eventlog.Log
	metrics   *metrics
	// requestTags name the fingerprints of requests in the log.
	requestTags eventlog.RequestTags
	// draining is closed once the process is asked to stop.
	draining <-chan struct{}
}

// ServeHTTP implements http.Handler. There is no router in front of it, since a router
// would clean the request target, which must be forwarded as the client sent it.
func (h *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	meta := h.protocol.Request(r.Header)
	h.metrics.arrived.Inc()
	select {
	case <-h.draining:
		w.Header().Set("Connection", "close")
	default:
	}
	if meta.ID == "" {
		h.refuseUnread(w, r, meta, admission{status: http.StatusBadRequest, outcome: outcome.DidNotRun(outcome.ReasonMalformed, "the request has no id")})
		return
	}
	body, err := clientconn.ReadBody(w, r, absoluteBodyBytes, 1)
	if err != nil {
		h.refuseUnread(w, r, meta, unreadable(err))
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	// The admission is awaited even if the client leaves, since it may hold a slot.
	a, ok := task.Ask(detached(r), h.dispatch, func(reply chan<- admission) dispatchMessage {
		m := admit{host: r.Host, path: path, timeLeft: meta.TimeLeft, parts: meta.PromptParts, reply: reply,
			content: quarantine.ContentOf(r.Method, r.RequestURI, body, meta.PromptParts...)}
		if meta.Key != "" {
			m.key, m.hasKey = record.KeyHash(sha256.Sum256([]byte(meta.Key))), true
		}
		return m
	})
	if !ok {
		a = refusal(http.StatusServiceUnavailable, outcome.ReasonDraining, minRetryAfter)
	}
	if a.status != 0 {
		h.refuse(w, meta, a)
		return
	}
	if r.Context().Err() != nil {
		h.freeSlot(meta, a)
		panic(http.ErrAbortHandler)
	}
	newClientRequest(h, w, r, meta, body, a, arrived).run()
}

// freeSlot frees the slot of a request whose client left while it waited.
func (h *clientHandler) freeSlot(meta call.Meta, a admission) {
	h.dispatch.Send(context.Background(), attemptEnded{service: a.service, server: a.server.ID, traits: a.traits})
	h.events.Emit(eventlog.Event{
		Name: "request.left", Request: meta.ID, Account: a.account, Revision: a.version,
		Reason: string(outcome.ReasonCanceled), Detail: "the client left while the request waited for a slot",
	})
}

func unreadable(err error) admission {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, clientconn.ErrTooLarge), errors.As(err, &tooLarge):
		return admission{status: http.StatusRequestEntityTooLarge, outcome: outcome.DidNotRun(outcome.ReasonTooLarge, "")}
	case errors.Is(err, clientconn.ErrNoMemory):
		// Clients that are refused together should not retry together.
		wait := minRetryAfter + rand.N(retryAfterJitter)
		return admission{status: http.StatusServiceUnavailable, retryAfter: wait, outcome: outcome.DidNotRun(outcome.ReasonClientMemory, "")}
	default:
		return admission{status: http.StatusBadRequest, outcome: outcome.DidNotRun(outcome.ReasonMalformed, "the request body is incomplete")}
	}
}

// refuseUnread refuses a request whose body was not read to its end.
func (h *clientHandler) refuseUnread(w http.ResponseWriter, r *http.Request, meta call.Meta, a admission) {
	clientconn.PrepareRefusal(w)
	w.Header().Set("Content-Length", "0")
	h.refuse(w, meta, a)
	clientconn.DiscardBody(w, r)
}

// refuse answers a request that is not sent to any backend server.
func (h *clientHandler) refuse(w http.ResponseWriter, meta call.Meta, a admission) {
	e := eventlog.Event{
		Name: "request.refused", Request: meta.ID, Account: a.account, Revision: a.version,
		Reason: string(a.outcome.Reason), Detail: h.refusalDetail(a),
	}
	h.events.Emit(e)
	h.metrics.ended.WithLabelValues(string(a.outcome.Kind), string(a.outcome.Reason)).Inc()
	h.protocol.Refuse(w.Header(), meta.ID, a.retryAfter)
	w.WriteHeader(a.status)
}

// detached returns a context that does not end with the client's connection, for
// messages that must be sent even if the client leaves.
func detached(r *http.Request) context.Context { return context.WithoutCancel(r.Context()) }
