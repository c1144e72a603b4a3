// Package upstream calls backend servers over HTTP/1.1. An attempt owns its connection;
// the pool task owns the idle connections. A request is written at most once: this
// package never retries it.
package upstream

import (
	"net"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/answer"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

const (
	// defaultIdleTimeout is assumed for a server that does not announce how long it keeps
	// an idle connection.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server's idle timeout a connection is closed, so
	// that no request is in transit when the server closes it.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to a backend server.
type conn struct {
	socket    net.Conn
	answers   *answer.Reader
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
	c := &conn{socket: socket, answers: answer.NewReader(socket, nil)}
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
	return c.answers.Buffered() == 0 && !network.HasPendingInput(c.socket)
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
