// Package config is the stand-in of the platform's configuration service. It
// keeps values in memory, lets readers wait for changes, counts calls, and can
// be down or stale.
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

// RecordKey is the key under which the configuration record is stored.
const RecordKey = "anvilpoint.record"

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// defaultReadsPerSecond is the platform's limit over all readers.
const defaultReadsPerSecond = 2000

const mailboxCapacity = 4096

// Options configure a store.
type Options struct {
	// ReadsPerSecond bounds reads over all readers; a waiting watch counts as
	// one. Zero means 2,000.
	ReadsPerSecond float64
}

// Stats counts the calls since the start.
type Stats struct {
	Reads uint64 `json:"reads"`
	// Watches counts the reads that waited for a change. They are part of Reads.
	Watches  uint64 `json:"watches"`
	Puts     uint64 `json:"puts"`
	Refused  uint64 `json:"refused"`
	Cut      uint64 `json:"cut"`
	Waiting  int    `json:"waiting"`
	Busiest  uint64 `json:"reads_in_busiest_second"`
	Revision uint64 `json:"revision"`
	State    string `json:"state"`
}

// value is one version of one key.
type value struct {
	revision uint64
	data     []byte
}

// Store is the task that owns the values.
type Store struct {
	mailbox *task.Mailbox[request]
	limiter *rate.Limiter
	mode    *chart.Lifecycle[*Store]

	revision uint64
	history  map[string][]value
	// frozen is the store revision that readers see while the store is stale.
	frozen   uint64
	back     uint64
	watchers map[*read]struct{}
	stats    Stats
	second   int64
	inSecond uint64
}

// New returns an empty store. Run serves it.
func New(o Options) *Store {
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	s := &Store{
		mailbox:  task.NewMailbox[request](mailboxCapacity, task.Block),
		limiter:  rate.NewLimiter(rate.Limit(o.ReadsPerSecond), int(o.ReadsPerSecond)+1),
		history:  make(map[string][]value),
		watchers: make(map[*read]struct{}),
	}
	machine := chart.MustBind(charts.Must("standin-store"), chart.Binding[*Store]{
		Actions: map[string]func(*Store){"wake": (*Store).wake, "cut": (*Store).cut, "freeze": (*Store).freeze},
	})
	s.mode = machine.New(time.Now(), s)
	return s
}

// Run owns the values until the context ends.
func (s *Store) Run(ctx context.Context) error {
	defer s.mailbox.Close()
	for {
		select {
		case r := <-s.mailbox.Receive():
			r.serve(s, time.Now())
		case <-ctx.Done():
			s.cut()
			return nil
		}
	}
}

// ErrStopped means that the store's task has ended.
var ErrStopped = errors.New("the configuration service stand-in has stopped")

// Put stores a value as the operators' tool does, whatever the faults, and
// returns the store revision. The error is ErrStopped.
func (s *Store) Put(ctx context.Context, key string, data []byte) (uint64, error) {
	revision, ok := task.Ask(ctx, s.mailbox, func(reply chan<- uint64) request {
		return &put{key: key, data: data, reply: reply}
	})
	if !ok {
		return 0, ErrStopped
	}
	return revision, nil
}

// Latest returns the newest value of a key whatever the faults; nil if there is
// none.
func (s *Store) Latest(ctx context.Context, key string) ([]byte, error) {
	data, ok := task.Ask(ctx, s.mailbox, func(reply chan<- []byte) request {
		return &latest{key: key, reply: reply}
	})
	if !ok {
		return nil, ErrStopped
	}
	return data, nil
}

// Down makes the store cut every call without an answer.
func (s *Store) Down(ctx context.Context) error { return s.fault(ctx, fault{event: "down"}) }

// Stale makes the store show its values as they were the given number of
// publishes ago (0 means now), and no later ones.
func (s *Store) Stale(ctx context.Context, back uint64) error {
	return s.fault(ctx, fault{event: "stale", back: back})
}

// Heal ends Down and Stale.
func (s *Store) Heal(ctx context.Context) error { return s.fault(ctx, fault{event: "heal"}) }

func (s *Store) fault(ctx context.Context, f fault) error {
	_, ok := task.Ask(ctx, s.mailbox, func(reply chan<- struct{}) request {
		f.reply = reply
		return &f
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// Stats returns the counts.
func (s *Store) Stats(ctx context.Context) (Stats, error) {
	stats, ok := task.Ask(ctx, s.mailbox, func(reply chan<- Stats) request { return &count{reply: reply} })
	if !ok {
		return Stats{}, ErrStopped
	}
	return stats, nil
}
