package engine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// leaveGrace is the time for which a leaving engine may still get new work.
const leaveGrace = 2 * time.Second

// request is a message to the engine's task.
type request interface {
	serve(e *Engine, now time.Time)
}

type (
	// submitCompletion queues a completion.
	submitCompletion struct {
		model    ident.ModelName
		sequence *sequence
		reply    chan<- submitResult
	}
	// cancelCompletion cancels a completion at the request of a client.
	cancelCompletion struct {
		id    string
		reply chan<- bool
	}
	// abandonCompletion cancels a completion whose client has disconnected.
	abandonCompletion struct{ sequence *sequence }
	askLoad           struct{ reply chan<- Load }
	askState          struct{ reply chan<- State }
	askEvents         struct {
		after uint64
		reply chan<- []CacheEvent
	}
	submitOrder struct {
		order Order
		reply chan<- OrderReply
	}
	// downloadFinished reports that the weights for an order have been read.
	downloadFinished struct{ order Order }
	setSlowdown      struct {
		factor float64
		reply  chan<- struct{}
	}
	setLeaving struct {
		leaving bool
		reply   chan<- struct{}
	}
)

// submitResult is the result of submitting a completion.
type submitResult int

const (
	accepted submitResult = iota
	unknownModel
	// rejected means that the queue is full or the request id is in use.
	rejected
)

func (s *submitCompletion) serve(e *Engine, now time.Time) {
	switch {
	case !e.orders.hasModel(s.model):
		s.reply <- unknownModel
	case !e.batch.add(now, s.sequence):
		s.reply <- rejected
	default:
		if !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > leaveGrace {
			e.acceptedLate++
		}
		s.reply <- accepted
	}
}

func (c *cancelCompletion) serve(e *Engine, now time.Time) { c.reply <- e.batch.cancel(now, c.id) }

func (a *abandonCompletion) serve(e *Engine, now time.Time) {
	if e.batch.byID[a.sequence.id] == a.sequence {
		e.batch.cancel(now, a.sequence.id)
	}
}

func (a *askLoad) serve(e *Engine, now time.Time) {
	load := e.report.load
	load.AgeMS = now.Sub(e.report.at).Milliseconds()
	a.reply <- load
}

func (a *askState) serve(e *Engine, _ time.Time) {
	counts := e.batch.counts
	counts.Tokens = e.batch.tokensOut
	counts.AcceptedLate = e.acceptedLate
	a.reply <- State{
		Server: e.config.Server, Role: e.orders.role, Models: e.orders.modelList(), Leaving: !e.leavingSince.IsZero(),
		Fencing: e.orders.highestToken, ChecksFencing: e.orders.checksFencing, Orders: e.orders.counts, Requests: counts,
	}
}

func (a *askEvents) serve(e *Engine, now time.Time) { a.reply <- e.cache.eventsAfter(now, a.after) }

func (g *submitOrder) serve(e *Engine, _ time.Time) {
	reply, isNew := e.orders.accept(g.order)
	if isNew {
		e.execute(g.order)
	}
	g.reply <- reply
}

func (l *downloadFinished) serve(e *Engine, _ time.Time) {
	m := e.orders.model(l.order.Model)
	switch {
	case l.order.Kind == OrderLoadAdapter && !slices.Contains(m.Adapters, l.order.Adapter):
		m.Adapters = append(m.Adapters, l.order.Adapter)
	case l.order.Kind == OrderLoadModel && m.Loading == l.order.Version:
		m.Version, m.Loading = l.order.Version, ""
	}
}

func (s *setSlowdown) serve(e *Engine, _ time.Time) {
	e.slowdown = s.factor
	s.reply <- struct{}{}
}

func (l *setLeaving) serve(e *Engine, now time.Time) {
	switch {
	case !l.leaving:
		e.leavingSince = time.Time{}
	case e.leavingSince.IsZero():
		e.leavingSince = now
	}
	l.reply <- struct{}{}
}
