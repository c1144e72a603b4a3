package weights_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/standin/weights"
)

// Guards against a store that exceeds its rate, or that refuses all downloads after
// it has refused one.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := weights.New(weights.Config{BytesPerSecond: 1000, Burst: 1000})
		go func() { _ = s.Run(ctx) }()
		get := func() *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/weights/demo?bytes=3000", nil).WithContext(ctx))
			return w
		}
		began := time.Now()
		second := make(chan *httptest.ResponseRecorder)
		time.AfterFunc(time.Millisecond, func() { second <- get() })
		first := make(chan *httptest.ResponseRecorder, 1)
		go func() { first <- get() }()
		refused := <-second
		must.Eq(t, http.StatusTooManyRequests, refused.Code)
		must.Eq(t, "2", refused.Header().Get("Retry-After"))
		must.Eq(t, 3000, (<-first).Body.Len())
		must.Eq(t, 3*time.Second, time.Since(began))
		must.Eq(t, http.StatusOK, get().Code)
		cancel()
		synctest.Wait()
	})
}
