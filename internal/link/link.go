// Package link carries messages between anvilpoint processes over WebSocket.
// One task owns each socket. Other tasks send through a Link, the handle of a link.
// Received messages are passed to Config.Deliver in the link's own goroutine; Deliver
// usually puts them in a mailbox.
package link

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// heartbeatInterval is the default interval between two heartbeats on a link.
	heartbeatInterval = time.Second
	// entryHeartbeatInterval is the interval between two heartbeats from an entry to a
	// sidecar. An entry reports no load, and its changes are sent at once. At the target
	// size an entry has links to 51 sidecars; a heartbeat every second would then exceed
	// the 4 KB/s that a node may use for control traffic.
	entryHeartbeatInterval = 3 * time.Second
	// sidecarHeartbeatInterval is the interval between two heartbeats from a sidecar to
	// another. A leader of 256 ranks has 255 such links; at one heartbeat a second they
	// would take nine times the 4 KB/s that a node may use for control traffic.
	sidecarHeartbeatInterval = 15 * time.Second
	// silenceTimeout is how long nothing may be received before a link with the default
	// heartbeat interval is closed: three heartbeats and a margin for scheduling delays.
	silenceTimeout = 3500 * time.Millisecond
	// writeTimeout bounds one write. A link whose peer does not read is closed.
	writeTimeout = 5 * time.Second
	// batchInterval is the least time between two writes of batchable messages. A write
	// and the wake-up of its reader cost several microseconds, so one write per token
	// would be most of the cost of relaying. A message on an idle link is written at once.
	batchInterval = 2 * time.Millisecond
)

// outboundQueueCapacity bounds the messages that wait for the socket. Credits keep
// streams far below it, so a peer whose queue is full does not read; its link is closed.
const outboundQueueCapacity = 16384

// EventKind is the kind of an event on a link.
type EventKind int

// The kinds of events.
const (
	// Up means that the peer's Hello arrived. Messages is empty.
	Up EventKind = iota
	// Received means that messages arrived. They are in the order in which they were sent.
	Received
	// Down means that the link is closed. It follows every Up.
	Down
)

// Event is an event on a link.
type Event struct {
	Link     *Link
	Kind     EventKind
	Messages []message.Message
	// Err says why the link is down. It is nil for other events.
	Err error
}

// Config is the configuration that all links of a process share.
type Config struct {
	Codec *codec.Codec
	Clock *hlc.Clock
	// Hello returns the Hello to send on a new link.
	Hello func() message.Hello
	// Accepts reports whether a peer of the role may send messages of the kind on an open
	// link.
	Accepts func(message.Role, message.Kind) bool
	// Deliver handles an event. While it blocks, the link reads nothing more, which slows
	// the peer down.
	Deliver func(ctx context.Context, e Event)
	// Closed is called with the reason when a link ends, to count it. It may be nil.
	Closed func(reason string)
}

// Link is the handle of one link. It is valid from the event Up on. Messages sent after
// Down are dropped.
type Link struct {
	peer    message.Hello
	address string
	// identity is the identity in the peer's certificate, or nil without TLS.
	identity      *Identity
	outbound      *task.Mailbox[message.Message]
	flushRequests *task.Mailbox[struct{}]
	heartbeat     *task.Mailbox[message.Heartbeat]
	closeRequests *task.Mailbox[string]
}

func newLink(address string, identity *Identity) *Link {
	return &Link{
		address:       address,
		identity:      identity,
		outbound:      task.NewMailbox[message.Message](outboundQueueCapacity, task.RejectNew),
		flushRequests: task.NewMailbox[struct{}](1, task.RejectNew),
		heartbeat:     task.NewMailbox[message.Heartbeat](1, task.DropOldest),
		closeRequests: task.NewMailbox[string](1, task.RejectNew),
	}
}

// Peer returns the peer's Hello. It is set before Up and does not change.
func (l *Link) Peer() message.Hello { return l.peer }

// Address returns the address that was dialled, or the remote address of an accepted
// link.
func (l *Link) Address() string { return l.address }

// Send queues a message. If it returns false, the message was not sent and never will
// be. A full queue closes the link.
func (l *Link) Send(m message.Message) bool {
	result := l.outbound.Send(context.Background(), m)
	if result == task.Rejected {
		l.Close("outbound queue full")
	}
	if !batchable(m) {
		l.flushRequests.Send(context.Background(), struct{}{})
	}
	return result.Accepted()
}

// batchable reports whether a message may be delayed to share a write with others. The
// first chunk of an answer may not, since it determines the client's time to first token.
func batchable(m message.Message) bool {
	switch m := m.(type) {
	case *message.Chunk:
		return m.Sequence > 1
	case *message.Credit:
		return true
	default:
		return false
	}
}

// SetHeartbeat sets the content of the next heartbeats, except Sequence and Echo, which
// the link sets. A change of Draining, Record or Load.GroupState is sent at once.
func (l *Link) SetHeartbeat(h message.Heartbeat) {
	l.heartbeat.Send(context.Background(), h)
}

// Close closes the link. It is counted as an overload; the event Down carries the reason.
func (l *Link) Close(reason string) {
	l.closeRequests.Send(context.Background(), reason)
}
