package controlbench

import (
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// engineLatency is the one-way latency between sidecar and engine.
	engineLatency = time.Millisecond
	// maxDelay is the longest one-way latency of a delayed call. It is less than
	// orders.Config.SettleTime, for which a new sidecar waits until calls of its
	// predecessor have arrived.
	maxDelay = 2 * time.Second
	// loadTime is the time until an obeyed order changes the engine's state.
	loadTime = 200 * time.Millisecond
)

// Engine models the state and the order calls of a model engine.
type Engine struct {
	sim    *Simulation
	server ident.ServerID
	// checksFencing makes the engine refuse orders whose fencing token is not higher
	// than highestToken.
	checksFencing bool
	State         orders.State
	highestToken  ident.FencingToken
	// newestReader is the latest incarnation of the sidecar that has read the state.
	newestReader ident.Incarnation
	// Executed counts the orders that the engine executed.
	Executed int
}

// delay returns the latency of one call to the engine.
func (e *Engine) delay() time.Duration {
	if e.sim.Random.Float64() < e.sim.Config.DelayShare {
		return time.Duration(e.sim.Random.Int63n(int64(maxDelay)))
	}
	return engineLatency
}

// readBack sends the engine's state to the process.
func (e *Engine) readBack(p *Process) {
	asked, incarnation := e.sim.Now, p.Incarnation
	e.sim.After(e.delay(), func() {
		e.newestReader = max(e.newestReader, incarnation)
		observed := orders.Observed{RequestedAt: asked, State: e.State}
		if e.checksFencing {
			observed.HighestToken = e.highestToken
		}
		e.answer(p, incarnation, observed)
	})
}

// order sends an order to the engine. It checks orders.Order.MayWrite a delay after the
// decision, so that the process may be paused in between.
func (e *Engine) order(p *Process, o orders.Order) {
	p.after(e.delay(), func() {
		if !o.MayWrite(e.sim.Now) {
			e.sim.step(p, control.EngineMessage{Message: orders.OrderEnded{Token: o.Token, Result: orders.NotSent}})
			return
		}
		if late := e.sim.Now.Sub(o.Deadline); late > 0 {
			e.violation("%s: order %d was sent %s after its deadline", e.server, o.Token, late)
		}
		incarnation := p.Incarnation
		e.sim.After(e.delay(), func() { e.receive(p, incarnation, o) })
	})
}

// receive executes an order or refuses it for its fencing token.
func (e *Engine) receive(p *Process, incarnation ident.Incarnation, o orders.Order) {
	if e.checksFencing && o.Token <= e.highestToken {
		e.answer(p, incarnation, orders.OrderEnded{Token: o.Token, Result: orders.Refused})
		return
	}
	if incarnation < e.newestReader {
		e.violation("%s obeyed order %d of incarnation %d after incarnation %d had read the state", e.server, o.Token, incarnation, e.newestReader)
	}
	e.highestToken = max(e.highestToken, o.Token)
	e.Executed++
	// The state changes after the answer, as with the stand-in engine.
	e.sim.After(loadTime, func() { e.apply(o) })
	e.answer(p, incarnation, orders.OrderEnded{Token: o.Token, Result: orders.Done})
}

func (e *Engine) violation(format string, args ...any) {
	e.sim.Violations = append(e.sim.Violations, fmt.Sprintf(format, args...))
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

// answer sends an answer to the process, which gets it only if it still has the given
// incarnation.
func (e *Engine) answer(p *Process, incarnation ident.Incarnation, m orders.Message) {
	e.sim.After(engineLatency, func() {
		if p.Incarnation == incarnation {
			p.runOrDefer(func() { e.sim.step(p, control.EngineMessage{Message: m}) })
		}
	})
}
