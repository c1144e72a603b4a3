package upstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/upstream"
)

// Guards against an answer with a status outside 100 to 599 that is passed on, or that keeps
// the request waiting for another head.
func TestImpossibleStatusFailsTheAttempt(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "2000", "20", "+20", "0x1", "-10"} {
		f := newFixture(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		events := f.start(ctx, upstream.Request{ID: "1"})
		s := f.accept()
		s.read(t)
		s.write(fmt.Sprintf("HTTP/1.1 %s Trouble\r\nId: 1\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", status))
		list := collect(events)
		cancel()
		must.SliceNotEmpty(t, list, must.Sprint(status))
		failed, ok := list[len(list)-1].(upstream.Failed)
		must.True(t, ok, must.Sprint(status))
		must.True(t, failed.Malformed, must.Sprint(status))
	}
}
