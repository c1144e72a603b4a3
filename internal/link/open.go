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
		socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return
		}
		_ = run(ctx, config, newLink(r.RemoteAddr), socket)
	})
}

// Dialer keeps one link to an address open.
type Dialer struct {
	Config  Config
	Address string
	Network network.Network
	// TLS is nil for plain text.
	TLS *tls.Config
	// Random spreads the pauses. It is owned by the dialler.
	Random *rand.Rand
}

// Run opens the link, runs it, and opens it again after a jittered pause until
// the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	client := d.client()
	defer client.CloseIdleConnections()
	pause := firstPause
	for {
		opened := time.Now()
		_ = d.once(ctx, client)
		if time.Since(opened) > settled {
			pause = firstPause
		}
		if !sleep(ctx, pause/2+time.Duration(d.Random.Int64N(int64(pause)))) {
			return nil
		}
		pause = min(2*pause, maxPause)
	}
}

func (d *Dialer) once(ctx context.Context, client *http.Client) error {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	scheme := "ws://"
	if d.TLS != nil {
		scheme = "wss://"
	}
	socket, _, err := websocket.Dial(limited, scheme+d.Address+Path, &websocket.DialOptions{
		HTTPClient: client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return err
	}
	return run(ctx, d.Config, newLink(d.Address), socket)
}

func (d *Dialer) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.Network.Dial(ctx, address)
		},
		TLSClientConfig: d.TLS,
	}}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Listener puts TLS on a listener for links. A nil configuration is plain text.
func Listener(l net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	return tls.NewListener(l, config)
}
