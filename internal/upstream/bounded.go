package upstream

import (
	"io"

	"github.com/pkg/errors"
)

// boundedReader reads from a source up to a limit that is set for a part of the input.
type boundedReader struct {
	source  io.Reader
	limited bool
	// left is the number of bytes that may still be read.
	left int
}

var errLimitExceeded = errors.New("more bytes than allowed")

// limit allows the next n bytes to be read, beside those that are buffered already.
func (r *boundedReader) limit(n int) { r.limited, r.left = true, n }

func (r *boundedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, errLimitExceeded
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
