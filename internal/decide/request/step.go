package request

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Step handles one input and returns the actions to carry out. Inputs about
// attempts that have ended have no effect.
func (r *Request) Step(now time.Time, in Input) []Action {
	if r.lifecycle.Done() {
		return nil
	}
	switch in := in.(type) {
	case Picked:
		r.picked(now, in.Server)
	case NoServer:
		r.noServer(now, in)
	case ClientLeft:
		r.lifecycle.Fire(now, "leave")
	case NotSent:
		r.attemptNotRun(now, in.Attempt, "notSent", outcome.ReasonLinkLost, 0)
	case Refused:
		r.attemptNotRun(now, in.Attempt, "refused", in.Reason, in.RetryAfter)
	case Withdrawn:
		r.attemptNotRun(now, in.Attempt, "withdrawn", outcome.ReasonDeadline, 0)
	case Accepted:
		r.fire(now, in.Attempt, "accepted")
	case TooLate:
		r.tooLate(now, in.Attempt)
	case Progress:
		if r.fire(now, in.Attempt, "chunk") != nil {
			r.failuresWithoutOutput = 0
			r.lifecycle.Fire(now, "progress")
		}
	case Completed:
		r.completed(now, in.Attempt)
	case Failed:
		r.attemptBroken(now, in.Attempt, "failed", in.Reason)
	case LinkLost:
		r.attemptBroken(now, in.Attempt, "linkLost", outcome.ReasonLinkLost)
	}
	return r.takeActions(now)
}

// Tick fires the timers that are due and returns the actions to carry out.
func (r *Request) Tick(now time.Time) []Action {
	if r.lifecycle.Done() {
		return nil
	}
	r.lifecycle.Tick(now)
	if r.lifecycle.Done() && r.plan.TotalTimeout != noTotalTimeout {
		r.lastReason = outcome.ReasonDeadline
	} else if r.lifecycle.In("expiring") || r.lifecycle.Done() {
		r.lastReason = r.expiryReason()
	}
	if a := r.outstanding(); a != nil && r.lifecycle.In("expiring") {
		if _, sent := a.lifecycle.Fire(now, "withdraw"); sent {
			r.emit(Withdraw{Attempt: a.number, Server: a.server})
		}
	}
	return r.takeActions(now)
}

// expiryReason returns the reason to report after a timeout. The reason of an
// earlier refusal is kept, because it tells the client more than the timeout does.
func (r *Request) expiryReason() outcome.Reason {
	if r.refusals > 0 {
		return r.lastReason
	}
	return outcome.ReasonDeadline
}

func (r *Request) picked(now time.Time, server ident.ServerID) {
	if _, ok := r.lifecycle.Fire(now, "picked"); !ok {
		return
	}
	invariant.Check(r.outstanding() == nil, "a request has one outstanding attempt at a time", "attempt %d is outstanding", len(r.attempts))
	a := &attempt{number: ident.Attempt(len(r.attempts) + 1), server: server}
	a.lifecycle = r.machines.attempt.New(now, a)
	r.attempts = append(r.attempts, a)
	r.emit(Offer{Attempt: a.number, Server: server, Remaining: r.remaining(now)})
}

// remaining returns the time that the attempt has for its first output. An answer
// whose output has reached the client is resumed even after the deadline.
func (r *Request) remaining(now time.Time) time.Duration {
	if r.lifecycle.In("answering") {
		return max(r.firstOutputDeadline.Sub(now), resumeTimeout)
	}
	return min(r.firstOutputDeadline.Sub(now), attemptTimeout)
}

func (r *Request) noServer(now time.Time, m NoServer) {
	if m.Outcome.Reason != outcome.ReasonNone {
		r.lastReason = m.Outcome.Reason
	}
	r.retryAfter = max(r.retryAfter, m.RetryAfter)
	if m.Final {
		r.lifecycle.Fire(now, "end")
		return
	}
	// A server that refused before may have a free slot at the next retry.
	r.excluded = nil
	r.lifecycle.Fire(now, "noServer")
}

// fire fires an event at the attempt with the number and returns the attempt. It
// returns nil if that attempt is not the outstanding one.
func (r *Request) fire(now time.Time, number ident.Attempt, event string) *attempt {
	a := r.outstanding()
	if a == nil || a.number != number {
		return nil
	}
	if _, ok := a.lifecycle.Fire(now, event); !ok {
		return nil
	}
	return a
}

// attemptNotRun handles the proof that an attempt did not run and never will.
func (r *Request) attemptNotRun(now time.Time, number ident.Attempt, event string, reason outcome.Reason, retry time.Duration) {
	a := r.fire(now, number, event)
	if a == nil || !a.lifecycle.In("notRun") {
		return
	}
	r.emit(EndAttempt{Attempt: number, Server: a.server, Refused: true})
	r.lastReason, r.retryAfter = reason, max(r.retryAfter, retry)
	if reason != outcome.ReasonDeadline || !now.Before(r.firstOutputDeadline) {
		r.refusals++
		r.exclude(a.server)
	}
	// Once output has reached the client, only the resume timeout ends the search.
	if r.refusals >= r.plan.MaxRefusals && !r.lifecycle.In("answering") {
		r.lifecycle.Fire(now, "end")
		return
	}
	r.retry(now)
}

func (r *Request) tooLate(now time.Time, number ident.Attempt) {
	// The attempt runs, but the timeout for its first output has passed.
	if r.fire(now, number, "tooLate") != nil && r.lifecycle.In("expiring") {
		r.lifecycle.Fire(now, "withdrawalOver")
	}
}

func (r *Request) completed(now time.Time, number ident.Attempt) {
	a := r.fire(now, number, "done")
	if a == nil {
		return
	}
	r.emit(EndAttempt{Attempt: number, Server: a.server})
	r.answerComplete = true
	r.lifecycle.Fire(now, "end")
}

// attemptBroken handles an attempt that failed or whose link broke.
func (r *Request) attemptBroken(now time.Time, number ident.Attempt, event string, reason outcome.Reason) {
	a := r.fire(now, number, event)
	if a == nil {
		return
	}
	r.emit(EndAttempt{Attempt: number, Server: a.server, Failed: true})
	r.lastReason = reason
	r.failures++
	r.failuresWithoutOutput++
	r.exclude(a.server)
	if !r.plan.Repeatable || r.failuresWithoutOutput >= maxFailuresWithoutOutput || r.failures >= maxFailures {
		r.lifecycle.Fire(now, "end")
		return
	}
	r.retry(now)
}

func (r *Request) exclude(server ident.ServerID) {
	if !slices.Contains(r.excluded, server) {
		r.excluded = append(r.excluded, server)
	}
}

// retry chooses another server, unless MaxAttempts is reached or the request has
// timed out.
func (r *Request) retry(now time.Time) {
	if r.attemptsExhausted() {
		r.lifecycle.Fire(now, "end")
		return
	}
	r.lifecycle.Fire(now, "retry")
	if !r.lifecycle.Done() {
		r.chooseServer()
	}
}
