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
	// maxWaiting is the maximum number of requests that wait for a slot at one entry.
	maxWaiting = 64
	// onTimeWaitRatio is the share of the latency objective that a request may wait and
	// still be on time. A busy engine needs the rest to produce the first output.
	onTimeWaitRatio = 0.4
	// maxWaitRatio is the maximum wait of a request as a share of its time left. Past
	// onTimeWaitRatio it is late, and gets a slot only if no request on time waits.
	maxWaitRatio = 0.15
	// returnedMaxWaitRatio is the maximum wait, as a share of the time left, of a request
	// that a client retries after a refusal.
	returnedMaxWaitRatio = 0.3
	// minAbandonTime is the minimum time for which a client waits for the first output of
	// a stream.
	minAbandonTime = 2 * time.Second
	// targetAbandonFactor times the route's latency objective is how long a client waits
	// for the first output of a stream, if that is above minAbandonTime.
	targetAbandonFactor = 4
	// gapAbandonFactor times the route's gap target is how long a client waits for the
	// first output of a stream, if that is above minAbandonTime.
	gapAbandonFactor = 8
	// abandonWaitRatio is the maximum wait for a slot as a share of the time after which
	// the client abandons a stream without output. The engine needs the rest.
	abandonWaitRatio = 0.65
	// firstTryRatio is the minimum time left, as a share of the route's time limit, of a
	// request that is a client's first try. Clients give 0.85 to 1 of the limit on the
	// first try; one that retries after a refusal has waited for a slot and then for at
	// least a second.
	firstTryRatio = 0.8
	// queueCheckInterval is the maximum time between two checks of the waiting requests.
	queueCheckInterval = 20 * time.Millisecond
	// emptyQueueInterval is the time between two checks when no request waits.
	emptyQueueInterval = time.Minute
)

// waiter is a request that waits for a slot.
type waiter struct {
	admit
	admission
	arrived time.Time
	// onTimeUntil is the latest time at which a slot still makes the answer on time,
	// deadline the time at which the request is refused.
	onTimeUntil time.Time
	deadline    time.Time
	standing    intake.Standing
}

// enqueue adds the request to those that wait for a slot. If there are too many, the
// last in order is refused.
func (d *dispatch) enqueue(now time.Time, m admit, a admission) {
	w := &waiter{admit: m, admission: a, arrived: now}
	limit := requestTimeout(m.timeLeft, a.route)
	w.onTimeUntil = now.Add(time.Duration(onTimeWaitRatio * float64(a.route.Target)))
	w.deadline = now.Add(time.Duration(maxWaitRatio * float64(limit)))
	// A client that retries after a refusal has already missed its latency objective.
	if limit < time.Duration(firstTryRatio*float64(a.route.TimeLimit)) {
		w.standing = intake.Returned
		w.deadline = now.Add(time.Duration(returnedMaxWaitRatio * float64(limit)))
	}
	if a.route.Kind == record.Streaming {
		abandonTime := max(minAbandonTime, targetAbandonFactor*a.route.Target, gapAbandonFactor*a.route.GapTarget)
		w.deadline = earlier(w.deadline, now.Add(time.Duration(abandonWaitRatio*float64(abandonTime))))
	}
	at, _ := slices.BinarySearchFunc(d.waiting, w, compareWaiters)
	d.waiting = slices.Insert(d.waiting, at, w)
	if len(d.waiting) > maxWaiting {
		last := d.waiting[maxWaiting]
		d.waiting = d.waiting[:maxWaiting]
		d.refuseWaiter(now, last)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// compareWaiters orders requests by standing, then by priority, then by arrival.
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

// serveWaiting admits waiting requests to free slots in order, and refuses those past
// their deadline and those of services without a usable server.
func (d *dispatch) serveWaiting(now time.Time) {
	d.markLate(now)
	kept := d.waiting[:0]
	full := make(map[slotKey]intake.State)
	for _, w := range d.waiting {
		decision := d.quarantine.Check(now, w.service, w.traits)
		switch {
		case !decision.Send && !decision.Unsettled:
			w.reply <- d.refuseQuarantined(now, w.admission, decision)
		case decision.Send && d.tryAdmit(now, w, full):
			if !decision.Trial.Empty() {
				d.noteEvidence(now, d.quarantine.BeginTrial(now, w.service, decision.Trial))
			}
			w.waited = now.Sub(w.arrived)
			w.reply <- w.admission
		case !now.Before(w.deadline) || w.state.Usable == 0 && !d.resumesBefore(now, w):
			d.refuseWaiter(now, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// markLate marks requests that can no longer be on time, and moves them behind the others.
func (d *dispatch) markLate(now time.Time) {
	changed := false
	for _, w := range d.waiting {
		if w.standing == intake.OnTime && !now.Before(w.onTimeUntil) {
			w.standing, changed = intake.Late, true
		}
	}
	if changed {
		slices.SortStableFunc(d.waiting, compareWaiters)
	}
}

// slotKey holds the properties of a request that decide whether there is a slot for it.
// Waiting requests with equal keys get the same answer.
type slotKey struct {
	service   ident.ServiceName
	standing  intake.Standing
	gapTarget time.Duration
}

// tryAdmit admits the request if there is a slot for it. Full caches the keys without a
// slot during one check of all waiting requests: a decision reads all servers of the
// service, and many requests wait at an overloaded entry.
func (d *dispatch) tryAdmit(now time.Time, w *waiter, full map[slotKey]intake.State) bool {
	key := slotKey{service: w.service, standing: w.standing, gapTarget: w.route.GapTarget}
	var ok bool
	if w.state, ok = full[key]; ok {
		return false
	}
	if w.state, ok = d.service(w.service).Admit(now, w.standing, w.route.GapTarget); !ok {
		full[key] = w.state
		return false
	}
	w.server, ok = d.pickServer(now, w.service, nil)
	return ok
}

// resumesBefore reports whether a server that asked for a pause takes requests again before
// the request must be refused.
func (d *dispatch) resumesBefore(now time.Time, w *waiter) bool {
	wait := d.service(w.service).ResumesIn(now)
	return wait > 0 && now.Add(wait).Before(w.deadline)
}

// resumeRetryAfter returns when a client may come back to a service whose servers have asked
// for a pause, zero if none has.
func (d *dispatch) resumeRetryAfter(now time.Time, service ident.ServiceName) time.Duration {
	wait := d.service(service).ResumesIn(now)
	if wait == 0 {
		return 0
	}
	return max(wait, minRetryAfter) + time.Duration(d.random.Int64N(int64(retryAfterJitter)))
}

func (d *dispatch) refuseWaiter(now time.Time, w *waiter) {
	w.waited = now.Sub(w.arrived)
	w.status, w.retryAfter = http.StatusServiceUnavailable, d.retryAfter()
	w.outcome = outcome.DidNotRun(outcome.ReasonQueueFull, "the service has no free slot")
	if w.state.Usable == 0 {
		w.outcome = outcome.DidNotRun(outcome.ReasonNoServer, "the service has no usable backend server")
		w.retryAfter = max(w.retryAfter, d.resumeRetryAfter(now, w.service))
	}
	w.reply <- w.admission
}

func (d *dispatch) untilDue(now time.Time) time.Duration {
	if len(d.waiting) == 0 {
		return emptyQueueInterval
	}
	due := queueCheckInterval
	for _, w := range d.waiting {
		due = min(due, w.deadline.Sub(now))
	}
	return max(due, time.Millisecond)
}
