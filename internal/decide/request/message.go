// Package request decides the life of one request at an entry: which attempts
// are made, when the answer is whole, and what may be said about a request that
// did not complete. It performs nothing itself: Step takes what happened and
// returns what to do.
package request

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Message is something that happened to a request.
type Message interface{ isMessage() }

// Picked says that a backend server was chosen.
type Picked struct{ Server ident.ServerID }

// NoServer says that no backend server can be chosen now. Final means that
// waiting does not help.
type NoServer struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Final      bool
}

// Unwritten says that the offer was certainly not written to a link.
type Unwritten struct{ Attempt ident.Attempt }

// Accepted says that the attempt waits at the sidecar.
type Accepted struct{ Attempt ident.Attempt }

// Refused says, with the sidecar's proof, that the attempt never runs.
type Refused struct {
	Attempt    ident.Attempt
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Withdrawn answers a withdrawal with proof that the attempt never runs.
type Withdrawn struct{ Attempt ident.Attempt }

// TooLate answers a withdrawal of an attempt that has started.
type TooLate struct{ Attempt ident.Attempt }

// Progress says that output of the attempt arrived in order.
type Progress struct{ Attempt ident.Attempt }

// Whole says that the whole answer has arrived.
type Whole struct{ Attempt ident.Attempt }

// Failed says that the attempt ended without a whole answer.
type Failed struct {
	Attempt ident.Attempt
	Reason  outcome.Reason
}

// Lost says that the link to the server of the attempt broke.
type Lost struct{ Attempt ident.Attempt }

// Left says that the caller went away.
type Left struct{}

func (Picked) isMessage()    {}
func (NoServer) isMessage()  {}
func (Unwritten) isMessage() {}
func (Accepted) isMessage()  {}
func (Refused) isMessage()   {}
func (Withdrawn) isMessage() {}
func (TooLate) isMessage()   {}
func (Progress) isMessage()  {}
func (Whole) isMessage()     {}
func (Failed) isMessage()    {}
func (Lost) isMessage()      {}
func (Left) isMessage()      {}

// Action is something to do.
type Action interface{ isAction() }

// Choose asks for a backend server; the answer is Picked or NoServer.
type Choose struct {
	// Excluded servers refused or failed this request before.
	Excluded []ident.ServerID
	// Retry means that work may be done twice, which the retry budget limits.
	Retry bool
	// Resume means that the caller already has a part of the answer.
	Resume bool
}

// Offer sends the attempt to the server.
type Offer struct {
	Attempt   ident.Attempt
	Server    ident.ServerID
	Remaining time.Duration
}

// Withdraw asks the server to take the attempt back.
type Withdraw struct {
	Attempt ident.Attempt
	Server  ident.ServerID
}

// Cancel tells the server that nobody waits for the attempt.
type Cancel struct {
	Attempt ident.Attempt
	Server  ident.ServerID
}

// Settle says that an attempt is over, so that the server's load is counted anew.
type Settle struct {
	Attempt ident.Attempt
	Server  ident.ServerID
	// Refused means that the server did not run the attempt.
	Refused bool
	// Failed means that the server broke off.
	Failed bool
}

// End tells the caller how the request ended.
type End struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

func (Choose) isAction()   {}
func (Offer) isAction()    {}
func (Withdraw) isAction() {}
func (Cancel) isAction()   {}
func (Settle) isAction()   {}
func (End) isAction()      {}
