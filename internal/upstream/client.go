package upstream

import (
	"context"
	"net"
	"net/http"
	"time"
)

// NewHTTPClient returns an HTTP client for reads that may be retried, such as those
// of the platform's store and of a model engine's state.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}}
}
