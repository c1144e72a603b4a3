package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/outcome/httpstatus"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// eventCapacity is the number of events of an attempt that are buffered for the
	// client. If a client does not read, backpressure reaches the backend server.
	eventCapacity = 4
	// silenceRatio is the share of a repeatable call's time left after which an attempt
	// without an answer is abandoned and retried at another server.
	silenceRatio = 0.4
	// gapSampleEvents is the number of events over which the gap of a stream is averaged.
	gapSampleEvents = 3
	// maxLoggedParts bounds the prompt parts in a log line. The lines about a quarantine name
	// the others that matter.
	maxLoggedParts = 16
	// unusedTimeout is a duration that no request reaches, for timers that are not needed.
	unusedTimeout = time.Hour
)

// clientRequest is one request of a client. It is owned by the goroutine of the HTTP
// server that serves it.
type clientRequest struct {
	handler *clientHandler
	writer  http.ResponseWriter
	request *http.Request
	meta    call.Meta
	body    []byte
	admission
	arrived   time.Time
	timeout   time.Duration
	lifecycle *request.Request
	timer     *time.Timer
	// attempts are the goroutines of the attempts. They end before the request does.
	attempts       conc.WaitGroup
	events         chan attemptEvent
	cancel         context.CancelFunc
	currentServer  registry.Server
	currentAttempt ident.Attempt
	// silenceDeadline is when the current attempt is abandoned if no answer has begun,
	// zero for never.
	silenceDeadline time.Time
	// outputBegan reports whether the current attempt has sent output.
	outputBegan bool
	// answerBegan reports whether the head of the current attempt's answer has arrived,
	// serverCrashed whether its server crashed before any output.
	answerBegan, serverCrashed bool
	// crashes counts the attempts whose server crashed.
	crashes int
	// answeredAt is when the current attempt got an answer that announces no rate.
	answeredAt time.Time
	// serverFailed reports whether the current attempt counts as a failure of its server.
	serverFailed bool
	// misdirected reports whether another server now has the address of the current server.
	misdirected bool
	// answer is a complete answer that may be passed on, other than a stream.
	answer *upstream.AnswerReceived
	// streamHead is the head of the first attempt's stream.
	streamHead *upstream.StreamStarted
	// headWritten reports whether the head of a stream has been written to the client.
	headWritten bool
	lastEventID uint64
	hasEventID  bool
	gaps        gapMeter
	// firstOutput and latestOutput are when the first and the latest output came,
	// longestGap is the longest time between two outputs.
	firstOutput  time.Time
	latestOutput time.Time
	longestGap   time.Duration
	end          *request.EndRequest
	status       int
}

type attemptEvent struct {
	number ident.Attempt
	event  upstream.Event
}

func newClientRequest(h *clientHandler, w http.ResponseWriter, r *http.Request, meta call.Meta, body []byte, a admission, arrived time.Time) *clientRequest {
	c := &clientRequest{
		handler: h, writer: w, request: r, meta: meta, body: body, admission: a, arrived: arrived,
		timeout: requestTimeout(meta.TimeLeft, a.route), events: make(chan attemptEvent, eventCapacity),
	}
	if id, err := strconv.ParseUint(meta.LastEventID, 10, 64); err == nil {
		c.lastEventID, c.hasEventID = id, true
	}
	return c
}

// requestTimeout returns the shorter of the time limits of the client and the route.
func requestTimeout(stated time.Duration, route *record.Route) time.Duration {
	limit := stated
	if limit <= 0 || route.TimeLimit > 0 && route.TimeLimit < limit {
		limit = route.TimeLimit
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// run processes the request until it has ended.
func (c *clientRequest) run() {
	now := time.Now()
	lifecycle, actions := c.handler.machines.New(now, request.Plan{
		// The total timeout ends the request; the timeout for the first output must not
		// expire before it.
		FirstOutputTimeout: c.timeout + unusedTimeout, TotalTimeout: max(c.timeout-now.Sub(c.arrived), time.Nanosecond),
		Repeatable: c.route.Repeats(), MaxAttempts: c.route.MaxAttempts,
	})
	c.lifecycle = lifecycle
	c.timer = time.NewTimer(unusedTimeout)
	defer c.timer.Stop()
	c.perform(now, actions)
	for !c.lifecycle.Done() {
		c.waitForEvent()
	}
	if c.cancel != nil {
		c.cancel()
	}
	c.attempts.Wait()
	c.finish()
}

// waitForEvent waits for the next event, timer or disconnect and handles it.
func (c *clientRequest) waitForEvent() {
	c.timer.Reset(c.untilDue())
	select {
	case e := <-c.events:
		if e.number == c.currentAttempt {
			c.handleEvent(time.Now(), e.event)
		}
	case <-c.timer.C:
		c.handleTimer(time.Now())
	case <-c.request.Context().Done():
		c.step(time.Now(), request.ClientLeft{})
	}
}

// untilDue returns the time until the deadline of the request or of the silent attempt,
// whichever is earlier.
func (c *clientRequest) untilDue() time.Duration {
	at, running := c.lifecycle.Deadline()
	if !running || !c.silenceDeadline.IsZero() && c.silenceDeadline.Before(at) {
		at = c.silenceDeadline
	}
	return max(time.Until(at), 0)
}

// handleTimer abandons the current attempt if it stayed silent, and otherwise advances the
// request past its deadline.
func (c *clientRequest) handleTimer(now time.Time) {
	if !c.silenceDeadline.IsZero() && !now.Before(c.silenceDeadline) {
		c.silenceDeadline, c.serverFailed = time.Time{}, true
		c.cancel()
		c.log("request.attempt-silent", outcome.ReasonServerSuspected, "")
		c.step(now, request.LinkLost{Attempt: c.currentAttempt})
		return
	}
	c.perform(now, c.lifecycle.Tick(now))
}

func (c *clientRequest) step(now time.Time, m request.Input) {
	c.perform(now, c.lifecycle.Step(now, m))
}

func (c *clientRequest) perform(now time.Time, actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.ChooseServer:
			c.chooseServer(now, a)
		case request.Offer:
			c.startAttempt(now, a)
		case request.Withdraw:
			c.cancel()
			c.step(now, request.LinkLost{Attempt: a.Attempt})
		case request.Cancel:
			c.cancel()
		case request.EndAttempt:
			c.endAttempt(a)
		case request.EndRequest:
			c.end = &a
		}
	}
}

// chooseServer uses the server of the admission for the first attempt, and asks the
// dispatch task for one for each retry.
func (c *clientRequest) chooseServer(now time.Time, a request.ChooseServer) {
	if c.lifecycle.LatestAttempt() == 0 {
		c.currentServer = c.server
		c.step(now, request.Picked{Server: c.server.ID})
		return
	}
	chosen, ok := task.Ask(detached(c.request), c.handler.dispatch, func(reply chan<- choice) dispatchMessage {
		return choose{
			service: c.service, tried: a.Excluded, retry: c.lifecycle.SentAttempts() > 0, traits: c.traits, reply: reply,
		}
	})
	if !ok {
		chosen.reason = outcome.ReasonDraining
	}
	if !chosen.ok {
		final := !c.lifecycle.Answering() || chosen.reason == outcome.ReasonRetryBudget || chosen.reason == outcome.ReasonQuarantined
		c.step(now, request.NoServer{
			Outcome: outcome.DidNotRun(chosen.reason, ""), RetryAfter: chosen.retryAfter, Final: final && !chosen.unsettled,
		})
		return
	}
	c.currentServer = chosen.server
	c.step(now, request.Picked{Server: chosen.server.ID})
}

// startAttempt starts an attempt in a goroutine of its own.
func (c *clientRequest) startAttempt(now time.Time, a request.Offer) {
	ctx, cancel := context.WithCancel(c.request.Context())
	c.cancel, c.currentAttempt = cancel, a.Attempt
	c.answerBegan, c.outputBegan, c.serverCrashed, c.answeredAt = false, false, false, time.Time{}
	c.serverFailed, c.misdirected, c.silenceDeadline = false, false, time.Time{}
	left := c.timeout - now.Sub(c.arrived)
	if c.route.Kind == record.Repeatable && c.lifecycle.SentAttempts() < c.route.MaxAttempts {
		c.silenceDeadline = now.Add(time.Duration(silenceRatio * float64(left)))
	}
	r := upstream.Request{
		Server: c.currentServer.ID, Address: c.currentServer.Address, ID: c.meta.ID, Method: c.request.Method,
		Target: c.request.RequestURI, Host: c.request.Host, Header: c.handler.protocol.Forward(c.request.Header, c.forwardHeaders(left)),
		Body: c.body, HasBody: len(c.body) > 0 || c.request.ContentLength >= 0 && c.request.Header.Get("Content-Length") != "",
		Stream: c.route.Kind == record.Streaming, AtMostOnce: !c.route.Repeats(),
		MaySend: c.maySend(), Reserve: clientconn.ClaimAnswer,
	}
	number, events := c.currentAttempt, c.events
	c.attempts.Go(func() {
		defer cancel()
		c.handler.transport.Run(ctx, r, func(e upstream.Event) {
			select {
			case events <- attemptEvent{number: number, event: e}:
			case <-ctx.Done():
			}
		})
	})
	c.log("request.sent", outcome.ReasonNone, fmt.Sprintf("attempt %d, %d ms left, fingerprint %s", a.Attempt, left.Milliseconds(), c.handler.requestTags.Of(c.traits.Request)))
}

// maySend returns a function that asks whether the current server still takes requests.
func (c *clientRequest) maySend() func(context.Context) bool {
	dispatch, service, server := c.handler.dispatch, c.service, c.currentServer.ID
	return func(ctx context.Context) bool {
		may, ok := task.Ask(ctx, dispatch, func(reply chan<- bool) dispatchMessage {
			return maySend{service: service, server: server, reply: reply}
		})
		return ok && may
	}
}

func (c *clientRequest) forwardHeaders(left time.Duration) call.Forward {
	f := call.Forward{Server: c.currentServer.ID, Account: c.account, TimeLeft: left, Priority: call.PriorityUnset}
	if c.route.Kind == record.Streaming {
		f.Priority = call.Priority(min(max(c.priority, 0), 9))
		if c.headWritten && c.hasEventID {
			f.LastEventID = strconv.FormatUint(c.lastEventID, 10)
		}
	}
	return f
}

func (c *clientRequest) endAttempt(a request.EndAttempt) {
	c.handler.dispatch.Send(detached(c.request), attemptEnded{
		service: c.service, server: a.Server, failed: c.serverFailed, misdirected: c.misdirected,
		traits: c.traits, crashed: c.serverCrashed, began: c.answerBegan, silent: c.route.Kind != record.Streaming, crashedBefore: c.crashes > 1, answeredAt: c.answeredAt,
	})
	if c.serverFailed {
		c.handler.metrics.broken.Inc()
	}
}

// handleEvent handles an event of the current attempt.
func (c *clientRequest) handleEvent(now time.Time, e upstream.Event) {
	switch e := e.(type) {
	case upstream.NotSent:
		c.serverFailed = !e.Withdrawn
		c.log("request.unsent", outcome.ReasonLinkLost, e.Err.Error())
		c.step(now, request.NotSent{Attempt: c.currentAttempt})
	case upstream.AnswerReceived:
		c.silenceDeadline = time.Time{}
		c.observeHead(now, e.Head)
		c.handleAnswer(now, e)
	case upstream.StreamStarted:
		c.silenceDeadline, c.answerBegan = time.Time{}, true
		c.observeHead(now, e.Head)
		if c.streamHead == nil {
			c.streamHead = &e
		}
	case upstream.EventsReceived:
		c.forwardEvents(now, e.Events)
	case upstream.StreamCompleted:
		c.writeStreamHead()
		c.step(now, request.Completed{Attempt: c.currentAttempt})
	case upstream.Failed:
		c.serverCrashed = e.Crashed
		if e.Crashed {
			c.crashes++
		}
		if e.NoMemory {
			c.log("request.attempt-dropped", outcome.ReasonClientMemory, e.Err.Error())
			c.step(now, request.Failed{Attempt: c.currentAttempt, Reason: outcome.ReasonClientMemory})
			return
		}
		c.failAttempt(now, outcome.ReasonServerFailed, e.Err.Error())
	}
}

// observeHead reports what a backend server says of itself in its answer.
func (c *clientRequest) observeHead(now time.Time, head call.Head) {
	if head.Misdirected {
		// The answer is from another server, which has the address now.
		return
	}
	c.observeRate(now, head)
	if head.RetryAfter > 0 {
		c.handler.dispatch.Send(detached(c.request), pauseRequested{
			service: c.service, server: c.currentServer.ID, started: c.currentServer.Started, length: head.RetryAfter,
		})
	}
	if head.Leaving {
		c.handler.control.Send(detached(c.request), leavingAnnounced{server: c.currentServer.ID, started: c.currentServer.Started})
	}
}

// observeRate reports the rate that a backend server's answer announces. That an answer
// announces none is reported with the end of the attempt.
func (c *clientRequest) observeRate(now time.Time, head call.Head) {
	switch {
	case !head.Signed && !head.NotRun:
	case head.HasRate:
		c.handler.dispatch.Send(detached(c.request), rateObserved{service: c.service, server: c.currentServer.ID, perSecond: head.Rate})
	default:
		c.answeredAt = now
	}
}

func (c *clientRequest) failAttempt(now time.Time, reason outcome.Reason, detail string) {
	c.serverFailed = true
	c.log("request.attempt-broken", reason, fmt.Sprintf("%s; output begun %t, server crashed %t, fingerprint %s, %d shared prompt parts %v",
		detail, c.outputBegan, c.serverCrashed, c.handler.requestTags.Of(c.traits.Request), len(c.traits.Parts), c.traits.Parts[:min(len(c.traits.Parts), maxLoggedParts)]))
	c.step(now, request.Failed{Attempt: c.currentAttempt, Reason: reason})
}

// handleAnswer handles a complete answer that is not a stream.
func (c *clientRequest) handleAnswer(now time.Time, e upstream.AnswerReceived) {
	success := e.Head.Status >= 200 && e.Head.Status < 300
	switch {
	case e.Head.NotRun && !success:
		c.misdirected = e.Head.Misdirected
		c.log("request.attempt-refused", outcome.ReasonBusy, fmt.Sprintf("status %d, load %v, blamed address %q", e.Head.Status, e.Head.Load, e.Head.BlamedAddress))
		c.step(now, request.Refused{Attempt: c.currentAttempt, Reason: outcome.ReasonBusy})
	case !e.Head.Signed || e.Head.Encoded || c.headWritten:
		c.failAttempt(now, outcome.ReasonServerFailed, fmt.Sprintf("the answer with status %d is not a valid answer of the backend server", e.Head.Status))
	case !c.mayAnswer(outcome.Completed, e.Head.Status):
		// The server ran the request. An answer of the entry's own says that it may have run.
		c.logServerFailure(e.Head.Status)
		c.step(now, request.Failed{Attempt: c.currentAttempt, Reason: outcome.ReasonServerFailed})
	case success || !c.route.Repeats() || e.Head.Status < http.StatusInternalServerError:
		c.answer = &e
		if success {
			c.recordOutput()
		}
		c.step(now, request.Completed{Attempt: c.currentAttempt})
	default:
		c.answer = &e
		c.logServerFailure(e.Head.Status)
		c.step(now, request.Failed{Attempt: c.currentAttempt, Reason: outcome.ReasonServerFailed})
	}
}

// mayAnswer reports whether the status is true for a request that ended in this way. Clients
// repeat a request that may run twice whatever the status is.
func (c *clientRequest) mayAnswer(kind outcome.Kind, status int) bool {
	return c.route.Repeats() || httpstatus.Truthful(kind, status)
}

// logServerFailure logs the status with which the current attempt's server failed it.
func (c *clientRequest) logServerFailure(status int) {
	c.log("request.attempt-failed", outcome.ReasonServerFailed, fmt.Sprintf("status %d", status))
}

// recordOutput reports the first output of the current attempt.
func (c *clientRequest) recordOutput() {
	if !c.outputBegan {
		c.handler.dispatch.Send(detached(c.request), outputBegan{service: c.service, traits: c.traits})
	}
	c.outputBegan = true
}

// forwardEvents passes events of a stream on to the client. Each event is written once
// and in order, even if a resumed attempt repeats some.
func (c *clientRequest) forwardEvents(now time.Time, events []upstream.StreamEvent) {
	c.recordOutput()
	var out []byte
	for _, e := range events {
		switch {
		case !e.HasID || !c.hasEventID || e.ID == c.lastEventID+1:
			out = append(out, e.Raw...)
		case e.ID <= c.lastEventID:
			continue
		default:
			c.cancel()
			c.failAttempt(now, outcome.ReasonServerFailed, fmt.Sprintf("event %d follows event %d", e.ID, c.lastEventID))
			return
		}
		if e.HasID {
			c.lastEventID, c.hasEventID = e.ID, true
		}
	}
	if len(out) == 0 {
		return
	}
	c.writeStreamHead()
	_, err := c.writer.Write(out)
	if err == nil {
		err = http.NewResponseController(c.writer).Flush()
	}
	if err != nil {
		c.step(now, request.ClientLeft{})
		return
	}
	if c.firstOutput.IsZero() {
		c.firstOutput, c.latestOutput = now, now
	}
	c.longestGap, c.latestOutput = max(c.longestGap, now.Sub(c.latestOutput)), now
	if gap, ready := c.gaps.add(now, len(events)); ready {
		c.handler.dispatch.Send(detached(c.request), gapObserved{service: c.service, gap: gap})
	}
	c.step(now, request.Progress{Attempt: c.currentAttempt})
}

// writeStreamHead writes the head of the first attempt's stream, unless it is written.
func (c *clientRequest) writeStreamHead() {
	if c.headWritten || c.streamHead == nil {
		return
	}
	c.headWritten, c.status = true, c.streamHead.Head.Status
	c.handler.protocol.Deliver(c.writer.Header(), c.streamHead.Header)
	c.writer.WriteHeader(c.status)
	c.handler.metrics.firstOutput.Observe(time.Since(c.arrived).Seconds())
}
