package engine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// leaveAllowance is the time after which a leaving engine must get no new work.
const leaveAllowance = 2 * time.Second

// request is a message to the engine's task.
type request interface {
	serve(e *Engine, now time.Time)
}

type (
	// submit queues a completion.
	submit struct {
		model    ident.ModelName
		sequence *sequence
		reply    chan<- verdict
	}
	// cancel ends a completion early.
	cancel struct {
		id    string
		reply chan<- bool
	}
	// abandon ends a completion that nobody reads any more.
	abandon   struct{ sequence *sequence }
	askLoad   struct{ reply chan<- Load }
	askState  struct{ reply chan<- State }
	askEvents struct {
		after uint64
		reply chan<- []CacheEvent
	}
	giveOrder struct {
		order Order
		reply chan<- OrderReply
	}
	// loaded says that a download has ended.
	loaded   struct{ order Order }
	slowDown struct {
		factor float64
		reply  chan<- struct{}
	}
	leave struct {
		leaving bool
		reply   chan<- struct{}
	}
)

// verdict says what became of a submitted completion.
type verdict int

const (
	accepted verdict = iota
	unknownModel
	full
)

func (s *submit) serve(e *Engine, now time.Time) {
	switch {
	case !e.orders.serves(s.model):
		s.reply <- unknownModel
	case !e.batch.add(now, s.sequence):
		s.reply <- full
	default:
		if !e.leaving.IsZero() && now.Sub(e.leaving) > leaveAllowance {
			e.late++
		}
		s.reply <- accepted
	}
}

func (c *cancel) serve(e *Engine, now time.Time) { c.reply <- e.batch.cancel(now, c.id) }

func (a *abandon) serve(e *Engine, now time.Time) {
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
	counts.Tokens = e.batch.tokens
	counts.AcceptedLate = e.late
	a.reply <- State{
		Server: e.config.Server, Role: e.orders.role, Models: e.orders.list(), Leaving: !e.leaving.IsZero(),
		Fencing: e.orders.highest, ChecksFencing: e.orders.checks, Orders: e.orders.counts, Requests: counts,
	}
}

func (a *askEvents) serve(e *Engine, now time.Time) { a.reply <- e.cache.after(now, a.after) }

func (g *giveOrder) serve(e *Engine, _ time.Time) {
	reply, fresh := e.orders.take(g.order)
	if fresh {
		e.obey(g.order)
	}
	g.reply <- reply
}

func (l *loaded) serve(e *Engine, _ time.Time) {
	m := e.orders.model(l.order.Model)
	switch {
	case l.order.Kind == OrderLoadAdapter && !slices.Contains(m.Adapters, l.order.Adapter):
		m.Adapters = append(m.Adapters, l.order.Adapter)
	case l.order.Kind == OrderLoadModel && m.Loading == l.order.Version:
		m.Version, m.Loading = l.order.Version, ""
	}
}

func (s *slowDown) serve(e *Engine, _ time.Time) {
	e.slow = s.factor
	s.reply <- struct{}{}
}

func (l *leave) serve(e *Engine, now time.Time) {
	switch {
	case !l.leaving:
		e.leaving = time.Time{}
	case e.leaving.IsZero():
		e.leaving = now
	}
	l.reply <- struct{}{}
}
