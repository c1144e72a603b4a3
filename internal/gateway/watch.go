package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// watchWait is how long one call waits for a change. A connection that went
	// silent is noticed after the wait and the margin, well within the three
	// seconds after which an instance has to follow changes again.
	watchWait   = 1500 * time.Millisecond
	watchMargin = 700 * time.Millisecond
	readLimit   = time.Second
	// watchBackOff is the mean pause after a failed call.
	watchBackOff = 300 * time.Millisecond
	// serverSpacing is the least time between two reads of the servers' changes.
	// Each server writes about once a second, so that a watch without a pause would
	// make several calls a second; a leaving server must be known within 2 s.
	serverSpacing = 900 * time.Millisecond
)

// watcher is the task that follows one prefix of the store.
type watcher struct {
	store   *platform.Store
	prefix  string
	spacing time.Duration
	logger  zerolog.Logger
	random  *rand.Rand
	life    *chart.Instance[*watcher]
	// deliver hands on what was read. Whole says that the items are all there are.
	deliver func(ctx context.Context, items []platform.Item, whole bool)
	// lost says that the store cannot be reached.
	lost     func(ctx context.Context)
	metrics  *metrics
	revision uint64
}

func (w *watcher) observe(t chart.Transition) {
	switch {
	case t.To == "unreachable" && t.From != t.To:
		w.logger.Warn().Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("the store does not answer; what was read stays in force")
	case t.Event == "read":
		w.logger.Info().Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("the store was read")
	}
}

// Run follows the prefix until the context ends.
func (w *watcher) Run(ctx context.Context) error {
	machine, err := chart.Bind(charts.Must("store-watch"), chart.Binding[*watcher]{Observe: (*watcher).observe})
	if err != nil {
		return err
	}
	w.life = machine.New(time.Now(), w)
	for ctx.Err() == nil {
		switch w.life.State() {
		case "reading":
			w.read(ctx)
		case "watching":
			w.watch(ctx)
		default:
			if !task.Sleep(ctx, watchBackOff/2+time.Duration(w.random.Int64N(int64(watchBackOff)))) {
				return nil
			}
			w.life.Fire(time.Now(), "due")
		}
	}
	return nil
}

func (w *watcher) read(ctx context.Context) {
	var all []platform.Item
	after, first := "", uint64(0)
	for {
		limited, cancel := context.WithTimeout(ctx, readLimit)
		page, err := w.store.Range(limited, w.prefix, after, false)
		cancel()
		if err != nil {
			w.failed(ctx, err)
			return
		}
		if first == 0 {
			// Pages are no snapshot. Watching from the first page's revision repeats
			// what changed while the others were read.
			first = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	w.revision = first
	w.life.Fire(time.Now(), "read")
	w.metrics.storeReads.WithLabelValues("read").Inc()
	w.deliver(ctx, all, true)
}

func (w *watcher) watch(ctx context.Context) {
	if w.spacing > 0 && !task.Sleep(ctx, w.spacing) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	page, err := w.store.Watch(limited, w.prefix, w.revision, watchWait)
	cancel()
	switch {
	case errors.Is(err, platform.ErrHistoryGone):
		w.life.Fire(time.Now(), "historyGone")
	case err != nil:
		w.failed(ctx, err)
	default:
		w.life.Fire(time.Now(), "changed")
		w.metrics.storeReads.WithLabelValues("watch").Inc()
		w.revision = max(w.revision, page.Revision)
		w.deliver(ctx, page.Items, false)
	}
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.metrics.storeReads.WithLabelValues("failed").Inc()
	w.logger.Debug().Err(err).Str("prefix", w.prefix).Msg("store call")
	w.life.Fire(time.Now(), "failed")
	w.lost(ctx)
}
