package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// waiter is a call that waits for the result of a key. The nonce is set if the
// call has committed.
type waiter struct {
	from        Party
	request     ident.RequestID
	fingerprint uint64
	nonce       uint64
	deadline    time.Time
}

// need is an earlier home that must seal the key.
type need struct {
	ask   uint64
	asked time.Time
}

// reservation is the right of one call to run the key.
type reservation struct {
	life    *chart.Instance[*reservation]
	nonce   uint64
	call    waiter
	since   time.Time
	decided time.Time
}

func (r *reservation) inTime() bool { return elapsed(r.since, r.decided) <= commitLimit }

func (r *reservation) fire(now time.Time, event string) {
	r.decided = now
	r.life.Fire(now, event)
}

// entry is one key in the table.
type entry struct {
	key  message.KeyID
	life *chart.Instance[*entry]
	held *reservation
	// used is the nonce with which the key was run.
	used    uint64
	runs    int
	waiters []waiter
	// sealers are other homes that wait for the running call.
	sealers []sealer
	// needs are the questions to earlier homes, sealed the homes that agreed,
	// and ceded the homes for which this one sealed the key; by link address.
	needs  map[string]*need
	sealed map[string]bool
	ceded  []string
	// forgotten says that the key was sealed here although an earlier incarnation
	// may have run it.
	forgotten bool
	// fingerprint and result are set once the key has been run.
	fingerprint uint64
	result      message.BookResult
	ended       time.Time
}

type sealer struct {
	from Party
	seal *message.Seal
}

// countRun asserts the promise that a key runs at most once.
func (e *entry) countRun() {
	invariant.Check(e.runs == 0, "a booking runs at most once", "key of account %s at service %s is run again with nonce %d", e.key.Account, e.key.Service, e.used)
	e.runs++
}

func (e *entry) fire(now time.Time, event string) bool {
	_, taken := e.life.Fire(now, event)
	return taken
}

// settled reports whether the key's fate is final.
func (e *entry) settled() bool { return e.life.Done() }

// idle reports whether nothing is under way for the key.
func (e *entry) idle() bool {
	return e.settled() || e.held == nil && len(e.waiters) == 0 && !e.life.In("running")
}

// add queues a call, or updates the link of one that is sent again.
func (e *entry) add(w waiter) bool {
	for n := range e.waiters {
		if e.waiters[n].request == w.request && e.waiters[n].nonce == w.nonce {
			e.waiters[n] = w
			return true
		}
	}
	if len(e.waiters) >= maxWaiters {
		return false
	}
	e.waiters = append(e.waiters, w)
	return true
}

// obtain returns the entry of a key and marks it active.
func (h *Home) obtain(key message.KeyID) *entry {
	e := h.keys[key]
	if e == nil {
		e = &entry{key: key}
		e.life = h.charts.booking.New(h.now, e)
		h.keys[key] = e
	}
	if !slices.Contains(h.active, e) {
		h.active = append(h.active, e)
	}
	return e
}

// rest takes a key off the active list, and out of the table if nothing about
// it needs to be remembered.
func (h *Home) rest(e *entry) {
	if !e.idle() {
		return
	}
	h.active = slices.DeleteFunc(h.active, func(a *entry) bool { return a == e })
	e.needs, e.sealed, e.ended = nil, nil, h.now
	if e.settled() || e.life.In("ceded") {
		return
	}
	if len(e.ceded) > 0 {
		// The homes for which the key was sealed must be asked again.
		e.fire(h.now, "cede")
		return
	}
	if h.keys[e.key] == e {
		delete(h.keys, e.key)
	}
}
