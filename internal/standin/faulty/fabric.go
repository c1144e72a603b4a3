// Package faulty is a network with faults that can be switched on and off while
// it is in use: processes that are paused or slow, failure domains that cannot
// reach each other, and sockets that close because their process died. It
// carries real TCP connections. Data that a fault holds back arrives when the
// fault ends, as TCP would deliver it.
package faulty

import (
	"context"
	"net"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

const mailboxCapacity = 4096

// Process is one process on the network.
type Process struct {
	Name string
	// Instance is the machine; a partition never separates processes of one instance.
	Instance ident.InstanceID
	// Domain is empty for the platform's own services, which no partition cuts off.
	Domain ident.FailureDomain
}

// Cut separates two sides of the network. Each side is the name of a failure
// domain, an instance or a process; an empty To means everything else.
type Cut struct {
	From, To string
	// Outward stops what From sends to To, Inward what To sends to From.
	Outward, Inward bool
}

// Fabric is the task that knows every socket and every fault.
type Fabric struct {
	mailbox *task.Mailbox[request]
	// delay is the one-way delay between failure domains.
	delay time.Duration

	paused    map[string]bool
	slow      map[string]time.Duration
	cuts      map[string]Cut
	listeners map[string]*listener
	pairs     map[string]*pair
	waiting   map[*attempt]struct{}
}

// pair is one TCP connection as seen from both of its ends. An end that belongs
// to no process of the fabric is nil.
type pair struct {
	dialed, accepted *conn
}

// NewFabric returns a network without faults and with the given one-way delay
// between failure domains. Run serves it.
func NewFabric(delay time.Duration) *Fabric {
	return &Fabric{
		mailbox:   task.NewMailbox[request](mailboxCapacity, task.Block),
		delay:     delay,
		paused:    make(map[string]bool),
		slow:      make(map[string]time.Duration),
		cuts:      make(map[string]Cut),
		listeners: make(map[string]*listener),
		pairs:     make(map[string]*pair),
		waiting:   make(map[*attempt]struct{}),
	}
}

// Run owns the faults until the context ends. It then closes every socket.
func (f *Fabric) Run(ctx context.Context) error {
	defer f.mailbox.Close()
	for {
		select {
		case r := <-f.mailbox.Receive():
			r.serve(f)
		case <-ctx.Done():
			f.severWhere(func(Process) bool { return true })
			return nil
		}
	}
}

// Network returns the network as the process sees it.
func (f *Fabric) Network(p Process) network.Network { return &endpoint{fabric: f, process: p} }

// Pause stops or resumes everything that the process sends and receives.
func (f *Fabric) Pause(ctx context.Context, process string, paused bool) {
	f.change(ctx, func(f *Fabric) { f.paused[process] = paused })
}

// Slow delays everything that the process reads and writes; zero ends that.
func (f *Fabric) Slow(ctx context.Context, process string, delay time.Duration) {
	f.change(ctx, func(f *Fabric) { f.slow[process] = delay })
}

// Cut begins a partition under a name by which Mend ends it.
func (f *Fabric) Cut(ctx context.Context, name string, c Cut) {
	f.change(ctx, func(f *Fabric) { f.cuts[name] = c })
}

// Mend ends a partition.
func (f *Fabric) Mend(ctx context.Context, name string) {
	f.change(ctx, func(f *Fabric) { delete(f.cuts, name) })
}

// Sever closes every socket of the process, as its death would.
func (f *Fabric) Sever(ctx context.Context, process string) {
	f.change(ctx, func(f *Fabric) {
		f.severWhere(func(p Process) bool { return p.Name == process })
	})
}

// change edits the faults and returns when every socket has been told.
func (f *Fabric) change(ctx context.Context, edit func(*Fabric)) {
	task.Ask(ctx, f.mailbox, func(reply chan<- struct{}) request { return &faultChange{edit: edit, reply: reply} })
}

func (f *Fabric) severWhere(match func(Process) bool) {
	for address, l := range f.listeners {
		if match(l.process) {
			_ = l.shut()
			delete(f.listeners, address)
		}
	}
	for key, p := range f.pairs {
		for _, c := range []*conn{p.dialed, p.accepted} {
			if c != nil && match(c.process) {
				_ = c.shut()
				f.drop(key, c)
			}
		}
	}
}

func (f *Fabric) drop(key string, c *conn) {
	p := f.pairs[key]
	if p == nil {
		return
	}
	if p.dialed == c {
		p.dialed = nil
	}
	if p.accepted == c {
		p.accepted = nil
	}
	if p.dialed == nil && p.accepted == nil {
		delete(f.pairs, key)
	}
}

// refresh tells both ends of a connection what the faults do to them.
func (f *Fabric) refresh(p *pair) {
	f.refreshEnd(p.dialed, p.accepted)
	f.refreshEnd(p.accepted, p.dialed)
}

func (f *Fabric) refreshEnd(own, other *conn) {
	if own == nil {
		return
	}
	paused, slow := f.paused[own.process.Name], f.slow[own.process.Name]
	read := condition{hold: paused, delay: slow}
	if other != nil {
		read.hold = read.hold || f.isCut(other.process, own.process)
		read.delay += f.latency(own.process, other.process)
	}
	own.read.set(read)
	own.write.set(condition{hold: paused, delay: slow})
}

func (f *Fabric) latency(a, b Process) time.Duration {
	if a.Domain == b.Domain || a.Domain == "" || b.Domain == "" {
		return 0
	}
	return f.delay
}

// isCut reports whether a partition stops what the sender sends to the receiver.
func (f *Fabric) isCut(sender, receiver Process) bool {
	if sender.Domain == "" || receiver.Domain == "" || sender.Instance == receiver.Instance {
		return false
	}
	for _, c := range f.cuts {
		if c.Outward && sender.on(c.From) && receiver.other(c) {
			return true
		}
		if c.Inward && receiver.on(c.From) && sender.other(c) {
			return true
		}
	}
	return false
}

func (p Process) on(side string) bool {
	return side == p.Name || side == string(p.Instance) || side == string(p.Domain)
}

// other reports whether the process is on the far side of the cut.
func (p Process) other(c Cut) bool {
	if c.To == "" {
		return !p.on(c.From)
	}
	return p.on(c.To)
}

func pairKey(dialer, acceptor net.Addr) string { return dialer.String() + "|" + acceptor.String() }
