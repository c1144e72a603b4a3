package sidecar

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	queueCapacity = 1024
	queueTick     = 50 * time.Millisecond
	memoryTick    = time.Second
)

// queueMessage is a message to the run-queue task.
type queueMessage interface{ isQueueMessage() }

type (
	// fromLink carries a frame of an entry.
	fromLink struct {
		link    *link.Link
		message message.Message
		// at is when the frame arrived.
		at time.Time
	}
	// callEnded says that a call no longer uses the backend server.
	callEnded struct {
		key  execution.Key
		cost int64
	}
	// callAnswers says that a call has begun to answer.
	callAnswers struct{ key execution.Key }
	// setSlots tells how many calls the backend server runs at once.
	setSlots struct{ slots int }
	// setRefusal makes the queue refuse all new offers, and the waiting ones, for
	// the reason. ReasonNone takes offers again.
	setRefusal struct{ reason outcome.Reason }
	// askFigures asks for the queue's part of the load report.
	askFigures struct {
		entries int
		reply   chan<- figures
	}
	// setShares gives the record whose shares hold from now on.
	setShares struct{ snapshot *record.Snapshot }
)

// figures is the queue's part of the load report.
type figures struct {
	running int
	waiting int
	queued  [3]int64
	slots   int
	// window is the credit of each entry.
	window [3]int64
}

func (fromLink) isQueueMessage()    {}
func (callEnded) isQueueMessage()   {}
func (callAnswers) isQueueMessage() {}
func (setSlots) isQueueMessage()    {}
func (setRefusal) isQueueMessage()  {}
func (askFigures) isQueueMessage()  {}
func (setShares) isQueueMessage()   {}

// offered is a waiting or running offer of an entry, or a booking.
type offered struct {
	link    *link.Link
	offer   *message.Offer
	booking *bookingRun
}

// queue is the run-queue task: it owns the waiting work, the record of what was
// refused, and the calls that run.
type queue struct {
	mailbox   *task.Mailbox[queueMessage]
	scheduler *fairQueue
	ledger    *execution.Ledger
	offers    map[execution.Key]*offered
	running   int
	slots     int
	refusal   outcome.Reason
	start     func(key execution.Key, o *offered)
	// bookings makes the calls of bookings. It is nil beside an engine.
	bookings *bookingCaller
	streams  *task.Mailbox[streamMessage]
	metrics  *metrics
}

func newQueue(s *fairQueue, slots int, m *metrics) (*queue, error) {
	ledger, err := execution.New()
	return &queue{
		mailbox:   task.NewMailbox[queueMessage](queueCapacity, task.Block),
		scheduler: s,
		ledger:    ledger,
		offers:    make(map[execution.Key]*offered),
		slots:     slots,
		metrics:   m,
	}, err
}

// run is the task.
func (q *queue) run(ctx context.Context) error {
	defer q.mailbox.Close()
	tick := time.NewTicker(queueTick)
	defer tick.Stop()
	forget := time.NewTicker(memoryTick)
	defer forget.Stop()
	for {
		select {
		case m := <-q.mailbox.Receive():
			q.step(time.Now(), m)
		case now := <-tick.C:
			q.expire(now)
		case now := <-forget.C:
			q.ledger.Tick(now)
		case <-ctx.Done():
			return nil
		}
		q.fill(time.Now())
	}
}

func (q *queue) step(now time.Time, m queueMessage) {
	switch m := m.(type) {
	case fromLink:
		q.frame(now, m)
	case callEnded:
		q.ended(now, m)
	case callAnswers:
		q.scheduler.firstOutput(now, m.key)
	case queueBooking:
		q.booking(now, m.run)
	case setSlots:
		q.slots = m.slots
		q.scheduler.resize(m.slots)
	case setShares:
		q.scheduler.configure(m.snapshot)
	case setRefusal:
		q.setRefusal(now, m.reason)
	case askFigures:
		m.reply <- figures{running: q.running, waiting: len(q.offers) - q.running, queued: q.scheduler.queuedCost(), slots: q.slots, window: q.scheduler.window(now, m.entries)}
	}
}

func (q *queue) frame(now time.Time, f fromLink) {
	l := f.link
	switch m := f.message.(type) {
	case *message.Offer:
		q.offer(now, f.at, l, m)
	case *message.Withdraw:
		q.withdraw(now, l, execution.Key{Request: m.Request, Attempt: m.Attempt})
	case *message.Cancel:
		q.cancel(now, l, execution.Key{Request: m.Request, Attempt: m.Attempt})
	}
}

func (q *queue) offer(now, arrived time.Time, l *link.Link, m *message.Offer) {
	key := execution.Key{Request: m.Request, Attempt: m.Attempt}
	deadline := arrived.Add(time.Duration(m.RemainingMS) * time.Millisecond)
	switch q.ledger.Arrive(now, key, deadline) {
	case execution.Duplicate:
		return
	case execution.Refused:
		q.sendRefusal(l, key, outcome.ReasonDuplicateAttempt, 0)
		return
	case execution.PastDeadline:
		q.sendRefusal(l, key, outcome.ReasonDeadline, 0)
		return
	}
	o := &offered{link: l, offer: m}
	if q.refusal != outcome.ReasonNone {
		q.refuse(now, o, key, q.refusal, 0)
		return
	}
	answer := q.scheduler.offer(now, item{
		key: key, account: m.Account, weight: m.Weight, class: m.Class, cost: m.Cost, deadline: deadline, noWait: m.NoWait,
	})
	if !answer.queued {
		q.refuse(now, o, key, answer.reason, answer.retryAfter)
		return
	}
	q.ledger.Queue(now, key)
	q.offers[key] = o
	l.Send(&message.Accepted{Request: key.Request, Attempt: key.Attempt})
	q.displace(now, answer.displaced)
}

// displace refuses waiting work that lost its place to another account's.
func (q *queue) displace(now time.Time, keys []execution.Key) {
	for _, key := range keys {
		if o, known := q.offers[key]; known {
			q.refuse(now, o, key, outcome.ReasonAccountShare, time.Second)
		}
	}
}

// refuse records the refusal before it is sent as proof.
func (q *queue) refuse(now time.Time, o *offered, key execution.Key, reason outcome.Reason, retry time.Duration) {
	q.ledger.Refuse(now, key)
	delete(q.offers, key)
	q.refused(o, key, reason, retry)
}

// refused tells whoever offered the work.
func (q *queue) refused(o *offered, key execution.Key, reason outcome.Reason, retry time.Duration) {
	if o.booking == nil {
		q.sendRefusal(o.link, key, reason, retry)
		return
	}
	q.metrics.refused.WithLabelValues(string(reason)).Inc()
	q.bookings.refuse(o.booking, reason)
}

func (q *queue) sendRefusal(l *link.Link, key execution.Key, reason outcome.Reason, retry time.Duration) {
	q.metrics.refused.WithLabelValues(string(reason)).Inc()
	l.Send(&message.Refused{Request: key.Request, Attempt: key.Attempt, Reason: reason, RetryAfterMS: retry.Milliseconds()})
}

func (q *queue) withdraw(now time.Time, l *link.Link, key execution.Key) {
	if !q.takeBack(now, key) {
		l.Send(&message.TooLate{Request: key.Request, Attempt: key.Attempt})
		return
	}
	l.Send(&message.Withdrawn{Request: key.Request, Attempt: key.Attempt})
}

// takeBack removes an attempt that has not started. True is the proof that it
// never will.
func (q *queue) takeBack(now time.Time, key execution.Key) bool {
	waiting := q.ledger.Waiting(key)
	proof := q.ledger.Withdraw(now, key)
	if waiting {
		q.scheduler.withdraw(key)
		delete(q.offers, key)
	}
	return proof
}

func (q *queue) cancel(now time.Time, l *link.Link, key execution.Key) {
	if q.takeBack(now, key) {
		return
	}
	// The streams task stops the call unless somebody else reads its answer. It
	// knows the stream by now, since the same task opened it.
	q.streams.Send(context.Background(), cancelReader{link: l, key: key})
}

// fill starts waiting work while the backend server has free slots.
func (q *queue) fill(now time.Time) {
	for q.running < q.slots {
		next, ok := q.scheduler.next(now)
		if !ok {
			return
		}
		o := q.offers[next.key]
		if !q.ledger.Start(now, next.key) {
			delete(q.offers, next.key)
			q.refused(o, next.key, outcome.ReasonDeadline, 0)
			q.scheduler.charge(now, next.key, 0)
			continue
		}
		q.running++
		if o.booking != nil {
			q.bookings.call(o.booking)
			continue
		}
		q.start(next.key, o)
	}
}

func (q *queue) ended(now time.Time, m callEnded) {
	q.ledger.End(now, m.key)
	q.scheduler.charge(now, m.key, m.cost)
	delete(q.offers, m.key)
	q.running--
}

func (q *queue) expire(now time.Time) {
	for _, i := range q.scheduler.expire(now) {
		q.ledger.Expire(now, i.key)
		if o, known := q.offers[i.key]; known {
			delete(q.offers, i.key)
			q.refused(o, i.key, outcome.ReasonDeadline, 0)
		}
	}
}

func (q *queue) setRefusal(now time.Time, reason outcome.Reason) {
	q.refusal = reason
	if reason == outcome.ReasonNone {
		return
	}
	for key, o := range q.offers {
		if q.ledger.Waiting(key) {
			q.scheduler.withdraw(key)
			q.refuse(now, o, key, reason, 0)
		}
	}
}

// classOf returns the class of an offer, the least urgent one if it names none.
func classOf(o *message.Offer) ident.PriorityClass {
	if o.Class.Valid() {
		return o.Class
	}
	return ident.Batch
}
