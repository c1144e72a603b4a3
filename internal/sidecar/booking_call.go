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

// queueBooking asks the run queue for a slot for a booking.
type queueBooking struct{ run *bookingRun }

func (queueBooking) isQueueMessage() {}

// booking queues a booking like an offer, in the lane of the bookings.
func (q *queue) booking(now time.Time, r *bookingRun) {
	deadline := now.Add(time.Duration(r.run.Commit.RemainingMS) * time.Millisecond)
	o := &offered{booking: r}
	if q.ledger.Arrive(now, r.key, deadline) != execution.FirstSeen {
		q.refused(o, r.key, outcome.ReasonDeadline, 0)
		return
	}
	if q.refusal != outcome.ReasonNone {
		q.refuse(now, o, r.key, q.refusal, 0)
		return
	}
	answer := q.scheduler.offer(now, item{
		key: r.key, account: r.account, weight: r.weight, booking: true, cost: bookingCost, deadline: deadline,
	})
	if !answer.queued {
		q.refuse(now, o, r.key, answer.reason, answer.retryAfter)
		return
	}
	q.ledger.Queue(now, r.key)
	q.offers[r.key] = o
	q.displace(now, answer.displaced)
}

// bookingCaller makes the calls of bookings.
type bookingCaller struct {
	group    *task.Group
	service  *service.Service
	bookings *task.Mailbox[bookingMessage]
	queue    *task.Mailbox[queueMessage]
}

// refuse ends a call that was never written to the service. The run queue must
// not wait for the bookings task, which may wait for the run queue.
func (c *bookingCaller) refuse(r *bookingRun, reason outcome.Reason) {
	finished := booking.CallFinished{Nonce: r.run.Nonce, Kind: outcome.NotRun, Reason: reason}
	c.group.Go("booking refusal", func(ctx context.Context) error {
		c.bookings.Send(ctx, bookingEnded{service: r.service, finished: finished})
		return nil
	})
}

// call makes one call in a goroutine of its own. The call ends with the process
// and not with its caller: once begun, its result is what counts.
func (c *bookingCaller) call(r *bookingRun) {
	c.group.Go("booking", func(ctx context.Context) error {
		limited, cancel := context.WithTimeout(ctx, bookingLimit)
		defer cancel()
		finished := c.do(limited, r)
		always := context.WithoutCancel(ctx)
		c.bookings.Send(always, bookingEnded{service: r.service, finished: finished})
		c.queue.Send(always, callEnded{key: r.key, cost: bookingCost})
		return nil
	})
}

// bookingLimit ends a call to a service that never answers. Its key is unknown
// from then on.
const bookingLimit = 5 * time.Minute

func (c *bookingCaller) do(ctx context.Context, r *bookingRun) booking.CallFinished {
	m := r.run.Commit
	answer, err := c.service.Do(ctx, service.Call{Method: m.Method, Path: m.Path, Header: m.Header, Body: m.Body})
	if err != nil {
		failed := failure(err).failed
		return booking.CallFinished{Nonce: r.run.Nonce, Kind: failed.Kind, Reason: failed.Reason}
	}
	return booking.CallFinished{
		Nonce: r.run.Nonce, Kind: outcome.Completed, Status: answer.Status, Header: answer.Header, Body: answer.Body,
	}
}
