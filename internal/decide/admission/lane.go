package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// laneIndex orders the lanes, most urgent first.
type laneIndex int

const (
	bookingLane laneIndex = iota
	interactiveLane
	analyticalLane
	batchLane
	laneCount
)

func laneOf(i Item) laneIndex {
	switch {
	case i.Booking:
		return bookingLane
	case i.Class == ident.Interactive:
		return interactiveLane
	case i.Class == ident.Analytical:
		return analyticalLane
	default:
		return batchLane
	}
}

// urgent reports whether the lane may use the slots kept for urgent work.
func (l laneIndex) urgent() bool { return l <= interactiveLane }

// account is one client account's queue within a lane, with its place in
// virtual time.
type account struct {
	id    ident.ClientAccount
	queue []*work
	cost  int64
	// start is the virtual start tag of the head of the queue; finish is the
	// virtual finish tag of the last dispatched item.
	start, finish float64
	weight        float64
}

// lane is one of the four queues.
type lane struct {
	share    float64
	maxWait  time.Duration
	accounts map[ident.ClientAccount]*account
	// active are the accounts with waiting work, in the order they became active.
	active []*account
	// virtual is the start tag of the item that was dispatched last.
	virtual float64
	cost    int64
	items   int
	// owed is the guaranteed cost that the lane has not been given yet, in
	// tokens. It is negative while the lane is ahead of its guarantee.
	owed float64
	// largest is the cost of the largest item lately.
	largest float64
	// served is the recent rate of dispatched cost.
	served meter
}

func newLane() *lane { return &lane{accounts: make(map[ident.ClientAccount]*account)} }

func (l *lane) push(w *work) {
	a := l.accounts[w.item.Account]
	if a == nil {
		a = &account{id: w.item.Account}
		l.accounts[a.id] = a
	}
	a.weight = w.item.Weight
	if len(a.queue) == 0 {
		// An idle account starts at the present virtual time, so that it saves
		// up no credit while it is away.
		a.start = max(l.virtual, a.finish)
		l.active = append(l.active, a)
	}
	a.queue = append(a.queue, w)
	a.cost += w.item.Cost
	l.cost += w.item.Cost
	l.items++
}

// head returns the account whose head item has the lowest start tag.
func (l *lane) head() *account {
	var best *account
	for _, a := range l.active {
		if best == nil || a.start < best.start {
			best = a
		}
	}
	return best
}

// take removes the head item of the account and advances virtual time.
func (l *lane) take(a *account) *work {
	w := a.queue[0]
	l.virtual = max(l.virtual, a.start)
	a.finish = a.start + float64(w.item.Cost)/a.weight
	a.start = a.finish
	l.removeAt(a, 0)
	return w
}

func (l *lane) remove(w *work) {
	a := l.accounts[w.item.Account]
	for n, queued := range a.queue {
		if queued == w {
			l.removeAt(a, n)
			return
		}
	}
}

func (l *lane) removeAt(a *account, n int) {
	cost := a.queue[n].item.Cost
	a.queue = append(a.queue[:n], a.queue[n+1:]...)
	a.cost -= cost
	l.cost -= cost
	l.items--
	if len(a.queue) > 0 {
		return
	}
	for k, other := range l.active {
		if other == a {
			l.active = append(l.active[:k], l.active[k+1:]...)
			break
		}
	}
	if a.finish <= l.virtual {
		delete(l.accounts, a.id)
	}
}

// correct moves the account's place in virtual time by the error of an estimate.
func (l *lane) correct(item Item, difference int64) {
	a := l.accounts[item.Account]
	if a == nil {
		a = &account{id: item.Account, start: l.virtual, finish: l.virtual, weight: item.Weight}
		l.accounts[a.id] = a
	}
	shift := float64(difference) / item.Weight
	a.finish = max(0, a.finish+shift)
	a.start = max(l.virtual, a.start+shift)
	if len(a.queue) == 0 && a.finish <= l.virtual {
		delete(l.accounts, a.id)
	}
}

// longest returns the account with the most waiting cost for its weight.
func (l *lane) longest() *account {
	var worst *account
	for _, a := range l.active {
		if worst == nil || a.load() > worst.load() {
			worst = a
		}
	}
	return worst
}

func (a *account) load() float64 { return float64(a.cost) / a.weight }

// before is the waiting cost with an earlier start tag than the item would get.
func (l *lane) before(item Item) float64 {
	start := l.virtual
	if a := l.accounts[item.Account]; a != nil {
		start = max(start, a.finish)
		if len(a.queue) > 0 {
			start = a.start + a.load()
		}
	}
	sum := 0.0
	for _, a := range l.active {
		if start > a.start {
			sum += min(float64(a.cost), (start-a.start)*a.weight)
		}
	}
	return sum
}

// weights is the sum over the accounts that wait, with the given one included.
func (l *lane) weights(item Item) float64 {
	sum := item.Weight
	for _, a := range l.active {
		if a.id != item.Account {
			sum += a.weight
		}
	}
	return sum
}
