package httpstatus_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/outcome/httpstatus"
)

// Guards against a promise that a request has not run though it may have, and against
// withholding any other status.
func TestOnlyRequestsThatDidNotRunGetAPromise(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		must.True(t, httpstatus.Truthful(outcome.NotRun, status))
		for _, kind := range []outcome.Kind{outcome.Completed, outcome.Unknown, ""} {
			must.Eq(t, !promises[status], httpstatus.Truthful(kind, status), must.Sprintf("status %d, outcome %q", status, kind))
		}
	}
}
