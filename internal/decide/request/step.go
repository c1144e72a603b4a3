package request

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Step takes what happened and returns what to do. Messages about attempts that
// are over change nothing.
func (l *Life) Step(now time.Time, m Message) []Action {
	if l.life.Done() {
		return nil
	}
	switch m := m.(type) {
	case Picked:
		l.picked(now, m.Server)
	case NoServer:
		l.noServer(now, m)
	case Left:
		l.life.Fire(now, "leave")
	case Unwritten:
		l.notRun(now, m.Attempt, "unwritten", outcome.ReasonLinkLost, 0)
	case Refused:
		l.notRun(now, m.Attempt, "refused", m.Reason, m.RetryAfter)
	case Withdrawn:
		l.notRun(now, m.Attempt, "withdrawn", outcome.ReasonDeadline, 0)
	case Accepted:
		l.fire(now, m.Attempt, "accepted")
	case TooLate:
		l.tooLate(now, m.Attempt)
	case Progress:
		if l.fire(now, m.Attempt, "chunk") != nil {
			l.fruitless = 0
			l.life.Fire(now, "progress")
		}
	case Whole:
		l.completed(now, m.Attempt)
	case Failed:
		l.broken(now, m.Attempt, "failed", m.Reason)
	case Lost:
		l.broken(now, m.Attempt, "lost", outcome.ReasonLinkLost)
	}
	return l.take(now)
}

// Tick lets time pass.
func (l *Life) Tick(now time.Time) []Action {
	if l.life.Done() {
		return nil
	}
	l.life.Tick(now)
	if l.life.Done() && l.plan.Limit != noLimit {
		l.last = outcome.ReasonDeadline
	} else if l.life.In("expiring") || l.life.Done() {
		l.last = l.expiryReason()
	}
	if a := l.current(); a != nil && l.life.In("expiring") {
		if _, sent := a.life.Fire(now, "withdraw"); sent {
			l.do(Withdraw{Attempt: a.number, Server: a.server})
		}
	}
	return l.take(now)
}

// expiryReason keeps the reason of an earlier refusal, which tells the caller
// more than that its time ran out.
func (l *Life) expiryReason() outcome.Reason {
	if l.refusals > 0 {
		return l.last
	}
	return outcome.ReasonDeadline
}

func (l *Life) picked(now time.Time, server ident.ServerID) {
	if _, ok := l.life.Fire(now, "picked"); !ok {
		return
	}
	invariant.Check(l.current() == nil, "one attempt at a time", "attempt %d is outstanding", len(l.attempts))
	a := &attempt{number: ident.Attempt(len(l.attempts) + 1), server: server}
	a.life = l.machines.attempt.New(now, a)
	l.attempts = append(l.attempts, a)
	l.do(Offer{Attempt: a.number, Server: server, Remaining: l.remaining(now)})
}

// remaining is the time that the attempt has for its first output. An answer
// that has begun is finished even after the deadline.
func (l *Life) remaining(now time.Time) time.Duration {
	if l.life.In("answering") {
		return max(l.deadline.Sub(now), resumeLimit)
	}
	return min(l.deadline.Sub(now), attemptLimit)
}

func (l *Life) noServer(now time.Time, m NoServer) {
	if m.Outcome.Reason != outcome.ReasonNone {
		l.last = m.Outcome.Reason
	}
	l.retryAfter = max(l.retryAfter, m.RetryAfter)
	if m.Final {
		l.life.Fire(now, "end")
		return
	}
	// A server that refused before may have room by the next look.
	l.excluded = nil
	l.life.Fire(now, "noServer")
}

// fire offers an event to the latest attempt. It returns nil if the message is
// about another attempt or one that is over.
func (l *Life) fire(now time.Time, number ident.Attempt, event string) *attempt {
	a := l.current()
	if a == nil || a.number != number {
		return nil
	}
	if _, ok := a.life.Fire(now, event); !ok {
		return nil
	}
	return a
}

func (l *Life) notRun(now time.Time, number ident.Attempt, event string, reason outcome.Reason, retry time.Duration) {
	a := l.fire(now, number, event)
	if a == nil || !a.life.In("notRun") {
		return
	}
	l.do(Settle{Attempt: number, Server: a.server, Refused: true})
	l.last, l.retryAfter = reason, max(l.retryAfter, retry)
	if reason != outcome.ReasonDeadline || !now.Before(l.deadline) {
		l.refusals++
		l.exclude(a.server)
	}
	// A begun answer looks for a server until its resume limit.
	if l.refusals >= l.plan.MaxRefusals && !l.life.In("answering") {
		l.life.Fire(now, "end")
		return
	}
	l.retry(now)
}

func (l *Life) tooLate(now time.Time, number ident.Attempt) {
	// The work runs although its deadline has passed; nobody waits for it.
	if l.fire(now, number, "tooLate") != nil && l.life.In("expiring") {
		l.life.Fire(now, "withdrawalOver")
	}
}

func (l *Life) completed(now time.Time, number ident.Attempt) {
	a := l.fire(now, number, "done")
	if a == nil {
		return
	}
	l.do(Settle{Attempt: number, Server: a.server})
	l.whole = true
	l.life.Fire(now, "end")
}

func (l *Life) broken(now time.Time, number ident.Attempt, event string, reason outcome.Reason) {
	a := l.fire(now, number, event)
	if a == nil {
		return
	}
	l.do(Settle{Attempt: number, Server: a.server, Failed: true})
	l.last = reason
	l.failures++
	l.fruitless++
	l.exclude(a.server)
	if !l.plan.Repeatable || l.fruitless >= maxFruitless || l.failures >= maxFailures {
		l.life.Fire(now, "end")
		return
	}
	l.retry(now)
}

func (l *Life) exclude(server ident.ServerID) {
	if !slices.Contains(l.excluded, server) {
		l.excluded = append(l.excluded, server)
	}
}

// retry looks for another server unless the deadline has passed meanwhile.
func (l *Life) retry(now time.Time) {
	if l.spent() {
		l.life.Fire(now, "end")
		return
	}
	l.life.Fire(now, "retry")
	if !l.life.Done() {
		l.choose()
	}
}
