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
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/service"
	"github.com/anvilpoint/anvilpoint/task"
)

// flowCheckBytes is the number of bytes of output after which a call asks the
// streams task whether its readers keep up.
const flowCheckBytes = 64 << 10

// servicePieceBytes is the largest piece into which a plain service's answer is
// split.
const servicePieceBytes = 64 << 10

// backend runs calls against the backend server. Emit passes pieces to the readers
// and returns false when the call should stop.
type backend interface {
	call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd
}

// offerCaller runs the calls of offers, each in its own goroutine.
type offerCaller struct {
	tasks   *task.Group
	backend backend
	queue   *task.Mailbox[queueMessage]
	streams *task.Mailbox[streamMessage]
}

// start opens the stream of the attempt and starts its call. The run-queue task
// calls it. The stream is opened first, so that it exists before any output.
func (c *offerCaller) start(key execution.Key, a *attempt) {
	ctx, cancel := context.WithCancel(c.tasks.Context())
	c.streams.Send(ctx, openStream{key: key, account: a.offer.Account, resume: a.offer.Resume, link: a.link, stop: cancel})
	offer := a.offer
	c.tasks.Go("call", func(context.Context) error {
		defer cancel()
		c.run(ctx, key, offer)
		return nil
	})
}

func (c *offerCaller) run(ctx context.Context, key execution.Key, offer *message.Offer) {
	emitter := emitter{ctx: ctx, key: key, streams: c.streams, queue: c.queue}
	end := c.backend.call(ctx, offer, emitter.emit)
	if ctx.Err() != nil && end.failed != nil {
		canceled := outcome.MayHaveRun(outcome.ReasonCanceled, "")
		end.failed = &canceled
	}
	detached := context.WithoutCancel(ctx)
	c.streams.Send(detached, finishStream{key: key, end: end})
	c.queue.Send(detached, callEnded{key: key, cost: actualCost(offer, emitter.pieces)})
}

// bytesPerToken is the assumed size of a prompt token in the request body.
const bytesPerToken = 4

// actualCost returns the cost of an ended call in tokens. Each piece of a completion
// counts as one output token; a service call keeps its estimate.
func actualCost(o *message.Offer, pieces int64) int64 {
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
		e.queue.Send(e.ctx, callFirstOutput{key: e.key})
	}
	e.pieces += int64(len(pieces))
	for _, p := range pieces {
		e.bytes += stream.CreditCost(p)
	}
	if e.bytes < flowCheckBytes {
		return true
	}
	e.bytes = 0
	more, ok := task.Ask(e.ctx, e.streams, func(reply chan<- bool) streamMessage {
		return askContinue{key: e.key, reply: reply}
	})
	return ok && more
}

// crashProbe finds out whether the backend server crashed.
type crashProbe struct {
	network network.Network
	// address is the host and port of the backend server.
	address string
}

// crashed reports whether the backend server accepts no connections.
func (p crashProbe) crashed(ctx context.Context) bool {
	return network.RefusesConnections(ctx, p.network.Dial, p.address)
}

// failedCall returns the failure of a call without a complete answer.
func (p crashProbe) failedCall(ctx context.Context, err error) streamEnd {
	end := transportErrorEnd(err)
	if ctx.Err() == nil && network.ClosedByPeer(err) && p.crashed(ctx) {
		end.failed.Reason = outcome.ReasonServerCrashed
	}
	return end
}

// engineBackend runs completions on a model engine.
type engineBackend struct {
	engine *engine.Engine
	probe  crashProbe
}

func (b engineBackend) call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd {
	err := b.engine.Complete(ctx, engine.Call{
		Request: o.Request, Attempt: o.Attempt, Class: classOf(o), Resume: o.Resume, Body: o.Body,
	}, emit)
	if err == nil {
		return streamEnd{status: http.StatusOK}
	}
	if ctx.Err() != nil {
		// Closing the connection does not remove a request that the engine still
		// queues, so it is cancelled explicitly.
		_ = b.engine.Cancel(context.WithoutCancel(ctx), o.Request, o.Attempt)
	}
	var refusal *engine.StatusError
	if errors.As(err, &refusal) {
		return engineErrorEnd(refusal, emit)
	}
	return b.probe.failedCall(ctx, err)
}

// engineErrorEnd maps an engine's error status. An engine that answers 429 or 503
// has not run the request; other statuses below 500 are passed on to the caller.
func engineErrorEnd(e *engine.StatusError, emit func([][]byte) bool) streamEnd {
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

// transportErrorEnd returns the failure of a call without an answer. The request may
// have run unless the connection was never established.
func transportErrorEnd(err error) streamEnd {
	failed := outcome.MayHaveRun(outcome.ReasonServerFailed, "")
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		failed = outcome.DidNotRun(outcome.ReasonServerFailed, "")
	}
	return streamEnd{failed: &failed}
}

// serviceBackend runs calls to a plain service.
type serviceBackend struct {
	service *service.Service
	probe   crashProbe
}

func (b serviceBackend) call(ctx context.Context, o *message.Offer, emit func([][]byte) bool) streamEnd {
	answer, err := b.service.Do(ctx, service.Call{Method: o.Method, Path: o.Path, Header: o.Header, Body: o.Body})
	if err != nil {
		return b.probe.failedCall(ctx, err)
	}
	for body := answer.Body; len(body) > 0; {
		size := min(servicePieceBytes, len(body))
		if !emit([][]byte{body[:size]}) {
			return transportErrorEnd(errors.New("service answer dropped: the stream has no reader"))
		}
		body = body[size:]
	}
	return streamEnd{status: answer.Status, header: answer.Header}
}

// loadPoll is the task that reads the engine's load report periodically.
type loadPoll struct {
	engine  *engine.Engine
	deliver func(ctx context.Context, l engine.Load, err error)
}

const loadPollInterval = 250 * time.Millisecond

func (p *loadPoll) run(ctx context.Context) error {
	tick := time.NewTicker(loadPollInterval)
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
