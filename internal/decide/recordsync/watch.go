package recordsync

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// readTimeoutMargin is how much longer than the service's wait a read may take. The
// service itself answers in milliseconds.
const readTimeoutMargin = time.Second

// maxEmptyBackOff bounds the back-off of a watcher that has no record. It cannot
// serve without one, and only 8 entries watch in an installation of the target size.
const maxEmptyBackOff = time.Second

// minReadSpacing is the least time between the end of a read and the next one. It
// bounds the 8 watchers of an installation of the target size to 80 reads per second.
const minReadSpacing = 100 * time.Millisecond

// maxUnchangedReads is the number of reads without a newer value after which the
// value is read again, about every 10 minutes. In an installation of the target size
// that is 1.4 KB/s per watcher.
const maxUnchangedReads = 600

// reader is the state of the reads of the configuration service.
type reader struct {
	// number is the number of the last read that was started.
	number uint64
	// after is the service's revision that the next read waits to exceed, or 0 to
	// read the value at once.
	after uint64
	// failures counts the failed reads since the last successful one.
	failures int
	// unchanged counts the reads that ended without a newer value.
	unchanged int
}

func watchBinding() chart.Binding[*Synchronizer] {
	return chart.Binding[*Synchronizer]{
		Guards: map[string]func(*Synchronizer) bool{},
		Actions: map[string]func(*Synchronizer){
			"startRead":  (*Synchronizer).startRead,
			"cancelRead": func(s *Synchronizer) { s.emit(CancelRead{}) },
			"countFailure": func(s *Synchronizer) {
				s.reader.failures++
				// A restarted service may count its revisions from the start.
				s.reader.after = 0
			},
			"clearFailures": func(s *Synchronizer) { s.reader.failures = 0 },
		},
		Delays: map[string]func(*Synchronizer) time.Duration{
			"startDelay":  (*Synchronizer).startDelay,
			"readTimeout": (*Synchronizer).readTimeout,
			"spacing":     func(*Synchronizer) time.Duration { return minReadSpacing },
			"backOff":     (*Synchronizer).backOff,
		},
	}
}

func (s *Synchronizer) startRead() {
	s.reader.number++
	s.emit(Read{Number: s.reader.number, After: s.reader.after, Wait: s.config.ReadWait})
}

// unlinkedReadSpacing is the mean time between the first reads of sidecars that start
// without a link to an entry, over the whole installation: 250 reads per second.
const unlinkedReadSpacing = 4 * time.Millisecond

// startDelay returns the random delay before the first read. For sidecars it grows
// with the number of instances, so that they do not overload the service.
func (s *Synchronizer) startDelay() time.Duration {
	if s.config.MayWatch {
		return s.randomUpTo(s.config.MaxStartDelay)
	}
	return s.randomUpTo(max(s.config.MaxStartDelay, time.Duration(s.instances)*unlinkedReadSpacing))
}

// readTimeout returns the timeout of a read, which is shorter for a read that the
// service answers at once.
func (s *Synchronizer) readTimeout() time.Duration {
	if s.reader.after == 0 {
		return readTimeoutMargin
	}
	return s.config.ReadWait + readTimeoutMargin
}

// backOff returns the delay after a failed read. It doubles with every failure up to
// the configured maximum, or up to maxEmptyBackOff for an entry without a record. For
// sidecars it grows with the number of instances. It is random in the upper half of
// the interval, so that processes that failed together do not retry together.
func (s *Synchronizer) backOff() time.Duration {
	delay, maxDelay := s.config.MinBackOff, s.config.MaxBackOff
	switch {
	case !s.config.MayWatch:
		unlinked := time.Duration(s.instances) * unlinkedReadSpacing
		delay, maxDelay = max(delay, unlinked), max(maxDelay, 2*unlinked)
	case s.inForce == message.Digest{}:
		maxDelay = min(maxDelay, maxEmptyBackOff)
	}
	for range s.reader.failures - 1 {
		delay = min(2*delay, maxDelay)
	}
	return delay/2 + s.randomUpTo(delay/2)
}

// randomUpTo returns a random duration from 0 to d.
func (s *Synchronizer) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int63n(int64(d) + 1))
}

// readDone handles the end of a read, unless it is not the last one that was started.
func (s *Synchronizer) readDone(in ReadDone) {
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
		// A service that lost its state may count its revisions from the start again
		// without any sign of it. So the value is read from time to time, whatever the
		// counter is.
		s.reader.unchanged++
		if s.reader.unchanged%maxUnchangedReads == 0 || (in.StoreRevision != 0 && in.StoreRevision < s.reader.after) {
			s.reader.after = 0
		}
	case ReadValue:
		s.reader.after = in.StoreRevision
	}
	s.watchLifecycle.Fire(s.now, event)
}
