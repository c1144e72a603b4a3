package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

const (
	// maxWaiting bounds the requests that wait for a place at one entry.
	maxWaiting = 64
	// onTimePart is the part of the latency objective that a request may wait and
	// still be on time. The rest is what a busy engine takes for the first output.
	onTimePart = 0.4
	// lateWaitPart is the part of the time left that a request waits in all. After
	// the first part it is late, and gets a place when none that is on time waits.
	lateWaitPart = 0.15
	// returnedWaitPart is the same for a request that came back after a refusal.
	returnedWaitPart = 0.3
	// Clients abandon a stream without output after the longest of leastPatience,
	// targetPatience times the latency objective and gapPatience times the gap target.
	// patiencePart of that is what a stream may wait; the rest is the engine's.
	leastPatience  = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	patiencePart   = 0.65
	// firstPart tells a client that comes first from one that comes back after a
	// refusal: it has at least this part of the route's time left. Clients on their
	// first try state 0.85 to 1 of it, and one that comes back has waited for a place
	// and then for a second at least.
	firstPart = 0.8
	// waitingLook is the longest time between two looks at the waiting requests.
	waitingLook = 20 * time.Millisecond
	// idleWait is how long the dispatch task waits when no request does.
	idleWait = time.Minute
)

// waiter is a request that waits for a place.
type waiter struct {
	admit
	admission
	arrived time.Time
	// onTime is until when a place makes the request's answer on time, and until
	// when it waits at all.
	onTime   time.Time
	until    time.Time
	standing intake.Standing
}

// enqueue lets the request wait, at least until the next look.
func (d *dispatch) enqueue(now time.Time, m admit, a admission) {
	w := &waiter{admit: m, admission: a, arrived: now}
	limit := timeLimit(m.timeLeft, a.route)
	w.onTime = now.Add(time.Duration(onTimePart * float64(a.route.Target)))
	w.until = now.Add(time.Duration(lateWaitPart * float64(limit)))
	// A client that comes back after a refusal has used up its objective.
	if limit < time.Duration(firstPart*float64(a.route.TimeLimit)) {
		w.standing = intake.Returned
		w.until = now.Add(time.Duration(returnedWaitPart * float64(limit)))
	}
	if a.route.Kind == record.Streaming {
		patience := max(leastPatience, targetPatience*a.route.Target, gapPatience*a.route.GapTarget)
		w.until = earlier(w.until, now.Add(time.Duration(patiencePart*float64(patience))))
	}
	at, _ := slices.BinarySearchFunc(d.waiting, w, compareWaiters)
	d.waiting = slices.Insert(d.waiting, at, w)
	if len(d.waiting) > maxWaiting {
		last := d.waiting[maxWaiting]
		d.waiting = d.waiting[:maxWaiting]
		d.turnAway(now, last)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// compareWaiters puts those that can still be on time first, then the more
// urgent, then those that came earlier.
func compareWaiters(a, b *waiter) int {
	switch {
	case a.standing != b.standing:
		return int(a.standing) - int(b.standing)
	case a.priority != b.priority:
		return a.priority - b.priority
	default:
		return a.arrived.Compare(b.arrived)
	}
}

// serveWaiting gives free places to the waiting requests in their order, and
// refuses those that have waited too long.
func (d *dispatch) serveWaiting(now time.Time) {
	d.markLate(now)
	kept := d.waiting[:0]
	full := make(map[demand]intake.State)
	for _, w := range d.waiting {
		switch {
		case d.place(now, w, full):
			w.waited = now.Sub(w.arrived)
			w.reply <- w.admission
		case !now.Before(w.until) || w.state.Usable == 0:
			d.turnAway(now, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// markLate moves the requests behind the others that can no longer be on time.
func (d *dispatch) markLate(now time.Time) {
	changed := false
	for _, w := range d.waiting {
		if w.standing == intake.OnTime && !now.Before(w.onTime) {
			w.standing, changed = intake.Late, true
		}
	}
	if changed {
		slices.SortStableFunc(d.waiting, compareWaiters)
	}
}

// demand is what decides whether there is a place for a request. Waiting requests
// that are alike in it get the same answer.
type demand struct {
	service   ident.ServiceName
	standing  intake.Standing
	gapTarget time.Duration
}

// place finds a place for the request. Full holds what was found to be full in
// this look: a decision reads all servers of the service, and an overloaded entry
// has many requests waiting.
func (d *dispatch) place(now time.Time, w *waiter, full map[demand]intake.State) bool {
	key := demand{service: w.service, standing: w.standing, gapTarget: w.route.GapTarget}
	var ok bool
	if w.state, ok = full[key]; ok {
		return false
	}
	if w.state, ok = d.service(w.service).Admit(now, w.standing, w.route.GapTarget); !ok {
		full[key] = w.state
		return false
	}
	w.server, ok = d.start(now, w.service, nil)
	return ok
}

func (d *dispatch) turnAway(now time.Time, w *waiter) {
	w.waited = now.Sub(w.arrived)
	w.status, w.retryAfter = http.StatusServiceUnavailable, d.wait()
	w.outcome = outcome.DidNotRun(outcome.ReasonQueueFull, "the service has no free place")
	if w.state.Usable == 0 {
		w.outcome = outcome.DidNotRun(outcome.ReasonNoServer, "no backend server takes work")
	}
	w.reply <- w.admission
}

func (d *dispatch) untilDue(now time.Time) time.Duration {
	if len(d.waiting) == 0 {
		return idleWait
	}
	due := waitingLook
	for _, w := range d.waiting {
		due = min(due, w.until.Sub(now))
	}
	return max(due, time.Millisecond)
}
