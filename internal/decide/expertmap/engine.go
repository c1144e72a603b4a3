package expertmap

import "github.com/anvilpoint/anvilpoint/internal/invariant"

// engine is the rank's knowledge of its engine and the orders on their way.
type engine struct {
	state EngineState
	// epoch and content are the map that the rank adopted last.
	epoch   Epoch
	content *Map
	sent    uint64
	// outstanding is the order without an answer; waiting follow after it.
	outstanding *Order
	waiting     []Order
}

// order queues an order. A hold supersedes the orders that wait.
func (r *Rank) order(o Order) {
	if o.Kind == OrderHold {
		r.engine.waiting = nil
	}
	if o.Kind == OrderRelease && !r.config.ChecksFencing {
		r.engine.waiting = append(r.engine.waiting, Order{Kind: OrderCurrent, Token: o.Token, Run: o.Run})
	}
	r.engine.waiting = append(r.engine.waiting, o)
}

// issue sends the next order once the last one is answered.
func (r *Rank) issue() {
	if r.engine.outstanding != nil || len(r.engine.waiting) == 0 {
		return
	}
	o := r.engine.waiting[0]
	r.engine.waiting = r.engine.waiting[1:]
	r.engine.sent++
	o.ID = r.engine.sent
	r.engine.outstanding = &o
	r.actions = append(r.actions, Instruct{Order: o})
}

// observe takes the engine's state and notices that the engine was restarted.
func (r *Rank) observe(s EngineState) {
	restarted := r.engine.state.Boot != 0 && s.Boot != r.engine.state.Boot
	if old := r.engine.state; s.Map == nil && s.Boot == old.Boot && s.Next == old.Next {
		s.Map = old.Map
	}
	r.engine.state = s
	r.raiseFloor(max(s.Fence, s.Current, s.Next, s.Armed))
	if r.engine.content == nil && s.Map != nil && s.Armed == 0 {
		r.engine.epoch, r.engine.content = s.Next, s.Map
	}
	if restarted || r.stoppedForNothing() {
		r.loseEngine()
	}
}

// stoppedForNothing holds when the engine waits for a decision that nobody will
// make: a late copy of an order that was already carried out stopped it again.
func (r *Rank) stoppedForNothing() bool {
	return r.engine.state.Armed != 0 && r.engine.outstanding == nil && len(r.engine.waiting) == 0 &&
		r.formation.In("formed") && r.change.In("idle")
}

// loseEngine leaves the formation because the engine no longer keeps its part.
func (r *Rank) loseEngine() {
	r.engine.waiting = nil
	r.change.Fire(r.now, "superseded")
	r.formation.Fire(r.now, "engineLost")
}

func (r *Rank) reply(m OrderReply) {
	o := r.engine.outstanding
	if o == nil || o.ID != m.ID {
		return
	}
	r.engine.outstanding = nil
	if m.Result == ResultUnanswered {
		r.repeat(*o)
		return
	}
	boot := r.engine.state.Boot
	r.observe(m.State)
	if boot != 0 && boot != m.State.Boot {
		return
	}
	switch m.Result {
	case ResultDone:
		r.obeyed(*o)
	case ResultLate:
		r.late(*o)
	case ResultFenced, ResultLost:
		r.loseEngine()
	}
}

// repeat sends an order again, unless a hold has superseded it.
func (r *Rank) repeat(o Order) {
	for _, w := range r.engine.waiting {
		if w.Kind == OrderHold {
			return
		}
	}
	r.engine.waiting = append([]Order{o}, r.engine.waiting...)
}

func (r *Rank) late(o Order) {
	if r.next.epoch == o.Token && r.change.In("arming") {
		r.change.Fire(r.now, "tooLate")
		return
	}
	r.loseEngine()
}

// obeyed passes an obeyed order on to the life cycle that gave it.
func (r *Rank) obeyed(o Order) {
	switch o.Kind {
	case OrderCurrent:
		r.readBack(o)
	case OrderHold:
		if o.Token == r.join.epoch {
			r.formation.Fire(r.now, "held")
		}
	case OrderLoad:
		if o.Token == r.next.epoch {
			r.change.Fire(r.now, "loaded")
		}
	case OrderArm:
		r.armed(o)
	case OrderRelease:
		r.released(o)
	}
}

func (r *Rank) armed(o Order) {
	switch {
	case o.Token == r.join.epoch && r.formation.In("joining"):
		r.formation.Fire(r.now, "armed")
	case o.Token == r.next.epoch:
		r.change.Fire(r.now, "armed")
	}
}

// readBack takes the step from which a switch is counted, or checks, before a release, that the engine still waits for the
// decision that the release carries out. An engine that ignores fencing tokens
// may have obeyed somebody else.
func (r *Rank) readBack(o Order) {
	if o.Run == 0 {
		if o.Token == r.lead.epoch && r.leader.In("reading") {
			r.leader.Fire(r.now, "read")
		}
		return
	}
	s := r.engine.state
	if s.Armed == o.Token || s.Armed == 0 && s.Next == o.Run {
		return
	}
	r.loseEngine()
}

func (r *Rank) released(o Order) {
	if r.engine.state.Next != o.Run {
		r.loseEngine()
		return
	}
	switch {
	case o.Token == r.join.epoch && r.formation.In("entering"):
		r.formation.Fire(r.now, "released")
	case o.Token == r.next.epoch:
		r.change.Fire(r.now, "released")
	}
}

// adopt records the map that the engine runs from now on.
func (r *Rank) adopt(p proposal) {
	invariant.Check(p.content.Hash() == p.hash, "one-map", "rank %d adopts epoch %d with hash %x, the group agreed on %x",
		r.config.Rank, p.epoch, p.content.Hash(), p.hash)
	invariant.Check(r.engine.state.Next == p.epoch, "one-map", "rank %d adopts epoch %d, its engine runs %d",
		r.config.Rank, p.epoch, r.engine.state.Next)
	r.engine.epoch, r.engine.content = p.epoch, p.content
}
