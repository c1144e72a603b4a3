package httpclient_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/source"
)

// serve runs a server whose connections the function serves, one after the other. It returns
// its base URL.
func serve(t *testing.T, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			handle(c.(*net.TCPConn), bufio.NewReader(c))
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return "http://" + l.Addr().String()
}

// call sends a request and returns the status and the body of its answer.
func call(t *testing.T, client *http.Client, method, url string, body []byte) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	must.NoError(t, err)
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// answerOnce reads the head of a request, writes the text and closes the connection.
func answerOnce(text string) func(*net.TCPConn, *bufio.Reader) {
	return func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}
}

// Guards against answers of services, engines and stores that are no answers but are used.
func TestMalformedAnswersAreRefused(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\n", "\r\nok"
	for _, text := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n" + end,
		"HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n" + end,
		"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n" + end,
		begin + "Content-Length : 2\r\n" + end,
		begin + "Transfer-Encoding\t: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		begin + "Content Length: 2\r\n" + end,
		begin + "\nX: 1\r\nContent-Length: 2\r\n" + end,
		begin + "X\x01: 1\r\nContent-Length: 2\r\n" + end,
		begin + "X: 1\r\n folded\r\nContent-Length: 2\r\n" + end,
		"HTTP/1.1 100 Continue\r\nX : 1\r\n\r\n" + begin + "Content-Length: 2\r\n" + end,
		begin + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : 1\r\n\r\n",
	} {
		url := serve(t, answerOnce(text))
		status, body, err := call(t, source.NewClient(network.System{}), http.MethodGet, url, nil)
		must.Error(t, err, must.Sprintf("%q was taken for an answer: status %d, body %q", text, status, body))
	}
}

// Guards against a part of an answer without a length that counts as complete because the
// reset of its connection was seen by the writer of the request.
func TestAnswerCutOffDuringAnUploadIsRefused(t *testing.T) {
	upload := bytes.Repeat([]byte("b"), 16<<20)
	url := serve(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.ReadFull(r, make([]byte, 1000))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", 1500))
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range 10 {
		_, body, err := call(t, source.NewClient(network.System{}), http.MethodPost, url, upload)
		must.Error(t, err, must.Sprintf("%d bytes were taken for the whole answer", len(body)))
	}
}

// Guards against whole answers of unusual forms that are refused.
func TestSoundAnswersAreRead(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\ncontent-length:2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\nX: t\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n\r\nok",
	} {
		status, body, err := call(t, source.NewClient(network.System{}), http.MethodGet, serve(t, answerOnce(text)), nil)
		must.NoError(t, err, must.Sprintf("%q", text))
		must.Eq(t, 200, status)
		must.Eq(t, "ok", body)
	}
}

// Guards against a new connection for each call, and against a call that is lost because the
// server closed the idle connection.
func TestConnectionsAreUsedAgain(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/chunks" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprintf(w, "%s %d", r.Method, len(body))
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := source.NewClient(network.System{})
	t.Cleanup(client.CloseIdleConnections)
	for range 5 {
		_, body, err := call(t, client, http.MethodGet, server.URL, nil)
		must.NoError(t, err)
		must.Eq(t, "GET 0", body)
		_, body, err = call(t, client, http.MethodPost, server.URL+"/chunks", make([]byte, 100_000))
		must.NoError(t, err)
		must.Eq(t, "partPOST 100000", body)
		_, body, err = call(t, client, http.MethodHead, server.URL, nil)
		must.NoError(t, err)
		must.Eq(t, "", body)
	}
	must.Eq(t, 1, opened.Load())
	server.CloseClientConnections()
	_, body, err := call(t, client, http.MethodGet, server.URL, nil)
	must.NoError(t, err)
	must.Eq(t, "GET 0", body)
}

// Guards against a call with a body that is sent again: it may have run.
func TestCallsWithABodyAreSentOnce(t *testing.T) {
	var calls atomic.Int32
	url := serve(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if calls.Add(1) > 1 {
				break
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		_ = c.Close()
	})
	client := source.NewClient(network.System{})
	_, _, err := call(t, client, http.MethodPost, url, []byte("first"))
	must.NoError(t, err)
	_, _, err = call(t, client, http.MethodPost, url, []byte("second"))
	must.Error(t, err)
	must.True(t, network.ClosedByPeer(err))
	must.Eq(t, 2, calls.Load())
}

// Guards against a server that works on for a caller who has given up.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	url := serve(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			close(received)
			_, _ = r.ReadByte()
			close(closed)
		}
		_ = c.Close()
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	must.NoError(t, err)
	go func() {
		<-received
		cancel()
	}()
	_, err = source.NewClient(network.System{}).Do(r)
	must.ErrorIs(t, err, context.Canceled)
	<-closed
}
