package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
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
	// maxActiveRequests is the maximum number of requests in flight at one entry.
	maxActiveRequests = 8192
	// attachOffset is the lowest attempt number of readers that attach to a stream.
	attachOffset = ident.Attempt(1 << 30)
	// lostAttemptTTL is how long after the loss of its link an attempt is still
	// canceled when the server is linked again.
	lostAttemptTTL = 60 * time.Second
)

// dispatchMessage is a message to the dispatch task.
type dispatchMessage interface{ isDispatchMessage() }

type (
	// submit starts a request.
	submit struct {
		submission submission
		reply      chan<- submitReply
	}
	// consumed reports credit that a handler has used by writing pieces to its
	// client.
	consumed struct {
		ticket ticket
		bytes  int64
	}
	// clientLeft reports that the client of a handler has disconnected.
	clientLeft   struct{ ticket ticket }
	linkActivity struct{ event link.Event }
	setSnapshot  struct{ snapshot *record.Snapshot }
	// stopAccepting makes the dispatch task refuse new requests.
	stopAccepting     struct{}
	askActiveRequests struct{ reply chan<- int }
)

func (submit) isDispatchMessage()            {}
func (consumed) isDispatchMessage()          {}
func (clientLeft) isDispatchMessage()        {}
func (linkActivity) isDispatchMessage()      {}
func (setSnapshot) isDispatchMessage()       {}
func (stopAccepting) isDispatchMessage()     {}
func (askActiveRequests) isDispatchMessage() {}

// submitReply is the reply to submit. The reason is set if the request was not
// accepted.
type submitReply struct {
	accepted bool
	reason   outcome.Reason
	ticket   ticket
	delivery <-chan delivery
}

// server is a backend server whose sidecar is or was linked. Its link is nil while
// it is not.
type server struct {
	link *link.Link
	lost []lostAttempt
}

// lostAttempt is an attempt whose link broke. It may still be running although
// nobody reads its answer.
type lostAttempt struct {
	key attemptKey
	at  time.Time
}

// dispatch is the task that owns the requests in flight and chooses their backend
// servers.
type dispatch struct {
	mailbox       *task.Mailbox[dispatchMessage]
	machines      *request.Machines
	picker        *picker
	creditWaiters creditWaiters
	random        *rand.Rand
	instance      ident.InstanceID
	requests      map[ticket]*activeRequest
	attempts      map[attemptKey]*activeRequest
	servers       map[ident.ServerID]*server
	timers        timerHeap
	budget        routing.RetryBudget
	lastTicket    ticket
	stopping      bool
	toFlush       []*activeRequest
	// stepping is the request whose lifecycle is in a step; observe logs the
	// transitions under its id.
	stepping *activeRequest
	events   *eventlog.Log
	metrics  *metrics
	record   message.Digest
	// quarantine holds what may crash servers, notices are its messages to other entries.
	quarantine *quarantine.Set
	notices    *task.Mailbox[message.Message]
	// requestTags name the fingerprints of requests in the event log.
	requestTags eventlog.RequestTags
	held        heldAnswers
}

func newDispatch(p *picker, random *rand.Rand, instance ident.InstanceID, maxHeldBytes int64, events *eventlog.Log, m *metrics) (*dispatch, error) {
	d := &dispatch{
		mailbox: task.NewMailbox[dispatchMessage](dispatchCapacity, task.Block),
		picker:  p, creditWaiters: make(creditWaiters), random: random, instance: instance,
		requests: make(map[ticket]*activeRequest), attempts: make(map[attemptKey]*activeRequest),
		servers: make(map[ident.ServerID]*server),
		events:  events, metrics: m,
		notices:     task.NewMailbox[message.Message](noticeCapacity, task.DropOldest),
		requestTags: eventlog.NewRequestTags(),
		held:        heldAnswers{maxBytes: maxHeldBytes, ended: make(map[*activeRequest]struct{})},
	}
	d.initQuarantine()
	var err error
	d.machines, err = request.NewMachines(d.observe)
	return d, err
}

// observe writes the transitions of requests to the event log.
func (d *dispatch) observe(_ *request.Request, t chart.Transition) {
	if t.From == t.To || d.stepping == nil {
		return
	}
	r := d.stepping
	d.events.Emit(eventlog.Event{
		Name: "request." + t.Event, Request: r.id, Account: r.offer.Account, Class: r.offer.Class,
		Chart: t.Chart, From: t.From, To: t.To, Server: r.lifecycle.LatestServer(), Revision: d.record.Revision,
	})
}

// run runs the dispatch task until the context ends.
func (d *dispatch) run(ctx context.Context) error {
	defer d.close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(d.timers.wait(time.Now()))
		select {
		case m := <-d.mailbox.Receive():
			// When the process ends, handlers report their clients as gone. The
			// streams must continue at their sidecars, so no attempt is canceled.
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

// close closes the deliveries of all requests, so that their handlers stop waiting.
func (d *dispatch) close() {
	d.mailbox.Close()
	for _, r := range d.requests {
		close(r.deliveries)
	}
}

func (d *dispatch) step(now time.Time, m dispatchMessage) {
	switch m := m.(type) {
	case submit:
		d.submit(now, m)
	case consumed:
		d.consumed(m)
	case clientLeft:
		if r, known := d.requests[m.ticket]; known {
			d.advance(now, r, request.ClientLeft{})
		}
	case linkActivity:
		d.handleLink(now, m.event)
	case setSnapshot:
		d.record = m.snapshot.Digest
		d.picker.configure(now, m.snapshot)
	case stopAccepting:
		d.stopping = true
	case askServers:
		m.reply <- d.picker.servers()
	case askActiveRequests:
		m.reply <- len(d.requests)
	case quarantineNotice:
		d.handleNotice(now, m.message)
	case askQuarantine:
		m.reply <- d.quarantine.State(now)
	}
}

func (d *dispatch) submit(now time.Time, m submit) {
	switch {
	case d.stopping:
		m.reply <- submitReply{reason: outcome.ReasonDraining}
		return
	case len(d.requests) >= maxActiveRequests:
		m.reply <- submitReply{reason: outcome.ReasonQueueFull}
		return
	}
	d.lastTicket++
	r := &activeRequest{submission: m.submission, ticket: d.lastTicket, deliveries: make(chan delivery, 1)}
	r.unique = strconv.FormatUint(d.random.Uint64(), 36) + strconv.FormatUint(d.random.Uint64(), 36)
	r.id = r.attachTo
	r.offer.Record = d.record
	if r.attachTo != "" {
		// Two readers of one stream at the same entry need distinct attempt numbers.
		r.offset = attachOffset + ident.Attempt(d.lastTicket<<8)%attachOffset
		r.receiver.SkipTo(r.after)
	}
	d.requests[r.ticket] = r
	m.reply <- submitReply{accepted: true, ticket: r.ticket, delivery: r.deliveries}
	lifecycle, actions := d.machines.New(now, r.plan)
	r.lifecycle = lifecycle
	d.carryOut(now, r, actions)
}

// advance steps the lifecycle of a request and carries out the actions.
func (d *dispatch) advance(now time.Time, r *activeRequest, m request.Input) {
	d.stepping = r
	actions := r.lifecycle.Step(now, m)
	d.stepping = nil
	d.carryOut(now, r, actions)
}

func (d *dispatch) carryOut(now time.Time, r *activeRequest, actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.ChooseServer:
			d.choose(now, r, a)
		case request.Offer:
			d.offer(now, r, a)
		case request.Withdraw:
			d.send(a.Server, &message.Withdraw{Request: r.id, Attempt: r.key.attempt})
		case request.Cancel:
			d.send(a.Server, &message.Cancel{Request: r.id, Attempt: r.key.attempt})
		case request.EndAttempt:
			d.endAttempt(now, r, a)
		case request.EndRequest:
			d.endRequest(now, r, a)
		}
	}
	d.schedule(r)
}

func (d *dispatch) choose(now time.Time, r *activeRequest, a request.ChooseServer) {
	if r.attachTo != "" {
		d.chooseHolder(now, r, a)
		return
	}
	if refused, ok := d.mayOffer(now, r); !ok {
		d.advance(now, r, refused)
		return
	}
	if a.Retry && !d.budget.Take() {
		d.advance(now, r, request.NoServer{Outcome: outcome.DidNotRun(outcome.ReasonRetryBudget, ""), Final: true})
		return
	}
	q := r.query
	q.excluded = a.Excluded
	picked, refusal, ok := d.picker.pick(now, q)
	if !ok {
		d.noServer(now, r, refusal)
		return
	}
	d.endCreditWait(r)
	r.noWait = d.picker.noWait(now, q)
	d.advance(now, r, request.Picked{Server: picked})
}

// chooseHolder chooses a server to attach to: first the one that the request id
// names, then the others, since the answer may have been resumed at another server.
func (d *dispatch) chooseHolder(now time.Time, r *activeRequest, a request.ChooseServer) {
	asked := make(map[ident.ServerID]bool, len(a.Excluded))
	for _, s := range a.Excluded {
		asked[s] = true
	}
	if holder, ok := r.attachTo.Holder(); ok && !asked[holder] && d.linkOf(holder) != nil {
		d.advance(now, r, request.Picked{Server: holder})
		return
	}
	for id := range d.servers {
		if !asked[id] && d.linkOf(id) != nil {
			d.advance(now, r, request.Picked{Server: id})
			return
		}
	}
	d.advance(now, r, request.NoServer{Outcome: outcome.DidNotRun(outcome.ReasonStreamGone, ""), Final: true})
}

func (d *dispatch) linkOf(id ident.ServerID) *link.Link {
	if s, known := d.servers[id]; known {
		return s.link
	}
	return nil
}

func (d *dispatch) offer(now time.Time, r *activeRequest, a request.Offer) {
	if r.attachTo == "" && !r.lifecycle.Answering() {
		// The id names the server that holds the answer. It changes with each
		// attempt until the client has seen it.
		r.id = ident.NewRequestID(r.unique, a.Server)
	}
	delete(d.attempts, r.key)
	r.key = attemptKey{request: r.id, attempt: a.Attempt + r.offset}
	r.gapDeadline, r.done, r.uncredited = time.Time{}, nil, 0
	if r.collect {
		r.receiver.Restart()
		d.held.bytes -= r.readyBytes
		r.readyPieces, r.readyBytes = nil, 0
	}
	r.receiver.Begin(a.Attempt)
	d.attempts[r.key] = r
	r.offeredAt, r.hasOutput, r.serverCrashed = now, false, false
	if !r.trial.Empty() {
		d.noteEvidence(now, d.quarantine.BeginTrial(now, r.quarantineKey(), r.trial))
	}
	d.picker.started(now, a.Server, r.id, r.query)
	r.link = d.linkOf(a.Server)
	if r.link == nil || !r.link.Send(r.attemptFrame(a)) {
		d.advance(now, r, request.NotSent{Attempt: a.Attempt})
	}
}

func (d *dispatch) send(id ident.ServerID, m message.Message) {
	if l := d.linkOf(id); l != nil {
		l.Send(m)
	}
}

func (d *dispatch) endAttempt(now time.Time, r *activeRequest, a request.EndAttempt) {
	d.picker.ended(now, a.Server, r.id, a.Failed)
	if r.serverCrashed {
		d.recordCrash(now, r, a.Server)
	} else if r.attachTo == "" {
		d.quarantine.AttemptEnded(now, r.quarantineKey(), r.traits)
	}
	if a.Failed {
		d.metrics.broken.Inc()
	}
}

func (d *dispatch) endRequest(now time.Time, r *activeRequest, a request.EndRequest) {
	if a.Outcome.Kind == outcome.Completed {
		d.budget.Success()
	}
	d.metrics.requests.WithLabelValues(string(a.Outcome.Kind), string(a.Outcome.Reason)).Inc()
	r.deliverReady(now, &requestEnd{outcome: a.Outcome, retryAfter: a.RetryAfter, done: r.done})
	d.holdEnded(r)
	d.endCreditWait(r)
	delete(d.attempts, r.key)
	delete(d.requests, r.ticket)
}

// creditBatchBytes is the amount of used credit after which it is returned to the
// sidecar.
const creditBatchBytes = 32 << 10

func (d *dispatch) consumed(m consumed) {
	if r, known := d.requests[m.ticket]; known {
		r.consume(m.bytes)
	}
}

func (r *activeRequest) consume(bytes int64) {
	r.uncredited += bytes
	if r.uncredited < creditBatchBytes || r.link == nil {
		return
	}
	r.link.Send(&message.Credit{Request: r.key.request, Attempt: r.key.attempt, Bytes: r.uncredited})
	r.uncredited = 0
}
