package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/service"
	"github.com/anvilpoint/anvilpoint/task"
)

// offerBooking offers a booking to the run queue.
type offerBooking struct{ run *bookingCall }

func (offerBooking) isQueueMessage() {}

// offerBooking queues or refuses a booking like an offer, in the booking lane.
func (q *runQueue) offerBooking(now time.Time, r *bookingCall) {
	deadline := now.Add(time.Duration(r.run.Commit.RemainingMS) * time.Millisecond)
	a := &attempt{booking: r}
	if q.ledger.Arrive(now, r.key, deadline) != execution.FirstSeen {
		q.notifyRefused(a, r.key, outcome.ReasonDeadline, 0)
		return
	}
	if q.refusal != outcome.ReasonNone {
		q.refuse(now, a, r.key, q.refusal, 0)
		return
	}
	result := q.scheduler.offer(now, item{
		key: r.key, account: r.account, weight: r.weight, booking: true, cost: bookingCost, deadline: deadline,
	})
	if !result.queued {
		q.refuse(now, a, r.key, result.reason, result.retryAfter)
		return
	}
	q.ledger.Queue(now, r.key)
	q.attempts[r.key] = a
	q.displace(now, result.displaced)
}

// bookingCaller runs the calls of bookings.
type bookingCaller struct {
	tasks    *task.Group
	service  *service.Service
	bookings *task.Mailbox[bookingMessage]
	queue    *task.Mailbox[queueMessage]
}

// refuse reports a call that was never written to the service. It does so in its own
// goroutine, because the run queue must not wait for the bookings task, which may be
// waiting for the run queue.
func (c *bookingCaller) refuse(r *bookingCall, reason outcome.Reason) {
	finished := booking.CallFinished{Nonce: r.run.Nonce, Kind: outcome.NotRun, Reason: reason}
	c.tasks.Go("booking refusal", func(ctx context.Context) error {
		c.bookings.Send(ctx, bookingEnded{service: r.service, finished: finished})
		return nil
	})
}

// call runs one call in its own goroutine. The call goes on if the caller leaves: once
// it has begun, its result must be known. Only the end of the process cancels it.
func (c *bookingCaller) call(r *bookingCall) {
	c.tasks.Go("booking", func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, bookingTimeout)
		defer cancel()
		finished := c.do(callCtx, r)
		detached := context.WithoutCancel(ctx)
		c.bookings.Send(detached, bookingEnded{service: r.service, finished: finished})
		c.queue.Send(detached, callEnded{key: r.key, cost: bookingCost})
		return nil
	})
}

// bookingTimeout bounds a call to the service. The outcome of a key whose call timed
// out is unknown.
const bookingTimeout = 5 * time.Minute

func (c *bookingCaller) do(ctx context.Context, r *bookingCall) booking.CallFinished {
	m := r.run.Commit
	answer, err := c.service.Do(ctx, service.Call{Method: m.Method, Path: m.Path, Header: m.Header, Body: m.Body})
	if err != nil {
		failed := transportErrorEnd(err).failed
		return booking.CallFinished{Nonce: r.run.Nonce, Kind: failed.Kind, Reason: failed.Reason}
	}
	return booking.CallFinished{
		Nonce: r.run.Nonce, Kind: outcome.Completed, Status: answer.Status, Header: answer.Header, Body: answer.Body,
	}
}
