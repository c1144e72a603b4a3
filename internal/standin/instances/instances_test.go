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

// Guards against a list that shows changes before the lag or never, or that
// applies them out of order.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := instances.New(3*time.Second, []instances.Instance{{Name: "a", State: instances.Live}})
		go func() { _ = l.Run(ctx) }()
		must.NoError(t, l.Put(ctx, instances.Instance{Name: "a", State: instances.Leaving}))
		time.Sleep(time.Second)
		must.NoError(t, l.Remove(ctx, "a"))
		must.NoError(t, l.Put(ctx, instances.Instance{Name: "b", State: instances.Live}))
		seen := func() string {
			list, err := l.Read(ctx)
			must.NoError(t, err)
			text := ""
			for _, i := range list {
				text += string(i.Name) + ":" + string(i.State) + " "
			}
			return text
		}
		must.Eq(t, "a:live ", seen())
		time.Sleep(2 * time.Second)
		must.Eq(t, "a:leaving ", seen())
		time.Sleep(time.Second)
		must.Eq(t, "b:live ", seen())
		cancel()
		synctest.Wait()
	})
}

// Guards against an edit with an unknown state that readers would then see.
func TestPutRefusesUnknownState(t *testing.T) {
	l := instances.New(0, nil)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPut, "/v1/instances/a", strings.NewReader(`{"state":"asleep"}`))
	l.Handler().ServeHTTP(w, r)
	must.Eq(t, http.StatusBadRequest, w.Code)
	must.StrContains(t, w.Body.String(), "leaving")
}
