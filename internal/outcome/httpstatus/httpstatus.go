// Package httpstatus says with which HTTP statuses a request may be answered, by whether it
// may have run. Both front ends use it for answers of their own and for those of servers.
package httpstatus

import (
	"net/http"

	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// PromisesNotRun reports whether clients take the status as the promise that the request
// has not run and never will, whoever answers with it. They then send the request again,
// even if it must not run twice.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Truthful reports whether the status may answer a request that must not run twice and
// ended in this way.
func Truthful(kind outcome.Kind, status int) bool {
	return kind == outcome.NotRun || !PromisesNotRun(status)
}
