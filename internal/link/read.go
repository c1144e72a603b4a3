package link

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// read runs beside the link's task and blocks on the socket.
func (r *runner) read(ctx context.Context) error {
	var buffer bytes.Buffer
	for {
		_, reader, err := r.socket.Reader(ctx)
		if err == nil {
			buffer.Reset()
			_, err = buffer.ReadFrom(reader)
		}
		if err != nil {
			r.inbound.Send(ctx, inbound{failure: &end{reason: reasonSocket, err: err}})
			return nil
		}
		envelopes, err := splitBatch(r.config.Codec, buffer.Bytes(), nil)
		in := inbound{envelopes: envelopes}
		if err != nil {
			in.failure = &end{reason: reasonFrame, err: err}
		}
		if !r.inbound.Send(ctx, in).Accepted() || err != nil {
			return nil
		}
	}
}

// take handles what the reading goroutine received.
func (r *runner) take(ctx context.Context, in inbound) {
	now := time.Now()
	r.heard = now
	messages := make([]message.Message, 0, len(in.envelopes))
	for _, envelope := range in.envelopes {
		r.config.Clock.Observe(envelope.Stamp)
		age(envelope.Message, r.delay.observe(now, envelope.Stamp.Wall()))
		if !r.admit(ctx, now, envelope.Message) {
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

// admit checks that a message is in turn. It closes the link if it is not.
func (r *runner) admit(ctx context.Context, now time.Time, m message.Message) bool {
	switch typed := m.(type) {
	case *message.Hello:
		return r.receiveHello(ctx, now, *typed)
	case *message.Heartbeat:
		r.beat.Echo = typed.Sequence
	}
	if !r.life.In("open") || !r.config.Accepts(r.link.peer.Role, message.KindOf(m)) {
		r.close(reasonTurn, errors.Errorf("message kind %d is out of turn", message.KindOf(m)))
		return false
	}
	return true
}

func (r *runner) receiveHello(ctx context.Context, now time.Time, hello message.Hello) bool {
	if r.life.In("open") {
		r.close(reasonTurn, errors.New("second Hello"))
		return false
	}
	r.link.peer = hello
	r.life.Fire(now, "hello")
	if !r.life.In("open") {
		r.link.peer = message.Hello{}
		r.isClosed = end{reason: reasonVersion, err: errors.Errorf("peer has protocol version %d, role %q, failure domain %q and instance %q; its certificate says %+v", hello.Version, hello.Role, hello.Domain, hello.Instance, r.link.identity)}
		return false
	}
	r.config.Deliver(ctx, Event{Link: r.link, Kind: Up})
	return true
}
