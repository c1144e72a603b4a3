package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/task"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// KeyHeader is the header with the idempotency key.
const KeyHeader = "Idempotency-Key"

// Answer is the body of an answer. It describes the request, so that a client can
// check that the answer is to its own request.
type Answer struct {
	Service ident.ServiceName `json:"service"`
	Server  ident.ServerID    `json:"server"`
	Key     string            `json:"key,omitempty"`
	// Execution is the number of this execution of the key, from 1.
	Execution int    `json:"execution"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodySHA256 is the hash of the request body in hexadecimal.
	BodySHA256 string `json:"body_sha256"`
}

// Handler serves calls on any path, and for tests GET /truth/executions, the
// executions of all servers that share the counter.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /truth/executions", s.config.Counter.Handler())
	mux.HandleFunc("/", s.call)
	return mux
}

// Handler lists the executions, one JSON line per key.
func (c *ExecutionCounter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list, err := c.Executions(r.Context())
		if err != nil {
			standin.WriteStopped(w)
			return
		}
		w.Header().Set("Content-Type", "application/x-ndjson")
		encoder := json.NewEncoder(w)
		for _, e := range list {
			if encoder.Encode(e) != nil {
				return
			}
		}
	})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "the body is too large or was cut off")
		return
	}
	p, ok := task.Ask(r.Context(), s.mailbox, func(reply chan<- callPlan) serverRequest { return &beginCall{reply: reply} })
	if !ok {
		standin.WriteStopped(w)
		return
	}
	s.execute(w, r, body, p)
}

// execute counts the execution in the middle of the service time. A call whose
// connection closes before that has not run; one that is cut off later has.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, body []byte, p callPlan) {
	if !task.Sleep(r.Context(), p.time/2) {
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get(KeyHeader)
	n, err := s.config.Counter.CountExecution(r.Context(), s.config.Service, key, s.config.Server)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if p.crash {
		s.mailbox.Send(context.Background(), &crash{})
		panic(http.ErrAbortHandler)
	}
	if !task.Sleep(r.Context(), p.time-p.time/2) {
		panic(http.ErrAbortHandler)
	}
	hash := sha256.Sum256(body)
	standin.WriteJSON(w, http.StatusOK, Answer{
		Service: s.config.Service, Server: s.config.Server, Key: key, Execution: n,
		Method: r.Method, Path: r.URL.Path, BodySHA256: hex.EncodeToString(hash[:]),
	})
	s.config.Counter.CountAnswer(r.Context(), s.config.Service, key)
}
