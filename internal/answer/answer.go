// Package answer reads the answers of HTTP/1.1 servers. It alone decides whether an answer
// is well-formed, by its bytes and before their framing is used, and whether it is whole.
package answer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// readBuffer is the size of a read buffer in bytes, enough for a few events of a stream.
	readBuffer = 4 << 10
	// MaxHeadBytes is the maximum size in bytes of the head of an answer, with its interim
	// answers, and of its trailers.
	MaxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head. A parsed line takes many times its size.
	maxHeadLines = 1024
	// maxChunkLineBytes is the maximum size of the line before the data of a chunk.
	maxChunkLineBytes = 4 << 10
)

var errTooLong = errors.WithMessage(ErrMalformed, "the head, a chunk size or the trailers are too long")

// Reader reads the answers on one connection.
type Reader struct {
	buffered *bufio.Reader
	// complete is asked at the end of an answer that ends with its connection.
	complete func() error
}

// NewReader returns a reader of the answers on a connection. An answer that ends with its
// connection is whole if complete returns nil at that end. Only its caller knows: it must
// have sent the whole request, and the connection must not have been reset.
func NewReader(connection io.Reader, complete func() error) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(connection, readBuffer), complete: complete}
}

// SetComplete replaces the function that NewReader got.
func (r *Reader) SetComplete(complete func() error) { r.complete = complete }

// Buffered returns the number of bytes that were received and not read.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// Answer is one answer. Its head has been read, its body is read from it.
type Answer struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, negative if it is not known.
	Length int64
	// Chunked reports whether the body is sent in chunks.
	Chunked bool
	// Closes reports whether the connection cannot be used after the answer.
	Closes bool
	body   io.Reader
}

// Read reads a part of the body. It returns io.EOF only after a whole body.
func (a *Answer) Read(p []byte) (int, error) { return a.body.Read(p) }

// EndsWithConnection reports whether only the end of the connection marks the end of the
// body.
func (a *Answer) EndsWithConnection() bool { return a.Length < 0 && !a.Chunked }

// Next reads the head of the answer to a request with the method. Interim answers are
// checked and skipped. If no byte of an answer arrived, it returns the error of the
// connection.
func (r *Reader) Next(method string) (*Answer, error) {
	left := MaxHeadBytes
	for {
		if _, err := r.buffered.Peek(1); err != nil {
			return nil, err
		}
		lines, err := r.readLines(&left)
		if err != nil {
			return nil, err
		}
		h, err := parseHead(lines)
		if err != nil {
			return nil, err
		}
		f, err := h.framing(method)
		if err != nil {
			return nil, err
		}
		if h.status == http.StatusSwitchingProtocols {
			return nil, malformed("the server switches to another protocol unasked")
		}
		if h.status >= 200 {
			return r.answer(h, f), nil
		}
	}
}

func (r *Reader) answer(h head, f framing) *Answer {
	a := &Answer{
		Status: h.status, Header: h.header, Length: f.length, Chunked: f.kind == chunkedBody,
		Closes: h.closes() || f.kind == closeBody,
	}
	switch f.kind {
	case lengthBody:
		a.body = &lengthReader{source: r.buffered, left: f.length}
	case chunkedBody:
		a.body = &chunkReader{reader: r}
	case closeBody:
		a.body = &closeReader{reader: r}
	default:
		a.body = http.NoBody
		// What a server sends after such an answer belongs to no request.
		a.Closes = a.Closes || len(h.header["Transfer-Encoding"]) > 0
	}
	return a
}

// readLines reads lines up to an empty one, which is left out. Each line that is returned has
// its line break. The limit in bytes is lowered by what was read.
func (r *Reader) readLines(limit *int) ([]byte, error) {
	var lines []byte
	for count := 0; count <= maxHeadLines; count++ {
		at := len(lines)
		var err error
		if lines, err = r.appendLine(lines, limit); err != nil {
			return nil, err
		}
		if len(lines)-at == len("\r\n") {
			return lines[:at], nil
		}
	}
	return nil, errTooLong
}

// appendLine reads one line and appends it. A line that a carriage return does not end is
// malformed, since other readers may take it for two or for a part of one.
func (r *Reader) appendLine(to []byte, limit *int) ([]byte, error) {
	at := len(to)
	for {
		part, err := r.buffered.ReadSlice('\n')
		to = append(to, part...)
		if *limit -= len(part); *limit < 0 {
			return nil, errTooLong
		}
		switch {
		case err == nil:
			if !bytes.HasSuffix(to[at:], []byte("\r\n")) {
				return nil, malformed("the line %.40q has no carriage return at its end", to[at:])
			}
			return to, nil
		case err != bufio.ErrBufferFull:
			return nil, unexpected(err)
		}
	}
}

// unexpected returns the error of a read within an answer.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
