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
	queueMailboxCapacity = 1024
	// expiryInterval is the time between two checks for waiting work whose deadline
	// has passed.
	expiryInterval = 50 * time.Millisecond
	// ledgerTickInterval is the time between two removals of attempts whose retention
	// in the ledger has ended.
	ledgerTickInterval = time.Second
)

// queueMessage is a message to the run-queue task.
type queueMessage interface{ isQueueMessage() }

type (
	// entryFrame is an Offer, Withdraw or Cancel from an entry.
	entryFrame struct {
		link    *link.Link
		message message.Message
		// at is when the frame arrived.
		at time.Time
	}
	// callEnded reports that a call no longer uses the backend server.
	callEnded struct {
		key  execution.Key
		cost int64
	}
	// callFirstOutput reports that a call has produced its first output.
	callFirstOutput struct{ key execution.Key }
	// setSlots sets how many calls the backend server runs at once.
	setSlots struct{ slots int }
	// setRefusal makes the queue refuse all new and waiting work with the reason.
	// ReasonNone makes it accept offers again.
	setRefusal struct{ reason outcome.Reason }
	// askQueueLoad asks for the queue's part of the load report. Entries is the
	// number of entries that the credit is divided between.
	askQueueLoad struct {
		entries int
		reply   chan<- queueLoad
	}
	// setShares applies the shares of the record.
	setShares struct{ snapshot *record.Snapshot }
)

// queueLoad is the queue's part of the load report.
type queueLoad struct {
	running int
	waiting int
	// queued is the cost of the waiting work by class, most urgent first.
	queued [3]int64
	slots  int
	// window is the credit of each entry by class, most urgent first.
	window [3]int64
}

func (entryFrame) isQueueMessage()      {}
func (callEnded) isQueueMessage()       {}
func (callFirstOutput) isQueueMessage() {}
func (setSlots) isQueueMessage()        {}
func (setRefusal) isQueueMessage()      {}
func (askQueueLoad) isQueueMessage()    {}
func (setShares) isQueueMessage()       {}

// attempt is waiting or running work: either an entry's offer with its link, or a
// booking.
type attempt struct {
	link    *link.Link
	offer   *message.Offer
	booking *bookingCall
}

// runQueue is the run-queue task. It owns the waiting and running work and the
// ledger, which proves of an attempt that it never runs.
type runQueue struct {
	mailbox   *task.Mailbox[queueMessage]
	scheduler *fairQueue
	ledger    *execution.Ledger
	attempts  map[execution.Key]*attempt
	running   int
	slots     int
	refusal   outcome.Reason
	startCall func(key execution.Key, a *attempt)
	// bookings runs the calls of bookings. It is nil beside an engine.
	bookings *bookingCaller
	streams  *task.Mailbox[streamMessage]
	metrics  *metrics
}

func newRunQueue(s *fairQueue, slots int, m *metrics) (*runQueue, error) {
	ledger, err := execution.New()
	return &runQueue{
		mailbox:   task.NewMailbox[queueMessage](queueMailboxCapacity, task.Block),
		scheduler: s,
		ledger:    ledger,
		attempts:  make(map[execution.Key]*attempt),
		slots:     slots,
		metrics:   m,
	}, err
}

// run handles messages and timers until the context ends.
func (q *runQueue) run(ctx context.Context) error {
	defer q.mailbox.Close()
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	ledgerTick := time.NewTicker(ledgerTickInterval)
	defer ledgerTick.Stop()
	for {
		select {
		case m := <-q.mailbox.Receive():
			q.step(time.Now(), m)
		case now := <-tick.C:
			q.expire(now)
		case now := <-ledgerTick.C:
			q.ledger.Tick(now)
		case <-ctx.Done():
			return nil
		}
		q.dispatch(time.Now())
	}
}

func (q *runQueue) step(now time.Time, m queueMessage) {
	switch m := m.(type) {
	case entryFrame:
		q.frame(now, m)
	case callEnded:
		q.endCall(now, m)
	case callFirstOutput:
		q.scheduler.firstOutput(now, m.key)
	case offerBooking:
		q.offerBooking(now, m.run)
	case setSlots:
		q.slots = m.slots
		q.scheduler.resize(m.slots)
	case setShares:
		q.scheduler.configure(m.snapshot)
	case setRefusal:
		q.setRefusal(now, m.reason)
	case askQueueLoad:
		m.reply <- queueLoad{running: q.running, waiting: len(q.attempts) - q.running, queued: q.scheduler.queuedCost(), slots: q.slots, window: q.scheduler.window(now, m.entries)}
	}
}

func (q *runQueue) frame(now time.Time, f entryFrame) {
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

func (q *runQueue) offer(now, arrived time.Time, l *link.Link, m *message.Offer) {
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
	a := &attempt{link: l, offer: m}
	if q.refusal != outcome.ReasonNone {
		q.refuse(now, a, key, q.refusal, 0)
		return
	}
	result := q.scheduler.offer(now, item{
		key: key, account: m.Account, weight: m.Weight, class: m.Class, cost: m.Cost, deadline: deadline, noWait: m.NoWait,
	})
	if !result.queued {
		q.refuse(now, a, key, result.reason, result.retryAfter)
		return
	}
	q.ledger.Queue(now, key)
	q.attempts[key] = a
	l.Send(&message.Accepted{Request: key.Request, Attempt: key.Attempt})
	q.displace(now, result.displaced)
}

// displace refuses waiting work that was removed from the queue to make room for
// another account's.
func (q *runQueue) displace(now time.Time, keys []execution.Key) {
	for _, key := range keys {
		if a, known := q.attempts[key]; known {
			q.refuse(now, a, key, outcome.ReasonAccountShare, time.Second)
		}
	}
}

// refuse records the refusal in the ledger and then sends it. The order matters: a
// refusal that was sent is proof that the attempt never runs.
func (q *runQueue) refuse(now time.Time, a *attempt, key execution.Key, reason outcome.Reason, retry time.Duration) {
	q.ledger.Refuse(now, key)
	delete(q.attempts, key)
	q.notifyRefused(a, key, reason, retry)
}

// notifyRefused sends the refusal to the entry or to the bookings task.
func (q *runQueue) notifyRefused(a *attempt, key execution.Key, reason outcome.Reason, retry time.Duration) {
	if a.booking == nil {
		q.sendRefusal(a.link, key, reason, retry)
		return
	}
	q.metrics.refused.WithLabelValues(string(reason)).Inc()
	q.bookings.refuse(a.booking, reason)
}

func (q *runQueue) sendRefusal(l *link.Link, key execution.Key, reason outcome.Reason, retry time.Duration) {
	q.metrics.refused.WithLabelValues(string(reason)).Inc()
	l.Send(&message.Refused{Request: key.Request, Attempt: key.Attempt, Reason: reason, RetryAfterMS: retry.Milliseconds()})
}

func (q *runQueue) withdraw(now time.Time, l *link.Link, key execution.Key) {
	if !q.revoke(now, key) {
		l.Send(&message.TooLate{Request: key.Request, Attempt: key.Attempt})
		return
	}
	l.Send(&message.Withdrawn{Request: key.Request, Attempt: key.Attempt})
}

// revoke removes an attempt that has not started. True proves that it never will.
func (q *runQueue) revoke(now time.Time, key execution.Key) bool {
	queued := q.ledger.Queued(key)
	proof := q.ledger.Withdraw(now, key)
	if queued {
		q.scheduler.withdraw(key)
		delete(q.attempts, key)
	}
	return proof
}

func (q *runQueue) cancel(now time.Time, l *link.Link, key execution.Key) {
	if q.revoke(now, key) {
		return
	}
	// The streams task stops the call unless another reader is attached. It already
	// has the stream, because this task sent openStream before.
	q.streams.Send(context.Background(), cancelReader{link: l, key: key})
}

// dispatch starts waiting work while the backend server has free slots.
func (q *runQueue) dispatch(now time.Time) {
	for q.running < q.slots {
		next, ok := q.scheduler.next(now)
		if !ok {
			return
		}
		a := q.attempts[next.key]
		if !q.ledger.Start(now, next.key) {
			delete(q.attempts, next.key)
			q.notifyRefused(a, next.key, outcome.ReasonDeadline, 0)
			q.scheduler.charge(now, next.key, 0)
			continue
		}
		q.running++
		if a.booking != nil {
			q.bookings.call(a.booking)
			continue
		}
		q.startCall(next.key, a)
	}
}

func (q *runQueue) endCall(now time.Time, m callEnded) {
	q.ledger.End(now, m.key)
	q.scheduler.charge(now, m.key, m.cost)
	delete(q.attempts, m.key)
	q.running--
}

func (q *runQueue) expire(now time.Time) {
	for _, i := range q.scheduler.expire(now) {
		q.ledger.Expire(now, i.key)
		if a, known := q.attempts[i.key]; known {
			delete(q.attempts, i.key)
			q.notifyRefused(a, i.key, outcome.ReasonDeadline, 0)
		}
	}
}

func (q *runQueue) setRefusal(now time.Time, reason outcome.Reason) {
	q.refusal = reason
	if reason == outcome.ReasonNone {
		return
	}
	for key, a := range q.attempts {
		if q.ledger.Queued(key) {
			q.scheduler.withdraw(key)
			q.refuse(now, a, key, reason, 0)
		}
	}
}

// classOf returns the class of an offer, or the least urgent one if the offer has
// no valid class.
func classOf(o *message.Offer) ident.PriorityClass {
	if o.Class.Valid() {
		return o.Class
	}
	return ident.Batch
}
