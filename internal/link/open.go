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

// Back-off of a dialler after a failed or closed link.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	// settled is how long a link must live to reset the back-off.
	settled     = 5 * time.Second
	dialTimeout = 3 * time.Second
)

// Accept returns the HTTP handler that accepts links. Each link runs until it
// ends or the context does.
func Accept(ctx context.Context, config Config) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		identity, err := identityOf(r.TLS)
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
	// TLS is nil for plain text.
	TLS *Certificates
	// Random spreads the pauses. It is owned by the dialler.
	Random *rand.Rand
}

// Run opens the link, runs it, and opens it again after a jittered pause until
// the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	pause := firstPause
	for {
		opened := time.Now()
		_ = d.once(ctx)
		if time.Since(opened) > settled {
			pause = firstPause
		}
		if !task.Sleep(ctx, pause/2+time.Duration(d.Random.Int64N(int64(pause)))) {
			return nil
		}
		pause = min(2*pause, maxPause)
	}
}

func (d *Dialer) once(ctx context.Context) error {
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
	identity, err := identityOf(response.TLS)
	if err != nil {
		_ = socket.CloseNow()
		return err
	}
	return run(ctx, d.Config, newLink(d.Address, identity), socket)
}

// client uses the certificate that holds now.
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

// Listener puts TLS on a listener for links. Nil certificates mean plain text.
func Listener(l net.Listener, c *Certificates) net.Listener {
	if c == nil {
		return l
	}
	return tls.NewListener(l, c.Server())
}
