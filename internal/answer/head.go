package answer

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformed is in the chain of every error about bytes that are no answer in HTTP/1.1.
var ErrMalformed = errors.New("malformed answer")

func malformed(format string, args ...any) error {
	return errors.WithMessagef(ErrMalformed, format, args...)
}

// head is the head of one answer.
type head struct {
	status int
	// http10 is set if the answer is of HTTP/1.0.
	http10 bool
	header http.Header
}

// parseHead parses and checks the lines of a head, without the empty line at its end. It is
// stricter than net/http: a field whose name has a blank or a control byte could otherwise
// hide a length or an encoding from it.
func parseHead(lines []byte) (head, error) {
	first, rest, _ := bytes.Cut(lines, []byte("\r\n"))
	h, err := parseStatusLine(string(first))
	if err != nil {
		return h, err
	}
	h.header, err = parseFields(rest)
	return h, err
}

// parseStatusLine parses a status line (RFC 9112, section 4).
func parseStatusLine(line string) (head, error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return head{}, malformed("the first line %.40q has no version of HTTP/1", line)
	}
	status, err := strconv.ParseUint(code, 10, 16)
	if err != nil || len(code) != 3 || status < 100 || status > 599 {
		return head{}, malformed("the status %.40q is not from 100 to 599", code)
	}
	if !isText(reason) {
		return head{}, malformed("the reason of status %d has a control byte", status)
	}
	return head{status: int(status), http10: version == "HTTP/1.0"}, nil
}

// parseFields parses the lines of header or trailer fields, each with its line break.
func parseFields(lines []byte) (http.Header, error) {
	header := make(http.Header)
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\r\n"))
		name, value, found := strings.Cut(string(line), ":")
		if !found || !isToken(name) {
			return nil, malformed("the line %.40q has no valid field name", line)
		}
		value = strings.Trim(value, " \t")
		if !isText(value) {
			return nil, malformed("the field %s has a control byte", name)
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		header[key] = append(header[key], value)
	}
	return header, nil
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for _, b := range []byte(text) {
		alphanumeric := b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return text != ""
}

// isText reports whether the text has no control byte but tabs.
func isText(text string) bool {
	for _, b := range []byte(text) {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// framing says where the body of an answer ends.
type framing struct {
	kind   bodyKind
	length int64
}

type bodyKind int

const (
	// noBody: the answer ends with its head.
	noBody bodyKind = iota
	lengthBody
	chunkedBody
	// closeBody: the answer ends with its connection.
	closeBody
)

// framing returns where the body ends, by the method of the request (RFC 9112, section 6.3).
func (h head) framing(method string) (framing, error) {
	encodings, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	length := int64(0)
	if len(lengths) > 0 {
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		if err != nil || len(lengths) > 1 {
			return framing{}, malformed("the length %.40q is not one number", lengths)
		}
		length = int64(n)
	}
	if len(encodings) > 0 && (len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") || h.http10 || len(lengths) > 0) {
		return framing{}, malformed("the transfer encoding %.40q is not chunked alone", encodings)
	}
	switch {
	case method == http.MethodHead || h.status < 200 || h.status == http.StatusNoContent || h.status == http.StatusNotModified:
		return framing{kind: noBody}, nil
	case len(encodings) > 0:
		return framing{kind: chunkedBody, length: -1}, nil
	case len(lengths) > 0:
		return framing{kind: lengthBody, length: length}, nil
	default:
		return framing{kind: closeBody, length: -1}, nil
	}
}

// closes reports whether the server closes the connection after the answer.
func (h head) closes() bool {
	keeps := !h.http10
	for _, line := range h.header["Connection"] {
		for _, option := range strings.Split(line, ",") {
			switch option = strings.TrimSpace(option); {
			case strings.EqualFold(option, "close"):
				return true
			case strings.EqualFold(option, "keep-alive"):
				keeps = true
			}
		}
	}
	return !keeps
}
