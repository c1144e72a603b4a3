package entry

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/outcome/httpstatus"
)

// Guards against 429 for a request that broke off at one server and was then refused by the
// next because of its account's share: the status says that it has not run.
func TestStatusOfAnUnknownOutcomePromisesNothing(t *testing.T) {
	for _, reason := range []outcome.Reason{
		outcome.ReasonNone, outcome.ReasonAccountShare, outcome.ReasonQueueFull, outcome.ReasonBusy, outcome.ReasonDeadline, outcome.ReasonDraining,
		outcome.ReasonNoServer, outcome.ReasonNotHome, outcome.ReasonRetryBudget, outcome.ReasonQuarantined, outcome.ReasonServerFailed,
	} {
		status := statusOf(outcome.MayHaveRun(reason, ""))
		must.False(t, httpstatus.PromisesNotRun(status), must.Sprintf("reason %q, status %d", reason, status))
	}
	must.Eq(t, 429, statusOf(outcome.DidNotRun(outcome.ReasonAccountShare, "")))
	must.Eq(t, 503, statusOf(outcome.DidNotRun(outcome.ReasonQueueFull, "")))
}
