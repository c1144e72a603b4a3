package link

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

// Path is the HTTP path on which links are accepted.
const Path = "/v1/link"

const (
	// minBackoff is the mean pause before the first retry after a failed or closed link.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the greatest mean pause between two retries.
	maxBackoff = 2 * time.Second
	// backoffResetTime is how long a link must last to reset the back-off.
	backoffResetTime = 5 * time.Second
	// dialTimeout bounds one dial, including the TLS and WebSocket handshakes.
	dialTimeout = 3 * time.Second
)

// Accept returns the HTTP handler that accepts links. All links end with the context.
func Accept(ctx context.Context, config Config) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := peerIdentity(r.TLS)
		if err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		_ = run(ctx, config, newLink(r.RemoteAddr, identity), socket)
	})
}

// Dialer keeps one link to an address open.
type Dialer struct {
	Config  Config
	Address string
	Network network.Network
	// TLS is nil for links without TLS.
	TLS *Certificates
	// Random is the source of the jitter of pauses. No one else may use it.
	Random *rand.Rand
}

// Run opens the link, runs it, and reopens it after a pause with jitter and exponential
// back-off until the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	pause := minBackoff
	for {
		opened := time.Now()
		_ = d.dialOnce(ctx)
		if time.Since(opened) > backoffResetTime {
			pause = minBackoff
		}
		if !task.Sleep(ctx, pause/2+time.Duration(d.Random.Int64N(int64(pause)))) {
			return nil
		}
		pause = min(2*pause, maxBackoff)
	}
}

// dialOnce opens the link and runs it until it ends.
func (d *Dialer) dialOnce(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := d.client(limited)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	scheme := "ws://"
	if d.TLS != nil {
		scheme = "wss://"
	}
	socket, response, err := websocket.Dial(limited, scheme+d.Address+Path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return err
	}
	identity, err := peerIdentity(response.TLS)
	if err != nil {
		_ = socket.CloseNow()
		return err
	}
	return run(ctx, d.Config, newLink(d.Address, identity), socket)
}

// client returns an HTTP client with the current certificate.
func (d *Dialer) client(ctx context.Context) (*http.Client, error) {
	config, err := d.TLS.Client(ctx)
	if err != nil {
		return nil, err
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.Network.Dial(ctx, address)
		},
		TLSClientConfig: config,
	}}, nil
}

// Listener adds TLS to a listener for links, unless the certificates are nil.
func Listener(l net.Listener, c *Certificates) net.Listener {
	if c == nil {
		return l
	}
	return tls.NewListener(l, c.Server())
}
