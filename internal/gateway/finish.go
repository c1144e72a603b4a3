package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// finish records the end of the request and answers the client, unless a stream has
// been written already.
func (c *clientRequest) finish() {
	o := c.end.Outcome
	took := time.Since(c.arrived)
	c.handler.metrics.ended.WithLabelValues(string(o.Kind), string(o.Reason)).Inc()
	c.handler.metrics.duration.Observe(took.Seconds())
	defer func() {
		c.log("request.ended", o.Reason, fmt.Sprintf("%s, status %d, %d attempts, waited %d ms, first output after %d ms, longest gap %d ms, %d ms in all",
			o.Kind, c.status, c.lifecycle.SentAttempts(), c.waited.Milliseconds(), c.timeToFirstOutput().Milliseconds(), c.longestGap.Milliseconds(), took.Milliseconds()))
	}()
	switch {
	case o.Reason == outcome.ReasonCanceled:
		// The client has left. Aborting keeps an incomplete stream from looking complete.
		panic(http.ErrAbortHandler)
	case o.Kind == outcome.Completed && c.headWritten:
		return
	case c.headWritten:
		panic(http.ErrAbortHandler)
	case c.answer != nil && o.Kind != outcome.NotRun:
		c.writeAnswer()
	case o.Kind == outcome.NotRun:
		c.refuseNotRun()
	default:
		status := http.StatusBadGateway
		if o.Reason == outcome.ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		c.handler.protocol.Refuse(c.writer.Header(), c.meta.ID, 0)
		c.writeStatus(status)
	}
}

// timeToFirstOutput returns the time to the first output of a stream, zero without one.
func (c *clientRequest) timeToFirstOutput() time.Duration {
	if c.firstOutput.IsZero() {
		return 0
	}
	return c.firstOutput.Sub(c.arrived)
}

// writeStatus writes the head of an answer that is not a stream.
func (c *clientRequest) writeStatus(status int) {
	invariant.Check(c.mayAnswer(c.end.Outcome.Kind, status), "a status promises that a request has not run only if it has not",
		"outcome %s, status %d", c.end.Outcome.Kind, status)
	c.status = status
	c.writer.WriteHeader(status)
}

// writeAnswer passes the backend server's answer on unchanged.
func (c *clientRequest) writeAnswer() {
	status, h := c.answer.Head.Status, c.writer.Header()
	c.handler.protocol.Deliver(h, c.answer.Header)
	if c.request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(len(c.answer.Body)))
	}
	c.writeStatus(status)
	if _, err := c.writer.Write(c.answer.Body); err != nil {
		c.log("request.client-lost", outcome.ReasonCanceled, err.Error())
	}
}

// refuseNotRun answers that the request did not run and never will.
func (c *clientRequest) refuseNotRun() {
	wait := c.end.RetryAfter
	if wait == 0 && time.Since(c.arrived)+minRetryAfter <= c.timeout {
		wait = minRetryAfter
	}
	c.handler.protocol.Refuse(c.writer.Header(), c.meta.ID, wait)
	c.writeStatus(http.StatusServiceUnavailable)
}

// log writes an event about the request to the event log.
func (c *clientRequest) log(name string, reason outcome.Reason, detail string) {
	c.handler.events.Emit(eventlog.Event{
		Name: name, Request: c.meta.ID, Revision: c.version, Server: c.currentServer.ID, Account: c.account,
		Reason: string(reason), Detail: detail,
	})
}

func (h *clientHandler) refusalDetail(a admission) string {
	if a.route == nil {
		return fmt.Sprintf("status %d", a.status)
	}
	return fmt.Sprintf("status %d, route %s, fingerprint %s, priority %d, running %d, limit %d, usable %d, pass %d ms, retry after %d ms",
		a.status, a.route.Name, h.requestTags.Of(a.traits.Request), a.priority, a.state.Running, a.state.Limit, a.state.Usable,
		a.state.Gap.Milliseconds(), a.retryAfter.Milliseconds())
}

// gapMeter measures the mean time between two events of a stream.
type gapMeter struct {
	since time.Time
	count int
}

// add counts events that arrived together. It returns the mean gap after each
// gapSampleEvents events.
func (p *gapMeter) add(now time.Time, events int) (time.Duration, bool) {
	if p.since.IsZero() {
		p.since = now
		return 0, false
	}
	p.count += events
	if p.count < gapSampleEvents {
		return 0, false
	}
	gap := now.Sub(p.since) / time.Duration(p.count)
	p.since, p.count = now, 0
	return gap, true
}
