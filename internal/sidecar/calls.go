package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/service"
	"github.com/anvilpoint/anvilpoint/task"
)

// askEvery is the number of bytes after which a call asks whether its readers
// keep up.
const askEvery = 64 << 10

// plainPiece is the size of one piece of a plain answer.
const plainPiece = 64 << 10

// backend runs calls against the backend server. Emit passes pieces on and
// returns false when nobody wants more.
type backend interface {
	call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd
}

// caller starts calls. Each runs in a goroutine of its own.
type caller struct {
	group   *task.Group
	backend backend
	queue   *task.Mailbox[queueMessage]
	streams *task.Mailbox[streamMessage]
}

// start opens the stream of the attempt and runs its call. The run-queue task
// calls it; the stream is known before the call can produce anything.
func (c *caller) start(key execution.Key, o *offered) {
	ctx, cancel := context.WithCancel(c.group.Context())
	c.streams.Send(ctx, openStream{key: key, account: o.offer.Account, resume: o.offer.Resume, link: o.link, stop: cancel})
	offer := o.offer
	c.group.Go("call", func(context.Context) error {
		defer cancel()
		c.run(ctx, key, offer)
		return nil
	})
}

func (c *caller) run(ctx context.Context, key execution.Key, offer *message.Offer) {
	emitter := emitter{ctx: ctx, key: key, streams: c.streams, queue: c.queue}
	end := c.backend.call(ctx, offer, emitter.emit)
	if ctx.Err() != nil && end.failed != nil {
		canceled := outcome.MayHaveRun(outcome.ReasonCanceled, "")
		end.failed = &canceled
	}
	always := context.WithoutCancel(ctx)
	c.streams.Send(always, finishStream{key: key, end: end})
	c.queue.Send(always, callEnded{key: key, cost: realCost(offer, emitter.pieces)})
}

// bytesPerToken estimates the prompt's tokens from the size of the request.
const bytesPerToken = 4

// realCost is the cost of a call that has ended, by the pieces of its answer.
func realCost(o *message.Offer, pieces int64) int64 {
	if o.Service != "" {
		return o.Cost
	}
	return admission.EstimateCost(int64(len(o.Body))/bytesPerToken, pieces)
}

// emitter passes the pieces of one call to the streams task.
type emitter struct {
	ctx     context.Context
	key     execution.Key
	streams *task.Mailbox[streamMessage]
	queue   *task.Mailbox[queueMessage]
	bytes   int64
	pieces  int64
}

func (e *emitter) emit(pieces [][]byte) bool {
	if !e.streams.Send(e.ctx, appendStream{key: e.key, pieces: pieces}).Accepted() {
		return false
	}
	if e.pieces == 0 {
		e.queue.Send(e.ctx, callAnswers{key: e.key})
	}
	e.pieces += int64(len(pieces))
	for _, p := range pieces {
		e.bytes += stream.CreditCost(p)
	}
	if e.bytes < askEvery {
		return true
	}
	e.bytes = 0
	more, ok := task.Ask(e.ctx, e.streams, func(reply chan<- bool) streamMessage {
		return mayContinue{key: e.key, reply: reply}
	})
	return ok && more
}

// engineBackend runs completions.
type engineBackend struct{ engine *engine.Engine }

func (b engineBackend) call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd {
	err := b.engine.Complete(ctx, engine.Call{
		Request: o.Request, Attempt: o.Attempt, Class: classOf(o), Resume: o.Resume, Body: o.Body,
	}, emit)
	if err == nil {
		return streamEnd{status: http.StatusOK}
	}
	if ctx.Err() != nil {
		// Closing the connection is not enough for an engine that still queues
		// the request, so it is told as well.
		_ = b.engine.Cancel(context.WithoutCancel(ctx), o.Request, o.Attempt)
	}
	var refusal *engine.StatusError
	if errors.As(err, &refusal) {
		return refusedByEngine(refusal, emit)
	}
	return failure(err)
}

// refusedByEngine passes on an answer that blames the request. An engine that
// answers 429 or 503 has not run it.
func refusedByEngine(e *engine.StatusError, emit func([][]byte) bool) streamEnd {
	switch {
	case e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable:
		notRun := outcome.DidNotRun(outcome.ReasonQueueFull, "")
		return streamEnd{failed: &notRun}
	case e.Status >= http.StatusInternalServerError:
		unknown := outcome.MayHaveRun(outcome.ReasonServerFailed, "")
		return streamEnd{failed: &unknown}
	}
	emit([][]byte{e.Body})
	return streamEnd{status: e.Status, header: [][2]string{{"Content-Type", e.Type}}}
}

// failure says what is known after an error: a connection that was never made
// carried no request.
func failure(err error) streamEnd {
	failed := outcome.MayHaveRun(outcome.ReasonServerFailed, "")
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		failed = outcome.DidNotRun(outcome.ReasonServerFailed, "")
	}
	return streamEnd{failed: &failed}
}

// serviceBackend runs calls of a plain service.
type serviceBackend struct{ service *service.Service }

func (b serviceBackend) call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd {
	answer, err := b.service.Do(ctx, service.Call{Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body})
	if err != nil {
		return failure(err)
	}
	for body := answer.Body; len(body) > 0; {
		size := min(plainPiece, len(body))
		if !emit([][]byte{body[:size]}) {
			return failure(errors.New("nobody reads the answer"))
		}
		body = body[size:]
	}
	return streamEnd{status: answer.Status, header: answer.Header}
}

// loadPoll is the task that reads the engine's load report.
type loadPoll struct {
	engine  *engine.Engine
	deliver func(ctx context.Context, l engine.Load, err error)
}

const loadInterval = 250 * time.Millisecond

func (p *loadPoll) run(ctx context.Context) error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		load, err := p.engine.Load(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.deliver(ctx, load, err)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}
