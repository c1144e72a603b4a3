package soak_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/task"
)

// proxy passes connections on to a target over loopback and can delay, silence and
// reset them.
type proxy struct {
	listener net.Listener
	target   string
	group    *task.Group
	owner    chan func()
	// owner owns the fields below.
	delay   time.Duration
	silent  [2]bool
	changed chan struct{}
	open    map[*net.TCPConn]struct{}
}

// The directions of a proxy.
const (
	toServer = 0
	toClient = 1
)

func newProxy(t *testing.T, host, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	must.NoError(t, err)
	p := &proxy{
		listener: l, target: target, group: task.NewGroup(context.Background()), owner: make(chan func()),
		changed: make(chan struct{}), open: make(map[*net.TCPConn]struct{}),
	}
	p.group.Go("owner", p.run)
	p.group.Go("accept", p.accept)
	t.Cleanup(func() {
		p.set(0, false, false)
		p.reset()
		_ = l.Close()
		must.NoError(t, p.group.Stop(10*time.Second))
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run(context.Context) error {
	for {
		select {
		case f := <-p.owner:
			f()
		case <-p.group.Draining():
			return nil
		}
	}
}

// do runs the function in the owner and reports whether it did.
func (p *proxy) do(f func()) bool {
	done := make(chan struct{})
	select {
	case p.owner <- func() { f(); close(done) }:
		<-done
		return true
	case <-p.group.Draining():
		return false
	}
}

// set delays each piece, and holds back what goes in a silent direction.
func (p *proxy) set(delay time.Duration, silentToServer, silentToClient bool) {
	p.do(func() {
		p.delay, p.silent = delay, [2]bool{silentToServer, silentToClient}
		close(p.changed)
		p.changed = make(chan struct{})
	})
}

// reset ends all connections with a reset.
func (p *proxy) reset() {
	p.do(func() {
		for c := range p.open {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

func (p *proxy) accept(context.Context) error {
	for {
		c, err := p.listener.Accept()
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
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := far.(*net.TCPConn)
	p.do(func() { p.open[client], p.open[server] = struct{}{}, struct{}{} })
	ended := make(chan struct{}, 1)
	p.group.Go("to server", func(context.Context) error {
		p.pump(client, server, toServer)
		ended <- struct{}{}
		return nil
	})
	p.pump(server, client, toClient)
	<-ended
	p.do(func() {
		delete(p.open, client)
		delete(p.open, server)
	})
}

// pump copies one direction. It passes the end of the stream or the reset on.
func (p *proxy) pump(from, to *net.TCPConn, direction int) {
	buffer := make([]byte, 4<<10)
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	for {
		n, err := from.Read(buffer)
		if !p.hold(direction) {
			return
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
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

// hold waits while the direction is silent or delayed. It reports false when the
// proxy has ended.
func (p *proxy) hold(direction int) bool {
	for {
		var delay time.Duration
		var silent bool
		var changed chan struct{}
		if !p.do(func() { delay, silent, changed = p.delay, p.silent[direction], p.changed }) {
			return false
		}
		if !silent {
			return task.Sleep(p.group.Context(), delay)
		}
		select {
		case <-changed:
		case <-p.group.Draining():
			return false
		}
	}
}
