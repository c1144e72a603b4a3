package controlbench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// failureLatency is the time until a read fails while the service is down.
const failureLatency = 50 * time.Millisecond

// Service models the configuration service: a versioned value with long-poll reads.
type Service struct {
	sim *Simulation
	// Down makes every new read fail. Stale makes reads return the value before the
	// later publishes.
	Down, Stale bool
	// ReadsBySecond counts the reads by second since Start.
	ReadsBySecond map[int]int
	// counter and value are the store revision and the value published last.
	counter uint64
	value   []byte
	// visible is the version that reads return.
	visible version
	waiting []waitingRead
}

// version is a value and its store revision.
type version struct {
	counter uint64
	value   []byte
}

// waitingRead is a long-poll read.
type waitingRead struct {
	process     *Process
	incarnation ident.Incarnation
	read        control.Read
}

// Publish stores a value, makes it visible unless the service is stale, and returns its
// digest.
func (s *Service) Publish(value []byte) message.Digest {
	s.counter++
	s.value = value
	if !s.Stale {
		s.makeVisible()
	}
	return record.Peek(value)
}

// Value returns the value that was published last.
func (s *Service) Value() []byte { return s.value }

// EndStale ends the staleness and makes the value published last visible.
func (s *Service) EndStale() {
	s.Stale = false
	s.makeVisible()
}

// Restart makes the waiting reads fail and resets the counter, but keeps the value.
func (s *Service) Restart() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		s.finish(r, recordsync.ReadFailed)
	}
	s.counter = 1
	s.makeVisible()
}

// makeVisible makes the value published last visible and answers the waiting reads.
func (s *Service) makeVisible() {
	s.visible = version{s.counter, s.value}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		s.answer(r)
	}
}

// read answers a read, at once or when a newer value than the reader's becomes visible.
func (s *Service) read(p *Process, r control.Read) {
	if s.ReadsBySecond == nil {
		s.ReadsBySecond = make(map[int]int)
	}
	s.ReadsBySecond[int(s.sim.Now.Sub(Start)/time.Second)]++
	w := waitingRead{p, p.Incarnation, r}
	if s.Down {
		s.sim.After(failureLatency, func() { s.finish(w, recordsync.ReadFailed) })
		return
	}
	s.answer(w)
}

func (s *Service) answer(w waitingRead) {
	if s.visible.value != nil && s.visible.counter > w.read.After {
		s.finish(w, recordsync.ReadValue)
		return
	}
	if w.read.After == 0 {
		s.finish(w, recordsync.ReadUnchanged)
		return
	}
	s.waiting = append(s.waiting, w)
	s.sim.After(w.read.Wait, func() { s.expire(w) })
}

// expire answers a waiting read whose wait time is over.
func (s *Service) expire(w waitingRead) {
	for i, other := range s.waiting {
		if other.process == w.process && other.incarnation == w.incarnation && other.read.Number == w.read.Number {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.finish(w, recordsync.ReadUnchanged)
			return
		}
	}
}

// finish sends the answer, which may be lost.
func (s *Service) finish(w waitingRead, result recordsync.ReadResult) {
	p, sim := w.process, s.sim
	visible := s.visible
	if sim.Random.Float64() < sim.Config.LossShare {
		return
	}
	sim.After(2*latency, func() {
		if p.Incarnation != w.incarnation {
			return
		}
		p.runOrDefer(func() {
			if p.currentRead != w.read.Number {
				return
			}
			if result == recordsync.ReadValue {
				sim.step(p, control.ReadValue{Number: w.read.Number, StoreRevision: visible.counter, Data: visible.value})
				return
			}
			sim.step(p, control.ReadWithoutValue{Number: w.read.Number, Result: result, StoreRevision: visible.counter})
		})
	})
}
