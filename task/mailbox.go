// Package task runs tasks, goroutines that own their state and communicate by
// messages. A task receives through bounded mailboxes, blocks while it waits, and
// belongs to a group that reports its end. It is built on
// github.com/sourcegraph/conc.
package task

import "context"

// FullPolicy says what a full mailbox does with a new message.
type FullPolicy int

const (
	// Block makes the sender wait until there is room, its context ends or the
	// mailbox is closed.
	Block FullPolicy = iota
	// RejectNew rejects the new message.
	RejectNew
	// DropOldest drops the oldest queued message to make room.
	DropOldest
)

// SendResult is the outcome of a send.
type SendResult int

const (
	// Delivered means that the message is in the mailbox.
	Delivered SendResult = iota
	// ReplacedOldest means that the message is in the mailbox and an older one was dropped.
	ReplacedOldest
	// Rejected means that the mailbox was full.
	Rejected
	// Canceled means that the sender's context ended while it waited.
	Canceled
	// Closed means that the owner no longer receives.
	Closed
)

// Accepted reports whether the message is in the mailbox.
func (r SendResult) Accepted() bool { return r == Delivered || r == ReplacedOldest }

// Mailbox is a bounded queue of messages with one receiving owner and any
// number of senders.
type Mailbox[M any] struct {
	messages chan M
	closed   chan struct{}
	policy   FullPolicy
}

// NewMailbox returns a mailbox that holds up to capacity messages.
func NewMailbox[M any](capacity int, policy FullPolicy) *Mailbox[M] {
	return &Mailbox[M]{
		messages: make(chan M, capacity),
		closed:   make(chan struct{}),
		policy:   policy,
	}
}

// Receive returns the channel from which the owner receives.
func (m *Mailbox[M]) Receive() <-chan M { return m.messages }

// Closed returns a channel that is closed once the owner has stopped receiving.
func (m *Mailbox[M]) Closed() <-chan struct{} { return m.closed }

// Close tells senders that the owner no longer receives. Only the owner may call
// it, and only once.
func (m *Mailbox[M]) Close() { close(m.closed) }

// Len returns the number of queued messages.
func (m *Mailbox[M]) Len() int { return len(m.messages) }

// Send puts a message into the mailbox. The mailbox's policy says what happens if
// it is full.
func (m *Mailbox[M]) Send(ctx context.Context, message M) SendResult {
	select {
	case <-m.closed:
		return Closed
	default:
	}
	switch m.policy {
	case RejectNew:
		return m.sendOrReject(message)
	case DropOldest:
		return m.sendDroppingOldest(message)
	default:
		return m.sendOrWait(ctx, message)
	}
}

func (m *Mailbox[M]) sendOrWait(ctx context.Context, message M) SendResult {
	select {
	case m.messages <- message:
		return Delivered
	case <-m.closed:
		return Closed
	case <-ctx.Done():
		return Canceled
	}
}

func (m *Mailbox[M]) sendOrReject(message M) SendResult {
	select {
	case m.messages <- message:
		return Delivered
	default:
		return Rejected
	}
}

// sendDroppingOldest never waits. Another sender can take the room that a drop
// made, so it drops messages until its own is in the mailbox.
func (m *Mailbox[M]) sendDroppingOldest(message M) SendResult {
	result := Delivered
	for {
		select {
		case m.messages <- message:
			return result
		default:
		}
		select {
		case <-m.messages:
			result = ReplacedOldest
		default:
		}
	}
}

// Ask sends a request that carries a reply channel and waits for the answer.
// The result is false if the request was not accepted, the owner closed the
// mailbox, or the context ended.
func Ask[M, R any](ctx context.Context, m *Mailbox[M], request func(reply chan<- R) M) (R, bool) {
	reply := make(chan R, 1)
	var none R
	if !m.Send(ctx, request(reply)).Accepted() {
		return none, false
	}
	select {
	case answer := <-reply:
		return answer, true
	case <-m.closed:
		return pendingAnswer(reply)
	case <-ctx.Done():
		return none, false
	}
}

// pendingAnswer returns an answer that was sent before the mailbox was closed.
func pendingAnswer[R any](reply <-chan R) (R, bool) {
	select {
	case answer := <-reply:
		return answer, true
	default:
		var none R
		return none, false
	}
}
