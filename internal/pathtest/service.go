package pathtest

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// ServiceCall is a call that reached a plain service.
type ServiceCall struct {
	Method, Path, Key, Body string
}

// PlainService is a tiny plain service that echoes the body with status 201.
type PlainService struct {
	*httptest.Server
	// Calls receives each call before it is answered.
	Calls chan ServiceCall
}

// NewService starts a service on loopback. Broken is a path on which it breaks
// the connection after it has run the call.
func NewService(broken string) *PlainService {
	s := &PlainService{Calls: make(chan ServiceCall, 4096)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Calls <- ServiceCall{Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key"), Body: string(body)}
		if r.URL.Path == broken {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/x-test")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	}))
	return s
}
