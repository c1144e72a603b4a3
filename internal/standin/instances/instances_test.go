package instances_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
)

// Guards against changes that become visible before the lag, never, or out of
// order.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := instances.New(3*time.Second, []instances.Instance{{Name: "a", State: instances.Live}})
		go func() { _ = l.Run(ctx) }()
		must.NoError(t, l.Put(ctx, instances.Instance{Name: "a", State: instances.Leaving}))
		time.Sleep(time.Second)
		must.NoError(t, l.Remove(ctx, "a"))
		must.NoError(t, l.Put(ctx, instances.Instance{Name: "b", State: instances.Live}))
		visible := func() string {
			list, err := l.Read(ctx)
			must.NoError(t, err)
			text := ""
			for _, i := range list {
				text += string(i.Name) + ":" + string(i.State) + " "
			}
			return text
		}
		must.Eq(t, "a:live ", visible())
		time.Sleep(2 * time.Second)
		must.Eq(t, "a:leaving ", visible())
		time.Sleep(time.Second)
		must.Eq(t, "b:live ", visible())
		cancel()
		synctest.Wait()
	})
}

// Guards against a PUT that lists an instance with an unknown state.
func TestPutRefusesUnknownState(t *testing.T) {
	l := instances.New(0, nil)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPut, "/v1/instances/a", strings.NewReader(`{"state":"asleep"}`))
	l.Handler().ServeHTTP(w, r)
	must.Eq(t, http.StatusBadRequest, w.Code)
	must.StrContains(t, w.Body.String(), "leaving")
}
