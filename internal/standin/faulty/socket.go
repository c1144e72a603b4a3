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

// condition is the effect of the faults on one direction of a socket: hold stops the
// data, delay applies to each read or write.
type condition struct {
	hold  bool
	delay time.Duration
}

// gate applies the latest condition to one direction of a socket. The fabric's task
// calls set; the one goroutine that uses this direction calls wait.
type gate struct {
	updates *task.Mailbox[condition]
	current condition
}

func newGate() *gate { return &gate{updates: task.NewMailbox[condition](1, task.DropOldest)} }

func (g *gate) set(c condition) { g.updates.Send(context.Background(), c) }

// wait waits while the condition holds the data back, then for the delay. It returns
// net.ErrClosed if the socket is closed meanwhile.
func (g *gate) wait(ctx context.Context) error {
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

// endpoint is the network as one process sees it.
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
		return &registerListener{listener: l, address: inner.Addr().String(), reply: reply}
	})
	if !ok {
		_ = l.closeSocket()
		return nil, net.ErrClosed
	}
	return l, nil
}

// Dial implements network.Network. It waits while a fault prevents the connection, as
// a TCP handshake does whose packets are lost.
func (e *endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	if err := e.awaitPermission(ctx, address); err != nil {
		return nil, err
	}
	inner, err := network.System{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return e.register(ctx, inner, pairKey(inner.LocalAddr(), inner.RemoteAddr()), false)
}

func (e *endpoint) awaitPermission(ctx context.Context, address string) error {
	reply := make(chan struct{}, 1)
	dial := &dialRequest{process: e.process, address: address, reply: reply}
	if !e.fabric.mailbox.Send(ctx, dial).Accepted() {
		return net.ErrClosed
	}
	select {
	case <-reply:
		return nil
	case <-ctx.Done():
		e.fabric.mailbox.Send(context.Background(), &cancelDial{dial: dial})
		return ctx.Err()
	case <-e.fabric.mailbox.Closed():
		return net.ErrClosed
	}
}

func (e *endpoint) register(ctx context.Context, inner net.Conn, key string, accepted bool) (net.Conn, error) {
	c := &conn{Conn: inner, fabric: e.fabric, process: e.process, key: key, read: newGate(), write: newGate()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	_, ok := task.Ask(ctx, e.fabric.mailbox, func(reply chan<- struct{}) request {
		return &registerConn{conn: c, key: key, accepted: accepted, reply: reply}
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
	if err := l.gate.wait(l.ctx); err != nil {
		_ = inner.Close()
		return nil, err
	}
	return l.endpoint.register(l.ctx, inner, pairKey(inner.RemoteAddr(), inner.LocalAddr()), true)
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.closeSocket()
	l.endpoint.fabric.mailbox.Send(context.Background(), &unregisterListener{listener: l, address: l.Addr().String()})
	return err
}

func (l *listener) closeSocket() error {
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
		// An expired deadline comes from the reader, not from the network, and so is
		// not held back.
		return n, err
	}
	if gateErr := c.read.wait(c.ctx); gateErr != nil {
		return 0, gateErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.write.wait(c.ctx); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.closeSocket()
	c.fabric.mailbox.Send(context.Background(), &unregisterConn{conn: c, key: c.key})
	return err
}

func (c *conn) closeSocket() error {
	c.cancel()
	return c.Conn.Close()
}
