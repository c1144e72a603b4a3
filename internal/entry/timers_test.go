package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/request"
)

// Guards against requests that have ended and are kept until their deadlines: at many short
// requests a second they take the memory of the instance.
func TestTimersOfEndedRequestsAreRemoved(t *testing.T) {
	machines, err := request.NewMachines(nil)
	must.NoError(t, err)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := &dispatch{requests: make(map[ticket]*activeRequest)}
	start := func(n ticket, deadline time.Duration) *activeRequest {
		r := &activeRequest{ticket: n}
		r.lifecycle, _ = machines.New(now, request.Plan{FirstOutputTimeout: deadline, Repeatable: true})
		d.requests[n] = r
		d.schedule(r)
		return r
	}
	running := start(1, time.Minute)
	for n := range ticket(10_000) {
		start(2+n, 30*time.Second)
		delete(d.requests, 2+n)
	}
	must.LessEq(t, maxIgnoredTimers+2, len(d.timers))
	found := false
	for _, e := range d.timers {
		found = found || d.timedRequest(e) == running
	}
	must.True(t, found)
}
