package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
	"github.com/anvilpoint/anvilpoint/task"
)

// Guards against a list that is joined from pages read before and after a restore of the
// store: it holds servers of two histories.
func TestPagesOfTwoErasAreNotJoined(t *testing.T) {
	store := platformtest.NewStore(t)
	put := func(n int) { store.Put(fmt.Sprint("servers/", n), n) }
	put(1)
	put(2)
	backup := store.Copy()
	store.Delete("servers/1")
	put(3)
	store.RestoreBetweenPages(1, backup)
	delivered := make(chan []string, 1)
	w := &watcher{
		store: &platform.Store{Address: store.Address(), Client: http.DefaultClient}, prefix: "servers/",
		random: rand.New(rand.NewPCG(1, 1)), metrics: newMetrics(), unreachable: func(context.Context) {},
		deliver: func(_ context.Context, r storeRead) {
			var keys []string
			for _, i := range r.items {
				keys = append(keys, i.Key)
			}
			delivered <- keys
		},
	}
	group := task.NewGroup(context.Background())
	group.Go("watch", w.Run)
	must.Eq(t, []string{"servers/1", "servers/2"}, <-delivered)
	must.NoError(t, group.Stop(time.Second))
}
