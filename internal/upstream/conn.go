// Package upstream calls backend servers over HTTP/1.1. One attempt owns its
// connection; idle connections are owned by the pool task. A request is written
// at most once: nothing in this package repeats it.
package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
)

const (
	// defaultIdleLimit holds for a server that does not say how long it keeps an
	// idle connection.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is taken off the stated limit for the way to the server, so that a
	// request does not cross the server's close.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds a few events of a stream.
	readBuffer = 4 << 10
)

// conn is one connection to a backend server.
type conn struct {
	socket net.Conn
	reader *bufio.Reader
	life   *chart.Instance[*conn]
	limit  time.Duration
	// idleSince is when the last answer ended.
	idleSince time.Time
	reused    bool
}

var connectionMachine = chart.MustBind(charts.Must("connection"), chart.Binding[*conn]{
	Delays: map[string]func(*conn) time.Duration{"idleLimit": (*conn).idleLimit},
})

func newConn(now time.Time, socket net.Conn) *conn {
	c := &conn{socket: socket, reader: bufio.NewReaderSize(socket, readBuffer)}
	c.life = connectionMachine.New(now, c)
	return c
}

func (c *conn) idleLimit() time.Duration {
	if c.limit <= 0 {
		return defaultIdleLimit - idleMargin
	}
	return max(c.limit-idleMargin, time.Millisecond)
}

// quiet reports whether nothing has arrived on an idle connection. Bytes or an
// end of the stream make it unusable: they belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *conn) close(now time.Time) {
	c.life.Fire(now, "broken")
	// The connection is given up, so that an error of closing it changes nothing.
	_ = c.socket.Close()
}

// abort closes the connection of a request that has been given up. The reset drops
// what has not left yet: after a plain close the rest of the request would still
// reach the server, however late.
func (c *conn) abort() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// Without the option the close is a plain one; there is nothing better to do.
		_ = tcp.SetLinger(0)
	}
	// The connection is given up, so that an error of closing it changes nothing.
	_ = c.socket.Close()
}
