// Package execution keeps, at a sidecar, the life of every attempt that was
// offered to it, and with it the proof that an attempt was not run: an attempt
// that was refused or withdrawn is remembered and never started, even if its
// offer arrives late or again.
package execution

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// Memory is how long an attempt is remembered after the deadline of its offer.
// A later arrival is refused because its deadline has passed.
const Memory = 60 * time.Second

// LongestDeadline bounds the remaining time of an offer, and so the memory of a
// withdrawal whose offer has not arrived.
const LongestDeadline = 10 * time.Minute

// Key names an attempt.
type Key struct {
	Request ident.RequestID
	Attempt ident.Attempt
}

// attempt is one remembered attempt.
type attempt struct {
	key      Key
	life     *chart.Instance[*attempt]
	deadline time.Time
	// now is the time of the step that is being taken.
	now time.Time
}

// Ledger is the table of attempts. One goroutine owns it.
type Ledger struct {
	machine  *chart.Machine[*attempt]
	attempts map[Key]*attempt
	started  uint64
}

// New returns an empty ledger.
func New() (*Ledger, error) {
	m, err := chart.Bind(charts.Must("execution"), chart.Binding[*attempt]{
		Guards: map[string]func(*attempt) bool{"inTime": func(a *attempt) bool { return a.now.Before(a.deadline) }},
		Delays: map[string]func(*attempt) time.Duration{"memory": func(a *attempt) time.Duration {
			return max(a.deadline.Sub(a.now), 0) + Memory
		}},
	})
	return &Ledger{machine: m, attempts: make(map[Key]*attempt)}, err
}

// Arrival is what the ledger says of an offer that arrives.
type Arrival int

const (
	// Fresh means that the attempt was never seen; it is now recorded.
	Fresh Arrival = iota
	// Known means that the attempt waits, runs or ran; a second offer of it is dropped.
	Known
	// Forbidden means that the attempt was refused or withdrawn before.
	Forbidden
	// Late means that the deadline has passed; the attempt is refused.
	Late
)

// Arrive records an offer whose deadline is given.
func (l *Ledger) Arrive(now time.Time, key Key, deadline time.Time) Arrival {
	if a, known := l.attempts[key]; known {
		if a.life.In("refused") {
			return Forbidden
		}
		return Known
	}
	if latest := now.Add(LongestDeadline); deadline.After(latest) {
		deadline = latest
	}
	a := l.add(now, key, deadline)
	if !now.Before(deadline) {
		a.life.Fire(now, "refuse")
		return Late
	}
	return Fresh
}

func (l *Ledger) add(now time.Time, key Key, deadline time.Time) *attempt {
	a := &attempt{key: key, deadline: deadline, now: now}
	a.life = l.machine.New(now, a)
	l.attempts[key] = a
	return a
}

// Queue records that a fresh attempt waits.
func (l *Ledger) Queue(now time.Time, key Key) { l.fire(now, key, "queue") }

// Refuse records that a fresh or waiting attempt is refused. The refusal may
// then be sent as proof.
func (l *Ledger) Refuse(now time.Time, key Key) {
	l.fire(now, key, "refuse")
	invariant.Check(l.attempts[key].life.In("refused"), "only an attempt that never started is refused",
		"%s attempt %d is %s", key.Request, key.Attempt, l.attempts[key].life.State())
}

// Start records that a waiting attempt begins. False means that it must not:
// its deadline has passed, and it now counts as refused.
func (l *Ledger) Start(now time.Time, key Key) bool {
	a := l.fire(now, key, "start")
	if a.life.In("refused") {
		return false
	}
	invariant.Check(a.life.In("running"), "only a waiting attempt starts",
		"%s attempt %d is %s", key.Request, key.Attempt, a.life.State())
	l.started++
	return true
}

// Expire records that a waiting attempt's deadline has passed.
func (l *Ledger) Expire(now time.Time, key Key) { l.fire(now, key, "expire") }

// End records that a running attempt ended.
func (l *Ledger) End(now time.Time, key Key) { l.fire(now, key, "end") }

// Withdraw takes an attempt back. True is the proof that it was not run and
// never will be. An attempt that has not arrived yet is refused in advance.
func (l *Ledger) Withdraw(now time.Time, key Key) bool {
	a, known := l.attempts[key]
	if !known {
		a = l.add(now, key, now.Add(LongestDeadline))
	}
	a.now = now
	a.life.Fire(now, "withdraw")
	return a.life.In("refused")
}

// Waiting reports whether the attempt is queued.
func (l *Ledger) Waiting(key Key) bool {
	a, known := l.attempts[key]
	return known && a.life.In("queued")
}

// Started returns the number of attempts that were started.
func (l *Ledger) Started() uint64 { return l.started }

// Len returns the number of remembered attempts.
func (l *Ledger) Len() int { return len(l.attempts) }

// Tick forgets attempts whose memory has run out.
func (l *Ledger) Tick(now time.Time) {
	for key, a := range l.attempts {
		a.now = now
		a.life.Tick(now)
		if a.life.Done() {
			delete(l.attempts, key)
		}
	}
}

func (l *Ledger) fire(now time.Time, key Key, event string) *attempt {
	a, known := l.attempts[key]
	invariant.Check(known, "steps concern recorded attempts", "%s attempt %d: %s", key.Request, key.Attempt, event)
	a.now = now
	a.life.Fire(now, event)
	return a
}
