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
	// longPollTime is how long the store holds a watch call open if nothing changes.
	longPollTime = 1500 * time.Millisecond
	// longPollMargin is how much longer than longPollTime a watch call may take. A dead
	// connection is noticed after the sum of both, 2.2 s: an instance must follow changes
	// again within 3 s.
	longPollMargin = 700 * time.Millisecond
	// readTimeout bounds the read of one page.
	readTimeout = time.Second
	// meanRetryDelay is the mean time between a failed call and its retry.
	meanRetryDelay = 300 * time.Millisecond
	// maxCutReadDelay is the greatest delay of the read after a watch was cut. The delays of
	// entries differ, so that they don't all read at once.
	maxCutReadDelay = 50 * time.Millisecond
	// maxQuietTime is the longest time between two answers of the store for which a watch
	// that was cut means nothing: the pause before the watch, the watch, and the time to
	// notice the cut. After a longer time the store may have been away.
	maxQuietTime = serversPollInterval + longPollTime + 300*time.Millisecond
	// serversPollInterval is the pause before each watch call for the backend servers.
	// Each server writes about once a second, so a watch without a pause would make
	// several calls a second. A draining server must be known within 2 s.
	serversPollInterval = 900 * time.Millisecond
)

// storeRead holds items of one key prefix of the store.
type storeRead struct {
	items []platform.Item
	// era is the era of the store, as in platform.Page.
	era uint64
	// complete reports whether the items are all of the prefix, otherwise they are changes.
	complete bool
}

// watcher is the task that watches one key prefix of the store.
type watcher struct {
	store *platform.Store
	// watchStore is the store with a client that sends each call once, on a connection of
	// its own. On one that is kept, HTTP clients repeat a call that was cut, and the time
	// until it fails tells nothing.
	watchStore   *platform.Store
	prefix       string
	pollInterval time.Duration
	logger       zerolog.Logger
	random       *rand.Rand
	lifecycle    *chart.Lifecycle[*watcher]
	// deliver is called with the items read.
	deliver func(ctx context.Context, r storeRead)
	// unreachable is called when a call to the store fails.
	unreachable func(ctx context.Context)
	metrics     *metrics
	revision    uint64
	// era is the era of the store in which all items were last read.
	era uint64
	// answeredAt is when the store last answered, and readAt when all items were last read.
	answeredAt, readAt time.Time
}

func (w *watcher) observe(t chart.Transition) {
	switch {
	case t.To == "unreachable" && t.From != t.To:
		w.logger.Warn().Str("prefix", w.prefix).Uint64("revision", w.revision).Msg("call to the store failed; the items read so far stay in force")
	case t.Event == "read":
		w.logger.Info().Str("prefix", w.prefix).Uint64("era", w.era).Uint64("revision", w.revision).Msg("all items of the prefix were read from the store")
	}
}

// Run watches the prefix until the context ends.
func (w *watcher) Run(ctx context.Context) error {
	machine, err := chart.Bind(charts.Must("store-watch"), chart.Binding[*watcher]{Observe: (*watcher).observe})
	if err != nil {
		return err
	}
	w.lifecycle = machine.New(time.Now(), w)
	for ctx.Err() == nil {
		switch w.lifecycle.State() {
		case "reading":
			w.read(ctx)
		case "watching":
			w.watch(ctx)
		case "cut":
			delay := time.Duration(w.random.Int64N(int64(maxCutReadDelay)))
			if !task.Sleep(ctx, max(delay, meanRetryDelay-time.Since(w.readAt))) {
				return nil
			}
			w.lifecycle.Fire(time.Now(), "retryDue")
		default:
			if !task.Sleep(ctx, meanRetryDelay/2+time.Duration(w.random.Int64N(int64(meanRetryDelay)))) {
				return nil
			}
			w.lifecycle.Fire(time.Now(), "retryDue")
		}
	}
	return nil
}

// enterEra records the era of the store in which all items are read.
func (w *watcher) enterEra(era uint64) {
	if w.era != 0 && era != w.era {
		w.metrics.storeRestores.Inc()
		w.logger.Warn().Str("prefix", w.prefix).Uint64("from", w.era).Uint64("to", era).Uint64("revision", w.revision).Msg("the store was restored from a copy")
	}
	w.era = era
}

func (w *watcher) read(ctx context.Context) {
	var all []platform.Item
	after, first := "", uint64(0)
	for {
		limited, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := w.store.Range(limited, w.prefix, after, false)
		cancel()
		if err != nil {
			w.failed(ctx, err)
			return
		}
		if first != 0 && page.Era != w.era {
			w.failed(ctx, errors.Errorf("read %s: a page of era %d follows one of era %d", w.prefix, page.Era, w.era))
			return
		}
		if first == 0 {
			w.enterEra(page.Era)
			// The pages are not one snapshot. Watching from the revision of the first
			// page delivers again what changed while the others were read.
			first = page.Revision
		}
		all = append(all, page.Items...)
		if !page.HasMore || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	w.revision = first
	w.readAt = time.Now()
	w.answeredAt = w.readAt
	w.lifecycle.Fire(w.readAt, "read")
	w.metrics.storeReads.WithLabelValues("read").Inc()
	w.deliver(ctx, storeRead{items: all, era: w.era, complete: true})
}

func (w *watcher) watch(ctx context.Context) {
	if w.pollInterval > 0 && !task.Sleep(ctx, w.pollInterval) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, longPollTime+longPollMargin)
	page, err := w.watchStore.Watch(limited, w.prefix, w.revision, longPollTime)
	cancel()
	switch {
	case errors.Is(err, platform.ErrHistoryGone):
		w.lifecycle.Fire(time.Now(), "historyGone")
	case err != nil && w.wasCut(err):
		w.cut(ctx, err)
	case err != nil:
		w.failed(ctx, err)
	case page.Era > w.era:
		// The changes are counted from a revision that the store may have given out twice.
		w.lifecycle.Fire(time.Now(), "restored")
	case page.Era < w.era:
		w.failed(ctx, errors.Errorf("watch %s: the answer is of era %d, before %d", w.prefix, page.Era, w.era))
	default:
		w.answeredAt = time.Now()
		w.lifecycle.Fire(w.answeredAt, "changed")
		w.metrics.storeReads.WithLabelValues("watch").Inc()
		w.revision = max(w.revision, page.Revision)
		w.deliver(ctx, storeRead{items: page.Items, era: w.era})
	}
}

// wasCut reports whether the watch may have been cut by a store that is not away. A watch
// that the store doesn't answer in time was not.
func (w *watcher) wasCut(err error) bool {
	return !errors.Is(err, context.DeadlineExceeded) && time.Since(w.answeredAt) <= maxQuietTime
}

// cut records that a watch ended without an answer. The next read tells whether the store
// is away.
func (w *watcher) cut(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.metrics.storeReads.WithLabelValues("cut").Inc()
	w.logger.Debug().Err(err).Str("prefix", w.prefix).Msg("a watch of the store was cut")
	w.lifecycle.Fire(time.Now(), "cut")
}

func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.metrics.storeReads.WithLabelValues("failed").Inc()
	w.logger.Debug().Err(err).Str("prefix", w.prefix).Msg("call to the store failed")
	w.lifecycle.Fire(time.Now(), "failed")
	w.unreachable(ctx)
}
