package faulty

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

// condition is what the faults do to one direction of a socket.
type condition struct {
	hold  bool
	delay time.Duration
}

// gate holds data back by the latest condition. The fabric sets it; the one
// goroutine that uses this direction of the socket passes it.
type gate struct {
	updates *task.Mailbox[condition]
	current condition
}

func newGate() *gate { return &gate{updates: task.NewMailbox[condition](1, task.DropOldest)} }

func (g *gate) set(c condition) { g.updates.Send(context.Background(), c) }

// pass waits while the gate holds, then for the delay. It reports net.ErrClosed
// if the socket is closed meanwhile.
func (g *gate) pass(ctx context.Context) error {
	select {
	case g.current = <-g.updates.Receive():
	default:
	}
	for g.current.hold {
		select {
		case g.current = <-g.updates.Receive():
		case <-ctx.Done():
			return net.ErrClosed
		}
	}
	if g.current.delay <= 0 {
		return nil
	}
	timer := time.NewTimer(g.current.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return net.ErrClosed
	}
}

// endpoint is the network of one process.
type endpoint struct {
	fabric  *Fabric
	process Process
}

var _ network.Network = (*endpoint)(nil)

// Listen implements network.Network.
func (e *endpoint) Listen(ctx context.Context, address string) (net.Listener, error) {
	inner, err := network.System{}.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	l := &listener{Listener: inner, endpoint: e, process: e.process, gate: newGate()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	_, ok := task.Ask(ctx, e.fabric.mailbox, func(reply chan<- struct{}) request {
		return &listening{listener: l, address: inner.Addr().String(), reply: reply}
	})
	if !ok {
		_ = l.shut()
		return nil, net.ErrClosed
	}
	return l, nil
}

// Dial implements network.Network. It waits while a fault prevents the
// connection, as lost packets would make it.
func (e *endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := e.awaitPassage(ctx, address); err != nil {
		return nil, err
	}
	inner, err := network.System{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return e.register(ctx, inner, pairKey(inner.LocalAddr(), inner.RemoteAddr()), false)
}

func (e *endpoint) awaitPassage(ctx context.Context, address string) error {
	reply := make(chan struct{}, 1)
	a := &attempt{process: e.process, address: address, reply: reply}
	if !e.fabric.mailbox.Send(ctx, a).Accepted() {
		return net.ErrClosed
	}
	select {
	case <-reply:
		return nil
	case <-ctx.Done():
		e.fabric.mailbox.Send(context.Background(), &giveUp{attempt: a})
		return ctx.Err()
	case <-e.fabric.mailbox.Closed():
		return net.ErrClosed
	}
}

func (e *endpoint) register(ctx context.Context, inner net.Conn, key string, accepted bool) (net.Conn, error) {
	c := &conn{Conn: inner, fabric: e.fabric, process: e.process, key: key, read: newGate(), write: newGate()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	_, ok := task.Ask(ctx, e.fabric.mailbox, func(reply chan<- struct{}) request {
		return &opened{conn: c, key: key, accepted: accepted, reply: reply}
	})
	if !ok {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// listener accepts connections for one process.
type listener struct {
	net.Listener
	endpoint *endpoint
	process  Process
	gate     *gate
	ctx      context.Context
	cancel   context.CancelFunc
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := l.gate.pass(l.ctx); err != nil {
		_ = inner.Close()
		return nil, err
	}
	return l.endpoint.register(l.ctx, inner, pairKey(inner.RemoteAddr(), inner.LocalAddr()), true)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.shut()
	l.endpoint.fabric.mailbox.Send(context.Background(), &stopped{listener: l, address: l.Addr().String()})
	return err
}

func (l *listener) shut() error {
	l.cancel()
	return l.Listener.Close()
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	fabric  *Fabric
	process Process
	key     string
	read    *gate
	write   *gate
	ctx     context.Context
	cancel  context.CancelFunc
}

// Read implements net.Conn. Data that arrives during a fault is kept until the
// fault ends.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A deadline is the reader's own and is no data.
		return n, err
	}
	if held := c.read.pass(c.ctx); held != nil {
		return 0, held
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if held := c.write.pass(c.ctx); held != nil {
		return 0, held
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.shut()
	c.fabric.mailbox.Send(context.Background(), &ended{conn: c, key: c.key})
	return err
}

func (c *conn) shut() error {
	c.cancel()
	return c.Conn.Close()
}
