package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/task"
)

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 8 << 20

// CacheEvents is the answer to GET /v1/cache-events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.postCompletion)
	router.DELETE("/v1/requests/:id", e.deleteRequest)
	router.GET("/v1/load", e.getLoad)
	router.GET("/v1/state", e.getState)
	router.GET("/v1/cache-events", e.getCacheEvents)
	router.POST("/v1/orders", e.postOrder)
	router.PUT("/v1/leaving", e.putLeaving)
	if e.config.Group != nil {
		router.Handler(http.MethodGet, "/v1/group", e.config.Group)
		router.Handler(http.MethodPost, "/v1/group/:call", e.config.Group)
	}
	return router
}

func (e *Engine) deleteRequest(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	found, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- bool) request {
		return &cancelCompletion{id: p.ByName("id"), reply: reply}
	})
	switch {
	case !ok:
		standin.WriteStopped(w)
	case !found:
		standin.WriteError(w, http.StatusNotFound, fmt.Sprintf("no request with id %q is queued or running", p.ByName("id")))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	load, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- Load) request { return &askLoad{reply: reply} })
	if !ok {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, load)
}

func (e *Engine) getState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	state, err := e.State(r.Context())
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, state)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			standin.WriteError(w, http.StatusBadRequest, fmt.Sprintf("after must be the sequence number of a cache event, not %q", text))
			return
		}
	}
	events, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- []CacheEvent) request {
		return &askEvents{after: after, reply: reply}
	})
	if !ok {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, CacheEvents{Events: events})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "decode order: "+err.Error())
		return
	}
	if problem := order.validate(); problem != "" {
		standin.WriteError(w, http.StatusBadRequest, problem)
		return
	}
	reply, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- OrderReply) request {
		return &submitOrder{order: order, reply: reply}
	})
	switch {
	case !ok:
		standin.WriteStopped(w)
	case reply.Error != "":
		standin.WriteJSON(w, http.StatusConflict, reply)
	default:
		standin.WriteJSON(w, http.StatusOK, reply)
	}
}

// putLeaving serves PUT /v1/leaving, whose body, true or false, says whether the engine
// is leaving.
func (e *Engine) putLeaving(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var leaving bool
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&leaving); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "decode leaving state: the body must be true or false")
		return
	}
	if err := e.SetLeaving(r.Context(), leaving); err != nil {
		standin.WriteStopped(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
