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

// Reasons for the end of a link, as they are counted.
const (
	reasonFrame    = "invalid-frame"
	reasonTurn     = "out-of-turn"
	reasonVersion  = "incompatible"
	reasonSilent   = "silent"
	reasonSocket   = "socket"
	reasonStopped  = "stopped"
	reasonOverload = "overload"
)

// end is why a link closed.
type end struct {
	reason string
	err    error
}

// runner is the state of one link's task.
type runner struct {
	config   Config
	link     *Link
	socket   *websocket.Conn
	life     *chart.Instance[*runner]
	inbound  *task.Mailbox[inbound]
	beat     message.Heartbeat
	heard    time.Time
	delay    delayGauge
	role     message.Role
	deliver  context.Context
	frame    []byte
	isClosed end
	// gather runs while messages that can wait are left in the queue.
	gather    *time.Timer
	gathering bool
	kept      message.Message
	wrote     time.Time
}

// inbound is what the reading goroutine hands to the link's task.
type inbound struct {
	envelopes []message.Envelope
	failure   *end
}

func machine() (*chart.Machine[*runner], error) {
	return chart.Bind(charts.Must("link"), chart.Binding[*runner]{
		Guards: map[string]func(*runner) bool{"compatible": (*runner).compatible},
	})
}

// compatible reports whether the peer's Hello can be answered with work.
func (r *runner) compatible() bool {
	peer := r.link.peer
	return peer.Version == message.ProtocolVersion && r.link.identity.matches(peer) &&
		(peer.Role == message.RoleEntry || peer.Role == message.RoleSidecar)
}

// run owns the socket until the link ends. It returns why the link ended.
func run(ctx context.Context, config Config, l *Link, socket *websocket.Conn) error {
	m, err := machine()
	if err != nil {
		return err
	}
	group := task.NewGroup(ctx)
	r := &runner{
		config: config, link: l, socket: socket, heard: time.Now(), deliver: ctx,
		inbound: task.NewMailbox[inbound](4, task.Block),
	}
	r.life = m.New(r.heard, r)
	socket.SetReadLimit(readLimitBytes)
	group.Go("link reader", r.read)
	r.loop(group.Context())
	l.outbound.Close()
	_ = socket.CloseNow()
	stopErr := group.Stop(0)
	r.finish()
	if stopErr != nil {
		return stopErr
	}
	return r.isClosed.err
}

func (r *runner) finish() {
	if r.config.Closed != nil {
		r.config.Closed(r.isClosed.reason)
	}
	if r.link.peer.Version != 0 {
		r.config.Deliver(context.WithoutCancel(r.deliver), Event{Link: r.link, Kind: Down, Err: r.isClosed.err})
	}
}

func (r *runner) close(reason string, err error) {
	if r.life.Done() {
		return
	}
	event := "broken"
	switch reason {
	case reasonSilent:
		event = "silent"
	case reasonStopped:
		event = "stop"
	}
	r.life.Fire(time.Now(), event)
	r.isClosed = end{reason: reason, err: errors.WithMessage(err, reason)}
}

func (r *runner) loop(ctx context.Context) {
	hello := r.config.Hello()
	r.beat.Record, r.role = hello.Record, hello.Role
	r.gather = time.NewTimer(time.Hour)
	defer r.gather.Stop()
	r.write(ctx, &hello)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for !r.life.Done() {
		select {
		case in := <-r.inbound.Receive():
			r.take(ctx, in)
		case m := <-r.outbound():
			r.send(ctx, m)
		case <-r.urgent():
			r.writeReady(ctx)
		case <-r.gather.C:
			r.writeReady(ctx)
		case h := <-r.link.heartbeat.Receive():
			r.replaceBeat(ctx, h)
		case now := <-ticker.C:
			r.tick(ctx, now)
		case reason := <-r.link.closing.Receive():
			r.close(reasonOverload, errors.New(reason))
		case <-ctx.Done():
			r.close(reasonStopped, context.Cause(ctx))
		}
	}
}

// outbound withholds messages until the peer's Hello has arrived, and while
// others gather for the next write.
func (r *runner) outbound() <-chan message.Message {
	if r.life.In("open") && !r.gathering {
		return r.link.outbound.Receive()
	}
	return nil
}

func (r *runner) urgent() <-chan struct{} {
	if r.life.In("open") {
		return r.link.urgent.Receive()
	}
	return nil
}

// send writes the message, or keeps it for the next write if it can wait and
// the last write was a moment ago.
func (r *runner) send(ctx context.Context, m message.Message) {
	wait := gatherTime - time.Since(r.wrote)
	if wait <= 0 || !canWait(m) {
		r.write(ctx, m)
		return
	}
	r.kept = m
	r.gathering = true
	r.gather.Reset(wait)
}

// writeReady ends the gathering and writes everything that waits.
func (r *runner) writeReady(ctx context.Context) {
	r.gathering = false
	r.gather.Stop()
	m := r.kept
	r.kept = nil
	if m == nil {
		m = r.ready()
	}
	if m != nil && !r.life.Done() {
		r.write(ctx, m)
	}
}

func (r *runner) replaceBeat(ctx context.Context, h message.Heartbeat) {
	urgent := h.Draining != r.beat.Draining || h.Record != r.beat.Record || h.Load.GroupState != r.beat.Load.GroupState
	h.Sequence, h.Echo = r.beat.Sequence, r.beat.Echo
	r.beat = h
	if urgent && r.life.In("open") {
		r.sendBeat(ctx)
	}
}

func (r *runner) tick(ctx context.Context, now time.Time) {
	r.life.Tick(now)
	interval := r.interval()
	if now.Sub(r.heard) > silenceLimit+3*(interval-heartbeatInterval) || r.life.Done() {
		r.isClosed = end{reason: reasonSilent, err: errors.New("nothing arrived")}
		r.close(reasonSilent, r.isClosed.err)
		return
	}
	// Between sidecars, any other message stands for a heartbeat.
	if r.life.In("open") && (interval == heartbeatInterval || now.Sub(r.wrote) > interval) {
		r.sendBeat(ctx)
	}
}

// interval is the time between heartbeats that change nothing.
func (r *runner) interval() time.Duration {
	if r.role == message.RoleSidecar && r.link.peer.Role == message.RoleSidecar {
		return sidecarInterval
	}
	return heartbeatInterval
}

func (r *runner) sendBeat(ctx context.Context) {
	r.beat.Sequence++
	beat := r.beat
	r.write(ctx, &beat)
}

// write sends the message and whatever else is ready in one WebSocket message.
func (r *runner) write(ctx context.Context, m message.Message) {
	batch := r.frame[:0]
	batch, err := r.encode(batch, m)
	for err == nil && len(batch) < batchBytes {
		more := r.ready()
		if more == nil {
			break
		}
		batch, err = r.encode(batch, more)
	}
	if err != nil {
		r.close(reasonFrame, err)
		return
	}
	r.frame = batch
	r.wrote = time.Now()
	if len(batch) >= batchBytes {
		// More is likely to wait; a full batch need not gather again.
		r.wrote = time.Time{}
	}
	limited, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	if err := r.socket.Write(limited, websocket.MessageBinary, batch); err != nil {
		r.close(reasonSocket, err)
	}
}

func (r *runner) ready() message.Message {
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
