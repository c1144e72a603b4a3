package spread

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// readGrace is how much longer than the service's wait a read may take. The
// service answers in milliseconds.
const readGrace = time.Second

// emptyBackOff bounds the pause of a watcher that has no record. It cannot serve
// without one, and at target size only 8 entries watch.
const emptyBackOff = time.Second

// readSpacing is the least time between the end of a read and the next one. At
// target size 8 entries watch, which bounds their reads to 80 a second.
const readSpacing = 100 * time.Millisecond

// unchangedLimit is the number of reads without a newer value after which the
// value is read again, about every 10 minutes. At target size that is 1.4 KB/s
// for a watcher.
const unchangedLimit = 24

// reader is what the watch knows of the configuration service.
type reader struct {
	number   uint64
	after    uint64
	failures int
	// unchanged counts the reads that ended without a newer value.
	unchanged int
}

func watchBinding() chart.Binding[*Spread] {
	return chart.Binding[*Spread]{
		Guards: map[string]func(*Spread) bool{},
		Actions: map[string]func(*Spread){
			"startRead":  (*Spread).startRead,
			"cancelRead": func(s *Spread) { s.act(CancelRead{}) },
			"countFailure": func(s *Spread) {
				s.reader.failures++
				// The service may come back with another counter.
				s.reader.after = 0
			},
			"clearFailures": func(s *Spread) { s.reader.failures = 0 },
		},
		Delays: map[string]func(*Spread) time.Duration{
			"jitter":      (*Spread).jitter,
			"readTimeout": (*Spread).readTimeout,
			"spacing":     func(*Spread) time.Duration { return readSpacing },
			"backOff":     (*Spread).backOff,
		},
	}
}

func (s *Spread) startRead() {
	s.reader.number++
	s.act(Read{Number: s.reader.number, After: s.reader.after, Wait: s.config.Wait})
}

// orphanSpacing is the mean time between the first reads of sidecars that start
// without an entry, over the whole installation: 250 reads a second.
const orphanSpacing = 4 * time.Millisecond

func (s *Spread) jitter() time.Duration {
	if s.config.Watches {
		return s.upTo(s.config.JitterTime)
	}
	return s.upTo(max(s.config.JitterTime, time.Duration(s.population)*orphanSpacing))
}

// readTimeout is short for a read that the service answers at once.
func (s *Spread) readTimeout() time.Duration {
	if s.reader.after == 0 {
		return readGrace
	}
	return s.config.Wait + readGrace
}

// backOff doubles with every failure, up to a lower bound while the process has
// no record at all. It is drawn from the upper half of the interval, so that
// processes that failed together do not return together.
func (s *Spread) backOff() time.Duration {
	pause, most := s.config.BackOffMin, s.config.BackOffMax
	switch {
	case !s.config.Watches:
		spread := time.Duration(s.population) * orphanSpacing
		pause, most = max(pause, spread), max(most, 2*spread)
	case s.inForce == message.Digest{}:
		most = min(most, emptyBackOff)
	}
	for range s.reader.failures - 1 {
		pause = min(2*pause, most)
	}
	return pause/2 + s.upTo(pause/2)
}

func (s *Spread) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int63n(int64(d) + 1))
}

func (s *Spread) readDone(in ReadDone) {
	if in.Number != s.reader.number {
		return
	}
	event := "read"
	switch in.Result {
	case ReadFailed:
		event = "failed"
	case ReadUnchanged:
		if s.reader.after == 0 {
			// The service has no value.
			event = "failed"
			break
		}
		// A service that lost its state may count from the start again without
		// saying so. Now and then a read asks for the value whatever the counter is.
		s.reader.unchanged++
		if s.reader.unchanged%unchangedLimit == 0 || (in.StoreRevision != 0 && in.StoreRevision < s.reader.after) {
			s.reader.after = 0
		}
	case ReadValue:
		s.reader.after = in.StoreRevision
	}
	s.watch.Fire(s.now, event)
}
