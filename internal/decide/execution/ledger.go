// Package execution tracks, at a sidecar, the lifecycle of every attempt that was
// offered to it. It is what a sidecar relies on to state that an attempt was not
// run: an attempt that was refused or withdrawn is remembered and never started,
// even if its offer arrives late or again.
package execution

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// Retention is how long an attempt is remembered after its deadline. A copy of the
// offer that arrives later is refused because its deadline has passed.
const Retention = 60 * time.Second

// MaxTimeLeft bounds the time that an offer has left until its deadline. A
// withdrawal whose offer has not arrived is remembered for at least this long.
const MaxTimeLeft = 10 * time.Minute

// Key identifies an attempt.
type Key struct {
	Request ident.RequestID
	Attempt ident.Attempt
}

// attempt is a remembered attempt.
type attempt struct {
	key       Key
	lifecycle *chart.Lifecycle[*attempt]
	deadline  time.Time
	// now is the time of the event being handled, for the lifecycle's guards and delays.
	now time.Time
}

// Ledger is the table of remembered attempts. It is owned by one task and not safe
// for concurrent use.
type Ledger struct {
	machine  *chart.Machine[*attempt]
	attempts map[Key]*attempt
	started  uint64
}

// New returns an empty table.
func New() (*Ledger, error) {
	m, err := chart.Bind(charts.Must("execution"), chart.Binding[*attempt]{
		Guards: map[string]func(*attempt) bool{"inTime": func(a *attempt) bool { return a.now.Before(a.deadline) }},
		Delays: map[string]func(*attempt) time.Duration{"retention": func(a *attempt) time.Duration {
			return max(a.deadline.Sub(a.now), 0) + Retention
		}},
	})
	return &Ledger{machine: m, attempts: make(map[Key]*attempt)}, err
}

// Arrival is the result of an offer's arrival.
type Arrival int

const (
	// FirstSeen means that the attempt was unknown; it is now recorded.
	FirstSeen Arrival = iota
	// Duplicate means that the attempt already waits, runs or ran; the caller drops this
	// copy of the offer.
	Duplicate
	// Refused means that the attempt was refused or withdrawn earlier.
	Refused
	// PastDeadline means that the deadline has passed; the attempt is recorded as refused.
	PastDeadline
)

// Arrive records the arrival of an offer.
func (l *Ledger) Arrive(now time.Time, key Key, deadline time.Time) Arrival {
	if a, known := l.attempts[key]; known {
		if a.lifecycle.In("refused") {
			return Refused
		}
		return Duplicate
	}
	if latest := now.Add(MaxTimeLeft); deadline.After(latest) {
		deadline = latest
	}
	a := l.add(now, key, deadline)
	if !now.Before(deadline) {
		a.lifecycle.Fire(now, "refuse")
		return PastDeadline
	}
	return FirstSeen
}

func (l *Ledger) add(now time.Time, key Key, deadline time.Time) *attempt {
	a := &attempt{key: key, deadline: deadline, now: now}
	a.lifecycle = l.machine.New(now, a)
	l.attempts[key] = a
	return a
}

// Queue records that a newly arrived attempt was queued.
func (l *Ledger) Queue(now time.Time, key Key) { l.fire(now, key, "queue") }

// Refuse records that a newly arrived or queued attempt is refused. The sidecar may
// then state that it never runs.
func (l *Ledger) Refuse(now time.Time, key Key) {
	l.fire(now, key, "refuse")
	invariant.Check(l.attempts[key].lifecycle.In("refused"), "only an attempt that never started is refused",
		"%s attempt %d is %s", key.Request, key.Attempt, l.attempts[key].lifecycle.State())
}

// Start records that a queued attempt starts. False means that it must not start:
// its deadline has passed, and it is now recorded as refused.
func (l *Ledger) Start(now time.Time, key Key) bool {
	a := l.fire(now, key, "start")
	if a.lifecycle.In("refused") {
		return false
	}
	invariant.Check(a.lifecycle.In("running"), "only a queued attempt starts",
		"%s attempt %d is %s", key.Request, key.Attempt, a.lifecycle.State())
	l.started++
	return true
}

// Expire records that a queued attempt's deadline has passed.
func (l *Ledger) Expire(now time.Time, key Key) { l.fire(now, key, "expire") }

// End records that a running attempt ended.
func (l *Ledger) End(now time.Time, key Key) { l.fire(now, key, "end") }

// Withdraw cancels an attempt that has not started. True guarantees that it has not
// run and never will. An attempt whose offer has not arrived is refused in advance.
func (l *Ledger) Withdraw(now time.Time, key Key) bool {
	a, known := l.attempts[key]
	if !known {
		a = l.add(now, key, now.Add(MaxTimeLeft))
	}
	a.now = now
	a.lifecycle.Fire(now, "withdraw")
	return a.lifecycle.In("refused")
}

// Queued reports whether the attempt is queued.
func (l *Ledger) Queued(key Key) bool {
	a, known := l.attempts[key]
	return known && a.lifecycle.In("queued")
}

// Started returns the number of attempts that were started.
func (l *Ledger) Started() uint64 { return l.started }

// Len returns the number of remembered attempts.
func (l *Ledger) Len() int { return len(l.attempts) }

// Tick forgets attempts whose retention has ended.
func (l *Ledger) Tick(now time.Time) {
	for key, a := range l.attempts {
		a.now = now
		a.lifecycle.Tick(now)
		if a.lifecycle.Done() {
			delete(l.attempts, key)
		}
	}
}

func (l *Ledger) fire(now time.Time, key Key, event string) *attempt {
	a, known := l.attempts[key]
	invariant.Check(known, "events concern recorded attempts", "%s attempt %d: %s", key.Request, key.Attempt, event)
	a.now = now
	a.lifecycle.Fire(now, event)
	return a
}
