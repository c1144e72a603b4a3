package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	bookingsCapacity = 1024
	// maxBookings is the maximum number of booking calls in progress at one entry.
	maxBookings = 4096
)

// bookingMessage is a message to the bookings task.
type bookingMessage interface{ isBookingMessage() }

type (
	// startBooking starts a booking call. Its end is sent to reply, which must have
	// room for one message, so that the task never waits for a handler.
	startBooking struct {
		begin    booking.BeginCall
		deadline time.Duration
		reply    chan<- bookingEnd
	}
	bookingActivity struct{ event link.Event }
	bookingRecord   struct{ snapshot *record.Snapshot }
	// stopBookings makes the bookings task refuse new calls.
	stopBookings struct{}
	askBookings  struct{ reply chan<- int }
)

func (startBooking) isBookingMessage()    {}
func (bookingActivity) isBookingMessage() {}
func (bookingRecord) isBookingMessage()   {}
func (stopBookings) isBookingMessage()    {}
func (askBookings) isBookingMessage()     {}

// bookingEnd is the result of a booking call.
type bookingEnd struct {
	id     ident.RequestID
	result message.BookResult
}

// bookings is the task that owns the booking calls of the entry.
type bookings struct {
	mailbox  *task.Mailbox[bookingMessage]
	caller   *booking.Caller
	waiting  map[ident.RequestID]chan<- bookingEnd
	links    map[string]*link.Link
	services map[ident.ServiceName][]booking.Replica
	random   *rand.Rand
	stopping bool
	record   message.Digest
	events   *eventlog.Log
	metrics  *metrics
}

func newBookings(random *rand.Rand, events *eventlog.Log, m *metrics) *bookings {
	return &bookings{
		mailbox: task.NewMailbox[bookingMessage](bookingsCapacity, task.Block),
		caller:  booking.NewCaller(), waiting: make(map[ident.RequestID]chan<- bookingEnd),
		links: make(map[string]*link.Link), random: random, events: events, metrics: m,
	}
}

// run runs the bookings task until the context ends.
func (b *bookings) run(ctx context.Context) error {
	defer b.mailbox.Close()
	tick := time.NewTicker(booking.TickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-b.mailbox.Receive():
			b.step(time.Now(), m)
		case <-tick.C:
			now := time.Now()
			b.carryOut(b.caller.Step(now, booking.Tick{}))
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *bookings) step(now time.Time, m bookingMessage) {
	switch m := m.(type) {
	case startBooking:
		b.start(now, m)
	case bookingActivity:
		b.link(now, m.event)
	case bookingRecord:
		b.configure(now, m.snapshot)
	case stopBookings:
		b.stopping = true
	case askBookings:
		m.reply <- len(b.waiting)
	}
}

func (b *bookings) start(now time.Time, m startBooking) {
	if reason := b.refusal(); reason != outcome.ReasonNone {
		// Nothing has been sent, but an earlier call with the key may have run.
		m.reply <- bookingEnd{result: message.BookResult{Kind: outcome.Unknown, Reason: reason, RetryAfterMS: 1000}}
		return
	}
	unique := strconv.FormatUint(b.random.Uint64(), 36) + strconv.FormatUint(b.random.Uint64(), 36)
	home, _ := booking.HomeOf(m.begin.Key, b.services[m.begin.Key.Service])
	m.begin.Request = ident.NewRequestID(unique, home.ID)
	m.begin.Deadline = now.Add(m.deadline)
	b.waiting[m.begin.Request] = m.reply
	b.events.Emit(eventlog.Event{
		Name: "booking.begun", Request: m.begin.Request, Account: m.begin.Key.Account, Server: home.ID, Revision: b.record.Revision,
	})
	b.carryOut(b.caller.Step(now, m.begin))
}

func (b *bookings) refusal() outcome.Reason {
	switch {
	case b.stopping:
		return outcome.ReasonDraining
	case len(b.waiting) >= maxBookings:
		return outcome.ReasonQueueFull
	default:
		return outcome.ReasonNone
	}
}

// link keeps the links to sidecars and handles the answers of homes. A link is kept
// under the address that this entry dialed.
func (b *bookings) link(now time.Time, e link.Event) {
	address := e.Link.Address()
	switch e.Kind {
	case link.Up:
		b.links[address] = e.Link
	case link.Down:
		if b.links[address] == e.Link {
			delete(b.links, address)
		}
	}
	for _, m := range e.Messages {
		switch m.(type) {
		case *message.Reserved, *message.BookResult:
			b.carryOut(b.caller.Step(now, booking.ReceivedFromHome{Address: address, Message: m}))
		}
	}
}

func (b *bookings) configure(now time.Time, s *record.Snapshot) {
	b.record = s.Digest
	b.services = make(map[ident.ServiceName][]booking.Replica, len(s.Services))
	for name, service := range s.Services {
		homes := booking.ReplicasChanged{Service: name, Record: s.Digest}
		for _, r := range service.Replicas {
			homes.Replicas = append(homes.Replicas, booking.Replica{ID: r.ID, Address: r.Address})
		}
		b.services[name] = homes.Replicas
		b.carryOut(b.caller.Step(now, homes))
	}
}

func (b *bookings) carryOut(actions []booking.CallerAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case booking.SendToHome:
			if l := b.links[a.To.Address]; l != nil {
				l.Send(a.Message)
			}
		case booking.AnswerCall:
			b.answer(a.Result)
		}
	}
}

func (b *bookings) answer(r message.BookResult) {
	reply, known := b.waiting[r.Request]
	if !known {
		return
	}
	delete(b.waiting, r.Request)
	b.metrics.requests.WithLabelValues(string(r.Kind), string(r.Reason)).Inc()
	b.events.Emit(eventlog.Event{
		Name: "booking.ended", Request: r.Request, Reason: string(r.Reason), Detail: string(r.Kind), Revision: b.record.Revision,
	})
	reply <- bookingEnd{id: r.Request, result: r}
}
