package expertmap

import "github.com/anvilpoint/anvilpoint/internal/invariant"

// engine is what the rank knows about its engine, with the orders to it.
type engine struct {
	state EngineState
	// epoch and expertMap are the map that the rank adopted last.
	epoch     Epoch
	expertMap *Map
	// lastOrderID is the ID of the last order that was sent.
	lastOrderID uint64
	// outstanding is the order that was sent and not answered; queue holds the orders to
	// send after it.
	outstanding *Order
	queue       []Order
}

// enqueue queues an order. A hold discards the orders that are still queued. The release
// of an engine that does not check fencing tokens is preceded by a read of its state.
func (r *Rank) enqueue(o Order) {
	if o.Kind == OrderHold {
		r.engine.queue = nil
	}
	if o.Kind == OrderRelease && !r.config.ChecksFencing {
		r.engine.queue = append(r.engine.queue, Order{Kind: OrderReadState, Token: o.Token, RunEpoch: o.RunEpoch})
	}
	r.engine.queue = append(r.engine.queue, o)
}

// sendNextOrder sends the next queued order unless one is outstanding.
func (r *Rank) sendNextOrder() {
	if r.engine.outstanding != nil || len(r.engine.queue) == 0 {
		return
	}
	o := r.engine.queue[0]
	r.engine.queue = r.engine.queue[1:]
	r.engine.lastOrderID++
	o.ID = r.engine.lastOrderID
	r.engine.outstanding = &o
	r.actions = append(r.actions, SendOrder{Order: o})
}

// observe takes the engine's state. It leaves the formation if the engine was restarted
// or has stopped for no decision.
func (r *Rank) observe(s EngineState) {
	restarted := r.engine.state.Boot != 0 && s.Boot != r.engine.state.Boot
	if old := r.engine.state; s.Map == nil && s.Boot == old.Boot && s.Next == old.Next {
		s.Map = old.Map
	}
	r.engine.state = s
	r.raiseFloor(max(s.HighestToken, s.Current, s.Next, s.Armed))
	if r.engine.expertMap == nil && s.Map != nil && s.Armed == 0 {
		r.engine.epoch, r.engine.expertMap = s.Next, s.Map
	}
	if restarted || r.stoppedByLateOrder() {
		r.leaveFormation()
	}
}

// stoppedByLateOrder reports whether the engine waits for a decision that nobody will
// make, because a late duplicate of an earlier arm order has stopped it again.
func (r *Rank) stoppedByLateOrder() bool {
	return r.engine.state.Armed != 0 && r.engine.outstanding == nil && len(r.engine.queue) == 0 &&
		r.formation.In("formed") && r.mapSwitch.In("idle")
}

// leaveFormation leaves the formation because the engine no longer keeps this rank's
// promise.
func (r *Rank) leaveFormation() {
	r.engine.queue = nil
	r.mapSwitch.Fire(r.now, "superseded")
	r.formation.Fire(r.now, "engineLost")
}

// handleReply takes the result of the outstanding order.
func (r *Rank) handleReply(m OrderReply) {
	o := r.engine.outstanding
	if o == nil || o.ID != m.ID {
		return
	}
	r.engine.outstanding = nil
	if m.Result == ResultUnanswered {
		r.resend(*o)
		return
	}
	boot := r.engine.state.Boot
	r.observe(m.State)
	if boot != 0 && boot != m.State.Boot {
		return
	}
	switch m.Result {
	case ResultDone:
		r.orderDone(*o)
	case ResultTooLate:
		r.orderTooLate(*o)
	case ResultFenced, ResultMapMissing:
		r.leaveFormation()
	}
}

// resend queues an order that was not answered again, unless a queued hold supersedes
// it.
func (r *Rank) resend(o Order) {
	for _, w := range r.engine.queue {
		if w.Kind == OrderHold {
			return
		}
	}
	r.engine.queue = append([]Order{o}, r.engine.queue...)
}

// orderTooLate handles an order for a step that the engine has already entered.
func (r *Rank) orderTooLate(o Order) {
	if r.switching.epoch == o.Token && r.mapSwitch.In("arming") {
		r.mapSwitch.Fire(r.now, "tooLate")
		return
	}
	r.leaveFormation()
}

// orderDone passes an order that was carried out on to the chart that issued it.
func (r *Rank) orderDone(o Order) {
	switch o.Kind {
	case OrderReadState:
		r.stateRead(o)
	case OrderHold:
		if o.Token == r.joining.epoch {
			r.formation.Fire(r.now, "held")
		}
	case OrderLoad:
		if o.Token == r.switching.epoch {
			r.mapSwitch.Fire(r.now, "loaded")
		}
	case OrderArm:
		r.engineArmed(o)
	case OrderRelease:
		r.engineReleased(o)
	}
}

func (r *Rank) engineArmed(o Order) {
	switch {
	case o.Token == r.joining.epoch && r.formation.In("joining"):
		r.formation.Fire(r.now, "armed")
	case o.Token == r.switching.epoch:
		r.mapSwitch.Fire(r.now, "armed")
	}
}

// stateRead handles a read of the engine's state. A read for the leader gives the step
// from which the switch step is counted. A read before a release checks that the engine
// still waits for the decision that the release carries out: an engine that ignores
// fencing tokens may have obeyed another sender.
func (r *Rank) stateRead(o Order) {
	if o.RunEpoch == 0 {
		if o.Token == r.leadership.epoch && r.leader.In("reading") {
			r.leader.Fire(r.now, "stepRead")
		}
		return
	}
	s := r.engine.state
	if s.Armed == o.Token || s.Armed == 0 && s.Next == o.RunEpoch {
		return
	}
	r.leaveFormation()
}

func (r *Rank) engineReleased(o Order) {
	if r.engine.state.Next != o.RunEpoch {
		r.leaveFormation()
		return
	}
	switch {
	case o.Token == r.joining.epoch && r.formation.In("entering"):
		r.formation.Fire(r.now, "released")
	case o.Token == r.switching.epoch:
		r.mapSwitch.Fire(r.now, "released")
	}
}

// adopt records the proposal's map as the one that the engine runs from now on.
func (r *Rank) adopt(p proposal) {
	invariant.Check(p.expertMap.Hash() == p.hash, "one-map", "rank %d adopts epoch %d with map hash %x, but the group agreed on hash %x",
		r.config.Rank, p.epoch, p.expertMap.Hash(), p.hash)
	invariant.Check(r.engine.state.Next == p.epoch, "one-map", "rank %d adopts epoch %d, but its engine runs epoch %d",
		r.config.Rank, p.epoch, r.engine.state.Next)
	r.engine.epoch, r.engine.expertMap = p.epoch, p.expertMap
}
