package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	client := &platform.Store{Address: store.Address(), Client: http.DefaultClient}
	w := &watcher{
		store: client, watchStore: client, prefix: "servers/",
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

// Guards against taking a watch that the store cut for an outage, after which servers that
// were removed from the list stay in use for seconds, and against reading the store without
// a pause while it cuts each watch.
func TestWatchesThatAreCutAreNoOutage(t *testing.T) {
	for _, pollInterval := range []time.Duration{0, serversPollInterval} {
		for _, within := range []time.Duration{time.Millisecond, 500 * time.Millisecond, longPollTime} {
			synctest.Test(t, func(t *testing.T) {
				transport := &platformtest.CutWatches{Within: within, Random: rand.New(rand.NewPCG(1, 1))}
				store := &platform.Store{Address: "store", Client: &http.Client{Transport: transport}}
				var outages atomic.Int64
				w := &watcher{
					store: store, watchStore: store, prefix: "servers/", pollInterval: pollInterval,
					random: rand.New(rand.NewPCG(1, 1)), metrics: newMetrics(),
					deliver: func(context.Context, storeRead) {}, unreachable: func(context.Context) { outages.Add(1) },
				}
				group := task.NewGroup(t.Context())
				group.Go("watch", w.Run)
				const length = 60 * time.Second
				time.Sleep(length)
				must.Zero(t, outages.Load())
				must.Greater(t, int64(length/(pollInterval+longPollTime+meanRetryDelay)), transport.Reads.Load())
				must.LessEq(t, int64(length/meanRetryDelay)+1, transport.Reads.Load())
				// An outage is noticed, whether the store refuses calls or leaves them open.
				for _, fault := range []*atomic.Bool{&transport.Down, &transport.Silent} {
					before := outages.Load()
					fault.Store(true)
					time.Sleep(10 * time.Second)
					must.Greater(t, before, outages.Load())
					fault.Store(false)
					time.Sleep(10 * time.Second)
				}
				must.NoError(t, group.Stop(0))
			})
		}
	}
}
