// Package call defines the typed content of the headers of a request to a backend
// server and of its answer, independent of the header names on the wire.
package call

import (
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Priority is the priority that is passed to a model engine; 0 is the most urgent.
type Priority int

// PriorityUnset means that no priority is passed and the engine uses its default.
const PriorityUnset Priority = -1

// Meta is the metadata that a client sends in the headers of its request.
type Meta struct {
	// ID names one request of the client; a retry has another. A backend server
	// repeats it in its answer.
	ID ident.RequestID
	// Key is the API key.
	Key string
	// TimeLeft is how long the client waits for the answer; zero if not given.
	TimeLeft time.Duration
	// LastEventID is the id of the last event that the client has received if it
	// resumes a stream.
	LastEventID string
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// OutputTokens is the maximum number of tokens of output.
	OutputTokens int64
	// PromptParts are the ids of the parts of the prompt that other requests share, in
	// order. The part that only this request or its session has is left out.
	PromptParts []ident.PromptPart
	// OutputEstimate is the client's estimate of the number of tokens of output. It
	// is often far off.
	OutputEstimate int64
}

// Forward is what the headers of a request to a backend server say in addition to
// the client's headers.
type Forward struct {
	Server   ident.ServerID
	Account  ident.ClientAccount
	TimeLeft time.Duration
	Priority Priority
	// LastEventID is set if a stream is resumed.
	LastEventID string
}

// Load is the load that a backend server reports in the headers of its answers.
type Load struct{ Running, Waiting, Slots int }

// Head is the content of the status and headers of a backend server's answer.
type Head struct {
	Status    int
	RequestID ident.RequestID
	// Signed reports whether the answer has the header with the backend server's signature.
	Signed bool
	// Encoded reports whether the body has a content encoding. None is ever requested.
	Encoded bool
	// NotRun reports whether the answer shows that the server has not run the request.
	NotRun bool
	// Misdirected reports whether the address now belongs to another backend server.
	Misdirected bool
	// Closing reports whether the server closes the connection after this answer.
	Closing bool
	// RetryAfter is how long a server that turned the request away wants no other one, zero
	// if it does not say.
	RetryAfter time.Duration
	// Leaving reports whether the server says that it is leaving.
	Leaving bool
	// BlamedAddress is the host and port of the server whose failure kept this one from
	// running the request: the engines of a group wait for each other. It may be empty.
	BlamedAddress string
	// IdleLimit is how long the server keeps an idle connection open; zero if unknown.
	IdleLimit time.Duration
	Load      Load
	HasLoad   bool
	// Rate is the number of requests a second that the server takes from all callers
	// together. HasRate reports whether the answer announces one.
	Rate    float64
	HasRate bool
}

// Protocol translates between HTTP headers and typed values. The adapter to a
// platform implements it.
type Protocol interface {
	// Request reads the headers of a client's request.
	Request(h http.Header) Meta
	// Forward returns the headers of a request to a backend server.
	Forward(client http.Header, f Forward) http.Header
	// Answer reads the status and headers of a backend server's answer.
	Answer(status int, h http.Header) Head
	// Deliver copies the headers of a backend server's answer that are meant for the
	// client.
	Deliver(to, from http.Header)
	// Refuse sets the headers of an answer that this process gives by itself. The
	// client is asked to retry after the wait, unless it is zero.
	Refuse(h http.Header, id ident.RequestID, wait time.Duration)
}
