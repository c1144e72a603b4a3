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

	"github.com/anvilpoint/anvilpoint/internal/answer"
	"github.com/anvilpoint/anvilpoint/internal/call"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	// maxStaleAnswers is the maximum number of late answers to earlier requests that are
	// skipped before the answer to the current one.
	maxStaleAnswers = 2
	// maxAnswerBytes is the maximum size of the body of an answer that is not a stream. An
	// entry with 200 MB of memory holds some tens of answers at once.
	maxAnswerBytes = 2 << 20
	// firstAnswerBytes is the size of the first buffer for an answer without a length.
	firstAnswerBytes = 4 << 10
	// eventBuffer is the size of a read buffer in bytes, enough for a few events of a stream.
	eventBuffer = 4 << 10
	// eventCopies is how often an event may be held at once: where it is put together, on
	// its way to the client's request, and where it is written.
	eventCopies = 8
	// inlineWriteBytes is the maximum size of a request that is written before the answer
	// is read. A larger request is written concurrently, since a server may answer before
	// it has read a long body.
	inlineWriteBytes = 8 << 10
	// slowConnectTime is the time to open a connection after which the choice of the server
	// is checked again. A server that asked for a pause must get no request from 0.5 s after
	// it did.
	slowConnectTime = 200 * time.Millisecond
)

// Event reports something that happened to an attempt.
type Event interface{ isEvent() }

// NotSent reports that nothing of the request was written.
type NotSent struct {
	Err error
	// Withdrawn is set if the request was kept back by Request.MaySend.
	Withdrawn bool
}

// AnswerReceived is a complete answer that is not a stream.
type AnswerReceived struct {
	Head   call.Head
	Header http.Header
	Body   []byte
}

// StreamStarted is the head of a stream.
type StreamStarted struct {
	Head   call.Head
	Header http.Header
}

// EventsReceived are complete events of a stream, in order.
type EventsReceived struct{ Events []StreamEvent }

// StreamCompleted reports that a stream has ended and is complete.
type StreamCompleted struct{}

// Failed reports that the answer cannot be read to its end. The request may have run.
type Failed struct {
	Err error
	// Malformed is set if the bytes received are not a valid answer to this request.
	Malformed bool
	// NoMemory is set if this process cannot hold the answer.
	NoMemory bool
	// Crashed is set if the server closed the connection before any output and then
	// refused a new one. Finding out costs one connection.
	Crashed bool
}

func (NotSent) isEvent()         {}
func (AnswerReceived) isEvent()  {}
func (StreamStarted) isEvent()   {}
func (EventsReceived) isEvent()  {}
func (StreamCompleted) isEvent() {}
func (Failed) isEvent()          {}

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
	// HasBody distinguishes an empty body with a Content-Length from no body.
	HasBody bool
	// Stream is set if a successful answer is a stream of events.
	Stream bool
	// AtMostOnce is set if the request must not run twice. It is not sent on a
	// connection that its server may be about to close.
	AtMostOnce bool
	// MaySend is asked before the request is written if opening the connection took long. If
	// it returns false, the request is not sent. Nil means that it may always be sent.
	MaySend func(ctx context.Context) bool
	// Reserve waits until this process may hold further bytes of the answer, and returns an
	// error if it may not. Nil means that it always may.
	Reserve func(ctx context.Context, bytes int64) error
}

// Transport calls backend servers.
type Transport struct {
	Pool     *Pool
	Protocol call.Protocol
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is called for each new connection. It may be nil.
	OnConnect func()
}

// Run makes one attempt and calls emit with its events, in order. The last one is
// NotSent, AnswerReceived, StreamCompleted or Failed, unless the context ends first.
func (c *Transport) Run(ctx context.Context, r Request, emit func(Event)) {
	begin := time.Now()
	connection, err := c.connect(ctx, r)
	if err != nil {
		emit(NotSent{Err: err})
		return
	}
	if r.MaySend != nil && time.Since(begin) > slowConnectTime && !r.MaySend(ctx) {
		c.release(ctx, r.Server, connection)
		emit(NotSent{Err: errors.Errorf("backend server %s takes no more requests", r.Server), Withdrawn: true})
		return
	}
	// Closing the socket unblocks a pending read, and tells the server that the answer is
	// not needed any more.
	stop := context.AfterFunc(ctx, connection.abort)
	x := exchange{transport: c, ctx: ctx, request: r, conn: connection, emit: emit}
	reusable := x.run()
	if !stop() || !reusable {
		connection.close(time.Now())
		x.writer.Wait()
		return
	}
	c.release(ctx, r.Server, connection)
}

// release returns a connection to the pool for another request.
func (c *Transport) release(ctx context.Context, server ident.ServerID, connection *conn) {
	if !c.Pool.mailbox.Send(ctx, release{server: server, conn: connection}).Accepted() {
		connection.close(time.Now())
	}
}

func (c *Transport) connect(ctx context.Context, r Request) (*conn, error) {
	idle, ok := task.Ask(ctx, c.Pool.mailbox, func(reply chan<- *conn) poolMessage {
		return acquire{server: r.Server, recentlyUsed: r.AtMostOnce, reply: reply}
	})
	if ok && idle != nil {
		return idle, nil
	}
	socket, err := c.Dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect()
	}
	return newConn(time.Now(), socket), nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	transport *Transport
	ctx       context.Context
	request   Request
	conn      *conn
	emit      func(Event)
	// writer is the goroutine that writes a long request; it sends the result to written.
	writer  conc.WaitGroup
	written chan error
	// awaited is set once the writer was awaited, sent if the complete request was written.
	awaited, sent bool
	// eventBytes is the size of the largest event for which memory is reserved.
	eventBytes int
}

// run reports whether the connection can be reused for another request.
func (x *exchange) run() bool {
	if n, err := x.write(); err != nil {
		if n == 0 {
			x.emit(NotSent{Err: err})
			return false
		}
		// A server may have answered and closed before it read the complete request.
		if x.conn.answers.Buffered() == 0 {
			x.failBeforeOutput(errors.Wrapf(err, "write the request to backend server %s", x.request.Server))
			return false
		}
	}
	x.conn.answers.SetComplete(x.endsProperly)
	response, head, err := x.readHead()
	if err != nil {
		x.failBeforeOutput(err)
		return false
	}
	if !head.Signed && !head.NotRun {
		x.emit(Failed{Err: errors.Errorf("answer with status %d has no signature of a backend server", head.Status), Malformed: true})
		return false
	}
	var complete bool
	if x.request.Stream && response.Status == http.StatusOK && head.Signed {
		complete = x.stream(head, response)
	} else {
		complete = x.body(head, response)
	}
	x.conn.serverIdleTimeout = head.IdleLimit
	return complete && !response.Closes && !head.Closing && x.fullyWritten() && x.conn.answers.Buffered() == 0
}

// endsProperly returns nil if an answer that ends with its connection, which has ended now,
// is whole.
func (x *exchange) endsProperly() error {
	return answer.End{
		RequestWritten: x.fullyWritten(), Connection: x.conn.socket, Dial: x.transport.Dial, Address: x.request.Address,
	}.Check(x.ctx)
}

// failBeforeOutput reports a failure of an attempt that has no output, and whether the
// server crashed.
func (x *exchange) failBeforeOutput(err error) {
	var noMemory errNoMemory
	failed := Failed{Err: err, Malformed: errors.Is(err, answer.ErrMalformed), NoMemory: errors.As(err, &noMemory)}
	if network.ClosedByPeer(err) {
		failed.Crashed = x.refusesConnections()
	}
	x.emit(failed)
}

// refusesConnections reports whether nothing accepts connections at the server's address.
func (x *exchange) refusesConnections() bool {
	return network.RefusesConnections(x.ctx, x.transport.Dial, x.request.Address)
}

func (x *exchange) write() (int, error) {
	head, body := x.request.encodeHead(), x.request.Body
	if len(head)+len(body) <= inlineWriteBytes {
		return x.conn.socket.Write(append(head, body...))
	}
	x.written = make(chan error, 1)
	socket := x.conn.socket
	x.writer.Go(func() {
		// The body is not copied, since it may be large.
		_, err := socket.Write(head)
		if err == nil {
			_, err = socket.Write(body)
		}
		x.written <- err
	})
	return len(head) + len(body), nil
}

// fullyWritten reports whether the complete request has been written. If not, the
// server would read the next request on the connection as the rest of this one.
func (x *exchange) fullyWritten() bool {
	if x.written == nil {
		return true
	}
	if !x.awaited {
		x.awaited, x.sent = true, answer.Written(x.written)
	}
	return x.sent
}

// readHead reads the head of the answer to this request. It skips late answers to
// earlier requests, which have another request id.
func (x *exchange) readHead() (*answer.Answer, call.Head, error) {
	for range maxStaleAnswers + 1 {
		response, err := x.conn.answers.Next(x.request.Method)
		if err != nil {
			return nil, call.Head{}, errors.Wrapf(err, "read the answer of backend server %s", x.request.Server)
		}
		head := x.transport.Protocol.Answer(response.Status, response.Header)
		if head.RequestID == x.request.ID {
			return response, head, nil
		}
		if head.RequestID == "" {
			return nil, call.Head{}, errors.WithMessage(answer.ErrMalformed, "answer without a request id")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response, maxAnswerBytes)); err != nil {
			return nil, call.Head{}, errors.WithMessage(answer.ErrMalformed, "connection failed within a late answer to an earlier request")
		}
		if response.Closes {
			return nil, call.Head{}, errors.WithMessage(answer.ErrMalformed, "connection closed after a late answer to an earlier request")
		}
	}
	return nil, call.Head{}, errors.WithMessagef(answer.ErrMalformed, "%d answers with other request ids", maxStaleAnswers+1)
}

// reserve waits until the process may hold further bytes of the answer.
func (x *exchange) reserve(bytes int64) error {
	if x.request.Reserve == nil {
		return nil
	}
	if err := x.request.Reserve(x.ctx, bytes); err != nil {
		return errNoMemory{cause: err}
	}
	return nil
}

// errNoMemory means that this process cannot hold the answer.
type errNoMemory struct{ cause error }

// Error implements error.
func (e errNoMemory) Error() string { return "hold the answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e errNoMemory) Unwrap() error { return e.cause }

// body reads an answer that is not a stream. It reports whether it is complete.
func (x *exchange) body(head call.Head, response *answer.Answer) bool {
	body, err := x.readAll(response)
	if err != nil {
		x.emit(x.failed(err))
		return false
	}
	x.emit(AnswerReceived{Head: head, Header: response.Header, Body: body})
	return true
}

// failed returns the event for an answer that cannot be read to its end.
func (x *exchange) failed(err error) Failed {
	var noMemory errNoMemory
	return Failed{
		Err:       errors.Wrapf(err, "read the answer of backend server %s", x.request.Server),
		Malformed: errors.Is(err, answer.ErrMalformed), NoMemory: errors.As(err, &noMemory),
	}
}

// readAll reads the body of an answer. The memory is reserved before it is used.
func (x *exchange) readAll(response *answer.Answer) ([]byte, error) {
	size := response.Length
	if size < 0 {
		size = firstAnswerBytes
	}
	var body []byte
	for {
		if size > maxAnswerBytes {
			return nil, errors.Errorf("answer exceeds %d bytes", maxAnswerBytes)
		}
		if err := x.reserve(size); err != nil {
			return nil, err
		}
		// One byte more shows whether a body of unknown length ends here.
		grown := make([]byte, len(body), size+1)
		copy(grown, body)
		body = grown
		for len(body) < cap(body) {
			n, err := response.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
		}
		size = max(2*size, firstAnswerBytes)
	}
}

// stream emits the events of a stream as each is complete. It reports whether the
// stream is complete.
func (x *exchange) stream(head call.Head, response *answer.Answer) bool {
	x.emit(StreamStarted{Head: head, Header: response.Header})
	var s eventSplitter
	outputBegan := false
	buffer := make([]byte, eventBuffer)
	for {
		n, err := response.Read(buffer)
		if events := s.add(buffer[:n]); len(events) > 0 {
			outputBegan = true
			x.emit(EventsReceived{Events: events})
		}
		if s.tooLong() {
			x.emit(Failed{Err: errors.Errorf("stream has an event of more than %d bytes", maxEventBytes), Malformed: true})
			return false
		}
		if err == nil {
			err = x.reserveEvent(len(s.buffer))
		}
		if err == nil {
			continue
		}
		if err == io.EOF && response.EndsWithConnection() && !outputBegan {
			err = io.ErrUnexpectedEOF
		}
		if err != io.EOF {
			if outputBegan {
				x.emit(x.failed(err))
			} else {
				x.failBeforeOutput(errors.Wrapf(err, "read the stream of backend server %s", x.request.Server))
			}
			return false
		}
		if s.pending() {
			x.emit(Failed{Err: errors.New("stream ended within an event")})
			return false
		}
		x.emit(StreamCompleted{})
		return true
	}
}

// reserveEvent reserves memory for an incomplete event of the size, with its copies on the
// way to the client.
func (x *exchange) reserveEvent(size int) error {
	for x.eventBytes = max(x.eventBytes, eventBuffer); size > x.eventBytes; x.eventBytes *= 2 {
		if err := x.reserve(eventCopies * int64(x.eventBytes)); err != nil {
			return err
		}
	}
	return nil
}

// encodeHead returns the head of the request in HTTP/1.1 format. It is not written by net/http, which
// would clean the target and the host; both must stay as the client sent them.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	// Writes to memory do not fail.
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	if r.HasBody {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_ = w.Flush()
	return b.Bytes()
}
