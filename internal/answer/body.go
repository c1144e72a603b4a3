package answer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// lengthReader reads a body with a length.
type lengthReader struct {
	source *bufio.Reader
	left   int64
}

// Read implements io.Reader.
func (b *lengthReader) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		return n, io.EOF
	}
	return n, unexpected(err)
}

// closeReader reads a body that ends with its connection.
type closeReader struct{ reader *Reader }

// Read implements io.Reader.
func (b *closeReader) Read(p []byte) (int, error) {
	n, err := b.reader.buffered.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.reader.complete(); err != nil {
		return n, err
	}
	return n, io.EOF
}

// chunkReader reads a body in chunks (RFC 9112, section 7.1). Its trailers are checked and
// dropped.
type chunkReader struct {
	reader *Reader
	// left is the size of what is left of the current chunk.
	left int64
	// began is set after the first chunk has begun, ended after the last one.
	began, ended bool
}

// Read implements io.Reader.
func (b *chunkReader) Read(p []byte) (int, error) {
	if b.left == 0 && !b.ended {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.reader.buffered.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, unexpected(err)
}

func (b *chunkReader) nextChunk() error {
	limit := maxChunkLineBytes
	if b.began {
		end, err := b.reader.appendLine(nil, &limit)
		if err != nil {
			return err
		}
		if len(end) != len("\r\n") {
			return malformed("a chunk is longer than its size")
		}
	}
	line, err := b.reader.appendLine(nil, &limit)
	if err != nil {
		return err
	}
	b.began = true
	if b.left, err = parseChunkSize(line); err != nil || b.left > 0 {
		return err
	}
	b.ended = true
	limit = MaxHeadBytes
	trailers, err := b.reader.readLines(&limit)
	if err != nil {
		return err
	}
	_, err = parseFields(trailers)
	return err
}

// parseChunkSize parses the line before the data of a chunk, with its line break.
func parseChunkSize(line []byte) (int64, error) {
	size, extension, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r\n")), []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || !isText(string(extension)) {
		return 0, malformed("the chunk size %.40q is not a hexadecimal number", line)
	}
	return int64(n), nil
}
