package clientconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/clientload"
)

const (
	// partBytes is the size of the parts in which a body is read. The limiter learns of each.
	partBytes = 64 << 10
	// maxDiscardedBody is how much of a refused body is read at most, in bytes.
	maxDiscardedBody = 4 << 20
)

// ReadBody reads the body of a request, which the process holds in the number of copies. It
// returns an *http.MaxBytesError or ErrTooLarge if the body is larger than the limit, in
// bytes, and ErrNoMemory if there is no memory for it now. In these cases the caller refuses
// the request and then calls DiscardBody.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, copies int) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	b := bodyReader{
		ctx: r.Context(), conn: connOf(r.Context()), copies: int64(copies),
		source: http.MaxBytesReader(w, r.Body, limit),
	}
	var err error
	if r.ContentLength >= 0 {
		err = b.readLength(r.ContentLength)
	} else {
		err = b.readChunks()
	}
	if err != nil {
		return nil, err
	}
	if b.conn != nil && len(b.body) > 0 {
		b.conn.limiter.note(clientload.RequestReceived{Connection: b.conn.id})
	}
	return b.body, nil
}

// bodyReader reads one body.
type bodyReader struct {
	ctx    context.Context
	conn   *Conn
	copies int64
	source io.Reader
	body   []byte
	// parts are the parts of a body of unknown length, size the sum of their sizes.
	parts [][]byte
	size  int64
}

// claim claims memory for further bytes of a body that has at least the size.
func (b *bodyReader) claim(bytes, size int64) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.claim(b.ctx, clientload.ForBody, b.copies*bytes, size)
}

func (b *bodyReader) progressed() {
	if b.conn != nil && b.conn.holdsMore() {
		b.conn.limiter.note(clientload.Progressed{Connection: b.conn.id})
	}
}

// readLength reads a body whose length is known.
func (b *bodyReader) readLength(length int64) error {
	if err := b.claim(length, length); err != nil {
		return err
	}
	b.body = make([]byte, 0, length)
	for int64(len(b.body)) < length {
		at := len(b.body)
		part := b.body[at:min(at+partBytes, int(length))]
		if _, err := io.ReadFull(b.source, part); err != nil {
			return errors.Wrapf(err, "read the request body after %d bytes of %d", at, length)
		}
		b.body = b.body[:at+len(part)]
		b.progressed()
	}
	return nil
}

// readChunks reads a body whose length is not known, part by part. A part is claimed once its
// first byte shows that the body goes on, since a body may end at its limit.
func (b *bodyReader) readChunks() error {
	for size := firstReadBytes; ; size = partBytes {
		var first [1]byte
		_, err := io.ReadFull(b.source, first[:])
		if err == nil {
			if err := b.claim(int64(size), b.size+1); err != nil {
				return err
			}
			err = b.readPart(append(make([]byte, 0, size), first[0]))
		}
		switch {
		case err == io.EOF:
			return b.join()
		case err != nil:
			return errors.Wrapf(err, "read the request body after %d bytes", b.size)
		}
		b.progressed()
	}
}

// readPart reads until the part is full or the body ends.
func (b *bodyReader) readPart(part []byte) error {
	var err error
	for len(part) < cap(part) && err == nil {
		var n int
		n, err = b.source.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
	}
	b.parts, b.size = append(b.parts, part), b.size+int64(len(part))
	return err
}

// join makes one body of the parts.
func (b *bodyReader) join() error {
	if len(b.parts) == 1 {
		b.body = b.parts[0]
		return nil
	}
	if err := b.claim(b.size, b.size); err != nil {
		return err
	}
	b.body = bytes.Join(b.parts, nil)
	return nil
}

// PrepareRefusal makes the server write an answer before it has read the body of the
// request, and then close the connection. Content-Length must be set before the answer is
// written, so that the client knows where it ends.
func PrepareRefusal(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// Without full duplex the server would first wait for a part of the body. A writer that
	// does not support it has no connection.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// DiscardBody sends what was written of a refusal, and reads a part of the unread body: a
// connection that is closed with unread bytes is reset, and the reset may destroy the answer
// before the client reads it.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	c := connOf(r.Context())
	if c == nil {
		return
	}
	c.discardUntil = time.Now().Add(discardTime)
	// The answer is complete, so an error of the body does not matter.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBody)
}
