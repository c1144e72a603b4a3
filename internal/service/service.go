// Package service is an HTTP client of a plain service.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// MaxAnswerBytes is the size in bytes of the largest body of an answer that is forwarded.
const MaxAnswerBytes = 3 << 20

// ErrTooLarge means that the service ran the call but its answer is larger than
// MaxAnswerBytes.
var ErrTooLarge = errors.Errorf("service answer exceeds the limit of %d bytes", MaxAnswerBytes)

// Service is a client of one plain service. It is immutable.
type Service struct {
	url    string
	client *http.Client
}

// New returns a client of the service at the base URL.
func New(url string, client *http.Client) *Service {
	return &Service{url: url, client: client}
}

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the request path with its query, starting with a slash.
	Path   string
	Header [][2]string
	Body   []byte
}

// Answer is a complete answer to a call.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// singleUseBody is a request body that net/http cannot read a second time. With a body
// that can be rewound, or with none, the transport retries a call that carries an
// Idempotency-Key after a connection breaks, and the service could run it twice.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// Do makes the call. After an error the service may have run it.
func (s *Service) Do(ctx context.Context, call Call) (Answer, error) {
	path, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return Answer{}, errors.Wrap(err, "parse path of service call")
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, s.url+path.RequestURI(), singleUseBody{bytes.NewReader(call.Body)})
	if err != nil {
		return Answer{}, errors.Wrap(err, "create service request")
	}
	request.ContentLength = int64(len(call.Body))
	for _, h := range call.Header {
		request.Header.Add(h[0], h[1])
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{}, errors.Wrap(err, "send service request")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "read service answer with status %d", response.StatusCode)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{Status: response.StatusCode, Header: EndToEndHeader(response.Header), Body: body}, nil
}

// EndToEndHeader returns the end-to-end header fields, in the form that messages carry.
func EndToEndHeader(h http.Header) [][2]string {
	var out [][2]string
	for name, values := range h {
		if !endToEnd(name) {
			continue
		}
		for _, v := range values {
			out = append(out, [2]string{name, v})
		}
	}
	return out
}

// endToEnd reports whether a header field is forwarded. Hop-by-hop fields, credentials
// and fields that anvilpoint sets itself are not.
func endToEnd(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect", "Host":
		return false
	}
	return !strings.HasPrefix(http.CanonicalHeaderKey(name), "Anvilpoint-")
}
