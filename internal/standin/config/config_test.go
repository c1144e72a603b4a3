package config_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/standin/config"
)

// withStore runs the body with a store under virtual time.
func withStore(t *testing.T, o config.Options, body func(t *testing.T, s *config.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := config.New(o)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Run(ctx) }()
		body(t, s)
		cancel()
		synctest.Wait()
	})
}

// call reads the record and returns status and body; status 0 means that the call was
// aborted without an answer.
func call(t *testing.T, s *config.Store, path string) (status int, body string) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/v1/values/anvilpoint.record"+path, nil).WithContext(t.Context())
	s.Handler().ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func publish(t *testing.T, s *config.Store, data string) {
	t.Helper()
	_, err := s.Put(t.Context(), config.RecordKey, []byte(data))
	must.NoError(t, err)
}

// Guards against a watch that misses a change, returns without one before its wait has
// expired, or is counted more than once.
func TestWatch(t *testing.T) {
	withStore(t, config.Options{}, func(t *testing.T, s *config.Store) {
		status, _ := call(t, s, "")
		must.Eq(t, http.StatusNotFound, status)
		publish(t, s, "one")
		began := time.Now()
		status, _ = call(t, s, "?after=1&wait=25s")
		must.Eq(t, http.StatusNotModified, status)
		must.Eq(t, 25*time.Second, time.Since(began))
		time.AfterFunc(7*time.Second, func() { publish(t, s, "two") })
		began = time.Now()
		status, body := call(t, s, "?after=1&wait=25s")
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "two", body)
		must.Eq(t, 7*time.Second, time.Since(began))
		stats, err := s.Stats(t.Context())
		must.NoError(t, err)
		must.Eq(t, uint64(3), stats.Reads)
		must.Eq(t, uint64(2), stats.Watches)
		must.Eq(t, 0, stats.Waiting)
	})
}

// Guards against a stale store that serves later values, or that still serves the old
// ones after the fault has ended.
func TestStale(t *testing.T) {
	withStore(t, config.Options{}, func(t *testing.T, s *config.Store) {
		publish(t, s, "one")
		publish(t, s, "two")
		must.NoError(t, s.Stale(t.Context(), 1))
		publish(t, s, "three")
		_, body := call(t, s, "")
		must.Eq(t, "one", body)
		status, _ := call(t, s, "?after=1&wait=1s")
		must.Eq(t, http.StatusNotModified, status)
		time.AfterFunc(time.Second, func() { must.NoError(t, s.Heal(t.Context())) })
		_, body = call(t, s, "?after=1&wait=5s")
		must.Eq(t, "three", body)
	})
}

// Guards against a store that answers reads, or keeps watches waiting, while it is down.
func TestDown(t *testing.T) {
	withStore(t, config.Options{}, func(t *testing.T, s *config.Store) {
		publish(t, s, "one")
		time.AfterFunc(time.Second, func() { must.NoError(t, s.Down(t.Context())) })
		began := time.Now()
		status, _ := call(t, s, "?after=1&wait=25s")
		must.Eq(t, 0, status)
		must.Eq(t, time.Second, time.Since(began))
		status, _ = call(t, s, "")
		must.Eq(t, 0, status)
		must.NoError(t, s.Heal(t.Context()))
		status, _ = call(t, s, "")
		must.Eq(t, http.StatusOK, status)
	})
}

// Guards against a store that serves more reads per second than its limit.
func TestReadLimit(t *testing.T) {
	withStore(t, config.Options{ReadsPerSecond: 10}, func(t *testing.T, s *config.Store) {
		publish(t, s, "one")
		refused := 0
		for range 20 {
			if status, _ := call(t, s, ""); status == http.StatusTooManyRequests {
				refused++
			}
		}
		must.Eq(t, 9, refused)
	})
}

// Guards against a store that accepts values above the platform's limit of 1 MiB.
func TestValueLimit(t *testing.T) {
	withStore(t, config.Options{}, func(t *testing.T, s *config.Store) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPut, "/v1/values/k", strings.NewReader(strings.Repeat("x", config.MaxValueBytes+1)))
		s.Handler().ServeHTTP(w, r)
		must.Eq(t, http.StatusRequestEntityTooLarge, w.Code)
	})
}
