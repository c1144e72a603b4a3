package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/task"
)

// headers is a protocol with its own header names, since upstream defines none.
type headers struct{}

func (headers) Request(http.Header) call.Meta                      { return call.Meta{} }
func (headers) Forward(h http.Header, _ call.Forward) http.Header  { return h }
func (headers) Deliver(_, _ http.Header)                           {}
func (headers) Refuse(http.Header, ident.RequestID, time.Duration) {}
func (headers) Answer(status int, h http.Header) call.Head {
	return call.Head{Status: status, RequestID: ident.RequestID(h.Get("Id")), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

// fixture is a backend server whose connections are served by the test.
type fixture struct {
	t         *testing.T
	transport *upstream.Transport
	address   string
	accepted  chan net.Conn
	// stopListening makes the server refuse new connections.
	stopListening func()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	group := task.NewGroup(context.Background())
	f := &fixture{t: t, address: l.Addr().String(), accepted: make(chan net.Conn, 8)}
	group.Go("accept", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			f.accepted <- c
		}
	})
	f.stopListening = func() { _ = l.Close() }
	pool := upstream.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	group.Go("pool", func(context.Context) error { return pool.Run(ctx) })
	f.transport = &upstream.Transport{Pool: pool, Protocol: headers{}, Dial: upstream.Dial}
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		must.NoError(t, group.Stop(5*time.Second))
	})
	return f
}

// server is the backend server's end of one connection.
type server struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) accept() *server {
	c := <-f.accepted
	return &server{conn: c, reader: bufio.NewReader(c)}
}

func (s *server) read(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(s.reader)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func (s *server) write(text string) { _, _ = io.WriteString(s.conn, text) }

// reset closes the connection so that the peer sees a reset.
func (s *server) reset() {
	_ = s.conn.(*net.TCPConn).SetLinger(0)
	_ = s.conn.Close()
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// start runs an attempt and returns the channel of its events.
func (f *fixture) start(ctx context.Context, r upstream.Request) <-chan upstream.Event {
	events := make(chan upstream.Event, 64)
	r.Server, r.Address, r.Host = "s", f.address, "host.example"
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Target == "" {
		r.Target = "/a/"
	}
	go func() {
		defer close(events)
		f.transport.Run(ctx, r, func(e upstream.Event) { events <- e })
	}()
	return events
}

func collect(events <-chan upstream.Event) []upstream.Event {
	var list []upstream.Event
	for e := range events {
		list = append(list, e)
	}
	return list
}

// one runs an attempt that serve answers, and returns its last event.
func (f *fixture) one(r upstream.Request, serve func(*server)) upstream.Event {
	f.t.Helper()
	events := f.start(context.Background(), r)
	serve(f.accept())
	list := collect(events)
	must.SliceNotEmpty(f.t, list)
	return list[len(list)-1]
}

// Guards against a request whose target or host is cleaned or that gets further
// headers, as net/http would do.
func TestRequestArrivesUnchanged(t *testing.T) {
	f := newFixture(t)
	r := upstream.Request{ID: "1", Target: "//a/../b%2Fc/?x=%41&x", Header: http.Header{"X-Own": {"v"}}, Body: []byte("body"), HasBody: true}
	var seen *http.Request
	f.one(r, func(s *server) {
		seen = s.read(t)
		s.write(answer("1", "ok"))
	})
	must.Eq(t, "//a/../b%2Fc/?x=%41&x", seen.RequestURI)
	must.Eq(t, "host.example", seen.Host)
	must.Eq(t, http.Header{"X-Own": {"v"}, "Content-Length": {"4"}}, seen.Header)
	body, err := io.ReadAll(seen.Body)
	must.NoError(t, err)
	must.Eq(t, "body", string(body))
}

// Guards against a request that is sent to a server that asked for a pause while the
// connection was opened.
func TestRequestIsKeptBackAfterASlowConnect(t *testing.T) {
	f := newFixture(t)
	dial := f.transport.Dial
	f.transport.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(250 * time.Millisecond)
		return dial(ctx, address)
	}
	may := false
	r := upstream.Request{Server: "s", Address: f.address, ID: "1", Method: http.MethodGet, Target: "/", Host: "h", MaySend: func(context.Context) bool { return may }}
	events := collect(f.start(context.Background(), r))
	must.SliceLen(t, 1, events)
	kept, ok := events[0].(upstream.NotSent)
	must.True(t, ok)
	must.True(t, kept.Withdrawn)
	may = true
	later := f.start(context.Background(), r)
	s := f.accept()
	must.Eq(t, "/", s.read(t).URL.Path)
	s.write(answer("1", "body"))
	must.SliceLen(t, 1, collect(later))
}

// Guards against a request that is resent on a new connection when a reused one ends
// without an answer: the request may have run.
func TestRequestIsWrittenOnce(t *testing.T) {
	f := newFixture(t)
	events := f.start(context.Background(), upstream.Request{ID: "1"})
	s := f.accept()
	s.read(t)
	s.write(answer("1", "ok"))
	collect(events)
	events = f.start(context.Background(), upstream.Request{ID: "2", Method: http.MethodGet})
	s.read(t)
	s.reset()
	list := collect(events)
	must.SliceLen(t, 1, list)
	_, broken := list[0].(upstream.Failed)
	must.True(t, broken)
	// One connection finds out whether the server has crashed. It carries nothing.
	probe := f.accept()
	data, err := io.ReadAll(probe.reader)
	must.NoError(t, err)
	must.SliceEmpty(t, data)
	must.Eq(t, 0, len(f.accepted))
}

// Guards against a late answer to an earlier request that is taken for the answer to
// this one, and against losing the answer that follows it.
func TestLateAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	f := newFixture(t)
	e := f.one(upstream.Request{ID: "2"}, func(s *server) {
		s.read(t)
		s.write(answer("1", "other") + answer("2", "own"))
	})
	must.Eq(t, "own", string(e.(upstream.AnswerReceived).Body))
}

// Guards against malformed answers, answers without a request id, and answers to other
// requests that are passed on.
func TestMalformedAnswersFailTheAttempt(t *testing.T) {
	for _, text := range []string{"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", answer("1", "a") + answer("3", "b") + answer("4", "c")} {
		f := newFixture(t)
		e := f.one(upstream.Request{ID: "2"}, func(s *server) {
			s.read(t)
			s.write(text)
			_ = s.conn.Close()
		})
		broken, ok := e.(upstream.Failed)
		must.True(t, ok, must.Sprint(text))
		must.True(t, broken.Malformed, must.Sprint(text))
	}
}

// Guards against a truncated answer that is taken for a complete one: shorter than its
// Content-Length, cut off between chunks, or reset without a length.
func TestTruncatedAnswersFailTheAttempt(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 10\r\n\r\nabc",
		"chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"reset":  "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nabc",
	} {
		f := newFixture(t)
		e := f.one(upstream.Request{ID: "1"}, func(s *server) {
			s.read(t)
			s.write(text)
			time.Sleep(10 * time.Millisecond)
			s.reset()
		})
		_, ok := e.(upstream.Failed)
		must.True(t, ok, must.Sprint(name))
	}
}

// Guards against rejecting an answer that is delimited by the close of its connection.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	f := newFixture(t)
	e := f.one(upstream.Request{ID: "1"}, func(s *server) {
		s.read(t)
		s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nabc")
		_ = s.conn.Close()
	})
	must.Eq(t, "abc", string(e.(upstream.AnswerReceived).Body))
}

// Guards against the reuse of a connection with bytes after an answer: they would be
// read as the answer to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	f := newFixture(t)
	f.one(upstream.Request{ID: "1"}, func(s *server) {
		s.read(t)
		s.write(answer("1", "ok") + "HTTP/1.1 200 OK\r\n")
	})
	e := f.one(upstream.Request{ID: "2"}, func(s *server) {
		s.read(t)
		s.write(answer("2", "new connection"))
	})
	must.Eq(t, "new connection", string(e.(upstream.AnswerReceived).Body))
}

// Guards against the reuse of a connection whose server has not read the complete body
// yet: it would read the next request as the rest of the body.
func TestConnectionIsNotReusedAfterAnEarlyAnswer(t *testing.T) {
	f := newFixture(t)
	body := []byte(strings.Repeat("x", 8<<20))
	e := f.one(upstream.Request{ID: "1", Body: body, HasBody: true}, func(s *server) {
		_, err := s.reader.ReadString('\n')
		must.NoError(t, err)
		s.write("HTTP/1.1 413 Too Large\r\nId: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
	})
	must.Eq(t, 413, e.(upstream.AnswerReceived).Head.Status)
	e = f.one(upstream.Request{ID: "2"}, func(s *server) {
		s.read(t)
		s.write(answer("2", "new connection"))
	})
	must.Eq(t, "new connection", string(e.(upstream.AnswerReceived).Body))
}

// Guards against a stream that ends within an event but is taken for complete, and
// against events that are passed on before they are complete.
func TestOnlyCompleteEventsArePassedOn(t *testing.T) {
	f := newFixture(t)
	events := f.start(context.Background(), upstream.Request{ID: "1", Stream: true})
	s := f.accept()
	s.read(t)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
	s.write(chunk("id: 1\ndata: a\n\nid: 2\nda") + chunk("ta: b\n\nid: 3\nda") + "0\r\n\r\n")
	list := collect(events)
	var raw []string
	for _, e := range list {
		if p, ok := e.(upstream.EventsReceived); ok {
			for _, one := range p.Events {
				raw = append(raw, string(one.Raw))
			}
		}
	}
	must.Eq(t, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, raw)
	_, broken := list[len(list)-1].(upstream.Failed)
	must.True(t, broken)
}

// Guards against work that continues for a client that has left: the connection must be
// closed at once.
func TestCancelClosesTheConnection(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	events := f.start(ctx, upstream.Request{ID: "1"})
	s := f.accept()
	s.read(t)
	cancel()
	_, err := s.reader.ReadByte()
	must.Error(t, err)
	collect(events)
}

// Guards against an abandoned request that still arrives: unsent bytes in the socket
// buffer must be discarded, which a plain close does not do.
func TestCancelDiscardsUnsentBytes(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	body := make([]byte, 16<<20)
	events := f.start(ctx, upstream.Request{ID: "1", Body: body, HasBody: true})
	s := f.accept()
	_, err := s.reader.ReadByte()
	must.NoError(t, err)
	cancel()
	collect(events)
	read, err := io.Copy(io.Discard, s.reader)
	must.ErrorIs(t, err, syscall.ECONNRESET)
	must.Less(t, int64(len(body)), read)
}

// Guards against a failure to connect that is reported as a request that may have run.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	f.address = l.Addr().String()
	must.NoError(t, l.Close())
	list := collect(f.start(context.Background(), upstream.Request{ID: "1"}))
	_, unsent := list[0].(upstream.NotSent)
	must.True(t, unsent)
}

// Guards against a crash of a backend server that looks like one lost connection, so that
// the requests that caused it are sent to the next server.
func TestCrashIsToldFromALostConnection(t *testing.T) {
	for _, head := range []string{"", "HTTP/1.1 200 OK\r\nId: r\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		for _, crashed := range []bool{true, false} {
			f := newFixture(t)
			last := f.one(upstream.Request{ID: "r", Stream: true}, func(s *server) {
				s.read(t)
				s.write(head)
				if crashed {
					f.stopListening()
				}
				must.NoError(t, s.conn.Close())
			})
			failed, ok := last.(upstream.Failed)
			must.True(t, ok)
			must.Eq(t, crashed, failed.Crashed, must.Sprintf("head %q", head))
		}
	}
}

// endlessBytes is more than any answer may have. A test that reads it to its end shows that
// nothing bounds what a server in trouble can make an entry read and keep.
const endlessBytes = 64 << 20

// Guards against memory that a server in trouble fills: bytes without end that are no
// answer, in a head, in interim answers, in a body, in an event of a stream, and in a late
// answer to another request. The entry must close the connection and report the failure.
func TestBytesWithoutEndFailTheAttempt(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"header line":     {head + "Long: ", "x"},
		"header lines":    {head, "Name: value\r\n"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":            {head + "\r\n", "x"},
		"chunked body":    {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"late answer":     {"HTTP/1.1 200 OK\r\nId: 0\r\nSeal: s\r\n\r\n", "x"},
		"unsigned body":   {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
		"event":           {head + "\r\ndata: ", "x"},
	} {
		f := newFixture(t)
		sent := 0
		e := f.one(upstream.Request{ID: "1", Stream: name == "event"}, func(s *server) {
			s.read(t)
			s.write(c.prefix)
			block := strings.Repeat(c.repeated, 16<<10/len(c.repeated))
			for sent < endlessBytes {
				n, err := io.WriteString(s.conn, block)
				sent += n
				if err != nil {
					return
				}
			}
			_ = s.conn.Close()
		})
		_, failed := e.(upstream.Failed)
		must.True(t, failed, must.Sprintf("%s: %T", name, e))
		must.Less(t, endlessBytes, sent, must.Sprintf("%s: the connection stayed open", name))
	}
}

// Guards against a stream without a length that ends before its first event and is taken
// for a complete answer.
func TestStreamWithoutEventsOrLengthIsIncomplete(t *testing.T) {
	f := newFixture(t)
	e := f.one(upstream.Request{ID: "1", Stream: true}, func(s *server) {
		s.read(t)
		s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n")
		_ = s.conn.Close()
	})
	_, failed := e.(upstream.Failed)
	must.True(t, failed)
}

// Guards against a part of an answer that reaches the client as the whole one, because only
// the end of the connection marks its end and the server crashed.
func TestAnswerWithoutLengthOfACrashedServerIsIncomplete(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		f := newFixture(t)
		e := f.one(upstream.Request{ID: "1"}, func(s *server) {
			s.read(t)
			s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\npart of an answer")
			if crashed {
				f.stopListening()
			}
			_ = s.conn.Close()
		})
		_, failed := e.(upstream.Failed)
		must.Eq(t, crashed, failed)
	}
}

// Guards against a stream without a length whose server crashes between two events: the
// client would take the part for the whole.
func TestStreamWithoutLengthOfACrashedServerIsIncomplete(t *testing.T) {
	for _, crashed := range []bool{true, false} {
		f := newFixture(t)
		e := f.one(upstream.Request{ID: "1", Stream: true}, func(s *server) {
			s.read(t)
			s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\n")
			if crashed {
				f.stopListening()
			}
			_ = s.conn.Close()
		})
		_, failed := e.(upstream.Failed)
		must.Eq(t, crashed, failed)
	}
}
