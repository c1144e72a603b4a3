package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/config"
	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
	"github.com/anvilpoint/anvilpoint/task"
)

// OperatorKey is the operators' key for /status of the processes of an installation.
const OperatorKey = "demo-operator-key"

// OperatorKeyHash returns the hash of OperatorKey as it is written in settings.
func OperatorKeyHash() string {
	hash := sha256.Sum256([]byte(OperatorKey))
	return hex.EncodeToString(hash[:])
}

// maxFaultBytes bounds the body of POST /faults.
const maxFaultBytes = 64 << 10

// adminHandler serves the admin interface.
func (c *Cluster) adminHandler() http.Handler {
	router := httprouter.New()
	router.PUT("/record", c.putRecord)
	router.GET("/record", c.getRecord)
	router.GET("/instances", c.getInstances)
	router.POST("/faults", c.postFault)
	router.Handler(http.MethodGet, "/truth/executions", c.ledger.Handler())
	router.GET("/truth/steps", c.getSteps)
	router.GET("/truth/engines", c.getEngines)
	router.GET("/truth/config", c.getConfig)
	return router
}

func (c *Cluster) putRecord(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxValueBytes))
	if err != nil {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf(
			"read record: it is larger than %d bytes or was cut off", config.MaxValueBytes))
		return
	}
	p, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- publishResult) request {
		return &publishRecord{value: value, force: r.URL.Query().Get("force") == "true", reply: reply}
	})
	switch {
	case !ok || p.err != nil:
		standin.WriteStopped(w)
	case p.staleRevision:
		standin.WriteError(w, http.StatusConflict, fmt.Sprintf(
			"the revision must be greater than %d, that of the last record; without the field revision the next one is set", p.Revision))
	case len(p.faults) > 0:
		standin.WriteJSON(w, http.StatusUnprocessableEntity, standin.ErrorBody{Error: fmt.Sprintf("the record has %d faults", len(p.faults)), Errors: p.faults})
	default:
		standin.WriteJSON(w, http.StatusOK, p)
	}
}

func (c *Cluster) getRecord(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	value, err := c.store.Latest(r.Context(), config.RecordKey)
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_, _ = w.Write(value)
}

func (c *Cluster) getInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- []Instance) request { return &askInstances{reply: reply} })
	if !ok {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, list)
}

func (c *Cluster) postFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: "decode fault: " + err.Error(), Valid: faultKinds()})
		return
	}
	refused, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- *faultRefusal) request { return &injectFault{fault: f, reply: reply} })
	switch {
	case !ok:
		standin.WriteStopped(w)
	case refused != nil:
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: refused.reason, Valid: refused.valid})
	default:
		standin.WriteJSON(w, http.StatusOK, f)
	}
}

// getEngines returns the state of each running engine, one JSON line per engine.
func (c *Cluster) getEngines(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	engines, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- []*engine.Engine) request { return &askEngines{reply: reply} })
	if !ok {
		standin.WriteStopped(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, e := range engines {
		// An engine that has just stopped is left out.
		if state, err := e.State(r.Context()); err == nil && encoder.Encode(state) != nil {
			return
		}
	}
}

// getConfig returns the counts of calls of the configuration service.
func (c *Cluster) getConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	stats, err := c.store.Stats(r.Context())
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, stats)
}
