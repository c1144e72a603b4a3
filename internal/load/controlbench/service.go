package controlbench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/spread"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// failTime is how long a read of a service that is down takes to fail.
const failTime = 50 * time.Millisecond

// Service is the configuration service.
type Service struct {
	world *World
	// Down makes every read fail. Stale hides later publishes from readers.
	Down, Stale bool
	// Reads counts the reads by second since the start.
	Reads   map[int]int
	counter uint64
	value   []byte
	shown   version
	waiting []waiter
}

type version struct {
	counter uint64
	value   []byte
}

type waiter struct {
	process     *Process
	incarnation ident.Incarnation
	read        control.Read
}

// Publish stores a value and returns its digest.
func (s *Service) Publish(value []byte) message.Digest {
	s.counter++
	s.value = value
	if !s.Stale {
		s.show()
	}
	return record.Peek(value)
}

// Value returns the value that was published last.
func (s *Service) Value() []byte { return s.value }

// Fresh ends staleness.
func (s *Service) Fresh() {
	s.Stale = false
	s.show()
}

// Restart loses the waiting reads and the counter.
func (s *Service) Restart() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		s.finish(r, spread.ReadFailed)
	}
	s.counter = 1
	s.show()
}

func (s *Service) show() {
	s.shown = version{s.counter, s.value}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		s.answer(r)
	}
}

func (s *Service) read(p *Process, r control.Read) {
	if s.Reads == nil {
		s.Reads = make(map[int]int)
	}
	s.Reads[int(s.world.Now.Sub(Start)/time.Second)]++
	w := waiter{p, p.Incarnation, r}
	if s.Down {
		s.world.After(failTime, func() { s.finish(w, spread.ReadFailed) })
		return
	}
	s.answer(w)
}

func (s *Service) answer(w waiter) {
	if s.shown.value != nil && s.shown.counter > w.read.After {
		s.finish(w, spread.ReadValue)
		return
	}
	if w.read.After == 0 {
		s.finish(w, spread.ReadUnchanged)
		return
	}
	s.waiting = append(s.waiting, w)
	s.world.After(w.read.Wait, func() { s.expire(w) })
}

func (s *Service) expire(w waiter) {
	for i, other := range s.waiting {
		if other.process == w.process && other.incarnation == w.incarnation && other.read.Number == w.read.Number {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.finish(w, spread.ReadUnchanged)
			return
		}
	}
}

// finish sends the answer, which may be lost.
func (s *Service) finish(w waiter, result spread.ReadResult) {
	p, world := w.process, s.world
	shown := s.shown
	if world.Random.Float64() < world.Config.Loss {
		return
	}
	world.After(2*latency, func() {
		if p.Incarnation != w.incarnation {
			return
		}
		p.do(func() {
			if p.reading != w.read.Number {
				return
			}
			if result == spread.ReadValue {
				world.step(p, control.ReadValue{Number: w.read.Number, StoreRevision: shown.counter, Data: shown.value})
				return
			}
			world.step(p, control.ReadWithoutValue{Number: w.read.Number, Result: result, StoreRevision: shown.counter})
		})
	})
}
