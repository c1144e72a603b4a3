package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/upstream"
)

// serveEarlyPart reads a little of the request, answers at once without a length, sends a
// part of the body, and ends the connection.
func serveEarlyPart(t *testing.T, s *server, text string, end func(*server)) {
	t.Helper()
	_, err := io.ReadFull(s.reader, make([]byte, 1000))
	must.NoError(t, err)
	s.write(text)
	end(s)
}

// Guards against a part of an answer without a length that counts as complete because the
// goroutine that writes the request, not the one that reads the answer, gets the reset.
func TestAnswerCutOffDuringAnUploadIsIncomplete(t *testing.T) {
	// The upload is larger than the buffers of the sockets.
	body := []byte(strings.Repeat("b", 16<<20))
	ends := map[string]func(*server){
		"reset": (*server).reset,
		"close": func(s *server) { _ = s.conn.Close() },
		"end of the answer": func(s *server) {
			_ = s.conn.(*net.TCPConn).CloseWrite()
			t.Cleanup(func() { _ = s.conn.Close() })
		},
	}
	heads := map[string]string{
		"answer": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\n" + strings.Repeat("a", 1500),
		"stream": "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	}
	for end, finish := range ends {
		for kind, text := range heads {
			t.Run(kind+" cut off by "+end, func(t *testing.T) {
				f := newFixture(t)
				for range 10 {
					events := f.start(context.Background(), upstream.Request{ID: "1", Body: body, HasBody: true, Stream: kind == "stream"})
					serveEarlyPart(t, f.accept(), text, finish)
					list := collect(events)
					must.SliceNotEmpty(t, list)
					_, failed := list[len(list)-1].(upstream.Failed)
					must.True(t, failed, must.Sprintf("the last event is %T", list[len(list)-1]))
				}
			})
		}
	}
}

// Guards against a whole answer to an upload that is refused although the server has read
// the upload and closes the connection properly.
func TestAnswerWithoutLengthAfterAnUploadIsComplete(t *testing.T) {
	f := newFixture(t)
	body := strings.Repeat("b", 8<<20)
	last := f.one(upstream.Request{ID: "1", Body: []byte(body), HasBody: true}, func(s *server) {
		s.read(t)
		s.write("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nwhole")
		must.NoError(t, s.conn.Close())
	})
	received, ok := last.(upstream.AnswerReceived)
	must.True(t, ok, must.Sprintf("%+v", last))
	must.Eq(t, "whole", string(received.Body))
}
