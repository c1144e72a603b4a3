package sidecar

import (
	"context"
	"math/rand/v2"

	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/service"
	"github.com/anvilpoint/anvilpoint/internal/source"
)

// assembleBookings creates the bookings task and its links to other sidecars.
func (p *process) assembleBookings() {
	s := p.options.Settings
	seed := uint64(p.incarnation)
	dial := func(ctx context.Context, address string) {
		seed++
		dialer := &link.Dialer{
			Config: p.linkConfig, Address: address, Network: p.options.Network, TLS: p.certificates,
			Random: rand.New(rand.NewPCG(seed, 3)),
		}
		p.tasks.Go("link to "+address, func(context.Context) error { return dialer.Run(ctx) })
	}
	b := newBookings(s.Backend.Server, s.LinkListen, p.incarnation, newPeerLinks(p.tasks.Context(), dial))
	b.queue, b.events, b.metrics = p.queue.mailbox, p.options.Events, p.metrics
	p.bookings = b
	p.queue.bookings = &bookingCaller{
		tasks: p.tasks, service: service.New(s.Backend.URL, source.NewClient(p.options.Network)),
		bookings: b.mailbox, queue: p.queue.mailbox,
	}
}

// deliverBookings passes link changes and frames of bookings to the bookings task.
func (p *process) deliverBookings(ctx context.Context, e link.Event) {
	if e.Kind != link.Received {
		p.bookings.mailbox.Send(ctx, bookingLink{event: e})
	}
	for _, m := range e.Messages {
		switch m.(type) {
		case *message.Book, *message.BookCommit, *message.Seal, *message.Sealed, *message.Release, *message.Released:
			p.bookings.mailbox.Send(ctx, bookingFrame{link: e.Link, message: m})
		}
	}
}
