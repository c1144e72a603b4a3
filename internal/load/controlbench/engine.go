package controlbench

import (
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// engineLatency is the latency of a call to the engine. A delayed call takes
	// up to maxDelay, less than the time for which a new process settles.
	engineLatency = time.Millisecond
	maxDelay      = 2 * time.Second
	loadTime      = 200 * time.Millisecond
)

// Engine is the model of a model engine.
type Engine struct {
	world   *World
	server  ident.ServerID
	checks  bool
	State   orders.State
	highest ident.FencingToken
	// newest is the latest incarnation of the sidecar that has read the state.
	newest ident.Incarnation
	// Obeyed counts the orders that the engine carried out.
	Obeyed int
}

func (e *Engine) delay() time.Duration {
	if e.world.Random.Float64() < e.world.Config.Delayed {
		return time.Duration(e.world.Random.Int63n(int64(maxDelay)))
	}
	return engineLatency
}

func (e *Engine) readBack(p *Process) {
	asked, incarnation := e.world.Now, p.Incarnation
	e.world.After(e.delay(), func() {
		e.newest = max(e.newest, incarnation)
		observed := orders.Observed{RequestedAt: asked, State: e.State}
		if e.checks {
			observed.HighestToken = e.highest
		}
		e.answer(p, incarnation, observed)
	})
}

// order writes an order. The write happens a moment after the decision, so that
// a pause can come between them.
func (e *Engine) order(p *Process, o orders.Order) {
	p.later(e.delay(), func() {
		if !o.MayWrite(e.world.Now) {
			e.world.step(p, control.EngineMessage{Message: orders.OrderEnded{Token: o.Token, Result: orders.NotSent}})
			return
		}
		if late := e.world.Now.Sub(o.Deadline); late > 0 {
			e.violation("%s: order %d was written %s after its lease", e.server, o.Token, late)
		}
		incarnation := p.Incarnation
		e.world.After(e.delay(), func() { e.receive(p, incarnation, o) })
	})
}

func (e *Engine) receive(p *Process, incarnation ident.Incarnation, o orders.Order) {
	if e.checks && o.Token <= e.highest {
		e.answer(p, incarnation, orders.OrderEnded{Token: o.Token, Result: orders.Refused})
		return
	}
	if incarnation < e.newest {
		e.violation("%s obeyed order %d of incarnation %d after incarnation %d had taken over", e.server, o.Token, incarnation, e.newest)
	}
	e.highest = max(e.highest, o.Token)
	e.Obeyed++
	// The effect shows later than the answer, as with the stand-in engine.
	e.world.After(loadTime, func() { e.apply(o) })
	e.answer(p, incarnation, orders.OrderEnded{Token: o.Token, Result: orders.Done})
}

func (e *Engine) violation(format string, args ...any) {
	e.world.Violations = append(e.world.Violations, fmt.Sprintf(format, args...))
}

func (e *Engine) apply(o orders.Order) {
	switch o.Kind {
	case orders.LoadModel:
		e.State.Model, e.State.Version, e.State.Adapters = o.Model, o.Version, nil
	case orders.LoadAdapter:
		e.State.Adapters = append(e.State.Adapters, o.Adapter)
	case orders.SetRole:
		e.State.Role = o.Role
	}
}

func (e *Engine) answer(p *Process, incarnation ident.Incarnation, m orders.Message) {
	e.world.After(engineLatency, func() {
		if p.Incarnation == incarnation {
			p.do(func() { e.world.step(p, control.EngineMessage{Message: m}) })
		}
	})
}
