package e2etest

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// ServiceCall is a call that reached a plain service.
type ServiceCall struct {
	Method, Path, Key, Body string
}

// PlainService is a minimal plain service that echoes the body with status 201.
type PlainService struct {
	*httptest.Server
	// Calls receives each call before it is answered. Its capacity of 4,096 is
	// above the number of calls in a test.
	Calls chan ServiceCall
}

// CrashPath is a path on which a plain service closes the connection without an answer and
// then refuses new ones. On CrashInAnswerPath it does so in the middle of an answer that has
// neither a length nor chunks.
const (
	CrashPath         = "/crash"
	CrashInAnswerPath = "/crash-in-answer"
	// FailPath is the path of calls that the service runs and answers with 503.
	FailPath = "/fail"
)

// NewPlainService starts a service on loopback. On the path abortPath it closes the
// connection without an answer after it has run the call.
func NewPlainService(abortPath string) *PlainService {
	s := &PlainService{Calls: make(chan ServiceCall, 4096)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Calls <- ServiceCall{Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key"), Body: string(body)}
		if r.URL.Path == CrashPath {
			_ = s.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == CrashInAnswerPath {
			_ = s.Listener.Close()
			writePart(w)
			return
		}
		if r.URL.Path == abortPath {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "text/x-test")
		if r.URL.Path == FailPath {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	}))
	return s
}

// writePart writes a part of an answer without a length and closes the connection.
func writePart(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart of an answer")
	_ = connection.Close()
}
