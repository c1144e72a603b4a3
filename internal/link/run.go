package link

import (
	"context"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/task"
)

// Reasons for the end of a link, as passed to Config.Closed.
const (
	reasonInvalidFrame = "invalid-frame"
	reasonOutOfTurn    = "out-of-turn"
	reasonIncompatible = "incompatible"
	reasonSilent       = "silent"
	reasonSocket       = "socket"
	reasonStopped      = "stopped"
	reasonOverload     = "overload"
)

// closeCause says why a link was closed.
type closeCause struct {
	reason string
	err    error
}

// runner is the state of the task of one link.
type runner struct {
	config         Config
	link           *Link
	socket         *websocket.Conn
	lifecycle      *chart.Lifecycle[*runner]
	inbound        *task.Mailbox[inbound]
	heartbeat      message.Heartbeat
	lastReceived   time.Time
	delay          delayEstimator
	localRole      message.Role
	deliverContext context.Context
	writeBuffer    []byte
	cause          closeCause
	// batching is true while messages wait for batchTimer in order to share a write.
	// Pending is the first of them, and the others are still in the queue.
	batchTimer *time.Timer
	batching   bool
	pending    message.Message
	lastWrite  time.Time
}

// inbound is what the reading goroutine passes to the link's task.
type inbound struct {
	envelopes []message.Envelope
	failure   *closeCause
}

func bindChart() (*chart.Machine[*runner], error) {
	return chart.Bind(charts.Must("link"), chart.Binding[*runner]{
		Guards: map[string]func(*runner) bool{"compatible": (*runner).compatible},
	})
}

// compatible reports whether the peer's Hello has this protocol version, a known role
// and the identity of the peer's certificate.
func (r *runner) compatible() bool {
	peer := r.link.peer
	return peer.Version == message.ProtocolVersion && r.link.identity.matches(peer) &&
		(peer.Role == message.RoleEntry || peer.Role == message.RoleSidecar)
}

// run is the task of a link. It owns the socket and returns why the link ended.
func run(ctx context.Context, config Config, l *Link, socket *websocket.Conn) error {
	m, err := bindChart()
	if err != nil {
		return err
	}
	group := task.NewGroup(ctx)
	r := &runner{
		config: config, link: l, socket: socket, lastReceived: time.Now(), deliverContext: ctx,
		inbound: task.NewMailbox[inbound](4, task.Block),
	}
	r.lifecycle = m.New(r.lastReceived, r)
	socket.SetReadLimit(maxMessageBytes)
	group.Go("link reader", r.read)
	r.loop(group.Context())
	l.outbound.Close()
	_ = socket.CloseNow()
	stopErr := group.Stop(0)
	r.finish()
	if stopErr != nil {
		return stopErr
	}
	return r.cause.err
}

// finish reports the end of the link.
func (r *runner) finish() {
	if r.config.Closed != nil {
		r.config.Closed(r.cause.reason)
	}
	if r.link.peer.Version != 0 {
		r.config.Deliver(context.WithoutCancel(r.deliverContext), Event{Link: r.link, Kind: Down, Err: r.cause.err})
	}
}

// close ends the link, unless it has ended already.
func (r *runner) close(reason string, err error) {
	if r.lifecycle.Done() {
		return
	}
	event := "failed"
	switch reason {
	case reasonSilent:
		event = "timeout"
	case reasonStopped:
		event = "stop"
	}
	r.lifecycle.Fire(time.Now(), event)
	r.cause = closeCause{reason: reason, err: errors.WithMessage(err, reason)}
}

// loop sends Hello and serves the link until it ends.
func (r *runner) loop(ctx context.Context) {
	hello := r.config.Hello()
	r.heartbeat.Record, r.localRole = hello.Record, hello.Role
	r.batchTimer = time.NewTimer(time.Hour)
	defer r.batchTimer.Stop()
	r.write(ctx, &hello)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for !r.lifecycle.Done() {
		select {
		case in := <-r.inbound.Receive():
			r.handleInbound(ctx, in)
		case m := <-r.outbound():
			r.send(ctx, m)
		case <-r.flushRequests():
			r.flush(ctx)
		case <-r.batchTimer.C:
			r.flush(ctx)
		case h := <-r.link.heartbeat.Receive():
			r.replaceHeartbeat(ctx, h)
		case now := <-ticker.C:
			r.tick(ctx, now)
		case reason := <-r.link.closeRequests.Receive():
			r.close(reasonOverload, errors.New(reason))
		case <-ctx.Done():
			r.close(reasonStopped, context.Cause(ctx))
		}
	}
}

// outbound returns the queue of messages, or nil until the peer's Hello has arrived and
// while messages wait to share a write.
func (r *runner) outbound() <-chan message.Message {
	if r.lifecycle.In("open") && !r.batching {
		return r.link.outbound.Receive()
	}
	return nil
}

func (r *runner) flushRequests() <-chan struct{} {
	if r.lifecycle.In("open") {
		return r.link.flushRequests.Receive()
	}
	return nil
}

// send writes the message, or delays it if it is batchable and the last write was less
// than batchInterval ago.
func (r *runner) send(ctx context.Context, m message.Message) {
	wait := batchInterval - time.Since(r.lastWrite)
	if wait <= 0 || !batchable(m) {
		r.write(ctx, m)
		return
	}
	r.pending = m
	r.batching = true
	r.batchTimer.Reset(wait)
}

// flush writes all waiting messages.
func (r *runner) flush(ctx context.Context) {
	r.batching = false
	r.batchTimer.Stop()
	m := r.pending
	r.pending = nil
	if m == nil {
		m = r.nextQueued()
	}
	if m != nil && !r.lifecycle.Done() {
		r.write(ctx, m)
	}
}

// replaceHeartbeat sets the content of the next heartbeats and sends one at once if an
// urgent part has changed.
func (r *runner) replaceHeartbeat(ctx context.Context, h message.Heartbeat) {
	urgent := h.Draining != r.heartbeat.Draining || h.Record != r.heartbeat.Record || h.Load.GroupState != r.heartbeat.Load.GroupState
	h.Sequence, h.Echo = r.heartbeat.Sequence, r.heartbeat.Echo
	r.heartbeat = h
	if urgent && r.lifecycle.In("open") {
		r.sendHeartbeat(ctx)
	}
}

// tick closes a silent link and sends a heartbeat if one is due.
func (r *runner) tick(ctx context.Context, now time.Time) {
	r.lifecycle.Tick(now)
	expected := HeartbeatInterval(r.link.peer.Role, r.localRole)
	if now.Sub(r.lastReceived) > silenceTimeout+3*(expected-heartbeatInterval) || r.lifecycle.Done() {
		r.cause = closeCause{reason: reasonSilent, err: errors.Errorf("nothing received for %s", now.Sub(r.lastReceived))}
		r.close(reasonSilent, r.cause.err)
		return
	}
	// With a longer interval, any message that was written replaces a heartbeat. With the
	// default interval none does, since heartbeats then carry the load.
	interval := HeartbeatInterval(r.localRole, r.link.peer.Role)
	if r.lifecycle.In("open") && (interval == heartbeatInterval || now.Sub(r.lastWrite) > interval-heartbeatInterval/2) {
		r.sendHeartbeat(ctx)
	}
}

// HeartbeatInterval returns the time between two heartbeats with unchanged content, by the roles
// of sender and receiver.
func HeartbeatInterval(from, to message.Role) time.Duration {
	switch {
	case from == message.RoleSidecar && to == message.RoleSidecar:
		return sidecarHeartbeatInterval
	case from == message.RoleEntry && to == message.RoleSidecar:
		return entryHeartbeatInterval
	default:
		return heartbeatInterval
	}
}

func (r *runner) sendHeartbeat(ctx context.Context) {
	r.heartbeat.Sequence++
	h := r.heartbeat
	r.write(ctx, &h)
}

// write sends the message, and the queued ones up to maxBatchBytes, in one WebSocket
// message.
func (r *runner) write(ctx context.Context, m message.Message) {
	batch := r.writeBuffer[:0]
	batch, err := r.encode(batch, m)
	for err == nil && len(batch) < maxBatchBytes {
		next := r.nextQueued()
		if next == nil {
			break
		}
		batch, err = r.encode(batch, next)
	}
	if err != nil {
		r.close(reasonInvalidFrame, err)
		return
	}
	r.writeBuffer = batch
	r.lastWrite = time.Now()
	if len(batch) >= maxBatchBytes {
		// After a full batch more messages are likely queued, so the next write is not
		// delayed.
		r.lastWrite = time.Time{}
	}
	limited, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := r.socket.Write(limited, websocket.MessageBinary, batch); err != nil {
		r.close(reasonSocket, err)
	}
}

// nextQueued returns the next message of the queue, or nil if none may be sent now.
func (r *runner) nextQueued() message.Message {
	select {
	case m := <-r.outbound():
		return m
	default:
		return nil
	}
}

func (r *runner) encode(batch []byte, m message.Message) ([]byte, error) {
	frame, err := r.config.Codec.Encode(message.Envelope{Stamp: r.config.Clock.Now(), Message: m})
	if err != nil {
		return batch, err
	}
	return appendFrame(batch, frame), nil
}
