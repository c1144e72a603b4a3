package eventlog_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Guards against a log from which the content of a short request can be found by computing
// the fingerprints of all candidates.
func TestTagsDifferBetweenProcesses(t *testing.T) {
	first, second := eventlog.NewRequestTags(), eventlog.NewRequestTags()
	f, other := ident.Fingerprint(1), ident.Fingerprint(2)
	must.Eq(t, first.Of(f), first.Of(f))
	must.NotEq(t, first.Of(f), first.Of(other))
	must.NotEq(t, first.Of(f), second.Of(f))
}
