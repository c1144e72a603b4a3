package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// finish answers the client, unless a stream did already.
func (l *flight) finish() {
	o := l.ending.Outcome
	took := time.Since(l.arrived)
	l.front.metrics.ended.WithLabelValues(string(o.Kind), string(o.Reason)).Inc()
	l.front.metrics.duration.Observe(took.Seconds())
	defer func() {
		l.log("request.ended", o.Reason, fmt.Sprintf("%s, status %d, %d attempts, waited %d ms, first output after %d ms, longest gap %d ms, %d ms in all",
			o.Kind, l.status, l.life.SentAttempts(), l.waited.Milliseconds(), l.untilFirst().Milliseconds(), l.gap.Milliseconds(), took.Milliseconds()))
	}()
	switch {
	case o.Reason == outcome.ReasonCanceled:
		// Nobody reads an answer. An unfinished stream must not look finished.
		panic(http.ErrAbortHandler)
	case o.Kind == outcome.Completed && l.open:
		return
	case l.open:
		panic(http.ErrAbortHandler)
	case l.answer != nil && o.Kind != outcome.NotRun:
		l.deliver()
	case o.Kind == outcome.NotRun:
		l.refuseNotRun()
	default:
		l.status = http.StatusBadGateway
		if o.Reason == outcome.ReasonDeadline {
			l.status = http.StatusGatewayTimeout
		}
		l.front.protocol.Refuse(l.writer.Header(), l.meta.ID, 0)
		l.writer.WriteHeader(l.status)
	}
}

// untilFirst is the time to the first output of a stream, zero without one.
func (l *flight) untilFirst() time.Duration {
	if l.first.IsZero() {
		return 0
	}
	return l.first.Sub(l.arrived)
}

// deliver passes the backend server's answer on unchanged.
func (l *flight) deliver() {
	l.status = l.answer.Head.Status
	h := l.writer.Header()
	l.front.protocol.Deliver(h, l.answer.Header)
	if l.request.Method != http.MethodHead && l.status != http.StatusNoContent && l.status != http.StatusNotModified {
		h.Set("Content-Length", fmt.Sprint(len(l.answer.Body)))
	}
	l.writer.WriteHeader(l.status)
	if _, err := l.writer.Write(l.answer.Body); err != nil {
		l.log("request.client-lost", outcome.ReasonCanceled, err.Error())
	}
}

// refuseNotRun says that the request was not run and never will be.
func (l *flight) refuseNotRun() {
	l.status = http.StatusServiceUnavailable
	wait := comeBack
	if time.Since(l.arrived)+wait > l.limit {
		wait = 0
	}
	l.front.protocol.Refuse(l.writer.Header(), l.meta.ID, wait)
	l.writer.WriteHeader(l.status)
}

// log records a decision about the request.
func (l *flight) log(name string, reason outcome.Reason, detail string) {
	l.front.events.Emit(eventlog.Event{
		Name: name, Request: l.meta.ID, Revision: l.version, Server: l.current.ID, Account: l.account,
		Reason: string(reason), Detail: detail,
	})
}

func refusalDetail(a admission) string {
	if a.route == nil {
		return fmt.Sprintf("status %d", a.status)
	}
	return fmt.Sprintf("status %d, route %s, priority %d, running %d, limit %d, usable %d, pass %d ms, retry after %d ms",
		a.status, a.route.Name, a.priority, a.state.Running, a.state.Limit, a.state.Usable,
		a.state.Gap.Milliseconds(), a.retryAfter.Milliseconds())
}

// paceMeter measures the mean time between the events of a stream.
type paceMeter struct {
	since time.Time
	count int
}

// add counts events that arrived together. It returns the mean gap once enough
// events have come.
func (p *paceMeter) add(now time.Time, events int) (time.Duration, bool) {
	if p.since.IsZero() {
		p.since = now
		return 0, false
	}
	p.count += events
	if p.count < paceEvents {
		return 0, false
	}
	gap := now.Sub(p.since) / time.Duration(p.count)
	p.since, p.count = now, 0
	return gap, true
}
