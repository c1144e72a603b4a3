package link

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// read reads the socket in its own goroutine and passes the messages to the link's task.
func (r *runner) read(ctx context.Context) error {
	var buffer bytes.Buffer
	for {
		_, reader, err := r.socket.Reader(ctx)
		if err == nil {
			buffer.Reset()
			_, err = buffer.ReadFrom(reader)
		}
		if err != nil {
			r.inbound.Send(ctx, inbound{failure: &closeCause{reason: reasonSocket, err: err}})
			return nil
		}
		envelopes, err := splitBatch(r.config.Codec, buffer.Bytes(), nil)
		in := inbound{envelopes: envelopes}
		if err != nil {
			in.failure = &closeCause{reason: reasonInvalidFrame, err: err}
		}
		if !r.inbound.Send(ctx, in).Accepted() || err != nil {
			return nil
		}
	}
}

// handleInbound checks what the reading goroutine received and delivers the messages.
func (r *runner) handleInbound(ctx context.Context, in inbound) {
	now := time.Now()
	r.lastReceived = now
	messages := make([]message.Message, 0, len(in.envelopes))
	for _, envelope := range in.envelopes {
		r.config.Clock.Observe(envelope.Stamp)
		subtractDelay(envelope.Message, r.delay.observe(now, envelope.Stamp.Wall()))
		if !r.checkTurn(ctx, now, envelope.Message) {
			break
		}
		if message.KindOf(envelope.Message) != message.KindHello {
			messages = append(messages, envelope.Message)
		}
	}
	if len(messages) > 0 {
		r.config.Deliver(ctx, Event{Link: r.link, Kind: Received, Messages: messages})
	}
	if in.failure != nil {
		r.close(in.failure.reason, in.failure.err)
	}
}

// checkTurn reports whether the peer may send the message now. If not, it closes the
// link.
func (r *runner) checkTurn(ctx context.Context, now time.Time, m message.Message) bool {
	switch typed := m.(type) {
	case *message.Hello:
		return r.receiveHello(ctx, now, *typed)
	case *message.Heartbeat:
		r.heartbeat.Echo = typed.Sequence
	}
	if !r.lifecycle.In("open") || !r.config.Accepts(r.link.peer.Role, message.KindOf(m)) {
		r.close(reasonOutOfTurn, errors.Errorf("peer of role %q sent message kind %d out of turn", r.link.peer.Role, message.KindOf(m)))
		return false
	}
	return true
}

func (r *runner) receiveHello(ctx context.Context, now time.Time, hello message.Hello) bool {
	if r.lifecycle.In("open") {
		r.close(reasonOutOfTurn, errors.New("peer sent a second Hello"))
		return false
	}
	r.link.peer = hello
	r.lifecycle.Fire(now, "hello")
	if !r.lifecycle.In("open") {
		r.link.peer = message.Hello{}
		r.cause = closeCause{reason: reasonIncompatible, err: errors.Errorf("incompatible Hello: protocol version %d (want %d), role %q, failure domain %q, instance %q; identity in the certificate: %+v",
			hello.Version, message.ProtocolVersion, hello.Role, hello.Domain, hello.Instance, r.link.identity)}
		return false
	}
	r.config.Deliver(ctx, Event{Link: r.link, Kind: Up})
	return true
}
