package upstream

import (
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/httpclient"
)

// NewHTTPClient returns an HTTP client for reads that may be retried, such as those
// of the platform's store and of a model engine's state.
func NewHTTPClient() *http.Client {
	return httpclient.New(httpclient.Config{Dial: Dial, MaxIdle: 4, IdleTimeout: 30 * time.Second})
}

// NewSingleCallClient returns an HTTP client that sends each call on a connection of its own,
// and therefore never repeats one by itself.
func NewSingleCallClient() *http.Client { return httpclient.New(httpclient.Config{Dial: Dial}) }
