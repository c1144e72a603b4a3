package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is one request of a client.
type call struct {
	entry    *entry
	route    string
	id       string
	body     []byte
	deadline time.Duration
	headers  map[string]string
}

// result is what the client got. Status is 0 if no answer came.
type result struct {
	status     int
	retryAfter time.Duration
	sealed     bool
	body       []byte
	// err is set if the answer is missing or incomplete.
	err error
}

// newClient returns a client whose channels are kept for further requests.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends the request and waits for the answer, up to its deadline.
func send(client *http.Client, c call) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.clients+"/"+c.route+"/2f", bytes.NewReader(c.body))
	if err != nil {
		return result{err: err}
	}
	// Without GetBody, net/http does not send a request again by itself.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(name("request-id"), c.id)
	r.Header.Set(name("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	r.Header.Set(name("key"), key)
	for name, value := range c.headers {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	out := result{status: response.StatusCode, sealed: response.Header.Get(name("seal")) != ""}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	out.body, out.err = io.ReadAll(response.Body)
	return out
}
