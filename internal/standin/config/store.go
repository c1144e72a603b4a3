// Package config is the stand-in of the platform's configuration service. It
// keeps values in memory, lets readers watch them for changes, counts calls, and
// can be down or stale as a fault.
package config

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/task"
)

// RecordKey is the key of the configuration record.
const RecordKey = "anvilpoint.record"

// MaxValueBytes is the maximum size of a value, the platform's limit.
const MaxValueBytes = 1 << 20

// defaultReadsPerSecond is the platform's limit for all readers together.
const defaultReadsPerSecond = 2000

// mailboxCapacity is the number of requests that wait for the store's task before
// senders block.
const mailboxCapacity = 4096

type Options struct {
	// ReadsPerSecond bounds the reads of all readers together; a watch counts as
	// one read. Zero means 2,000.
	ReadsPerSecond float64
}

// Stats holds the numbers of calls since the start and the store's state.
type Stats struct {
	Reads uint64 `json:"reads"`
	// Watches counts the reads with a wait. They are part of Reads.
	Watches uint64 `json:"watches"`
	Puts    uint64 `json:"puts"`
	// Refused counts the reads above the limit of reads per second.
	Refused uint64 `json:"refused"`
	// Aborted counts the reads that were aborted without an answer.
	Aborted uint64 `json:"cut"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// ReadsInBusiestSecond is the largest number of reads in one second of the clock.
	ReadsInBusiestSecond uint64 `json:"reads_in_busiest_second"`
	Revision             uint64 `json:"revision"`
	State                string `json:"state"`
}

// value is one version of one key.
type value struct {
	revision uint64
	data     []byte
}

// Store holds all versions of all values. Its task, Run, owns them.
type Store struct {
	mailbox *task.Mailbox[request]
	limiter *rate.Limiter
	// lifecycle has the states of the chart "standin-store".
	lifecycle *chart.Lifecycle[*Store]

	revision uint64
	// versions holds the versions of each key, the oldest first.
	versions map[string][]value
	// frozenRevision is the store revision that readers see while the store is
	// stale.
	frozenRevision uint64
	// staleBy is the number of revisions by which the store goes back when it
	// becomes stale.
	staleBy  uint64
	watchers map[*read]struct{}
	stats    Stats
	// currentSecond is the Unix time of the last read, and readsInSecond the
	// number of reads in that second.
	currentSecond int64
	readsInSecond uint64
}

// New returns an empty store. Run must be running for its other methods to
// answer.
func New(o Options) *Store {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	s := &Store{
		mailbox:  task.NewMailbox[request](mailboxCapacity, task.Block),
		limiter:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)+1),
		versions: make(map[string][]value),
		watchers: make(map[*read]struct{}),
	}
	machine := chart.MustBind(charts.Must("standin-store"), chart.Binding[*Store]{
		Actions: map[string]func(*Store){
			"notifyWatchers": (*Store).notifyWatchers, "abortWatchers": (*Store).abortWatchers,
			"freezeRevision": (*Store).freezeRevision,
		},
	})
	s.lifecycle = machine.New(time.Now(), s)
	return s
}

// Run serves requests until the context ends. It then aborts the waiting watches.
func (s *Store) Run(ctx context.Context) error {
	defer s.mailbox.Close()
	for {
		select {
		case r := <-s.mailbox.Receive():
			r.serve(s, time.Now())
		case <-ctx.Done():
			s.abortWatchers()
			return nil
		}
	}
}

// ErrStopped means that the store's task has ended.
var ErrStopped = errors.New("the configuration service stand-in has stopped")

// Put stores a value, also during a fault, and returns the new store revision.
// The error is ErrStopped.
func (s *Store) Put(ctx context.Context, key string, data []byte) (uint64, error) {
	revision, ok := task.Ask(ctx, s.mailbox, func(reply chan<- uint64) request {
		return &putRequest{key: key, data: data, reply: reply}
	})
	if !ok {
		return 0, ErrStopped
	}
	return revision, nil
}

// Latest returns the newest value of a key, also during a fault; nil if there is
// none. The error is ErrStopped.
func (s *Store) Latest(ctx context.Context, key string) ([]byte, error) {
	data, ok := task.Ask(ctx, s.mailbox, func(reply chan<- []byte) request {
		return &latestRequest{key: key, reply: reply}
	})
	if !ok {
		return nil, ErrStopped
	}
	return data, nil
}

// Down makes the store abort every read without an answer.
func (s *Store) Down(ctx context.Context) error { return s.fire(ctx, faultRequest{event: "down"}) }

// Stale makes the store serve its values as they were the given number of store
// revisions ago (0 means now), and no later ones.
func (s *Store) Stale(ctx context.Context, staleBy uint64) error {
	return s.fire(ctx, faultRequest{event: "stale", staleBy: staleBy})
}

// Heal ends the effect of Down or Stale.
func (s *Store) Heal(ctx context.Context) error { return s.fire(ctx, faultRequest{event: "heal"}) }

// fire sends an event to the store's lifecycle and waits until it has taken effect.
func (s *Store) fire(ctx context.Context, f faultRequest) error {
	_, ok := task.Ask(ctx, s.mailbox, func(reply chan<- struct{}) request {
		f.reply = reply
		return &f
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// Stats returns the statistics. The error is ErrStopped.
func (s *Store) Stats(ctx context.Context) (Stats, error) {
	stats, ok := task.Ask(ctx, s.mailbox, func(reply chan<- Stats) request { return &statsRequest{reply: reply} })
	if !ok {
		return Stats{}, ErrStopped
	}
	return stats, nil
}
