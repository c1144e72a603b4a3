package expertmap_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

// flight is a message, an engine order or its answer in flight.
type flight struct {
	to          ident.Rank
	incarnation ident.Incarnation
	wire        *expertmap.PeerMessage
	order       *expertmap.Order
	reply       *expertmap.OrderReply
	sent        time.Time
	// slow marks an order that an engine without fencing carries out late.
	slow bool
}

// simulation is a group of ranks with their engines, the messages in flight and a clock.
type simulation struct {
	n            int
	fencing      bool
	now          time.Time
	nodes        []*expertmap.Rank
	incarnations []ident.Incarnation
	paused       []time.Time
	engines      *group.Ranks
	inFlight     []flight
	// partitions holds the pairs of sender and receiver whose messages are lost.
	partitions map[[2]ident.Rank]bool
	// started is the incarnation of the sidecar that was started last.
	started  ident.Incarnation
	switched int
	aborted  int
	formed   int
	sentWire int
	margin   uint64
	orders   int
	// slowOrders makes every 29th order to an engine without fencing late.
	slowOrders bool
}

const (
	settle = 3 * time.Second
	layers = 2
)

func initialMap(n int) *expertmap.Map {
	m := &expertmap.Map{}
	for range layers {
		layer := make(expertmap.Layer, n)
		for r := range layer {
			layer[r] = []expertmap.Expert{expertmap.Expert(2 * r), expertmap.Expert(2*r + 1)}
		}
		m.Layers = append(m.Layers, layer)
	}
	return m
}

func newSimulation(n int, fencing bool) *simulation { return newSimulationWith(n, fencing, 3) }

func newSimulationWith(n int, fencing bool, margin uint64) *simulation {
	w := &simulation{n: n, fencing: fencing, now: time.Unix(1000, 0), nodes: make([]*expertmap.Rank, n), incarnations: make([]ident.Incarnation, n),
		paused: make([]time.Time, n), margin: margin, engines: group.NewRanks(slices.Repeat([]bool{fencing}, n)), partitions: make(map[[2]ident.Rank]bool)}
	for r := range n {
		w.startSidecar(ident.Rank(r))
	}
	return w
}

// startSidecar replaces a sidecar with a new incarnation. Orders of the old one stay in
// flight.
func (w *simulation) startSidecar(r ident.Rank) {
	w.started++
	w.incarnations[r] = w.started
	wait := settle
	if w.fencing {
		wait = 0
	}
	w.nodes[r] = expertmap.New(w.now, expertmap.Config{Rank: r, Ranks: w.n, Incarnation: w.started, Initial: initialMap(w.n),
		ChecksFencing: w.fencing, SettleTime: wait, HeartbeatInterval: 200 * time.Millisecond, RetryInterval: 50 * time.Millisecond,
		ExchangeTimeout: 300 * time.Millisecond, LoadTimeout: time.Second, TakeoverTimeout: 500 * time.Millisecond, StepsAhead: w.margin})
	w.step(r, w.engines.State(r))
}

func (w *simulation) step(r ident.Rank, m expertmap.Message) {
	for _, a := range w.nodes[r].Step(w.now, m) {
		switch a := a.(type) {
		case expertmap.Send:
			w.sentWire++
			if !w.partitions[[2]ident.Rank{r, a.To}] {
				w.inFlight = append(w.inFlight, flight{to: a.To, wire: &a.Message, sent: w.now})
			}
		case expertmap.SendOrder:
			w.orders++
			slow := !w.fencing && w.slowOrders && w.orders%29 == 0
			w.inFlight = append(w.inFlight, flight{to: r, incarnation: w.incarnations[r], order: &a.Order, sent: w.now, slow: slow})
		case expertmap.Notice:
			w.countNotice(a)
		}
	}
}

func (w *simulation) countNotice(n expertmap.Notice) {
	switch n.Name {
	case expertmap.Switched:
		w.switched++
	case expertmap.SwitchAborted:
		w.aborted++
	case expertmap.Formed:
		w.formed++
	}
}

func (w *simulation) awake(r ident.Rank) bool { return !w.paused[r].After(w.now) }

// deliver delivers item i. A paused rank takes nothing, and the item then stays in
// flight; but orders reach a paused rank's engine.
func (w *simulation) deliver(i int) {
	f := w.inFlight[i]
	if f.order == nil && !w.awake(f.to) || f.slow && w.now.Sub(f.sent) <= settle/2 {
		return
	}
	w.inFlight[i] = w.inFlight[len(w.inFlight)-1]
	w.inFlight = w.inFlight[:len(w.inFlight)-1]
	switch {
	case f.wire != nil:
		w.step(f.to, *f.wire)
	case f.order != nil:
		w.carryOut(f)
	case f.incarnation == w.incarnations[f.to]:
		w.step(f.to, *f.reply)
	}
}

func (w *simulation) carryOut(f flight) {
	result := w.engines.Execute(f.to, *f.order)
	reply := expertmap.OrderReply{ID: f.order.ID, Result: result, State: w.engines.State(f.to)}
	w.inFlight = append(w.inFlight, flight{to: f.to, incarnation: f.incarnation, reply: &reply, sent: w.now})
}

// lose drops item i. The sender of a lost order is told that it was not answered once the
// order can no longer take effect.
func (w *simulation) lose(i int) {
	f := w.inFlight[i]
	w.inFlight[i] = w.inFlight[len(w.inFlight)-1]
	w.inFlight = w.inFlight[:len(w.inFlight)-1]
	if f.wire != nil {
		return
	}
	id := uint64(0)
	if f.order != nil {
		id = f.order.ID
	} else {
		id = f.reply.ID
	}
	w.inFlight = append(w.inFlight, flight{to: f.to, incarnation: f.incarnation, reply: &expertmap.OrderReply{ID: id, Result: expertmap.ResultUnanswered}, sent: w.now})
	if f.order != nil && w.fencing {
		// The order still arrives; only its fencing token protects the engine.
		w.inFlight = append(w.inFlight, f)
	}
}

// advance advances the clock. Orders to engines that ignore fencing tokens are carried
// out within half the settle time.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.fencing {
		for i := 0; i < len(w.inFlight); i++ {
			if f := w.inFlight[i]; f.order != nil && w.now.Sub(f.sent) > settle/2 {
				w.deliver(i)
				i = -1
			}
		}
	}
	for r := range w.nodes {
		if w.awake(ident.Rank(r)) {
			w.step(ident.Rank(r), expertmap.Tick{})
		}
	}
}

// proposeSwap asks every leading rank to swap two experts of a layer.
func (w *simulation) proposeSwap(rng *rand.Rand) {
	for r, node := range w.nodes {
		if !node.Leads() || !w.awake(ident.Rank(r)) {
			continue
		}
		_, m := node.Map()
		layer := rng.IntN(layers)
		a, b := rng.IntN(w.n), rng.IntN(w.n)
		ea, eb := m.Layers[layer][a][0], m.Layers[layer][b][1]
		if a == b {
			continue
		}
		w.step(ident.Rank(r), expertmap.Propose{Changes: []expertmap.Change{
			{Layer: layer, Rank: ident.Rank(a), Slot: 0, Expert: eb}, {Layer: layer, Rank: ident.Rank(b), Slot: 1, Expert: ea}}})
	}
}
