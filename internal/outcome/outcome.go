// Package outcome defines the ways in which a request can end. Outcomes are values
// in decisions and messages; they are not Go errors.
package outcome

// Kind tells whether the work of a request was run.
type Kind string

const (
	// Completed means that the work ran and its result is known.
	Completed Kind = "completed"
	// NotRun means that the work certainly did not run and will not run.
	NotRun Kind = "not-run"
	// Unknown means that the work may or may not have run.
	Unknown Kind = "unknown"
)

// Reason is a stable code for why a request ended as it did.
type Reason string

// Reasons, as they appear in problem documents, metrics and events.
const (
	ReasonNone            Reason = ""
	ReasonUnauthenticated Reason = "unauthenticated"
	ReasonForbidden       Reason = "forbidden"
	ReasonNotFound        Reason = "not-found"
	ReasonMalformed       Reason = "malformed"
	ReasonMethod          Reason = "method-not-allowed"
	ReasonTooLarge        Reason = "too-large"
	ReasonQueueFull       Reason = "queue-full"
	ReasonBusy            Reason = "no-free-slot"
	ReasonAccountShare    Reason = "account-over-share"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonNoServer        Reason = "no-backend-server"
	// ReasonNotHome: the asked sidecar is not, or not yet, the home of the key.
	ReasonNotHome      Reason = "not-home"
	ReasonWithdrawn    Reason = "withdrawn"
	ReasonCanceled     Reason = "canceled"
	ReasonLinkLost     Reason = "link-lost"
	ReasonServerFailed Reason = "backend-server-failed"
	// ReasonKeyTooOld: an earlier run of the key's home may have run the key.
	ReasonKeyTooOld Reason = "key-older-than-memory"
	ReasonKeyFuture Reason = "key-from-the-future"
	ReasonKeyReused Reason = "key-reused-with-other-request"
	// ReasonKeySealed: the key was sealed for another home and is refused here.
	ReasonKeySealed          Reason = "key-sealed"
	ReasonReservationExpired Reason = "reservation-expired"
	ReasonRetryBudget        Reason = "retry-budget-spent"
	ReasonStreamGone         Reason = "stream-gone"
	ReasonConfiguration      Reason = "configuration-missing"
	ReasonInternal           Reason = "internal"
	// ReasonPredecessor: an earlier home of the key cannot say whether it ran the key.
	ReasonPredecessor      Reason = "predecessor-unresolved"
	ReasonGroupReforming   Reason = "group-reforming"
	ReasonServerSuspected  Reason = "backend-server-suspected"
	ReasonDuplicateAttempt Reason = "duplicate-attempt"
	// ReasonServerCrashed: the backend server's process ended before the first output.
	ReasonServerCrashed Reason = "backend-server-crashed"
	// ReasonClientMemory: other clients hold the memory for requests.
	ReasonClientMemory Reason = "client-memory-in-use"
	// ReasonQuarantined: the request has something in common with one that crashed a server.
	ReasonQuarantined Reason = "request-quarantined"
)

// Outcome is how a request, an attempt or a booking ended.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail is one sentence for the client. It holds no prompt, answer or key.
	Detail string
}

// DidNotRun returns a NotRun outcome.
func DidNotRun(reason Reason, detail string) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Detail: detail}
}

// MayHaveRun returns an Unknown outcome.
func MayHaveRun(reason Reason, detail string) Outcome {
	return Outcome{Kind: Unknown, Reason: reason, Detail: detail}
}

// Done returns a Completed outcome.
func Done() Outcome { return Outcome{Kind: Completed} }
