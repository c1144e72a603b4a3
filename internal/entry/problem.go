package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/outcome/httpstatus"
)

// Headers that anvilpoint sets or reads.
const (
	headerRequestID  = "Anvilpoint-Request-Id"
	headerOutcome    = "Anvilpoint-Outcome"
	headerClass      = "Anvilpoint-Priority-Class"
	headerKey        = "Idempotency-Key"
	headerLastEvent  = "Last-Event-ID"
	headerRetryAfter = "Retry-After"
	headerType       = "Content-Type"
)

const (
	typeProblem = "application/problem+json"
	typeJSON    = "application/json"
	typeEvents  = "text/event-stream"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome outcome.Kind   `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
}

func newProblem(o outcome.Outcome) problem {
	status := statusOf(o)
	return problem{
		Type: "urn:anvilpoint:problem:" + string(o.Reason), Title: http.StatusText(status), Status: status,
		Detail: o.Detail, Outcome: o.Kind, Reason: o.Reason,
	}
}

// statusOf returns the HTTP status of an outcome other than Completed. A request that may
// have run gets none that promises that it has not.
func statusOf(o outcome.Outcome) int {
	status := statusOfReason(o.Reason)
	if httpstatus.Truthful(o.Kind, status) {
		return status
	}
	return http.StatusBadGateway
}

// statusOfReason returns the HTTP status of a request that ended for the reason and has not
// run.
func statusOfReason(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case outcome.ReasonForbidden:
		return http.StatusForbidden
	case outcome.ReasonNotFound, outcome.ReasonStreamGone:
		return http.StatusNotFound
	case outcome.ReasonMalformed, outcome.ReasonKeyFuture:
		return http.StatusBadRequest
	case outcome.ReasonMethod:
		return http.StatusMethodNotAllowed
	case outcome.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonAccountShare:
		return http.StatusTooManyRequests
	case outcome.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case outcome.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// writeProblem answers with a problem document.
func writeProblem(w http.ResponseWriter, id ident.RequestID, o outcome.Outcome, retryAfter time.Duration) {
	p := newProblem(o)
	h := w.Header()
	h.Set(headerType, typeProblem)
	h.Set(headerOutcome, string(o.Kind))
	if id != "" {
		h.Set(headerRequestID, string(id))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests {
		seconds := max(int64((retryAfter+time.Second-1)/time.Second), 1)
		h.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	document, err := json.Marshal(p)
	if err != nil {
		document = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(document)))
	w.WriteHeader(p.Status)
	// The client may have gone away; there is nobody left to tell.
	_, _ = w.Write(document)
}
