package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

func (q *request) key() entryKey { return entryKey{q.entry, q.load.Class, q.load.Account} }

func (q *request) query() routing.Request {
	return routing.Request{
		ID: q.id.Request, Model: "m", Class: q.load.Class, Account: q.load.Account, Cost: q.cost(), PromptTokens: q.prompt,
		Prefix: q.prefix, PrefixTokens: q.load.PrefixTokens, Tried: q.tried,
	}
}

// dispatch is the entry's part: it picks a replica, or waits for credit.
func (r *run) dispatch(q *request) {
	if r.policy.Global {
		r.controlBytes += requestBytes + answerBytes
		r.after(hop, func() { r.arrive(r.servers[0], q) })
		return
	}
	if q.load.Booking {
		// A booking goes to the home of its key.
		r.after(hop, func() { r.arrive(r.servers[q.home%replicas], q) })
		return
	}
	router := r.routers[q.entry]
	query := q.query()
	id, _, ok := router.Pick(r.now, query)
	if !ok {
		r.holdBack(q)
		return
	}
	r.letGo(q)
	q.noWait = !r.policy.FCFS && !q.load.Booking && router.NoWait(r.now, query)
	router.Step(r.now, routing.Started{Server: id, Request: query})
	r.after(hop, func() { r.arrive(r.byID[id], q) })
}

// holdBack keeps a request at the entry for a while, unless too many wait.
func (r *run) holdBack(q *request) {
	late := !r.now.Before(q.arrived.Add(q.load.Target / entryPart))
	full := !q.waiting && r.waiting[q.key()] >= entryLimit
	if late || full {
		r.letGo(q)
		q.refused = true
		return
	}
	if !q.waiting {
		q.waiting = true
		r.waiting[q.key()]++
	}
	r.after(entryRetry, func() { r.dispatch(q) })
}

func (r *run) letGo(q *request) {
	if q.waiting {
		q.waiting = false
		r.waiting[q.key()]--
	}
}

// arrive is the sidecar's part.
func (r *run) arrive(s *server, q *request) {
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
		r.after(hop, func() { r.routers[q.entry].Step(r.now, routing.NoWaitAnswer{}) })
	}
	r.fill(s)
}

// refuse tells the entry, which asks another replica.
func (r *run) refuse(s *server, q *request, busy bool) {
	if r.policy.Global || q.load.Booking {
		q.refused = true
		return
	}
	r.after(hop, func() {
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

// fill starts waiting work while the batch has room.
func (r *run) fill(s *server) {
	if r.policy.Global {
		for _, one := range r.servers {
			r.fillOne(one)
		}
		return
	}
	r.fillOne(s)
}

func (r *run) fillOne(s *server) {
	for len(s.running) < slots {
		i, ok := s.queue.Next(r.now)
		if !ok {
			break
		}
		s.begin(r.byItem[i.ID])
	}
	r.expireAt(s)
	r.step(s)
}

func (r *run) step(s *server) {
	if s.stepping || len(s.running) == 0 {
		return
	}
	s.stepping = true
	r.after(s.plan(), func() {
		s.stepping = false
		var waited []*request
		for _, q := range s.running {
			if q.first.IsZero() {
				waited = append(waited, q)
			}
		}
		ended := s.finish(r.now)
		for _, q := range waited {
			if q.first.IsZero() {
				continue
			}
			s.queue.FirstOutput(r.now, q.id)
			if !r.policy.Global {
				r.routers[q.entry].Step(r.now, routing.FirstOutput{Server: s.id, Request: q.id.Request, After: q.first.Sub(q.arrived)})
			}
		}
		for _, q := range ended {
			r.finished(s, q)
		}
		r.fill(s)
		r.step(s)
	})
}

func (r *run) finished(s *server, q *request) {
	q.done = r.now.Add(hop)
	s.queue.Charge(r.now, q.id, q.cost())
	if r.policy.Global {
		r.controlBytes += answerBytes
		return
	}
	r.after(hop, func() { r.routers[q.entry].Step(r.now, routing.Ended{Server: s.id, Request: q.id.Request}) })
}

// latency is the time until the caller has the first token.
func (q *request) latency() time.Duration { return q.first.Sub(q.arrived) + hop }
