package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// creditKey returns the key under which the request counts while it waits for credit.
func (q *request) creditKey() creditKey { return creditKey{q.entry, q.load.Class, q.load.Account} }

// query returns the request as routing sees it.
func (q *request) query() routing.Request {
	return routing.Request{
		ID: q.id.Request, Model: "m", Class: q.load.Class, Account: q.load.Account, Cost: q.cost(), PromptTokens: q.prompt,
		Prefix: q.prefix, PrefixTokens: q.load.PrefixTokens, Tried: q.tried,
	}
}

// dispatch does the entry's work: it sends the request to the replica that routing
// picks, or lets it wait for credit.
func (r *run) dispatch(q *request) {
	if r.policy.GlobalQueue {
		r.controlBytes += requestBytes + answerBytes
		r.after(hopLatency, func() { r.offer(r.servers[0], q) })
		return
	}
	if q.load.Booking {
		// A booking runs on the home replica of its idempotency key.
		r.after(hopLatency, func() { r.offer(r.servers[q.home%replicas], q) })
		return
	}
	router := r.routers[q.entry]
	query := q.query()
	id, _, ok := router.Pick(r.now, query)
	if !ok {
		r.waitForCredit(q)
		return
	}
	r.stopWaiting(q)
	q.noWait = !r.policy.FCFS && !q.load.Booking && router.NoWait(r.now, query)
	router.Step(r.now, routing.Started{Server: id, Request: query})
	r.after(hopLatency, func() { r.offer(r.byID[id], q) })
}

// waitForCredit retries the request after creditRetryInterval. It refuses the request
// if that waited too long or too many of its class and account wait at the entry.
func (r *run) waitForCredit(q *request) {
	late := !r.now.Before(q.arrived.Add(q.load.Target / creditWaitDivisor))
	full := !q.waitsForCredit && r.waitingForCredit[q.creditKey()] >= maxWaitingForCredit
	if late || full {
		r.stopWaiting(q)
		q.refused = true
		return
	}
	if !q.waitsForCredit {
		q.waitsForCredit = true
		r.waitingForCredit[q.creditKey()]++
	}
	r.after(creditRetryInterval, func() { r.dispatch(q) })
}

// stopWaiting ends the request's wait for credit, if it waits.
func (r *run) stopWaiting(q *request) {
	if q.waitsForCredit {
		q.waitsForCredit = false
		r.waitingForCredit[q.creditKey()]--
	}
}

// offer does the sidecar's work: it queues the request or refuses it.
func (r *run) offer(s *server, q *request) {
	r.controlBytes += answerBytes
	d := s.queue.Offer(r.now, admission.Item{
		ID: q.id, Account: q.load.Account, Weight: q.load.Weight, Class: q.load.Class, Booking: q.load.Booking,
		NoWait: q.noWait, Cost: q.cost(), Deadline: q.arrived.Add(q.load.Deadline),
	})
	for _, x := range d.Displaced {
		r.refuse(s, r.byItem[x.ID], false)
	}
	if !d.Queued {
		r.refuse(s, q, d.Reason == outcome.ReasonBusy)
		return
	}
	if q.noWait {
		r.after(hopLatency, func() { r.routers[q.entry].Step(r.now, routing.NoWaitAnswer{}) })
	}
	r.startQueued(s)
}

// refuse returns the request to its entry, which dispatches it to another replica
// unless maxRefusals replicas have refused it. A booking and a request in the global
// queue are refused to the caller.
func (r *run) refuse(s *server, q *request, busy bool) {
	if r.policy.GlobalQueue || q.load.Booking {
		q.refused = true
		return
	}
	r.after(hopLatency, func() {
		r.routers[q.entry].Step(r.now, routing.Ended{Server: s.id, Request: q.id.Request})
		q.tried = append(q.tried, s.id)
		q.id.Attempt++
		r.byItem[q.id] = q
		if busy {
			r.routers[q.entry].Step(r.now, routing.NoWaitAnswer{Busy: true})
		}
		if len(q.tried) >= maxRefusals {
			q.refused = true
			return
		}
		r.dispatch(q)
	})
}

// startQueued starts queued requests on the replica, and with a global queue on all
// replicas, while there are free slots.
func (r *run) startQueued(s *server) {
	if r.policy.GlobalQueue {
		for _, other := range r.servers {
			r.startQueuedOn(other)
		}
		return
	}
	r.startQueuedOn(s)
}

func (r *run) startQueuedOn(s *server) {
	for len(s.running) < slots {
		i, ok := s.queue.Next(r.now)
		if !ok {
			break
		}
		s.start(r.byItem[i.ID])
	}
	r.expireAt(s)
	r.step(s)
}

// step starts a step of the replica's engine, unless one is in progress or the batch is
// empty.
func (r *run) step(s *server) {
	if s.stepping || len(s.running) == 0 {
		return
	}
	s.stepping = true
	r.after(s.planStep(), func() {
		s.stepping = false
		var inPrefill []*request
		for _, q := range s.running {
			if q.firstToken.IsZero() {
				inPrefill = append(inPrefill, q)
			}
		}
		completed := s.finishStep(r.now)
		for _, q := range inPrefill {
			if q.firstToken.IsZero() {
				continue
			}
			s.queue.FirstOutput(r.now, q.id)
			if !r.policy.GlobalQueue {
				r.routers[q.entry].Step(r.now, routing.FirstOutput{Server: s.id, Request: q.id.Request, After: q.firstToken.Sub(q.arrived)})
			}
		}
		for _, q := range completed {
			r.complete(s, q)
		}
		r.startQueued(s)
		r.step(s)
	})
}

func (r *run) complete(s *server, q *request) {
	q.completed = r.now.Add(hopLatency)
	s.queue.Charge(r.now, q.id, q.cost())
	if r.policy.GlobalQueue {
		r.controlBytes += answerBytes
		return
	}
	r.after(hopLatency, func() { r.routers[q.entry].Step(r.now, routing.Ended{Server: s.id, Request: q.id.Request}) })
}

// latency is the time from the arrival at the entry to the first token there.
func (q *request) latency() time.Duration { return q.firstToken.Sub(q.arrived) + hopLatency }
