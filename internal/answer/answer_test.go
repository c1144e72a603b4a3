package answer_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/answer"
)

// Guards against answers that are accepted but understood differently by net/http, through
// which callers and their tools read them.
func FuzzAcceptedAnswersAreUnderstoodAsByNetHTTP(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: a\r\nX: b\r\nx-y:\t c \r\n\r\nuntil the end",
		"HTTP/1.1 404 \r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nT: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Trouble\r\nContent-Length : 2\r\n\r\nok",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := answer.NewReader(bytes.NewReader(text), func() error { return nil }).Next(http.MethodGet)
		if err != nil {
			return
		}
		body, err := io.ReadAll(a)
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		response, err := http.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < 200 {
			response, err = http.ReadResponse(reader, nil)
		}
		must.NoError(t, err)
		must.Eq(t, response.StatusCode, a.Status)
		a.Header.Del("Transfer-Encoding")
		must.Eq(t, response.Header, a.Header)
		want, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, string(want), string(body))
	})
}
