package httpclient

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/answer"
)

// maxRestBytes is how much of an answer is read after its caller has closed it, so that the
// connection can be used again.
const maxRestBytes = 4 << 10

// exchange is one request and its answer on one connection.
type exchange struct {
	transport *transport
	conn      *connection
	request   *http.Request
	// stop keeps the end of the request's context from closing the connection.
	stop func() bool
	// writer is the goroutine that writes a request with a body; it sends the result to
	// written.
	writer  conc.WaitGroup
	written chan error
	// awaited is set once the writer was awaited, sent if the whole request was written.
	awaited, sent bool
}

// exchange sends a request and reads the head of its answer.
func (t *transport) exchange(c *connection, r *http.Request) (*http.Response, error) {
	x := &exchange{transport: t, conn: c, request: r, written: make(chan error, 1)}
	x.stop = context.AfterFunc(r.Context(), c.discard)
	x.write()
	c.answers.SetComplete(x.checkEnd)
	a, err := c.answers.Next(r.Method)
	if err != nil {
		return nil, x.fail(errors.Wrapf(err, "read the answer of %s", c.address))
	}
	return x.response(a), nil
}

// write writes the request. One with a body is written concurrently, since a server may
// answer before it has read a long body.
func (x *exchange) write() {
	r := x.request
	if x.transport.config.MaxIdle == 0 {
		r = r.Clone(r.Context())
		r.Close = true
	}
	write := func() {
		w := bufio.NewWriter(x.conn)
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		x.written <- err
	}
	if r.Body == nil {
		write()
		return
	}
	x.writer.Go(write)
}

// fullyWritten reports whether the whole request has been written.
func (x *exchange) fullyWritten() bool {
	if !x.awaited {
		x.awaited, x.sent = true, answer.Written(x.written)
	}
	return x.sent
}

// checkEnd returns nil if an answer that ended with its connection is whole.
func (x *exchange) checkEnd() error {
	return answer.End{
		RequestWritten: x.fullyWritten(), Connection: x.conn.Conn, Dial: x.transport.config.Dial, Address: x.conn.address,
	}.Check(x.request.Context())
}

// fail closes the connection and returns the error of the call.
func (x *exchange) fail(err error) error {
	x.stop()
	x.conn.discard()
	x.writer.Wait()
	if x.request.Context().Err() != nil {
		return x.request.Context().Err()
	}
	return err
}

// response returns the answer as net/http has it.
func (x *exchange) response(a *answer.Answer) *http.Response {
	response := &http.Response{
		Status: fmt.Sprintf("%03d %s", a.Status, http.StatusText(a.Status)), StatusCode: a.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: a.Header, ContentLength: a.Length, Close: a.Closes, Request: x.request,
	}
	if a.Chunked {
		response.TransferEncoding = []string{"chunked"}
		response.Header.Del("Transfer-Encoding")
	}
	response.Body = &body{exchange: x, answer: a}
	if a.Length == 0 {
		x.finish(a)
		response.Body = http.NoBody
	}
	return response
}

// finish keeps the connection after a whole answer, if it can be used again.
func (x *exchange) finish(a *answer.Answer) {
	if !x.stop() || a.Closes || !x.fullyWritten() || x.conn.answers.Buffered() > 0 {
		x.conn.discard()
		x.writer.Wait()
		return
	}
	x.transport.keep(x.conn)
}

// body is the body of an answer.
type body struct {
	exchange *exchange
	answer   *answer.Answer
	// err is the error with which the body has ended, nil while it has not.
	err error
}

// Read implements io.Reader. It returns io.EOF only after a whole body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.answer.Read(p)
	switch {
	case err == io.EOF:
		b.exchange.finish(b.answer)
	case err != nil:
		err = b.exchange.fail(errors.Wrapf(err, "read the answer of %s", b.exchange.conn.address))
	}
	b.err = err
	return n, err
}

var errClosed = errors.New("the answer was closed before it was read")

// Close implements io.Closer.
func (b *body) Close() error {
	// The end of a chunked body is often there already, although nobody has read it.
	if b.err == nil && b.answer.Chunked && b.exchange.conn.answers.Buffered() > 0 {
		// Any error of the rest closes the connection, which is all that it is read for.
		_, _ = io.CopyN(io.Discard, b, maxRestBytes)
	}
	if b.err == nil {
		b.err = errClosed
		_ = b.exchange.fail(errClosed)
	}
	return nil
}
