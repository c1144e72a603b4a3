package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// eventCapacity bounds the events of an attempt that wait for the client. A
	// client that does not read slows its server down.
	eventCapacity = 16
	// silentPart is the part of a repeatable call's time after which an attempt
	// without an answer is given up for another server.
	silentPart = 0.4
	// paceEvents is the number of events after which a stream reports its pace.
	paceEvents = 3
	// farAway stands for a timer that is not needed.
	farAway = time.Hour
)

// flight is one request of a client. The goroutine of the HTTP server owns it.
type flight struct {
	front   *front
	writer  http.ResponseWriter
	request *http.Request
	meta    call.Meta
	body    []byte
	admission
	arrived time.Time
	limit   time.Duration
	life    *request.Request
	timer   *time.Timer
	// attempts run beside the flight and end before it does.
	attempts conc.WaitGroup
	events   chan attemptEvent
	cancel   context.CancelFunc
	current  registry.Server
	number   ident.Attempt
	// silent is when the current attempt is given up, zero if it is not.
	silent time.Time
	// failed says that the current attempt is held against its server.
	failed    bool
	elsewhere bool
	// answer is a whole answer that may be delivered.
	answer *upstream.Answered
	begun  *upstream.Begun
	// open says that the head of a stream has been written to the client.
	open  bool
	last  uint64
	hasID bool
	pace  paceMeter
	// first is when the first output came, and gap the longest pause after it.
	first  time.Time
	latest time.Time
	gap    time.Duration
	ending *request.EndRequest
	status int
}

type attemptEvent struct {
	number ident.Attempt
	event  upstream.Event
}

func newFlight(f *front, w http.ResponseWriter, r *http.Request, meta call.Meta, body []byte, a admission, arrived time.Time) *flight {
	l := &flight{
		front: f, writer: w, request: r, meta: meta, body: body, admission: a, arrived: arrived,
		limit: timeLimit(meta.TimeLeft, a.route), events: make(chan attemptEvent, eventCapacity),
	}
	if id, err := strconv.ParseUint(meta.LastEventID, 10, 64); err == nil {
		l.last, l.hasID = id, true
	}
	return l
}

// timeLimit is the shorter of what the client and the operator allow.
func timeLimit(stated time.Duration, route *record.Route) time.Duration {
	limit := stated
	if limit <= 0 || route.TimeLimit > 0 && route.TimeLimit < limit {
		limit = route.TimeLimit
	}
	if limit <= 0 {
		limit = defaultLimit
	}
	return limit
}

// run steps the request until it has ended.
func (l *flight) run() {
	now := time.Now()
	life, actions := l.front.machines.New(now, request.Plan{
		// The limit on the whole answer ends the request; the deadline for the first
		// output never comes before it.
		FirstOutputTimeout: l.limit + farAway, TotalTimeout: max(l.limit-now.Sub(l.arrived), time.Nanosecond),
		Repeatable: l.route.Repeats(), MaxAttempts: l.route.MaxAttempts,
	})
	l.life = life
	l.timer = time.NewTimer(farAway)
	defer l.timer.Stop()
	l.carryOut(now, actions)
	for !l.life.Done() {
		l.wait()
	}
	if l.cancel != nil {
		l.cancel()
	}
	l.attempts.Wait()
	l.finish()
}

// wait takes the next thing that happens to the request.
func (l *flight) wait() {
	l.timer.Reset(l.untilDue())
	select {
	case e := <-l.events:
		if e.number == l.number {
			l.take(time.Now(), e.event)
		}
	case <-l.timer.C:
		l.due(time.Now())
	case <-l.request.Context().Done():
		l.step(time.Now(), request.CallerLeft{})
	}
}

func (l *flight) untilDue() time.Duration {
	at, running := l.life.Deadline()
	if !running || !l.silent.IsZero() && l.silent.Before(at) {
		at = l.silent
	}
	return max(time.Until(at), 0)
}

func (l *flight) due(now time.Time) {
	if !l.silent.IsZero() && !now.Before(l.silent) {
		l.silent, l.failed = time.Time{}, true
		l.cancel()
		l.log("request.attempt-silent", outcome.ReasonServerSuspected, "")
		l.step(now, request.LinkLost{Attempt: l.number})
		return
	}
	l.carryOut(now, l.life.Tick(now))
}

func (l *flight) step(now time.Time, m request.Input) { l.carryOut(now, l.life.Step(now, m)) }

func (l *flight) carryOut(now time.Time, actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.ChooseServer:
			l.choose(now, a)
		case request.Offer:
			l.offer(now, a)
		case request.Withdraw:
			l.cancel()
			l.step(now, request.LinkLost{Attempt: a.Attempt})
		case request.Cancel:
			l.cancel()
		case request.EndAttempt:
			l.settle(a)
		case request.EndRequest:
			l.ending = &a
		}
	}
}

// choose takes the server that came with the admission for the first attempt and
// asks for one afterwards.
func (l *flight) choose(now time.Time, a request.ChooseServer) {
	if l.life.LatestAttempt() == 0 {
		l.current = l.server
		l.step(now, request.Picked{Server: l.server.ID})
		return
	}
	c, ok := task.Ask(detached(l.request), l.front.dispatch, func(reply chan<- choice) dispatchMessage {
		return choose{service: l.service, tried: a.Excluded, again: l.life.SentAttempts() > 0, reply: reply}
	})
	if !ok {
		c.reason = outcome.ReasonDraining
	}
	if !c.ok {
		l.step(now, request.NoServer{
			Outcome: outcome.DidNotRun(c.reason, ""), Final: !l.life.Answering() || c.reason == outcome.ReasonRetryBudget,
		})
		return
	}
	l.current = c.server
	l.step(now, request.Picked{Server: c.server.ID})
}

// offer starts an attempt.
func (l *flight) offer(now time.Time, a request.Offer) {
	ctx, cancel := context.WithCancel(l.request.Context())
	l.cancel, l.number = cancel, a.Attempt
	l.failed, l.elsewhere, l.silent = false, false, time.Time{}
	left := l.limit - now.Sub(l.arrived)
	if l.route.Kind == record.Repeatable && l.life.SentAttempts() < l.route.MaxAttempts {
		l.silent = now.Add(time.Duration(silentPart * float64(left)))
	}
	r := upstream.Request{
		Server: l.current.ID, Address: l.current.Address, ID: l.meta.ID, Method: l.request.Method,
		Target: l.request.RequestURI, Host: l.request.Host, Header: l.front.protocol.Forward(l.request.Header, l.forward(left)),
		Body: l.body, HasBody: len(l.body) > 0 || l.request.ContentLength >= 0 && l.request.Header.Get("Content-Length") != "",
		Stream: l.route.Kind == record.Streaming, Once: !l.route.Repeats(),
	}
	number, events := l.number, l.events
	l.attempts.Go(func() {
		defer cancel()
		l.front.caller.Run(ctx, r, func(e upstream.Event) {
			select {
			case events <- attemptEvent{number: number, event: e}:
			case <-ctx.Done():
			}
		})
	})
	l.log("request.sent", outcome.ReasonNone, fmt.Sprintf("attempt %d, %d ms left", a.Attempt, left.Milliseconds()))
}

func (l *flight) forward(left time.Duration) call.Forward {
	f := call.Forward{Server: l.current.ID, Account: l.account, TimeLeft: left, Priority: call.PriorityUnset}
	if l.route.Kind == record.Streaming {
		f.Priority = call.Priority(min(max(l.priority, 0), 9))
		if l.open && l.hasID {
			f.LastEventID = strconv.FormatUint(l.last, 10)
		}
	}
	return f
}

func (l *flight) settle(a request.EndAttempt) {
	l.front.dispatch.Send(detached(l.request), settle{
		service: l.service, server: a.Server, failed: l.failed, elsewhere: l.elsewhere,
	})
	if l.failed {
		l.front.metrics.broken.Inc()
	}
}

// take handles an event of the current attempt.
func (l *flight) take(now time.Time, e upstream.Event) {
	switch e := e.(type) {
	case upstream.Unsent:
		l.failed = true
		l.log("request.unsent", outcome.ReasonLinkLost, e.Err.Error())
		l.step(now, request.Unwritten{Attempt: l.number})
	case upstream.Answered:
		l.silent = time.Time{}
		l.answered(now, e)
	case upstream.Begun:
		l.silent = time.Time{}
		if l.begun == nil {
			l.begun = &e
		}
	case upstream.Pieces:
		l.pieces(now, e.Events)
	case upstream.Whole:
		l.openStream()
		l.step(now, request.Completed{Attempt: l.number})
	case upstream.Broken:
		l.broken(now, outcome.ReasonServerFailed, e.Err.Error())
	}
}

func (l *flight) broken(now time.Time, reason outcome.Reason, detail string) {
	l.failed = true
	l.log("request.attempt-broken", reason, detail)
	l.step(now, request.Failed{Attempt: l.number, Reason: reason})
}

// answered takes a whole answer that is no stream.
func (l *flight) answered(now time.Time, e upstream.Answered) {
	success := e.Head.Status >= 200 && e.Head.Status < 300
	switch {
	case e.Head.NotRun && !success:
		l.elsewhere = e.Head.Misdirected
		l.log("request.attempt-refused", outcome.ReasonBusy, fmt.Sprintf("status %d, load %v", e.Head.Status, e.Head.Load))
		l.step(now, request.Refused{Attempt: l.number, Reason: outcome.ReasonBusy})
	case !e.Head.Signed || e.Head.Encoded || l.open:
		l.broken(now, outcome.ReasonServerFailed, fmt.Sprintf("status %d is no answer to the request", e.Head.Status))
	case success || !l.route.Repeats() || e.Head.Status < http.StatusInternalServerError:
		l.answer = &e
		l.step(now, request.Completed{Attempt: l.number})
	default:
		l.answer = &e
		l.log("request.attempt-failed", outcome.ReasonServerFailed, fmt.Sprintf("status %d", e.Head.Status))
		l.step(now, request.Failed{Attempt: l.number, Reason: outcome.ReasonServerFailed})
	}
}

// pieces passes events of a stream on. Each event reaches the client once and in
// order, also if a resumed run repeats some.
func (l *flight) pieces(now time.Time, events []upstream.StreamEvent) {
	var out []byte
	for _, e := range events {
		switch {
		case !e.HasID || !l.hasID || e.ID == l.last+1:
			out = append(out, e.Raw...)
		case e.ID <= l.last:
			continue
		default:
			l.cancel()
			l.broken(now, outcome.ReasonServerFailed, fmt.Sprintf("event %d follows event %d", e.ID, l.last))
			return
		}
		if e.HasID {
			l.last, l.hasID = e.ID, true
		}
	}
	if len(out) == 0 {
		return
	}
	l.openStream()
	_, err := l.writer.Write(out)
	if err == nil {
		err = http.NewResponseController(l.writer).Flush()
	}
	if err != nil {
		l.step(now, request.CallerLeft{})
		return
	}
	if l.first.IsZero() {
		l.first, l.latest = now, now
	}
	l.gap, l.latest = max(l.gap, now.Sub(l.latest)), now
	if gap, ready := l.pace.add(now, len(events)); ready {
		l.front.dispatch.Send(detached(l.request), paced{service: l.service, gap: gap})
	}
	l.step(now, request.Progress{Attempt: l.number})
}

// openStream writes the head of the first run's answer.
func (l *flight) openStream() {
	if l.open || l.begun == nil {
		return
	}
	l.open, l.status = true, l.begun.Head.Status
	l.front.protocol.Deliver(l.writer.Header(), l.begun.Header)
	l.writer.WriteHeader(l.status)
	l.front.metrics.firstOutput.Observe(time.Since(l.arrived).Seconds())
}
