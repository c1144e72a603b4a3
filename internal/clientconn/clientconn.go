// Package clientconn accepts the connections of clients that speak HTTP/1.1, and bounds what
// they can make a process hold: connections, and memory for heads, bodies and answers. The
// decisions are in package clientload; the limiter task carries them out.
//
// A Conn lies between a client's socket and the HTTP server. It collects the head of each
// request and lets the server parse it once the memory is granted, since a parsed head takes
// many times its size.
package clientconn

import (
	"context"
	"net"
	"net/http"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

// maxServerHeadBytes is the limit of the HTTP server for a head. It is above the limits of
// the limiter, which decide.
const maxServerHeadBytes = 1 << 20

// Listener accepts connections of clients.
type Listener struct {
	net.Listener
	Limiter  *Limiter
	Timeouts Timeouts
	last     clientload.ConnectionID
}

// Accept implements net.Listener. The HTTP server calls it from one goroutine.
func (l *Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.last++
	c := &Conn{Conn: socket, id: l.last, limiter: l.Limiter, timeouts: l.Timeouts}
	l.Limiter.open(c.id, socket)
	return c, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Prepare makes a server serve connections of a Listener.
func Prepare(s *http.Server) {
	s.MaxHeaderBytes = maxServerHeadBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*Conn); ok && state == http.StateIdle {
			own.nextRequest()
		}
	}
}

// connOf returns the connection of a request, or nil if no Listener accepted it.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
