package clientconn

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
	"github.com/anvilpoint/anvilpoint/task"
)

// limiterCapacity is the number of messages that wait for the limiter. Senders of further
// ones wait, so that nothing is held without being counted.
const limiterCapacity = 1024

// Reasons why memory is not to be had.
var (
	// ErrNoMemory means that other clients hold the memory. A later request may find some.
	ErrNoMemory = errors.New("the memory for clients is in use")
	// ErrTooLarge means that the request needs more memory than it may ever get.
	ErrTooLarge = errors.New("the request needs more memory than the limits allow")
)

// limiterMessage is a message to the limiter.
type limiterMessage interface{ isLimiterMessage() }

type (
	// opened registers a connection. The reply comes once others have given way to it.
	opened struct {
		id     clientload.ConnectionID
		socket net.Conn
		reply  chan<- struct{}
	}
	// noted carries a message that needs no answer.
	noted struct{ message clientload.Message }
	// claimed asks for memory.
	claimed struct {
		claim clientload.Claim
		reply chan<- error
	}
	// askUsage asks what the clients hold.
	askUsage struct{ reply chan<- Usage }
)

func (opened) isLimiterMessage()   {}
func (noted) isLimiterMessage()    {}
func (claimed) isLimiterMessage()  {}
func (askUsage) isLimiterMessage() {}

// Usage is what the clients of a process hold.
type Usage struct {
	Connections int
	// MemoryBytes is the claimed memory.
	MemoryBytes int64
}

// Limiter is the task that bounds what the connections of clients hold. It carries out the
// decisions of package clientload.
type Limiter struct {
	mailbox *task.Mailbox[limiterMessage]
	load    *clientload.Limiter
	sockets map[clientload.ConnectionID]net.Conn
	claims  map[clientload.ClaimID]chan<- error
	last    clientload.ClaimID
	metrics *Metrics
}

// NewLimiter returns a limiter that is not running yet.
func NewLimiter(c clientload.Config, m *Metrics) *Limiter {
	return &Limiter{
		mailbox: task.NewMailbox[limiterMessage](limiterCapacity, task.Block),
		load:    clientload.New(c), metrics: m,
		sockets: make(map[clientload.ConnectionID]net.Conn), claims: make(map[clientload.ClaimID]chan<- error),
	}
}

// Run is the main loop of the task.
func (l *Limiter) Run(ctx context.Context) error {
	defer l.mailbox.Close()
	tick := time.NewTicker(clientload.TickInterval)
	defer tick.Stop()
	for {
		var ticks <-chan time.Time
		if l.load.Waiting() {
			ticks = tick.C
		}
		select {
		case m := <-l.mailbox.Receive():
			l.handle(time.Now(), m)
		case now := <-ticks:
			l.step(now, clientload.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Limiter) handle(now time.Time, m limiterMessage) {
	switch m := m.(type) {
	case opened:
		l.sockets[m.id] = m.socket
		l.step(now, clientload.Opened{Connection: m.id})
		m.reply <- struct{}{}
	case noted:
		if c, closed := m.message.(clientload.Closed); closed {
			delete(l.sockets, c.Connection)
		}
		l.step(now, m.message)
	case claimed:
		l.last++
		m.claim.ID = l.last
		l.claims[l.last] = m.reply
		l.step(now, m.claim)
	case askUsage:
		memory, connections := l.load.Used()
		m.reply <- Usage{Connections: connections, MemoryBytes: memory}
	}
}

func (l *Limiter) step(now time.Time, m clientload.Message) {
	for _, a := range l.load.Step(now, m) {
		switch a := a.(type) {
		case clientload.Grant:
			l.answer(a.Claim, nil)
		case clientload.Deny:
			if a.Never {
				l.answer(a.Claim, ErrTooLarge)
			} else {
				l.answer(a.Claim, ErrNoMemory)
			}
		case clientload.Close:
			l.evict(a.Connection)
		}
	}
}

// answer answers a claim. The reply channel has room for the answer.
func (l *Limiter) answer(id clientload.ClaimID, err error) {
	l.claims[id] <- err
	delete(l.claims, id)
}

// evict closes the socket. The goroutine that serves the connection then ends, and reports
// the connection as closed once it holds nothing any more.
func (l *Limiter) evict(id clientload.ConnectionID) {
	// The connection is not used any more, so an error from Close does not matter.
	_ = l.sockets[id].Close()
	l.metrics.evicted.Inc()
}

// Usage returns what the clients hold. It returns false if the task has ended.
func (l *Limiter) Usage(ctx context.Context) (Usage, bool) {
	return task.Ask(ctx, l.mailbox, func(reply chan<- Usage) limiterMessage { return askUsage{reply: reply} })
}

// open registers a connection.
func (l *Limiter) open(id clientload.ConnectionID, socket net.Conn) {
	// Without an answer the process ends, and closes the connection itself.
	_, _ = task.Ask(context.Background(), l.mailbox, func(reply chan<- struct{}) limiterMessage {
		return opened{id: id, socket: socket, reply: reply}
	})
}

func (l *Limiter) note(m clientload.Message) {
	// The limiter ends with the process only, so a message that it no longer takes is not
	// missed.
	l.mailbox.Send(context.Background(), noted{message: m})
}

// claim waits until the connection may hold further bytes.
func (l *Limiter) claim(ctx context.Context, c clientload.Claim) error {
	err, ok := task.Ask(ctx, l.mailbox, func(reply chan<- error) limiterMessage { return claimed{claim: c, reply: reply} })
	if !ok {
		return ErrNoMemory
	}
	return err
}

// SetLimits replaces the limits of the head and the body of a request, in bytes.
func (l *Limiter) SetLimits(ctx context.Context, headBytes, bodyBytes int64) {
	l.mailbox.Send(ctx, noted{message: clientload.SetLimits{HeadBytes: headBytes, BodyBytes: bodyBytes}})
}
