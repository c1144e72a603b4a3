package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/booking"
	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/source"
	"github.com/anvilpoint/anvilpoint/task"
)

const bookingsMailboxCapacity = 1024

// bookingCost is the cost of a booking in the run queue, in tokens.
const bookingCost = 1

// bookingMessage is a message to the bookings task.
type bookingMessage interface{ isBookingMessage() }

type (
	// bookingFrame is a frame from an entry or another sidecar.
	bookingFrame struct {
		link    *link.Link
		message message.Message
	}
	// bookingLink reports that a link is up or down.
	bookingLink   struct{ event link.Event }
	bookingRecord struct{ snapshot *record.Snapshot }
	bookingList   struct{ list source.List }
	// bookingDrain starts or ends the refusal of new bookings.
	bookingDrain struct{ on bool }
	// bookingEnded reports the end of a call to the service.
	bookingEnded struct {
		service  ident.ServiceName
		finished booking.CallFinished
	}
)

func (bookingFrame) isBookingMessage()  {}
func (bookingLink) isBookingMessage()   {}
func (bookingRecord) isBookingMessage() {}
func (bookingList) isBookingMessage()   {}
func (bookingDrain) isBookingMessage()  {}
func (bookingEnded) isBookingMessage()  {}

// bookingCall is one call to the service that a booking.Home has decided to make.
type bookingCall struct {
	service ident.ServiceName
	run     booking.Run
	key     execution.Key
	account ident.ClientAccount
	weight  float64
}

// bookings is the task beside a plain service that owns the table of idempotency
// keys. It keeps links open to the other sidecars of the service.
type bookings struct {
	mailbox     *task.Mailbox[bookingMessage]
	server      ident.ServerID
	address     string
	incarnation ident.Incarnation
	snapshot    *record.Snapshot
	homes       map[ident.ServiceName]*booking.Home
	peers       *peerLinks
	draining    bool
	queue       *task.Mailbox[queueMessage]
	events      *eventlog.Log
	metrics     *metrics
}

func newBookings(server ident.ServerID, address string, i ident.Incarnation, p *peerLinks) *bookings {
	return &bookings{
		mailbox: task.NewMailbox[bookingMessage](bookingsMailboxCapacity, task.Block),
		server:  server, address: address, incarnation: i, peers: p,
		homes: make(map[ident.ServiceName]*booking.Home),
	}
}

// run handles messages and timers until the context ends.
func (b *bookings) run(ctx context.Context) error {
	defer b.mailbox.Close()
	tick := time.NewTicker(booking.TickInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-b.mailbox.Receive():
			b.step(ctx, time.Now(), m)
		case <-tick.C:
			// The tick's own time is stale if the process was paused after it.
			b.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *bookings) step(ctx context.Context, now time.Time, m bookingMessage) {
	switch m := m.(type) {
	case bookingFrame:
		b.frame(ctx, now, m)
	case bookingLink:
		b.peers.linkEvent(m.event)
	case bookingRecord:
		b.adopt(ctx, now, m.snapshot)
	case bookingList:
		b.handleInstanceList(ctx, now, m.list)
	case bookingDrain:
		b.draining = m.on
		b.stepAll(ctx, now, booking.Drain{On: m.on})
	case bookingEnded:
		b.stepHome(ctx, now, m.service, m.finished)
	}
}

func (b *bookings) tick(ctx context.Context, now time.Time) {
	b.stepAll(ctx, now, booking.Tick{})
	b.peers.tick(now)
	keys := 0
	for _, h := range b.homes {
		keys += h.KeyCount()
	}
	b.metrics.keys.Set(float64(keys))
}

// home returns the home of a service, and creates it if necessary. A sidecar whose
// server is not a replica of the service needs one too, to answer the replicas.
func (b *bookings) home(now time.Time, service ident.ServiceName) *booking.Home {
	h := b.homes[service]
	if h == nil {
		h = booking.NewHome(now, booking.Identity{
			Service: service, Incarnation: b.incarnation,
			Self: booking.Replica{ID: b.server, Address: b.address},
		})
		b.homes[service] = h
		h.Step(now, booking.Drain{On: b.draining})
	}
	return h
}

func (b *bookings) stepHome(ctx context.Context, now time.Time, service ident.ServiceName, in booking.Input) {
	b.perform(ctx, service, b.home(now, service).Step(now, in))
}

func (b *bookings) stepAll(ctx context.Context, now time.Time, in booking.Input) {
	for service, h := range b.homes {
		b.perform(ctx, service, h.Step(now, in))
	}
}

func (b *bookings) frame(ctx context.Context, now time.Time, f bookingFrame) {
	var service ident.ServiceName
	switch m := f.message.(type) {
	case *message.Book:
		service = m.Key.Service
	case *message.Release:
		service = m.Service
	case *message.Released:
		service = m.Service
	case *message.Seal:
		service = m.Key.Service
	case *message.Sealed:
		service = m.Key.Service
	case *message.BookCommit:
		service = m.Service
	}
	if !b.knowsService(service) {
		return
	}
	b.stepHome(ctx, now, service, booking.Received{From: b.peers.linkID(f.link), Message: f.message})
}

// knowsService reports whether the service exists. Frames for other names are
// dropped, so that they create no homes.
func (b *bookings) knowsService(service ident.ServiceName) bool {
	if b.homes[service] != nil {
		return true
	}
	if b.snapshot == nil {
		return false
	}
	_, known := b.snapshot.Services[service]
	return known
}

// adopt puts a record in force at the homes of its services. Homes of services that
// the record no longer has get a record without replicas.
func (b *bookings) adopt(ctx context.Context, now time.Time, s *record.Snapshot) {
	b.snapshot = s
	for name, service := range s.Services {
		if b.homes[name] != nil || b.isReplicaOf(service) {
			b.stepHome(ctx, now, name, recordAdopted(s.Digest, service))
		}
	}
	for name := range b.homes {
		if _, kept := s.Services[name]; !kept {
			b.stepHome(ctx, now, name, booking.RecordAdopted{Record: s.Digest})
		}
	}
	b.peers.setNeighbours(b.neighbours(s))
}

func (b *bookings) isReplicaOf(s record.Service) bool {
	for _, r := range s.Replicas {
		if r.ID == b.server {
			return true
		}
	}
	return false
}

func recordAdopted(digest message.Digest, s record.Service) booking.RecordAdopted {
	a := booking.RecordAdopted{Record: digest, KeysValidFrom: s.KeysValidFrom, OpaqueKeyWindow: s.OpaqueKeyWindow}
	for _, r := range s.Replicas {
		a.Replicas = append(a.Replicas, booking.Replica{ID: r.ID, Address: r.Address})
	}
	return a
}

// neighbours returns the addresses of the other sidecars of this server's services.
func (b *bookings) neighbours(s *record.Snapshot) []string {
	var list []string
	for _, service := range s.Services {
		if !b.isReplicaOf(service) {
			continue
		}
		for _, r := range service.Replicas {
			if r.Address != b.address {
				list = append(list, r.Address)
			}
		}
	}
	return list
}

// handleInstanceList passes a read of the instance list to the homes. A list without
// this process is out of date and is ignored.
func (b *bookings) handleInstanceList(ctx context.Context, now time.Time, l source.List) {
	if l.Err != nil || b.snapshot == nil {
		return
	}
	var in booking.InstanceListRead
	others := make(map[string]bool)
	for _, r := range b.snapshot.Replicas {
		others[r.Address] = true
	}
	present := false
	for _, i := range l.Instances {
		in.Addresses = append(in.Addresses, i.Address)
		present = present || i.Address == b.address
		if i.Kind == string(message.RoleSidecar) && !others[i.Address] {
			in.Candidates = append(in.Candidates, i.Address)
		}
	}
	if present {
		b.stepAll(ctx, now, in)
	}
}

func (b *bookings) perform(ctx context.Context, service ident.ServiceName, actions []booking.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case booking.Reply:
			b.reply(a)
		case booking.SendToSidecar:
			b.peers.send(a.To, a.Message)
		case booking.Run:
			b.enqueue(ctx, service, a)
		}
	}
}

func (b *bookings) reply(a booking.Reply) {
	if r, ok := a.Message.(*message.BookResult); ok {
		b.metrics.bookings.WithLabelValues(string(r.Kind), string(r.Reason)).Inc()
		b.events.Emit(eventlog.Event{Name: "booking.answered", Request: r.Request, Server: b.server, Reason: string(r.Reason), Detail: string(r.Kind)})
	}
	b.peers.reply(a.To, a.Message)
}

// enqueue puts the call into the booking lane of the run queue.
func (b *bookings) enqueue(ctx context.Context, service ident.ServiceName, run booking.Run) {
	r := &bookingCall{
		service: service, run: run, account: run.Key.Account, weight: 1,
		key: execution.Key{Request: ident.RequestID("booking-" + strconv.FormatUint(run.Nonce, 36)), Attempt: 1},
	}
	if account, known := b.snapshot.Accounts[r.account]; known {
		r.weight = account.Weight
	}
	b.events.Emit(eventlog.Event{Name: "booking.committed", Request: run.Commit.Request, Server: b.server, Account: r.account})
	b.queue.Send(ctx, offerBooking{run: r})
}
