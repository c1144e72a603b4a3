package upstream_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/upstream"
)

// Guards against an answer whose head is passed on with a malformed line, or whose length or
// encoding is hidden by one, so that the framing, or a part of it, is taken for the body.
func TestMalformedHeadsFailTheAttempt(t *testing.T) {
	const begin, end = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n", "\r\nok"
	for _, text := range []string{
		begin + "Content-Length : 2\r\n" + end,
		begin + "Content-Length\t: 2\r\n" + end,
		begin + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		begin + "Content Length: 2\r\n" + end,
		begin + " Content-Length: 2\r\n" + end,
		begin + "\tContent-Length: 2\r\n" + end,
		begin + "Content-\x01Length: 2\r\n" + end,
		begin + "X-\x00: 1\r\nContent-Length: 2\r\n" + end,
		begin + "X\x7f: 1\r\nContent-Length: 2\r\n" + end,
		begin + "\nX: 1\r\nContent-Length: 2\r\n" + end,
		begin + "X\r: 1\r\nContent-Length: 2\r\n" + end,
		begin + "X: 1\rContent-Length: 2\r\n" + end,
		begin + "X: a\x00b\r\nContent-Length: 2\r\n" + end,
		begin + "X: a\nContent-Length: 2\r\n" + end,
		begin + ": 1\r\nContent-Length: 2\r\n" + end,
		begin + "no colon\r\nContent-Length: 2\r\n" + end,
		begin + "X: 1\r\n folded\r\nContent-Length: 2\r\n" + end,
		begin + "X\xe9: 1\r\nContent-Length: 2\r\n" + end,
		begin + "Content-Length: 2\r\nContent-Length: 2\r\n" + end,
		begin + "Content-Length: 2, 2\r\n" + end,
		begin + "Content-Length: +2\r\n" + end,
		begin + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		begin + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		begin + "Transfer-Encoding: identity\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n" + answer("1", "ok"),
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer("1", "ok"),
		begin + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX : 1\r\n\r\n",
		begin + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\nX: 1\r\n\r\n",
		begin + "Transfer-Encoding: chunked\r\n\r\n2 x\r\nok\r\n0\r\n\r\n",
		begin + "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
		begin + "Transfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n",
		"HTTP/2 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n" + end,
		"HTTP/1.1 200 O\x01K\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n" + end,
	} {
		f := newFixture(t)
		last := f.one(upstream.Request{ID: "1"}, func(s *server) {
			s.read(t)
			s.write(text)
			must.NoError(t, s.conn.Close())
		})
		failed, ok := last.(upstream.Failed)
		must.True(t, ok, must.Sprintf("%q was taken for an answer: %+v", text, last))
		must.True(t, failed.Malformed, must.Sprintf("%q: %v", text, failed.Err))
	}
}

// Guards against sound answers of unusual forms that are refused.
func TestSoundHeadsAreRead(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
	for _, text := range []string{
		begin + "content-length:2\r\n\r\nok",
		begin + "CONTENT-LENGTH: \t 2 \t\r\n\r\nok",
		begin + "X-Empty:\r\nX-Bytes: \xe9\tb\r\nA!#$%&'*+-.^_`|~9: v\r\nContent-Length: 2\r\n\r\nok",
		begin + "transfer-encoding: Chunked\r\n\r\n1;a=b\r\no\r\n001 \r\nk\r\n0\r\nX-Trailer: t\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" + begin + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nok",
		begin + "\r\nok",
	} {
		f := newFixture(t)
		last := f.one(upstream.Request{ID: "1"}, func(s *server) {
			s.read(t)
			s.write(text)
			must.NoError(t, s.conn.Close())
		})
		received, ok := last.(upstream.AnswerReceived)
		must.True(t, ok, must.Sprintf("%q: %+v", text, last))
		must.Eq(t, "ok", string(received.Body))
	}
}
