package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/answer"
)

// NewHTTPClient returns an HTTP client for reads that may be retried, such as those
// of the platform's store and of a model engine's state.
func NewHTTPClient() *http.Client { return &http.Client{Transport: newTransport()} }

// NewSingleCallClient returns an HTTP client that sends each call on a connection of its own,
// and therefore never repeats one by itself.
func NewSingleCallClient() *http.Client {
	t := newTransport()
	t.DisableKeepAlives = true
	return &http.Client{Transport: t}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: answer.MaxHeadBytes,
		DisableCompression:     true,
	}
}
