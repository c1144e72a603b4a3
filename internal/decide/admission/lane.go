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

// urgent reports whether the lane may use Config.UrgentSlots.
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
	// active are the accounts with queued work, in the order they became active.
	active []*account
	// virtual is the lane's virtual time: the start tag of the item dispatched last.
	virtual float64
	cost    int64
	items   int
	// deficit is the guaranteed cost, in tokens, that the lane has not been served
	// yet. It is negative while the lane is ahead of its guarantee.
	deficit float64
	// recentMaxCost is the decaying maximum of the dispatched items' costs.
	recentMaxCost float64
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
		// An account that was idle starts at the current virtual time, so that it
		// gains no priority for the time it was idle.
		a.start = max(l.virtual, a.finish)
		l.active = append(l.active, a)
	}
	a.queue = append(a.queue, w)
	a.cost += w.item.Cost
	l.cost += w.item.Cost
	l.items++
}

// nextAccount returns, of the accounts that may run work now, the one whose head
// item has the lowest start tag, or nil if there is none.
func (l *lane) nextAccount(mayRun func(ident.ClientAccount) bool) *account {
	var best *account
	for _, a := range l.active {
		if (best == nil || a.start < best.start) && mayRun(a.id) {
			best = a
		}
	}
	return best
}

// dequeue removes the head item of the account and advances virtual time.
func (l *lane) dequeue(a *account) *work {
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
	if l.items == 0 {
		l.endBusyPeriod()
	} else if a.finish <= l.virtual {
		delete(l.accounts, a.id)
	}
}

// endBusyPeriod is called when the lane's queue is empty. Virtual time catches up
// with all accounts, so that none is ahead of the others in the next busy period.
func (l *lane) endBusyPeriod() {
	for _, a := range l.accounts {
		l.virtual = max(l.virtual, a.finish)
	}
	clear(l.accounts)
}

// correct shifts the account's virtual times by the error of a cost estimate.
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

// longest returns the account with the most queued cost relative to its weight.
func (l *lane) longest() *account {
	var longest *account
	for _, a := range l.active {
		if longest == nil || a.load() > longest.load() {
			longest = a
		}
	}
	return longest
}

// load is the account's queued cost divided by its weight.
func (a *account) load() float64 { return float64(a.cost) / a.weight }

// costBefore estimates the cost that the lane serves before the item: the queued
// work with start tags up to the item's or, if more, what all recently active
// accounts are served until virtual time reaches that tag if they keep sending.
func (l *lane) costBefore(item Item) float64 {
	start := l.startTag(item)
	waiting, weights := 0.0, 0.0
	for _, a := range l.accounts {
		tag := a.start
		for n := 0; n < len(a.queue) && tag <= start; n++ {
			cost := float64(a.queue[n].item.Cost)
			waiting += cost
			tag += cost / a.weight
		}
		if len(a.queue) > 0 || a.finish > l.virtual {
			weights += a.weight
		}
	}
	return max(waiting, (start-l.virtual)*weights)
}

// startTag returns the start tag that the item would get.
func (l *lane) startTag(item Item) float64 {
	a := l.accounts[item.Account]
	switch {
	case a == nil:
		return l.virtual
	case len(a.queue) > 0:
		return a.start + a.load()
	default:
		return max(l.virtual, a.finish)
	}
}

// totalWeight sums the weights of the accounts with queued work and the item's.
func (l *lane) totalWeight(item Item) float64 {
	sum := item.Weight
	for _, a := range l.active {
		if a.id != item.Account {
			sum += a.weight
		}
	}
	return sum
}
