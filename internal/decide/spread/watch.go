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

// reader is what the watch knows of the configuration service.
type reader struct {
	number   uint64
	after    uint64
	failures int
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
			"jitter":      func(s *Spread) time.Duration { return s.upTo(s.config.JitterTime) },
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
	if s.inForce == (message.Digest{}) {
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
		// A counter that went back means that the service lost its state. The next
		// read asks for the value whatever the counter is.
		if in.StoreRevision != 0 && in.StoreRevision < s.reader.after {
			s.reader.after = 0
		}
	case ReadValue:
		s.reader.after = in.StoreRevision
	}
	s.watch.Fire(s.now, event)
}
