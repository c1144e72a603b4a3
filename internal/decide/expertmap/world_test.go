package expertmap_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
)

// flight is a message or an engine order on its way.
type flight struct {
	to          ident.Rank
	incarnation ident.Incarnation
	wire        *expertmap.Wire
	order       *expertmap.Order
	reply       *expertmap.OrderReply
	sent        time.Time
	// slow marks an order that an engine without fencing obeys late.
	slow bool
}

// world is a group of ranks with their engines, a bag of messages and a clock.
type world struct {
	n        int
	fencing  bool
	now      time.Time
	nodes    []*expertmap.Rank
	incs     []ident.Incarnation
	paused   []time.Time
	engines  *group.Ranks
	bag      []flight
	cut      map[[2]ident.Rank]bool
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

func newWorld(n int, fencing bool) *world { return newWorldWith(n, fencing, 3) }

func newWorldWith(n int, fencing bool, margin uint64) *world {
	w := &world{n: n, fencing: fencing, now: time.Unix(1000, 0), nodes: make([]*expertmap.Rank, n), incs: make([]ident.Incarnation, n),
		paused: make([]time.Time, n), margin: margin, engines: group.NewRanks(slices.Repeat([]bool{fencing}, n)), cut: make(map[[2]ident.Rank]bool)}
	for r := range n {
		w.start(ident.Rank(r))
	}
	return w
}

// start replaces a sidecar with a new incarnation. Its orders in flight remain.
func (w *world) start(r ident.Rank) {
	w.started++
	w.incs[r] = w.started
	wait := settle
	if w.fencing {
		wait = 0
	}
	w.nodes[r] = expertmap.New(w.now, expertmap.Config{Rank: r, Ranks: w.n, Incarnation: w.started, Initial: initialMap(w.n),
		ChecksFencing: w.fencing, Settle: wait, Beat: 200 * time.Millisecond, Retry: 50 * time.Millisecond,
		ExchangeTimeout: 300 * time.Millisecond, LoadTimeout: time.Second, Takeover: 500 * time.Millisecond, Margin: w.margin})
	w.step(r, w.engines.State(r))
}

func (w *world) step(r ident.Rank, m expertmap.Message) {
	for _, a := range w.nodes[r].Step(w.now, m) {
		switch a := a.(type) {
		case expertmap.Send:
			w.sentWire++
			if !w.cut[[2]ident.Rank{r, a.To}] {
				w.bag = append(w.bag, flight{to: a.To, wire: &a.Wire, sent: w.now})
			}
		case expertmap.Instruct:
			w.orders++
			slow := !w.fencing && w.slowOrders && w.orders%29 == 0
			w.bag = append(w.bag, flight{to: r, incarnation: w.incs[r], order: &a.Order, sent: w.now, slow: slow})
		case expertmap.Notice:
			w.note(a)
		}
	}
}

func (w *world) note(n expertmap.Notice) {
	switch n.Name {
	case expertmap.Switched:
		w.switched++
	case expertmap.SwitchAborted:
		w.aborted++
	case expertmap.Formed:
		w.formed++
	}
}

func (w *world) awake(r ident.Rank) bool { return !w.paused[r].After(w.now) }

// deliver takes item i out of the bag and hands it over. A paused rank takes
// nothing; the item then stays in the bag. Orders reach a paused rank's engine.
func (w *world) deliver(i int) {
	f := w.bag[i]
	if f.order == nil && !w.awake(f.to) || f.slow && w.now.Sub(f.sent) <= settle/2 {
		return
	}
	w.bag[i] = w.bag[len(w.bag)-1]
	w.bag = w.bag[:len(w.bag)-1]
	switch {
	case f.wire != nil:
		w.step(f.to, *f.wire)
	case f.order != nil:
		w.obey(f)
	case f.incarnation == w.incs[f.to]:
		w.step(f.to, *f.reply)
	}
}

func (w *world) obey(f flight) {
	result := w.engines.Order(f.to, *f.order)
	reply := expertmap.OrderReply{ID: f.order.ID, Result: result, State: w.engines.State(f.to)}
	w.bag = append(w.bag, flight{to: f.to, incarnation: f.incarnation, reply: &reply, sent: w.now})
}

// lose takes item i out of the bag without handing it over. The client of a
// lost order learns, once the order cannot take effect any more, that there was
// no answer.
func (w *world) lose(i int) {
	f := w.bag[i]
	w.bag[i] = w.bag[len(w.bag)-1]
	w.bag = w.bag[:len(w.bag)-1]
	if f.wire != nil {
		return
	}
	id := uint64(0)
	if f.order != nil {
		id = f.order.ID
	} else {
		id = f.reply.ID
	}
	w.bag = append(w.bag, flight{to: f.to, incarnation: f.incarnation, reply: &expertmap.OrderReply{ID: id, Result: expertmap.ResultUnanswered}, sent: w.now})
	if f.order != nil && w.fencing {
		// The order still arrives; only the fencing token protects the engine.
		w.bag = append(w.bag, f)
	}
}

// advance moves the clock. Orders to engines that ignore fencing tokens are
// carried out within the settle time.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.fencing {
		for i := 0; i < len(w.bag); i++ {
			if f := w.bag[i]; f.order != nil && w.now.Sub(f.sent) > settle/2 {
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

// swap proposes to exchange two experts of a layer at every rank that leads.
func (w *world) swap(rng *rand.Rand) {
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
