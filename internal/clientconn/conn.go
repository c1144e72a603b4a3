package clientconn

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

const (
	// allowanceBytes is what a connection may hold without a claim: a head of usual size as
	// parsed and a small body, or the unparsed part of a head.
	allowanceBytes = 16 << 10
	// firstReadBytes is the size of the first buffer for a head. Most heads fit.
	firstReadBytes = 2 << 10
	// headStepBytes is by how much the buffer for a head grows beyond the allowance.
	headStepBytes = 8 << 10
	// A parsed head takes several times its size: for the fields as the server stores them,
	// their copies for the backend server, and the maps that hold them.
	parsedBytesPerByte = 4
	parsedBytesPerLine = 256
	// maxWriteBytes is the largest part of an answer that has a time limit of its own.
	maxWriteBytes = 64 << 10
	// discardTime and discardBytes bound how long, and how much of, a refused request is
	// read so that its client can read the refusal.
	discardTime  = time.Second
	discardBytes = 256 << 10
)

// Timeouts bound how long a client may keep a connection waiting.
type Timeouts struct {
	// Head bounds the time from the first byte of a request to the end of its head.
	Head time.Duration
	// Body bounds the time between two parts of a body.
	Body time.Duration
	// Write bounds the time in which the client takes a part of an answer.
	Write time.Duration
}

// stage is the part of a request that the server reads next.
type stage int

const (
	// stageHead: the head of a request is collected before the server gets any of it.
	stageHead stage = iota
	// stageHeadReady: the head is complete and handed to the server.
	stageHeadReady
	stageLengthBody
	stageChunkedBody
	// stageUnframedBody: what follows the head cannot be told apart.
	stageUnframedBody
	// stageAnswer: the whole request was read, its answer is not complete.
	stageAnswer
	// stageClosed: no further request is read.
	stageClosed
)

// Conn is a connection of a client. It hands a request to the server only once the head is
// complete and the memory for it is granted. Its exported methods are for the HTTP server.
type Conn struct {
	net.Conn
	id       clientload.ConnectionID
	limiter  *Limiter
	timeouts Timeouts
	stage    stage
	// in holds bytes of the next request. The server has been given the first handed ones,
	// the first scanned ones do not hold the end of a head, and the first head ones are the
	// complete head.
	in                    []byte
	handed, scanned, head int
	framing               framing
	// left is the number of bytes that are missing of a body with a length.
	left   int64
	chunks chunkScanner
	// timed reports whether a read deadline of this connection's own is set.
	timed bool
	// discardUntil is when a refused body is no longer read, zero if none is refused.
	discardUntil time.Time
	// held is the number of bytes that the current request holds.
	held  atomic.Int64
	close sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch c.stage {
	case stageHead:
		if err := c.receiveHead(); err != nil {
			return 0, err
		}
		return c.handHead(p), nil
	case stageHeadReady:
		return c.handHead(p), nil
	case stageAnswer:
		return c.readAhead(p)
	case stageClosed:
		return 0, io.EOF
	default:
		return c.readBody(p)
	}
}

// receiveHead collects the head of a request.
func (c *Conn) receiveHead() error {
	for {
		if c.head = headEnd(c.in, c.scanned); c.head > 0 {
			return c.acceptHead()
		}
		c.scanned = len(c.in)
		if len(c.in) > 0 && !c.timed {
			if err := c.setReadDeadline(time.Now().Add(c.timeouts.Head)); err != nil {
				return err
			}
		}
		if err := c.growHead(); err != nil {
			return c.refuse(err)
		}
		n, err := c.Conn.Read(c.in[len(c.in):cap(c.in)])
		c.in = c.in[:len(c.in)+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// growHead makes room for further bytes of a head.
func (c *Conn) growHead() error {
	size := cap(c.in)
	switch {
	case len(c.in) < size:
		return nil
	case size < allowanceBytes:
		size = max(firstReadBytes, 2*size)
	default:
		size += headStepBytes
		if err := c.claim(context.Background(), clientload.ForHead, headStepBytes, int64(len(c.in)+1)); err != nil {
			return err
		}
	}
	grown := make([]byte, len(c.in), size)
	copy(grown, c.in)
	c.in = grown
	return nil
}

// acceptHead claims the memory for a complete head.
func (c *Conn) acceptHead() error {
	c.framing = framingOf(c.in[:c.head])
	body := int64(len(c.in) - c.head)
	whole := !c.framing.unknown && !c.framing.chunked && c.framing.length <= body
	c.limiter.note(clientload.HeadReceived{Connection: c.id, Whole: whole})
	parsed := int64(parsedBytesPerByte*c.head + parsedBytesPerLine*c.framing.lines)
	if err := c.claim(context.Background(), clientload.ForHead, parsed, int64(c.head)); err != nil {
		return c.refuse(err)
	}
	c.stage = stageHeadReady
	return nil
}

// handHead hands a part of the complete head to the server.
func (c *Conn) handHead(p []byte) int {
	n := copy(p, c.in[c.handed:c.head])
	c.handed += n
	if c.handed == c.head {
		c.drop(c.head)
		c.beginBody()
	}
	return n
}

// drop removes the first bytes of the buffer. A buffer of unusual size is not kept.
func (c *Conn) drop(n int) {
	rest := c.in[n:]
	if len(rest) == 0 && cap(c.in) > firstReadBytes {
		c.in = nil
	} else {
		c.in = c.in[:copy(c.in, rest)]
	}
	c.handed, c.scanned, c.head = 0, 0, 0
}

func (c *Conn) beginBody() {
	// The server sets a deadline of its own after the head.
	c.timed = false
	switch {
	case c.framing.unknown:
		c.stage = stageUnframedBody
	case c.framing.chunked:
		c.stage, c.chunks = stageChunkedBody, chunkScanner{}
	case c.framing.length > 0:
		c.stage, c.left = stageLengthBody, c.framing.length
	default:
		c.stage = stageAnswer
	}
}

// readBody reads a part of the body, and nothing of what follows it.
func (c *Conn) readBody(p []byte) (int, error) {
	if c.stage == stageLengthBody && int64(len(p)) > c.left {
		p = p[:c.left]
	}
	if len(c.in) > 0 {
		n := copy(p, c.in)
		n -= c.takeBody(p[:n])
		c.drop(n)
		return n, nil
	}
	deadline := time.Now().Add(c.timeouts.Body)
	if !c.discardUntil.IsZero() {
		deadline = c.discardUntil
	}
	if err := c.setReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if next := c.takeBody(p[:n]); next > 0 {
		n -= next
		c.in = append(c.in, p[n:n+next]...)
	}
	if c.stage == stageAnswer && err == nil {
		c.timed = false
		err = c.Conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// takeBody notes bytes of the body. It returns how many of them belong to the next request.
func (c *Conn) takeBody(p []byte) (next int) {
	switch c.stage {
	case stageLengthBody:
		if c.left -= int64(len(p)); c.left == 0 {
			c.stage = stageAnswer
		}
	case stageChunkedBody:
		n, complete, valid := c.chunks.scan(p)
		switch {
		case !valid:
			c.stage = stageUnframedBody
		case complete:
			c.stage = stageAnswer
			return len(p) - n
		}
	}
	return 0
}

// readAhead reads one byte of the next request while the current one is answered. The
// server reads it to notice that the client has left.
func (c *Conn) readAhead(p []byte) (int, error) {
	if c.handed == len(c.in) {
		if cap(c.in) == 0 {
			c.in = make([]byte, 0, firstReadBytes)
		}
		if len(c.in) == cap(c.in) {
			return 0, errors.New("the server reads ahead of its answers")
		}
		n, err := c.Conn.Read(c.in[len(c.in):cap(c.in)])
		c.in = c.in[:len(c.in)+n]
		if n == 0 {
			return 0, err
		}
	}
	n := copy(p[:1], c.in[c.handed:])
	c.handed += n
	return n, nil
}

// setReadDeadline sets a deadline of this connection's own.
func (c *Conn) setReadDeadline(at time.Time) error {
	c.timed = true
	return c.Conn.SetReadDeadline(at)
}

// nextRequest gives back what the current request holds, and lets the next one in.
func (c *Conn) nextRequest() {
	if c.stage == stageAnswer {
		c.stage = stageHead
	} else {
		c.stage = stageClosed
	}
	c.held.Store(0)
	c.limiter.note(clientload.RequestEnded{Connection: c.id})
}

// claim asks for memory beyond what the current request holds. What fits into the allowance
// needs no grant.
func (c *Conn) claim(ctx context.Context, use clientload.Use, bytes, size int64) error {
	held := c.held.Add(bytes)
	excess := max(held-allowanceBytes, 0) - max(held-bytes-allowanceBytes, 0)
	if excess == 0 {
		return nil
	}
	err := c.limiter.claim(ctx, clientload.Claim{Connection: c.id, Use: use, Bytes: excess, Size: size})
	if err != nil {
		c.held.Add(-bytes)
	}
	return err
}

// holdsMore reports whether the current request holds more than the allowance.
func (c *Conn) holdsMore() bool { return c.held.Load() > allowanceBytes }

// Write implements net.Conn. Each part of the answer has a time limit of its own.
func (c *Conn) Write(p []byte) (int, error) {
	if c.holdsMore() {
		c.limiter.note(clientload.WriteBegan{Connection: c.id})
		defer c.limiter.note(clientload.WriteEnded{Connection: c.id})
	}
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeouts.Write)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		if c.holdsMore() {
			c.limiter.note(clientload.Progressed{Connection: c.id})
		}
	}
}

// CloseWrite ends the answers of the connection. The HTTP server does so before it closes
// a connection whose client still sends.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() { c.limiter.note(clientload.Closed{Connection: c.id}) })
	return err
}

// refuse answers a request whose head the server must not get, for the reason given by the
// error, and closes the connection once the client has had time to read the answer.
func (c *Conn) refuse(reason error) error {
	c.stage = stageClosed
	status, retry := http.StatusRequestHeaderFieldsTooLarge, ""
	if errors.Is(reason, ErrNoMemory) {
		status, retry = http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds())
	}
	c.limiter.metrics.countRefusal(status)
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
	if _, err := c.Write([]byte(answer)); err != nil {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	if err := c.setReadDeadline(time.Now().Add(discardTime)); err != nil {
		return err
	}
	c.in = nil
	// What the client still sends only keeps a reset from destroying the answer.
	_, _ = io.CopyN(io.Discard, c.Conn, discardBytes)
	return io.EOF
}

// retryAfterSeconds returns the time in seconds after which a refused client may come back.
// Clients that are refused together do not come back together.
func retryAfterSeconds() int { return 1 + rand.IntN(2) }
