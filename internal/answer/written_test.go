package answer_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/answer"
)

// Guards against a whole answer that is refused, or a connection that is not used again,
// because the writer of the request has not reported its end when the answer has.
func TestWriterIsAwaited(t *testing.T) {
	for _, c := range []struct {
		delay time.Duration
		err   error
		want  bool
	}{
		{0, nil, true}, {time.Millisecond, nil, true}, {time.Millisecond, errors.New("reset"), false}, {time.Minute, nil, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			result := make(chan error, 1)
			go func() {
				time.Sleep(c.delay)
				result <- c.err
			}()
			must.Eq(t, c.want, answer.Written(result))
			time.Sleep(c.delay)
		})
	}
}
