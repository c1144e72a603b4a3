// Package call holds the typed parts of a request to a backend server and of
// its answer, independent of the names that a front end uses on the wire.
package call

import (
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Priority is the urgency that a model engine is told, 0 first.
type Priority int

// PriorityUnset leaves the priority to the engine's default.
const PriorityUnset Priority = -1

// Meta is what a client says about its request.
type Meta struct {
	// ID names one try of the client. A backend server repeats it in its answer.
	ID  ident.RequestID
	Key string
	// TimeLeft is how long the client waits; zero if it does not say.
	TimeLeft time.Duration
	// LastEventID is the last event of the stream that the client has, if any.
	LastEventID string
	// PromptTokens and OutputTokens are the prompt's length and the most tokens of output.
	PromptTokens int64
	OutputTokens int64
	// OutputEstimate is the client's guess of the output, which is often far off.
	OutputEstimate int64
}

// Forward is what a request to a backend server carries beside the client's headers.
type Forward struct {
	Server   ident.ServerID
	Account  ident.ClientAccount
	TimeLeft time.Duration
	Priority Priority
	// LastEventID is set if a stream is resumed.
	LastEventID string
}

// Load is what a backend server says about itself in its answers.
type Load struct{ Running, Waiting, Slots int }

// Head is what the head of a backend server's answer says.
type Head struct {
	Status    int
	RequestID ident.RequestID
	// Sealed says that the answer bears the backend server's signature.
	Sealed bool
	// Encoded says that the body has a content encoding, which no client asked for.
	Encoded bool
	// NotRun is the server's statement that it has not run the request.
	NotRun bool
	// Elsewhere says that another backend server has the address now.
	Elsewhere bool
	// Closing says that the connection takes no further request.
	Closing bool
	// IdleLimit is how long the server keeps the connection idle; zero if unknown.
	IdleLimit time.Duration
	Load      Load
	HasLoad   bool
}

// Protocol translates headers. The adapter to a platform implements it.
type Protocol interface {
	Request(h http.Header) Meta
	Forward(client http.Header, f Forward) http.Header
	Answer(status int, h http.Header) Head
	// Deliver copies the headers of an answer that concern the client.
	Deliver(to, from http.Header)
	// Refuse sets the headers of an answer of this process; a wait of zero names none.
	Refuse(h http.Header, id ident.RequestID, wait time.Duration)
}
