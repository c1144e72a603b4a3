package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// maxStrays bounds the late answers to earlier requests that are skipped on one connection.
	maxStrays = 2
	// maxAnswerBytes bounds an answer that is passed on whole.
	maxAnswerBytes = 8 << 20
	// smallRequest is written before the answer is read. A larger one is written
	// beside it, since a server may answer before it has read a long body.
	smallRequest = 8 << 10
)

// Event is something that happened to an attempt.
type Event interface{ isEvent() }

// Unsent says that nothing of the request was written.
type Unsent struct{ Err error }

// Answered is a whole answer that is no stream.
type Answered struct {
	Head   call.Head
	Header http.Header
	Body   []byte
}

// Begun is the head of a stream.
type Begun struct {
	Head   call.Head
	Header http.Header
}

// Pieces are whole events of a stream, in order.
type Pieces struct{ Events []StreamEvent }

// Whole says that a stream came to its end.
type Whole struct{}

// Broken says that the answer cannot be read to its end. The request may have run.
type Broken struct {
	Err error
	// Garbled says that the bytes were no answer to this request.
	Garbled bool
}

func (Unsent) isEvent()   {}
func (Answered) isEvent() {}
func (Begun) isEvent()    {}
func (Pieces) isEvent()   {}
func (Whole) isEvent()    {}
func (Broken) isEvent()   {}

// Request is one request to one backend server.
type Request struct {
	Server  ident.ServerID
	Address string
	ID      ident.RequestID
	Method  string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody tells an empty body with a stated length from none.
	HasBody bool
	// Stream says that a successful answer is a stream of events.
	Stream bool
	// Once says that the request must not run twice. It does not use a connection
	// that its server may be about to close.
	Once bool
}

// Caller calls backend servers.
type Caller struct {
	Pool     *Pool
	Protocol call.Protocol
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Opened counts new connections. It may be nil.
	Opened func()
}

// Run carries out one attempt and hands its events to emit, in order. The last
// one is Unsent, Answered, Whole or Broken, unless the context ends first.
func (c *Caller) Run(ctx context.Context, r Request, emit func(Event)) {
	connection, err := c.connect(ctx, r)
	if err != nil {
		emit(Unsent{Err: err})
		return
	}
	// Closing the socket ends a read that waits, and tells the server that nobody
	// waits for the answer.
	stop := context.AfterFunc(ctx, connection.abort)
	x := exchange{caller: c, request: r, conn: connection, emit: emit}
	keep := x.run()
	if !stop() || !keep {
		connection.close(time.Now())
		x.writer.Wait()
		return
	}
	if !c.Pool.mailbox.Send(ctx, give{server: r.Server, conn: connection}).Accepted() {
		connection.close(time.Now())
	}
}

func (c *Caller) connect(ctx context.Context, r Request) (*conn, error) {
	idle, ok := task.Ask(ctx, c.Pool.mailbox, func(reply chan<- *conn) poolMessage {
		return take{server: r.Server, fresh: r.Once, reply: reply}
	})
	if ok && idle != nil {
		return idle, nil
	}
	socket, err := c.Dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	if c.Opened != nil {
		c.Opened()
	}
	return newConn(time.Now(), socket), nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	caller  *Caller
	request Request
	conn    *conn
	emit    func(Event)
	// writer writes a long request, and written receives the result.
	writer  conc.WaitGroup
	written chan error
}

// run reports whether the connection can take another request.
func (x *exchange) run() bool {
	if n, err := x.write(); err != nil {
		if n == 0 {
			x.emit(Unsent{Err: err})
			return false
		}
		// A server may have answered and closed before it has read the whole request.
		if x.conn.reader.Buffered() == 0 {
			x.emit(Broken{Err: errors.Wrap(err, "write request")})
			return false
		}
	}
	response, err := x.readHead()
	if err != nil {
		x.emit(Broken{Err: err, Garbled: errors.Is(err, errGarbled)})
		return false
	}
	head := x.caller.Protocol.Answer(response.StatusCode, response.Header)
	var whole bool
	if x.request.Stream && response.StatusCode == http.StatusOK && head.Signed {
		whole = x.stream(head, response)
	} else {
		whole = x.body(head, response)
	}
	x.conn.limit = head.IdleLimit
	return whole && !response.Close && !head.Closing && x.wholeWritten() && x.conn.reader.Buffered() == 0
}

func (x *exchange) write() (int, error) {
	data := x.request.encode()
	if len(data) <= smallRequest {
		return x.conn.socket.Write(data)
	}
	x.written = make(chan error, 1)
	socket := x.conn.socket
	x.writer.Go(func() {
		_, err := socket.Write(data)
		x.written <- err
	})
	return len(data), nil
}

// wholeWritten reports whether the request has left completely. Otherwise the
// next request on the connection would be read as the rest of this one.
func (x *exchange) wholeWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

var errGarbled = errors.New("the bytes on the connection are no answer to this request")

// readHead reads the head of the answer to this request. It skips late answers
// to earlier requests, which bear another request id.
func (x *exchange) readHead() (*http.Response, error) {
	for range maxStrays + 1 {
		response, err := x.readResponse()
		if err != nil {
			return nil, err
		}
		head := x.caller.Protocol.Answer(response.StatusCode, response.Header)
		if head.RequestID == x.request.ID {
			return response, nil
		}
		if head.RequestID == "" {
			return nil, errors.WithMessage(errGarbled, "the answer bears no request id")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
			return nil, errors.WithMessage(errGarbled, "a stray answer broke off")
		}
		if response.Close {
			return nil, errors.WithMessage(errGarbled, "a stray answer ended the connection")
		}
	}
	return nil, errors.WithMessage(errGarbled, "the answers bear other request ids")
}

func (x *exchange) readResponse() (*http.Response, error) {
	request := &http.Request{Method: x.request.Method}
	for {
		if _, err := x.conn.reader.Peek(1); err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, errors.WithMessage(errGarbled, err.Error())
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// body reads an answer that is no stream.
func (x *exchange) body(head call.Head, response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		x.emit(Broken{Err: errors.Wrap(err, "read answer")})
		return false
	case len(body) > maxAnswerBytes:
		x.emit(Broken{Err: errors.New("the answer is too large")})
		return false
	}
	x.emit(Answered{Head: head, Header: response.Header, Body: body})
	return true
}

// stream passes events on as they become whole.
func (x *exchange) stream(head call.Head, response *http.Response) bool {
	x.emit(Begun{Head: head, Header: response.Header})
	var s splitter
	buffer := make([]byte, readBuffer)
	for {
		n, err := response.Body.Read(buffer)
		if events := s.add(buffer[:n]); len(events) > 0 {
			x.emit(Pieces{Events: events})
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			x.emit(Broken{Err: errors.Wrap(err, "read stream")})
			return false
		}
		if s.pending() {
			x.emit(Broken{Err: errors.New("the stream ended within an event")})
			return false
		}
		x.emit(Whole{})
		return true
	}
}

// encode returns the request as it is written. The target and the host are the
// client's own, since a library would clean them.
func (r Request) encode() []byte {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	// Writes to memory do not fail.
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	if r.HasBody {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	_ = w.Flush()
	return b.Bytes()
}
