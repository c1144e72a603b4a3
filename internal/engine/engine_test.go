package engine_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/source"
)

// Guards against the first part of a long error of an engine that is passed on as the whole.
func TestLongErrorsAreNotCut(t *testing.T) {
	for _, size := range []int{1000, 64 << 10, 64<<10 + 1, 1 << 20} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(strings.Repeat("e", size)))
		}))
		err := engine.New(server.URL, source.NewClient(network.System{})).Complete(
			context.Background(), engine.Call{Request: "r", Body: []byte("{}")}, func([][]byte) bool { return true })
		server.Close()
		must.Error(t, err)
		var status *engine.StatusError
		if errors.As(err, &status) {
			must.Eq(t, size, len(status.Body))
		} else {
			must.Greater(t, 64<<10, size)
		}
	}
}
