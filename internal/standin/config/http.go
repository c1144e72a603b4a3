package config

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/standin"
)

// RevisionHeader is the header with the store revision of a value.
const RevisionHeader = "Anvilpoint-Store-Revision"

// maxWait is the maximum wait of a watch.
const maxWait = 60 * time.Second

// PutResult is the body of the answer to a PUT.
type PutResult struct {
	Revision uint64 `json:"revision"`
}

// Handler serves GET and PUT /v1/values/{key}, GET /v1/stats, and POST
// /v1/faults/{down|stale|heal}.
func (s *Store) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/values/:key", s.get)
	router.PUT("/v1/values/:key", s.put)
	router.GET("/v1/stats", s.getStats)
	router.POST("/v1/faults/:kind", s.postFault)
	return router
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	after, wait, ok := parseWatch(r)
	if !ok {
		standin.WriteError(w, http.StatusBadRequest, "after must be a store revision and wait a duration of at most 60s")
		return
	}
	ctx := r.Context()
	if wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	s.writeAnswer(w, s.read(ctx, p.ByName("key"), after, wait > 0))
}

// read asks the task, and cancels the read when the context ends before the answer.
func (s *Store) read(ctx context.Context, key string, after uint64, wait bool) answer {
	reply := make(chan answer, 1)
	r := &read{key: key, after: after, wait: wait, reply: reply}
	if !s.mailbox.Send(ctx, r).Accepted() {
		return answer{kind: aborted}
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		s.mailbox.Send(context.Background(), &cancelRead{read: r})
		return answer{kind: unchanged}
	case <-s.mailbox.Closed():
		return answer{kind: aborted}
	}
}

func (s *Store) writeAnswer(w http.ResponseWriter, a answer) {
	switch a.kind {
	case found:
		w.Header().Set(RevisionHeader, strconv.FormatUint(a.revision, 10))
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_, _ = w.Write(a.data)
	case unchanged:
		w.WriteHeader(http.StatusNotModified)
	case missing:
		standin.WriteError(w, http.StatusNotFound, "the key has no value")
	case rateLimited:
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, "more reads per second than the service allows")
	default:
		panic(http.ErrAbortHandler)
	}
}

// parseWatch returns the query parameters of a read. Without a wait, after makes the
// read conditional.
func parseWatch(r *http.Request) (after uint64, wait time.Duration, ok bool) {
	query := r.URL.Query()
	var err error
	if text := query.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, false
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 || wait > maxWait {
			return 0, 0, false
		}
	}
	return after, wait, true
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "the value is larger than 1 MiB or was cut off")
		return
	}
	revision, err := s.Put(r.Context(), p.ByName("key"), data)
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	w.Header().Set(RevisionHeader, strconv.FormatUint(revision, 10))
	standin.WriteJSON(w, http.StatusOK, PutResult{Revision: revision})
}

func (s *Store) getStats(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	stats, err := s.Stats(r.Context())
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, stats)
}

func (s *Store) postFault(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	kinds := map[string]func(context.Context) error{
		"down": s.Down, "heal": s.Heal,
		"stale": func(ctx context.Context) error { return s.Stale(ctx, 0) },
	}
	apply, ok := kinds[p.ByName("kind")]
	if !ok {
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: "unknown fault", Valid: []string{"down", "stale", "heal"}})
		return
	}
	if err := apply(r.Context()); err != nil {
		standin.WriteStopped(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
