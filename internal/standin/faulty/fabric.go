// Package faulty is a network with faults that can be switched on and off while
// it is in use: processes that are paused or slow, partitions between failure
// domains, instances or processes, and sockets that close because their process
// was killed. It carries real TCP connections. Data that a fault holds back
// arrives when the fault ends, as TCP would deliver it.
package faulty

import (
	"context"
	"net"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

// mailboxCapacity is the number of requests that wait for the fabric's task before
// senders block.
const mailboxCapacity = 4096

// Process identifies a process on the network.
type Process struct {
	Name string
	// Instance is the machine. No partition separates processes of one instance.
	Instance ident.InstanceID
	// Domain is empty for the platform's services, which no partition affects.
	Domain ident.FailureDomain
}

// Partition is a partition between two sides of the network. Each side is the name of a
// failure domain, an instance or a process; an empty To means everything else.
type Partition struct {
	From, To string
	// Outward holds back what From sends to To, Inward what To sends to From.
	Outward, Inward bool
}

// Fabric holds the sockets of all processes and the faults. Its task, Run, owns
// them.
type Fabric struct {
	mailbox *task.Mailbox[request]
	// domainDelay is the one-way delay between failure domains.
	domainDelay time.Duration

	// paused and delays hold the faults of processes by their names.
	paused map[string]bool
	delays map[string]time.Duration
	// partitions holds the current partitions by their names.
	partitions map[string]Partition
	// listeners holds the listeners by their addresses.
	listeners map[string]*listener
	// pairs holds the connections by their pairKey.
	pairs map[string]*pair
	// waiting are the dials that a fault prevents now.
	waiting map[*dialRequest]struct{}
}

// pair holds the two ends of one TCP connection. An end is nil if it is closed or
// belongs to no process of the fabric.
type pair struct {
	dialed, accepted *conn
}

// NewFabric returns a network without faults and with the given one-way delay
// between failure domains. Run serves it.
func NewFabric(delay time.Duration) *Fabric {
	return &Fabric{
		mailbox:     task.NewMailbox[request](mailboxCapacity, task.Block),
		domainDelay: delay,
		paused:      make(map[string]bool),
		delays:      make(map[string]time.Duration),
		partitions:  make(map[string]Partition),
		listeners:   make(map[string]*listener),
		pairs:       make(map[string]*pair),
		waiting:     make(map[*dialRequest]struct{}),
	}
}

// Run serves requests until the context ends. It then closes every socket.
func (f *Fabric) Run(ctx context.Context) error {
	defer f.mailbox.Close()
	for {
		select {
		case r := <-f.mailbox.Receive():
			r.serve(f)
		case <-ctx.Done():
			f.closeSocketsOf(func(Process) bool { return true })
			return nil
		}
	}
}

// Network returns the network as the process sees it.
func (f *Fabric) Network(p Process) network.Network { return &endpoint{fabric: f, process: p} }

// SetPaused stops or resumes everything that the process sends and receives. Its
// dials and accepts wait, too.
func (f *Fabric) SetPaused(ctx context.Context, process string, paused bool) {
	f.change(ctx, func(f *Fabric) { f.paused[process] = paused })
}

// SetDelay adds a delay to each read and each write of the process; zero ends the
// fault.
func (f *Fabric) SetDelay(ctx context.Context, process string, delay time.Duration) {
	f.change(ctx, func(f *Fabric) { f.delays[process] = delay })
}

// Partition begins a partition. The name identifies it when it is ended.
func (f *Fabric) Partition(ctx context.Context, name string, c Partition) {
	f.change(ctx, func(f *Fabric) { f.partitions[name] = c })
}

// Heal ends the partition with the name.
func (f *Fabric) Heal(ctx context.Context, name string) {
	f.change(ctx, func(f *Fabric) { delete(f.partitions, name) })
}

// CloseSockets closes every socket of the process, as when it is killed.
func (f *Fabric) CloseSockets(ctx context.Context, process string) {
	f.change(ctx, func(f *Fabric) {
		f.closeSocketsOf(func(p Process) bool { return p.Name == process })
	})
}

// change edits the faults and returns when they apply to every socket.
func (f *Fabric) change(ctx context.Context, edit func(*Fabric)) {
	task.Ask(ctx, f.mailbox, func(reply chan<- struct{}) request { return &faultChange{edit: edit, reply: reply} })
}

func (f *Fabric) closeSocketsOf(match func(Process) bool) {
	for address, l := range f.listeners {
		if match(l.process) {
			_ = l.closeSocket()
			delete(f.listeners, address)
		}
	}
	for key, p := range f.pairs {
		for _, c := range []*conn{p.dialed, p.accepted} {
			if c != nil && match(c.process) {
				_ = c.closeSocket()
				f.removeConn(key, c)
			}
		}
	}
}

func (f *Fabric) removeConn(key string, c *conn) {
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

// applyFaults sets the gates of both ends of a connection by the current faults.
func (f *Fabric) applyFaults(p *pair) {
	f.applyFaultsToEnd(p.dialed, p.accepted)
	f.applyFaultsToEnd(p.accepted, p.dialed)
}

func (f *Fabric) applyFaultsToEnd(own, other *conn) {
	if own == nil {
		return
	}
	paused, delay := f.paused[own.process.Name], f.delays[own.process.Name]
	read := condition{hold: paused, delay: delay}
	if other != nil {
		read.hold = read.hold || f.isPartitioned(other.process, own.process)
		read.delay += f.delayBetween(own.process, other.process)
	}
	own.read.set(read)
	own.write.set(condition{hold: paused, delay: delay})
}

func (f *Fabric) delayBetween(a, b Process) time.Duration {
	if a.Domain == b.Domain || a.Domain == "" || b.Domain == "" {
		return 0
	}
	return f.domainDelay
}

// isPartitioned reports whether a partition holds back what the sender sends to the
// receiver.
func (f *Fabric) isPartitioned(sender, receiver Process) bool {
	if sender.Domain == "" || receiver.Domain == "" || sender.Instance == receiver.Instance {
		return false
	}
	for _, c := range f.partitions {
		if c.Outward && sender.isOn(c.From) && receiver.isOnFarSide(c) {
			return true
		}
		if c.Inward && receiver.isOn(c.From) && sender.isOnFarSide(c) {
			return true
		}
	}
	return false
}

// isOn reports whether the side is the process, its instance or its failure domain.
func (p Process) isOn(side string) bool {
	return side == p.Name || side == string(p.Instance) || side == string(p.Domain)
}

// isOnFarSide reports whether the process is on the side To of the partition.
func (p Process) isOnFarSide(c Partition) bool {
	if c.To == "" {
		return !p.isOn(c.From)
	}
	return p.isOn(c.To)
}

// pairKey returns the same key for both ends of a TCP connection.
func pairKey(dialer, acceptor net.Addr) string { return dialer.String() + "|" + acceptor.String() }
