package soak_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/task"
)

// proxy forwards TCP connections to a target over loopback. It can delay the data, hold
// it back in either direction, and reset the connections.
type proxy struct {
	// listenAddress is the host and port of the proxy.
	listenAddress string
	target        string
	group         *task.Group
	// calls are the functions that the task of run calls. That task owns the fields
	// below.
	calls chan func()
	delay time.Duration
	// blocked says for each direction whether data is held back.
	blocked [2]bool
	// changed is closed and replaced when delay or blocked changes.
	changed chan struct{}
	open    map[*net.TCPConn]struct{}
	// listener accepts connections unless the proxy has crashed. Failed is set if it could
	// not listen again.
	listener net.Listener
	crashed  bool
	failed   error
}

// The directions of a proxy are indices of its blocked field.
const (
	toServer = 0
	toClient = 1
)

func newProxy(t *testing.T, host, target string) *proxy {
	t.Helper()
	return newProxyAt(t, net.JoinHostPort(host, "0"), target)
}

func newProxyAt(t *testing.T, address, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	p := &proxy{
		listener: l, listenAddress: l.Addr().String(), target: target, group: task.NewGroup(context.Background()), calls: make(chan func()),
		changed: make(chan struct{}), open: make(map[*net.TCPConn]struct{}),
	}
	p.group.Go("owner", p.run)
	p.group.Go("accept", func(context.Context) error { return p.accept(l) })
	t.Cleanup(func() {
		p.set(0, false, false)
		p.reset()
		p.do(func() {
			if p.failed != nil {
				t.Errorf("the proxy could not listen again: %v", p.failed)
			}
			_ = p.listener.Close()
		})
		must.NoError(t, p.group.Stop(10*time.Second))
	})
	return p
}

func (p *proxy) address() string { return p.listenAddress }

// crash closes all connections and refuses new ones for the given time, as a server that
// crashes and starts again.
func (p *proxy) crash(downTime time.Duration) {
	p.do(func() {
		if p.crashed {
			return
		}
		p.crashed = true
		_ = p.listener.Close()
		for c := range p.open {
			_ = c.Close()
		}
		p.group.Go("restart", func(ctx context.Context) error {
			task.Sleep(ctx, downTime)
			p.do(p.listenAgain)
			return nil
		})
	})
}

// listenAgain ends a crash. The port is outside the range of outgoing connections, so that
// it is still free.
func (p *proxy) listenAgain() {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		p.failed = err
		return
	}
	p.listener, p.crashed = l, false
	p.group.Go("accept", func(context.Context) error { return p.accept(l) })
}

func (p *proxy) run(context.Context) error {
	for {
		select {
		case f := <-p.calls:
			f()
		case <-p.group.Draining():
			return nil
		}
	}
}

// do calls the function in the proxy's task. It reports false, without a call, when the
// proxy is stopping.
func (p *proxy) do(f func()) bool {
	done := make(chan struct{})
	select {
	case p.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-p.group.Draining():
		return false
	}
}

// set sets the delay of each piece of data and the directions in which data is held
// back.
func (p *proxy) set(delay time.Duration, blockToServer, blockToClient bool) {
	p.do(func() {
		p.delay, p.blocked = delay, [2]bool{blockToServer, blockToClient}
		close(p.changed)
		p.changed = make(chan struct{})
	})
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.do(func() {
		for c := range p.open {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

func (p *proxy) accept(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return nil
		}
		p.group.Go("connection", func(context.Context) error {
			p.connect(c.(*net.TCPConn))
			return nil
		})
	}
}

func (p *proxy) connect(client *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	p.do(func() { p.open[client], p.open[server] = struct{}{}, struct{}{} })
	ended := make(chan struct{}, 1)
	p.group.Go("to server", func(context.Context) error {
		p.forward(client, server, toServer)
		ended <- struct{}{}
		return nil
	})
	p.forward(server, client, toClient)
	<-ended
	p.do(func() {
		delete(p.open, client)
		delete(p.open, server)
	})
}

// forward copies the data of one direction. It closes or resets the target connection
// as the source connection was.
func (p *proxy) forward(from, to *net.TCPConn, direction int) {
	buffer := make([]byte, 4<<10)
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	for {
		n, err := from.Read(buffer)
		if !p.await(direction) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err.Error() != "EOF" {
				_ = to.SetLinger(0)
			}
			return
		}
	}
}

// await waits while the direction is blocked, then for the delay. It reports false when
// the proxy is stopping.
func (p *proxy) await(direction int) bool {
	for {
		var delay time.Duration
		var blocked bool
		var changed chan struct{}
		if !p.do(func() { delay, blocked, changed = p.delay, p.blocked[direction], p.changed }) {
			return false
		}
		if !blocked {
			return task.Sleep(p.group.Context(), delay)
		}
		select {
		case <-changed:
		case <-p.group.Draining():
			return false
		}
	}
}
