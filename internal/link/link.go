// Package link carries messages between anvilpoint processes over WebSocket.
// One task owns each socket. Others hold a Link, the handle through which they
// send; what arrives is handed to the owner's Deliver function in the link's
// own goroutine, which passes it on to a mailbox.
package link

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/task"
)

// Timing of a link.
const (
	heartbeatInterval = time.Second
	// sidecarInterval is the interval between two sidecars. A leader of 256 ranks
	// has 255 such links; at one heartbeat a second they alone would cost it nine
	// times the 4 KB/s that a node may use for control.
	sidecarInterval = 15 * time.Second
	// silenceLimit closes a link on which nothing arrived for three heartbeats
	// and a margin for a busy scheduler.
	silenceLimit = 3500 * time.Millisecond
	// writeLimit closes a link whose peer takes no data.
	writeLimit = 5 * time.Second
	// gatherTime is the least time between two writes of messages that can wait.
	// A write and the wake-up of its reader cost several microseconds, so that
	// one write for each token is most of the cost of a relay. A message on a
	// quiet link is written at once.
	gatherTime = 2 * time.Millisecond
)

// outboundCapacity bounds the messages that wait for the socket. Credits keep
// streams far below it; a link that reaches it has a peer that does not read,
// and is closed.
const outboundCapacity = 16384

// EventKind tells what happened on a link.
type EventKind int

const (
	// Up means that the peer's Hello arrived. Messages is empty.
	Up EventKind = iota
	// Received carries messages in the order in which the peer sent them.
	Received
	// Down means that the link is closed. It follows every Up.
	Down
)

// Event is what a link hands to its owner.
type Event struct {
	Link     *Link
	Kind     EventKind
	Messages []message.Message
	// Err is why the link is down.
	Err error
}

// Config is the same for all links of a process.
type Config struct {
	Codec *codec.Codec
	Clock *hlc.Clock
	// Hello returns the greeting of this process as of now.
	Hello func() message.Hello
	// Accepts reports whether a frame of the kind from a peer of the role is in
	// turn on an open link.
	Accepts func(message.Role, message.Kind) bool
	// Deliver hands an event to its owner. It may block, which slows the peer down.
	Deliver func(ctx context.Context, e Event)
	// Closed counts ends of links by reason. It may be nil.
	Closed func(reason string)
}

// Link is the handle of one link. It is valid after Up; sends after Down are
// dropped.
type Link struct {
	peer    message.Hello
	address string
	// identity is what the peer's certificate says, or nil for plain text.
	identity  *Identity
	outbound  *task.Mailbox[message.Message]
	urgent    *task.Mailbox[struct{}]
	heartbeat *task.Mailbox[message.Heartbeat]
	closing   *task.Mailbox[string]
}

func newLink(address string, identity *Identity) *Link {
	return &Link{
		address:   address,
		identity:  identity,
		outbound:  task.NewMailbox[message.Message](outboundCapacity, task.RejectNew),
		urgent:    task.NewMailbox[struct{}](1, task.RejectNew),
		heartbeat: task.NewMailbox[message.Heartbeat](1, task.DropOldest),
		closing:   task.NewMailbox[string](1, task.RejectNew),
	}
}

// Peer returns the peer's Hello. It is set before Up and does not change.
func (l *Link) Peer() message.Hello { return l.peer }

// Address returns the address that was dialled, or the remote address.
func (l *Link) Address() string { return l.address }

// Send queues a message. False means that the message was certainly not written
// and never will be. A full queue closes the link.
func (l *Link) Send(m message.Message) bool {
	result := l.outbound.Send(context.Background(), m)
	if result == task.Rejected {
		l.Close("outbound queue full")
	}
	if !canWait(m) {
		l.urgent.Send(context.Background(), struct{}{})
	}
	return result.Accepted()
}

// canWait reports whether the message may wait for others to share a write. The
// first piece of an answer may not, since callers wait for it.
func canWait(m message.Message) bool {
	switch m := m.(type) {
	case *message.Chunk:
		return m.Sequence > 1
	case *message.Credit:
		return true
	default:
		return false
	}
}

// SetHeartbeat replaces the content of the following heartbeats. The link sets
// sequence and echo. An urgent change is sent at once.
func (l *Link) SetHeartbeat(h message.Heartbeat) {
	l.heartbeat.Send(context.Background(), h)
}

// Close ends the link.
func (l *Link) Close(reason string) {
	l.closing.Send(context.Background(), reason)
}
