package clientconn_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/clientconn"
	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	headLimit = 32 << 10
	bodyLimit = 1 << 20
)

// startServer serves the handler until the end of the test. If limited, its clients come
// through a Listener.
func startServer(t *testing.T, limited bool, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	group := task.NewGroup(context.Background())
	address := listener.Addr().String()
	if limited {
		limiter := clientconn.NewLimiter(clientload.Config{Connections: 20, Memory: 8 << 20, HeadBytes: headLimit, BodyBytes: bodyLimit}, clientconn.NewMetrics(prometheus.NewRegistry()))
		group.Go("limiter", limiter.Run)
		clientconn.Prepare(server)
		listener = &clientconn.Listener{
			Listener: listener, Limiter: limiter, Timeouts: clientconn.Timeouts{Head: time.Minute, Body: time.Minute, Write: time.Minute},
		}
	}
	group.Go("server", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		must.NoError(t, group.Stop(0))
	})
	return address
}

// echo answers with what the server understood of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := clientconn.ReadBody(w, r, bodyLimit, 1)
	if err != nil {
		clientconn.PrepareRefusal(w)
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		clientconn.DiscardBody(w, r)
		return
	}
	sum := sha256.Sum256(body)
	w.Header().Set("Date", "")
	_, _ = fmt.Fprintf(w, "%s %s %d %s %s", r.Method, r.RequestURI, len(body), hex.EncodeToString(sum[:4]), r.Header.Get("X-Field"))
}

// drawRequest returns a request with a random head and framing.
func drawRequest(r *rapid.T, last bool) string {
	method := rapid.SampledFrom([]string{"GET", "POST", "HEAD", "PUT"}).Draw(r, "method")
	var b strings.Builder
	framing := rapid.IntRange(0, 2).Draw(r, "framing")
	version := "HTTP/1.1"
	// A server answers one request of HTTP/1.0 on a connection, which has no chunks.
	if last && framing < 2 && rapid.Bool().Draw(r, "old version") {
		version = "HTTP/1.0"
	}
	fmt.Fprintf(&b, "%s /%d %s\r\nHost: h\r\n", method, rapid.IntRange(0, 99).Draw(r, "path"), version)
	for n := range rapid.IntRange(0, 60).Draw(r, "fields") {
		fmt.Fprintf(&b, "X-%d:%s\r\n", n, strings.Repeat("v", rapid.IntRange(0, 300).Draw(r, "value")))
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 10, 4095, 4096, 5000, 70_000, 300_000}).Draw(r, "size"))
	lengthField := rapid.SampledFrom([]string{"Content-Length", "content-length", "CONTENT-LENGTH"}).Draw(r, "field")
	switch framing {
	case 0:
		b.WriteString("\r\n")
	case 1:
		fmt.Fprintf(&b, "%s: %d\r\n\r\n%s", lengthField, len(body), body)
	default:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), rapid.SampledFrom([]int{1, 15, 16, 1000, 40_000}).Draw(r, "chunk"))
			if len(body)/n > 200 {
				n = len(body)
			}
			extension := rapid.SampledFrom([]string{"", ";a=b", ";x"}).Draw(r, "extension")
			fmt.Fprintf(&b, "%x%s\r\n%s\r\n", n, extension, body[:n])
			body = body[n:]
		}
		b.WriteString(rapid.SampledFrom([]string{"0\r\n\r\n", "0\r\nX-Trailer: t\r\n\r\n", "000;e\r\nA: 1\r\nB: 2\r\n\r\n"}).Draw(r, "end"))
	}
	return b.String()
}

// transcript sends the text in pieces and returns all that the server answers.
func transcript(address, text string, piece int) (string, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = connection.Close() }()
	go func() {
		for at := 0; at < len(text); at += piece {
			if _, err := io.WriteString(connection, text[at:min(at+piece, len(text))]); err != nil {
				return
			}
		}
	}()
	if err := connection.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(connection)
	return string(answer), err
}

// Guards against requests that the server understands differently, or loses, because a
// Listener finds other ends of heads and bodies than the server does.
func TestRequestsAreUnderstoodAsWithoutListener(t *testing.T) {
	plain := startServer(t, false, http.HandlerFunc(echo))
	limited := startServer(t, true, http.HandlerFunc(echo))
	rapid.Check(t, func(r *rapid.T) {
		var text strings.Builder
		count := rapid.IntRange(1, 5).Draw(r, "requests")
		for n := range count {
			text.WriteString(drawRequest(r, n == count-1))
		}
		piece := rapid.SampledFrom([]int{1 << 20, 60_000, 4096, 997}).Draw(r, "piece")
		want, err := transcript(plain, text.String(), 1<<20)
		must.NoError(r, err)
		got, err := transcript(limited, text.String(), piece)
		must.NoError(r, err)
		must.Eq(r, want, got)
	})
}

// answerOf sends the text, while it reads the answer, and returns the status of the first
// answer, which must be whole.
func answerOf(t *testing.T, address, text string) int {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = connection.Close() }()
	// The client reads only after it has written all, or after the connection was closed.
	_, _ = io.WriteString(connection, text)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against a refusal that its client does not get, because the connection is reset
// while the client still writes.
func TestRefusalsReachTheirClients(t *testing.T) {
	address := startServer(t, true, http.HandlerFunc(echo))
	for range 20 {
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, answerOf(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("a", 200_000)))
		must.Eq(t, http.StatusRequestEntityTooLarge, answerOf(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"+strings.Repeat("b", 3_000_000)))
	}
}

// Guards against refusing a body of exactly the limit, or taking one beyond it, in either
// framing.
func TestBodiesUpToTheLimitAreRead(t *testing.T) {
	address := startServer(t, true, http.HandlerFunc(echo))
	for size, want := range map[int]int{1: 200, 2047: 200, 2048: 200, 2049: 200, bodyLimit - 1: 200, bodyLimit: 200, bodyLimit + 1: 413} {
		body := strings.Repeat("b", size)
		const begin = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		must.Eq(t, want, answerOf(t, address, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", begin, size, body)), must.Sprint(size))
		must.Eq(t, want, answerOf(t, address, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", begin, size, body)), must.Sprint(size))
	}
}

// Guards against refusing a head of legal size, of whatever lines it consists.
func TestHeadsOfLegalSizeAreServed(t *testing.T) {
	address := startServer(t, true, http.HandlerFunc(echo))
	var lines strings.Builder
	for n := 0; lines.Len() < 16<<10-100; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", n)
	}
	must.Eq(t, http.StatusOK, answerOf(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+lines.String()+"\r\n"))
	must.Eq(t, http.StatusOK, answerOf(t, address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Long: "+strings.Repeat("a", 30_000)+"\r\n\r\n"))
}

// Guards against a server that does not notice that a client has left while its request
// runs.
func TestServerNoticesThatTheClientLeft(t *testing.T) {
	began, left := make(chan struct{}), make(chan struct{})
	address := startServer(t, true, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(left)
	}))
	connection, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	<-began
	must.NoError(t, connection.Close())
	<-left
}
