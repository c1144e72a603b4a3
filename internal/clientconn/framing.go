package clientconn

import (
	"bytes"
	"strconv"
	"strings"
)

// framing says where the body of a request ends.
type framing struct {
	// lines is the number of lines of the head.
	lines int
	// length is the number of bytes of a body that is not chunked.
	length  int64
	chunked bool
	// unknown is set if the head does not say clearly where the body ends. The server
	// refuses most such requests; the connection is not used for another one.
	unknown bool
}

// headEnd returns the length of the head at the start of the bytes, with the empty line at
// its end, or zero if the head is incomplete. The bytes before from are known not to hold
// the end.
func headEnd(in []byte, from int) int {
	// The end may begin in the three bytes before.
	for at := max(from-3, 0); ; {
		n := bytes.IndexByte(in[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch rest := in[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + 2
		}
	}
}

// framingOf reads the framing from a complete head.
func framingOf(head []byte) framing {
	var f framing
	lengths, encodings, http10 := 0, 0, false
	for line := range bytes.Lines(head) {
		f.lines++
		if f.lines == 1 {
			line = bytes.TrimRight(line, "\r\n")
			http10 = bytes.HasSuffix(line, []byte(" HTTP/1.0"))
			f.unknown = !http10 && !bytes.HasSuffix(line, []byte(" HTTP/1.1"))
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case isField(name, "content-length"):
			lengths++
			f.length, f.unknown = parseLength(value, f.unknown)
		case isField(name, "transfer-encoding"):
			encodings++
			f.chunked = strings.EqualFold(string(bytes.TrimSpace(value)), "chunked")
			f.unknown = f.unknown || !f.chunked
		}
	}
	// HTTP/1.0 has no transfer encodings.
	f.unknown = f.unknown || lengths+encodings > 1 || http10 && encodings > 0
	return f
}

// isField reports whether the name of a header line, or what the server may take for it, is
// the given one in lower case.
func isField(name []byte, lower string) bool {
	return len(name) >= len(lower) && strings.EqualFold(string(bytes.TrimSpace(name)), lower)
}

// parseLength returns a length, and whether the framing is unknown.
func parseLength(value []byte, unknown bool) (int64, bool) {
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
	return int64(n), unknown || err != nil
}

// chunkScanner finds the end of a body in chunks (RFC 9112, section 7.1).
type chunkScanner struct {
	state chunkState
	// size is the size of the current chunk, or what is left of it.
	size int64
	// digits is the number of digits of the size, lineBytes the size of the current line of
	// the trailers.
	digits, lineBytes int
}

// chunkState is the part of a chunked body that comes next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailers
)

// maxSizeDigits is the number of hexadecimal digits of a size that fits into 63 bits.
const maxSizeDigits = 15

// scan returns how many of the bytes belong to the body and whether they complete it. It
// returns false if they are no valid chunks.
func (s *chunkScanner) scan(p []byte) (n int, complete, valid bool) {
	for n < len(p) {
		if s.state == chunkData {
			skipped := min(int64(len(p)-n), s.size)
			s.size -= skipped
			n += int(skipped)
			if s.size == 0 {
				s.state = chunkDataEnd
			}
			continue
		}
		complete, valid = s.scanByte(p[n])
		n++
		if complete || !valid {
			return n, complete, valid
		}
	}
	return n, false, true
}

// scanByte takes a byte outside the data of a chunk.
func (s *chunkScanner) scanByte(b byte) (complete, valid bool) {
	switch s.state {
	case chunkSize:
		return false, s.scanSize(b)
	case chunkExtension:
		return false, b != '\n' || s.beginData()
	case chunkDataEnd:
		if b == '\n' {
			s.state, s.size, s.digits = chunkSize, 0, 0
		}
		return false, b == '\n' || b == '\r'
	default:
		switch b {
		case '\n':
			complete, s.lineBytes = s.lineBytes == 0, 0
		case '\r':
		default:
			s.lineBytes++
		}
		return complete, true
	}
}

func (s *chunkScanner) scanSize(b byte) bool {
	switch {
	case b >= '0' && b <= '9':
		s.size = s.size<<4 | int64(b-'0')
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		s.size = s.size<<4 | int64(b|0x20-'a'+10)
	case b == '\n':
		return s.beginData()
	default:
		s.state = chunkExtension
		return b == '\r' || b == ';' || b == ' ' || b == '\t'
	}
	s.digits++
	return s.digits <= maxSizeDigits
}

// beginData begins the data of the chunk whose size line has ended.
func (s *chunkScanner) beginData() bool {
	s.state = chunkData
	if s.size == 0 {
		s.state = chunkTrailers
	}
	return s.digits > 0
}
