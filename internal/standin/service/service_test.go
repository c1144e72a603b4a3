package service_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
)

// start runs a service that counts its executions in the counter, and returns its base URL.
func start(t *testing.T, counter *service.ExecutionCounter, c service.Config) (*service.Server, string) {
	t.Helper()
	c.Service, c.Counter = "bookings", counter
	s := service.New(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = s.Run(ctx); done <- struct{}{} }()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return s, server.URL
}

func startCounter(t *testing.T) *service.ExecutionCounter {
	t.Helper()
	c := service.NewExecutionCounter()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func book(ctx context.Context, url, key string) (service.Answer, error) {
	var answer service.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/loads", strings.NewReader("17 t"))
	if err != nil {
		return answer, err
	}
	request.Header.Set(service.KeyHeader, key)
	// net/http retries a request with an Idempotency-Key header when the connection
	// breaks, unless the body cannot be rewound.
	request.GetBody = nil
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// Guards against lost or merged executions in the counter, by which tests decide
// whether a booking has run at most once.
func TestExecutionsAreCountedOverServers(t *testing.T) {
	counter := startCounter(t)
	_, first := start(t, counter, service.Config{Server: "s0"})
	_, second := start(t, counter, service.Config{Server: "s1"})
	for n, url := range []string{first, second} {
		answer, err := book(t.Context(), url, "k1")
		must.NoError(t, err)
		must.Eq(t, n+1, answer.Execution)
		must.Eq(t, "/loads", answer.Path)
	}
	_, err := book(t.Context(), first, "k2")
	must.NoError(t, err)
	list, err := counter.Executions(t.Context())
	must.NoError(t, err)
	must.Eq(t, []service.Execution{
		{Service: "bookings", Key: "k1", Executions: 2, Answered: 2, Servers: []ident.ServerID{"s0", "s1"}},
		{Service: "bookings", Key: "k2", Executions: 1, Answered: 1, Servers: []ident.ServerID{"s0"}},
	}, list)
}

// Guards against a crash in the middle of a call whose execution is not counted, or
// whose call is still answered.
func TestCrashInTheMiddleOfACall(t *testing.T) {
	counter := startCounter(t)
	s, url := start(t, counter, service.Config{Server: "s0", CrashAt: 2})
	_, err := book(t.Context(), url, "k1")
	must.NoError(t, err)
	_, err = book(t.Context(), url, "k2")
	must.Error(t, err)
	<-s.Crashed()
	list, err := counter.Executions(t.Context())
	must.NoError(t, err)
	must.Eq(t, 1, list[1].Executions)
	must.Eq(t, 0, list[1].Answered)
}

// Guards against a call that is counted although its client disconnected before the
// execution.
func TestClientDisconnectsBeforeTheExecution(t *testing.T) {
	counter := startCounter(t)
	_, url := start(t, counter, service.Config{Server: "s0", ServiceTime: time.Hour})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := book(ctx, url, "k1")
	must.Error(t, err)
	list, err := counter.Executions(t.Context())
	must.NoError(t, err)
	must.Len(t, 0, list)
}
