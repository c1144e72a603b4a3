package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	dispatchCapacity = 1024
	// maxFlights bounds the requests that one entry works on.
	maxFlights = 8192
	// attachOffset is where the attempt numbers of attached readers begin.
	attachOffset = ident.Attempt(1 << 30)
	// lostMemory is how long a lost attempt is canceled if its server comes back.
	lostMemory = 60 * time.Second
)

// dispatchMessage is a message to the dispatch task.
type dispatchMessage interface{ isDispatchMessage() }

type (
	// submit starts a request. The answer is false if the entry takes no more.
	submit struct {
		submission submission
		reply      chan<- submitted
	}
	// consumed says that a handler has passed bytes on to its caller.
	consumed struct {
		ticket ticket
		bytes  int64
	}
	// callerLeft says that a handler's caller is gone.
	callerLeft   struct{ ticket ticket }
	linkActivity struct{ event link.Event }
	setSnapshot  struct{ snapshot *record.Snapshot }
	// stopTaking refuses new requests from now on.
	stopTaking struct{}
	askFlights struct{ reply chan<- int }
)

func (submit) isDispatchMessage()       {}
func (consumed) isDispatchMessage()     {}
func (callerLeft) isDispatchMessage()   {}
func (linkActivity) isDispatchMessage() {}
func (setSnapshot) isDispatchMessage()  {}
func (stopTaking) isDispatchMessage()   {}
func (askFlights) isDispatchMessage()   {}

// submitted answers a submission.
type submitted struct {
	taken    bool
	reason   outcome.Reason
	ticket   ticket
	delivery <-chan delivery
}

// server is a backend server whose sidecar is linked, or was.
type server struct {
	link *link.Link
	lost []lostAttempt
}

// lostAttempt is an attempt that may go on for nobody behind a broken link.
type lostAttempt struct {
	key wireKey
	at  time.Time
}

// dispatch is the task that owns the requests in flight and the choice of
// backend servers.
type dispatch struct {
	mailbox  *task.Mailbox[dispatchMessage]
	machines *request.Machines
	picker   *picker
	held     held
	random   *rand.Rand
	instance ident.InstanceID
	flights  map[ticket]*flight
	wires    map[wireKey]*flight
	servers  map[ident.ServerID]*server
	timers   timerHeap
	budget   routing.RetryBudget
	next     ticket
	stopping bool
	touched  []*flight
	// stepping is the flight whose life is being stepped, for its events.
	stepping *flight
	events   *eventlog.Log
	metrics  *metrics
	record   message.Digest
}

func newDispatch(p *picker, random *rand.Rand, instance ident.InstanceID, events *eventlog.Log, m *metrics) (*dispatch, error) {
	d := &dispatch{
		mailbox: task.NewMailbox[dispatchMessage](dispatchCapacity, task.Block),
		picker:  p, held: make(held), random: random, instance: instance,
		flights: make(map[ticket]*flight), wires: make(map[wireKey]*flight),
		servers: make(map[ident.ServerID]*server),
		events:  events, metrics: m,
	}
	var err error
	d.machines, err = request.NewMachines(d.observe)
	return d, err
}

// observe records the transitions of requests.
func (d *dispatch) observe(_ *request.Request, t chart.Transition) {
	if t.From == t.To || d.stepping == nil {
		return
	}
	f := d.stepping
	d.events.Emit(eventlog.Event{
		Name: "request." + t.Event, Request: f.id, Account: f.offer.Account, Class: f.offer.Class,
		Chart: t.Chart, From: t.From, To: t.To, Server: f.life.LatestServer(), Revision: d.record.Revision,
	})
}

// run is the task.
func (d *dispatch) run(ctx context.Context) error {
	defer d.close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.timers.wait(time.Now()))
		select {
		case m := <-d.mailbox.Receive():
			// Once the process ends, handlers report their callers as gone. The
			// streams must live on at their sidecars, so nothing is canceled.
			if ctx.Err() != nil {
				return nil
			}
			d.step(time.Now(), m)
		case <-timer.C:
			d.tick(time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// close tells handlers that nothing more will come.
func (d *dispatch) close() {
	d.mailbox.Close()
	for _, f := range d.flights {
		close(f.out)
	}
}

func (d *dispatch) step(now time.Time, m dispatchMessage) {
	switch m := m.(type) {
	case submit:
		d.submit(now, m)
	case consumed:
		d.consumed(m)
	case callerLeft:
		if f, known := d.flights[m.ticket]; known {
			d.advance(now, f, request.CallerLeft{})
		}
	case linkActivity:
		d.link(now, m.event)
	case setSnapshot:
		d.record = m.snapshot.Digest
		d.picker.configure(now, m.snapshot)
	case stopTaking:
		d.stopping = true
	case askServers:
		m.reply <- d.picker.servers()
	case askFlights:
		m.reply <- len(d.flights)
	}
}

func (d *dispatch) submit(now time.Time, m submit) {
	switch {
	case d.stopping:
		m.reply <- submitted{reason: outcome.ReasonDraining}
		return
	case len(d.flights) >= maxFlights:
		m.reply <- submitted{reason: outcome.ReasonQueueFull}
		return
	}
	d.next++
	f := &flight{submission: m.submission, ticket: d.next, out: make(chan delivery, 1)}
	f.unique = strconv.FormatUint(d.random.Uint64(), 36) + strconv.FormatUint(d.random.Uint64(), 36)
	f.id = f.attach
	f.offer.Record = d.record
	if f.attach != "" {
		// Two readers of one stream at the same entry need numbers of their own.
		f.offset = attachOffset + ident.Attempt(d.next<<8)%attachOffset
		f.receiver.SkipTo(f.after)
	}
	d.flights[f.ticket] = f
	m.reply <- submitted{taken: true, ticket: f.ticket, delivery: f.out}
	life, actions := d.machines.New(now, f.plan)
	f.life = life
	d.carryOut(now, f, actions)
}

// advance steps a flight's life and carries out what follows.
func (d *dispatch) advance(now time.Time, f *flight, m request.Input) {
	d.stepping = f
	actions := f.life.Step(now, m)
	d.stepping = nil
	d.carryOut(now, f, actions)
}

func (d *dispatch) carryOut(now time.Time, f *flight, actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.ChooseServer:
			d.choose(now, f, a)
		case request.Offer:
			d.offer(now, f, a)
		case request.Withdraw:
			d.send(a.Server, &message.Withdraw{Request: f.id, Attempt: f.wire.attempt})
		case request.Cancel:
			d.send(a.Server, &message.Cancel{Request: f.id, Attempt: f.wire.attempt})
		case request.EndAttempt:
			d.settle(now, f, a)
		case request.EndRequest:
			d.end(f, a)
		}
	}
	d.schedule(f)
}

func (d *dispatch) choose(now time.Time, f *flight, a request.ChooseServer) {
	if f.attach != "" {
		d.chooseHolder(now, f, a)
		return
	}
	if a.Retry && !d.budget.Take() {
		d.advance(now, f, request.NoServer{Outcome: outcome.DidNotRun(outcome.ReasonRetryBudget, ""), Final: true})
		return
	}
	q := f.query
	q.excluded = a.Excluded
	picked, why, ok := d.picker.pick(now, q)
	if !ok {
		d.noServer(now, f, why)
		return
	}
	d.release(f)
	f.noWait = d.picker.noWait(now, q)
	d.advance(now, f, request.Picked{Server: picked})
}

// chooseHolder asks the server that the request id names first, and then the
// others, since the answer may have been resumed elsewhere.
func (d *dispatch) chooseHolder(now time.Time, f *flight, a request.ChooseServer) {
	asked := make(map[ident.ServerID]bool, len(a.Excluded))
	for _, s := range a.Excluded {
		asked[s] = true
	}
	if holder, ok := f.attach.Holder(); ok && !asked[holder] && d.linkOf(holder) != nil {
		d.advance(now, f, request.Picked{Server: holder})
		return
	}
	for id := range d.servers {
		if !asked[id] && d.linkOf(id) != nil {
			d.advance(now, f, request.Picked{Server: id})
			return
		}
	}
	d.advance(now, f, request.NoServer{Outcome: outcome.DidNotRun(outcome.ReasonStreamGone, ""), Final: true})
}

func (d *dispatch) linkOf(id ident.ServerID) *link.Link {
	if s, known := d.servers[id]; known {
		return s.link
	}
	return nil
}

func (d *dispatch) offer(now time.Time, f *flight, a request.Offer) {
	if f.attach == "" && !f.life.Answering() {
		// The id names the server that holds the answer. The caller has not seen
		// it yet, so it follows the attempt.
		f.id = ident.NewRequestID(f.unique, a.Server)
	}
	delete(d.wires, f.wire)
	f.wire = wireKey{request: f.id, attempt: a.Attempt + f.offset}
	f.gapAt, f.done, f.credited = time.Time{}, nil, 0
	if f.collect {
		f.receiver.Restart()
		f.ready = nil
	}
	f.receiver.Begin(a.Attempt)
	d.wires[f.wire] = f
	f.offered, f.answered = now, false
	d.picker.started(now, a.Server, f.id, f.query)
	f.link = d.linkOf(a.Server)
	if f.link == nil || !f.link.Send(f.offerFrame(a)) {
		d.advance(now, f, request.Unwritten{Attempt: a.Attempt})
	}
}

func (d *dispatch) send(id ident.ServerID, m message.Message) {
	if l := d.linkOf(id); l != nil {
		l.Send(m)
	}
}

func (d *dispatch) settle(now time.Time, f *flight, a request.EndAttempt) {
	d.picker.settled(now, a.Server, f.id, a.Failed)
	if a.Failed {
		d.metrics.broken.Inc()
	}
}

func (d *dispatch) end(f *flight, a request.EndRequest) {
	if a.Outcome.Kind == outcome.Completed {
		d.budget.Success()
	}
	d.metrics.requests.WithLabelValues(string(a.Outcome.Kind), string(a.Outcome.Reason)).Inc()
	f.hand(&ending{outcome: a.Outcome, retryAfter: a.RetryAfter, done: f.done})
	d.release(f)
	delete(d.wires, f.wire)
	delete(d.flights, f.ticket)
}

// creditStep is the number of consumed bytes after which a credit is sent.
const creditStep = 32 << 10

func (d *dispatch) consumed(m consumed) {
	if f, known := d.flights[m.ticket]; known {
		f.consume(m.bytes)
	}
}

func (f *flight) consume(bytes int64) {
	f.credited += bytes
	if f.credited < creditStep || f.link == nil {
		return
	}
	f.link.Send(&message.Credit{Request: f.wire.request, Attempt: f.wire.attempt, Bytes: f.credited})
	f.credited = 0
}
