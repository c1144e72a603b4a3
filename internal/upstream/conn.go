// Package upstream calls backend servers over HTTP/1.1. An attempt owns its connection;
// the pool task owns the idle connections. A request is written at most once: this
// package never retries it.
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
	// defaultIdleTimeout is assumed for a server that does not announce how long it keeps
	// an idle connection.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is closed, so
	// that no request is in transit when the server closes it.
	idleMargin = 700 * time.Millisecond
	// readBuffer is the size of a read buffer in bytes, enough for a few events of a stream.
	readBuffer = 4 << 10
)

// conn is one connection to a backend server.
type conn struct {
	socket net.Conn
	// source reads from the socket, reader from source.
	source    *boundedReader
	reader    *bufio.Reader
	lifecycle *chart.Lifecycle[*conn]
	// serverIdleTimeout is the idle timeout that the server announced, zero for none.
	serverIdleTimeout time.Duration
	// idleSince is when the last answer ended.
	idleSince time.Time
	reused    bool
}

var connectionMachine = chart.MustBind(charts.Must("connection"), chart.Binding[*conn]{
	Delays: map[string]func(*conn) time.Duration{"idleTimeout": (*conn).idleTimeout},
})

func newConn(now time.Time, socket net.Conn) *conn {
	source := &boundedReader{source: socket}
	c := &conn{socket: socket, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
	c.lifecycle = connectionMachine.New(now, c)
	return c
}

func (c *conn) idleTimeout() time.Duration {
	if c.serverIdleTimeout <= 0 {
		return defaultIdleTimeout - idleMargin
	}
	return max(c.serverIdleTimeout-idleMargin, time.Millisecond)
}

// noPendingInput reports whether an idle connection has neither unread bytes, which
// belong to no request, nor been closed by the server.
func (c *conn) noPendingInput() bool {
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
	none := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		none = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && none
}

func (c *conn) close(now time.Time) {
	c.lifecycle.Fire(now, "closing")
	// The connection is not used any more, so an error from Close does not matter.
	_ = c.socket.Close()
}

// abort resets the connection of an abandoned request. The reset discards bytes that
// have not been sent yet: after a plain close the rest of the request would still reach
// the server, however late.
func (c *conn) abort() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		// If the option cannot be set, a plain close is all that is left.
		_ = tcp.SetLinger(0)
	}
	// The connection is not used any more, so an error from Close does not matter.
	_ = c.socket.Close()
}
