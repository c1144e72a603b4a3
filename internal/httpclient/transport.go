// Package httpclient is an HTTP/1.1 client for services, model engines and stores. It reads
// answers through package answer, so that they are checked as those of backend servers that
// are called without it.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/answer"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

// Config configures a client.
type Config struct {
	// Dial opens a connection to a host and port.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle is the maximum number of idle connections. With zero, each call has a
	// connection of its own.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
}

// New returns a client. It repeats a call by itself only if the call has no body, its method
// is safe, and an idle connection turned out to be closed.
func New(c Config) *http.Client {
	return &http.Client{Transport: &transport{config: c, idle: make(chan *connection, c.MaxIdle)}}
}

// transport implements http.RoundTripper.
type transport struct {
	config Config
	// idle holds the idle connections. Those whose timer has fired are closed.
	idle chan *connection
}

// connection is one connection to a server.
type connection struct {
	net.Conn
	address string
	answers *answer.Reader
	// expiry closes the connection while it is idle.
	expiry *time.Timer
	reused bool
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for {
		c, err := t.connect(r)
		if err != nil {
			closeBody(r)
			return nil, err
		}
		response, err := t.exchange(c, r)
		if err == nil || !mayRepeat(c, r, err) {
			return response, err
		}
	}
}

// mayRepeat reports whether the call failed only because its connection was idle for too
// long.
func mayRepeat(c *connection, r *http.Request, err error) bool {
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	return c.reused && safe && r.Body == nil && r.Context().Err() == nil && network.ClosedByPeer(err)
}

func closeBody(r *http.Request) {
	if r.Body != nil {
		// Nothing was read of the body, so an error from Close does not matter.
		_ = r.Body.Close()
	}
}

// connect returns an idle connection or opens one.
func (t *transport) connect(r *http.Request) (*connection, error) {
	address := addressOf(r)
	if c := t.takeIdle(address); c != nil {
		return c, nil
	}
	socket, err := t.config.Dial(r.Context(), address)
	if err != nil {
		return nil, err
	}
	if r.URL.Scheme == "https" {
		secure := tls.Client(socket, &tls.Config{ServerName: r.URL.Hostname()})
		if err := secure.HandshakeContext(r.Context()); err != nil {
			_ = socket.Close()
			return nil, errors.Wrapf(err, "open a TLS connection to %s", address)
		}
		socket = secure
	}
	return &connection{Conn: socket, address: address, answers: answer.NewReader(socket, nil)}, nil
}

// addressOf returns the host and port of a request.
func addressOf(r *http.Request) string {
	port := r.URL.Port()
	switch {
	case port != "":
	case r.URL.Scheme == "https":
		port = "443"
	default:
		port = "80"
	}
	return net.JoinHostPort(r.URL.Hostname(), port)
}

// takeIdle returns an idle connection to the address that is still usable, or nil.
func (t *transport) takeIdle(address string) *connection {
	for range len(t.idle) {
		select {
		case c := <-t.idle:
			switch {
			case !c.expiry.Stop():
			case c.address != address:
				t.keep(c)
			case c.answers.Buffered() > 0 || network.HasPendingInput(c.Conn):
				c.discard()
			default:
				c.reused = true
				return c
			}
		default:
			return nil
		}
	}
	return nil
}

// keep keeps a connection for another call. If there are too many, the oldest is closed.
func (t *transport) keep(c *connection) {
	if t.config.MaxIdle == 0 {
		c.discard()
		return
	}
	c.expiry = time.AfterFunc(t.config.IdleTimeout, c.discard)
	for {
		select {
		case t.idle <- c:
			return
		default:
		}
		select {
		case oldest := <-t.idle:
			oldest.expiry.Stop()
			oldest.discard()
		default:
		}
	}
}

// CloseIdleConnections closes the idle connections.
func (t *transport) CloseIdleConnections() {
	for {
		select {
		case c := <-t.idle:
			c.expiry.Stop()
			c.discard()
		default:
			return
		}
	}
}

// discard closes a connection that is not used any more.
func (c *connection) discard() {
	// Nothing is expected of the connection, so an error from Close does not matter.
	_ = c.Close()
}
