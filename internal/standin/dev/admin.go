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

// OperatorKey opens /status of the processes of an installation.
const OperatorKey = "demo-operator-key"

// OperatorKeyHash returns the hash of OperatorKey for settings.
func OperatorKeyHash() string {
	hash := sha256.Sum256([]byte(OperatorKey))
	return hex.EncodeToString(hash[:])
}

const maxFaultBytes = 64 << 10

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
		standin.Refuse(w, http.StatusRequestEntityTooLarge, "the record is larger than 1 MiB or was cut off")
		return
	}
	p, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- published) request {
		return &publish{value: value, force: r.URL.Query().Get("force") == "true", reply: reply}
	})
	switch {
	case !ok || p.err != nil:
		standin.Stopped(w)
	case p.stale:
		standin.Refuse(w, http.StatusConflict, fmt.Sprintf(
			"the revision must be greater than %d, the last one; leave the field out to have the next one set", p.Revision))
	case len(p.faults) > 0:
		standin.WriteJSON(w, http.StatusUnprocessableEntity, standin.Fault{Error: "the record is not valid", Faults: p.faults})
	default:
		standin.WriteJSON(w, http.StatusOK, p)
	}
}

func (c *Cluster) getRecord(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	value, err := c.store.Latest(r.Context(), config.RecordKey)
	if err != nil {
		standin.Stopped(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_, _ = w.Write(value)
}

func (c *Cluster) getInstances(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- []Instance) request { return &askInstances{reply: reply} })
	if !ok {
		standin.Stopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, list)
}

func (c *Cluster) postFault(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Fault
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, standin.Fault{Error: "the body is not a fault: " + err.Error(), Valid: kinds()})
		return
	}
	refused, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- *refusal) request { return &inject{fault: f, reply: reply} })
	switch {
	case !ok:
		standin.Stopped(w)
	case refused != nil:
		standin.WriteJSON(w, http.StatusBadRequest, standin.Fault{Error: refused.sentence, Valid: refused.valid})
	default:
		standin.WriteJSON(w, http.StatusOK, f)
	}
}

// getEngines lists the state of each running engine, one JSON line per engine.
func (c *Cluster) getEngines(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	engines, ok := task.Ask(r.Context(), c.mailbox, func(reply chan<- []*engine.Engine) request { return &askEngines{reply: reply} })
	if !ok {
		standin.Stopped(w)
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

// getConfig returns the counts of calls at the configuration service.
func (c *Cluster) getConfig(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	stats, err := c.store.Stats(r.Context())
	if err != nil {
		standin.Stopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, stats)
}
