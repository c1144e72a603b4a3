// Package service talks to a plain service over HTTP.
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

// MaxAnswerBytes is the largest answer of a plain service that is passed on.
const MaxAnswerBytes = 3 << 20

// ErrTooLarge means that the service ran the call but its answer is larger than
// MaxAnswerBytes.
var ErrTooLarge = errors.New("the answer of the service is too large")

// Service is one plain service. It is immutable.
type Service struct {
	url    string
	client *http.Client
}

// New returns the service at the base URL.
func New(url string, client *http.Client) *Service { return &Service{url: url, client: client} }

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path is the request path with its query, starting with a slash.
	Path   string
	Header [][2]string
	Body   []byte
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// onceBody is a request body that net/http cannot read a second time. With a
// body that it can rewind, or with none, the transport repeats a call that
// carries an Idempotency-Key after a connection breaks, and the service could
// run it twice.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// Do runs the call. After an error the service may have run it.
func (s *Service) Do(ctx context.Context, call Call) (Answer, error) {
	path, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return Answer{}, errors.Wrap(err, "service request")
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, s.url+path.RequestURI(), onceBody{bytes.NewReader(call.Body)})
	if err != nil {
		return Answer{}, errors.Wrap(err, "service request")
	}
	request.ContentLength = int64(len(call.Body))
	for _, h := range call.Header {
		request.Header.Add(h[0], h[1])
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{}, errors.Wrap(err, "service request")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "service answer")
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{Status: response.StatusCode, Header: PassedOn(response.Header), Body: body}, nil
}

// PassedOn returns the header fields that concern the content and not the
// connection, in the form that messages carry.
func PassedOn(h http.Header) [][2]string {
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

// endToEnd reports whether a header field may pass through. Fields of the
// connection, credentials and fields that anvilpoint sets itself may not.
func endToEnd(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization", "Expect", "Host":
		return false
	}
	return !strings.HasPrefix(http.CanonicalHeaderKey(name), "Anvilpoint-")
}
