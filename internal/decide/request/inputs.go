// Package request implements the lifecycle of one request at an entry: which
// attempts are made, when the answer is complete, and which outcome is reported
// for a request that did not complete. It does no I/O: Step takes an input and
// returns the actions to carry out.
package request

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Input reports something that happened to a request.
type Input interface{ isInput() }

// Picked reports that a backend server was chosen.
type Picked struct{ Server ident.ServerID }

// NoServer reports that no backend server can take the request now. Final means
// that retrying cannot change this.
type NoServer struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
	Final      bool
}

// NotSent reports that the offer was certainly not written to a link.
type NotSent struct{ Attempt ident.Attempt }

// Accepted reports that the attempt is queued at the sidecar.
type Accepted struct{ Attempt ident.Attempt }

// Refused reports that the sidecar refused the attempt, which proves that it
// never runs.
type Refused struct {
	Attempt    ident.Attempt
	Reason     outcome.Reason
	RetryAfter time.Duration
}

// Withdrawn answers Withdraw and proves that the attempt never runs.
type Withdrawn struct{ Attempt ident.Attempt }

// TooLate answers Withdraw for an attempt that has already started.
type TooLate struct{ Attempt ident.Attempt }

// Progress reports that output of the attempt arrived in order.
type Progress struct{ Attempt ident.Attempt }

// Completed reports that the complete answer has arrived.
type Completed struct{ Attempt ident.Attempt }

// Failed reports that the attempt ended without a complete answer.
type Failed struct {
	Attempt ident.Attempt
	Reason  outcome.Reason
}

// LinkLost reports that the link to the server of the attempt broke.
type LinkLost struct{ Attempt ident.Attempt }

// ClientLeft reports that the client disconnected.
type ClientLeft struct{}

func (Picked) isInput()     {}
func (NoServer) isInput()   {}
func (NotSent) isInput()    {}
func (Accepted) isInput()   {}
func (Refused) isInput()    {}
func (Withdrawn) isInput()  {}
func (TooLate) isInput()    {}
func (Progress) isInput()   {}
func (Completed) isInput()  {}
func (Failed) isInput()     {}
func (LinkLost) isInput()   {}
func (ClientLeft) isInput() {}

// Action is something that the owner of the request must carry out.
type Action interface{ isAction() }

// ChooseServer requests a backend server. The answer is Picked or NoServer.
type ChooseServer struct {
	// Excluded are the servers that refused or failed this request before.
	Excluded []ident.ServerID
	// Retry reports whether an earlier attempt may have run, so that the retry
	// budget applies.
	Retry bool
	// Resume reports whether the client already has a part of the answer.
	Resume bool
}

// Offer sends the attempt to the server.
type Offer struct {
	Attempt   ident.Attempt
	Server    ident.ServerID
	Remaining time.Duration
}

// Withdraw asks the server to remove the attempt if it has not started.
type Withdraw struct {
	Attempt ident.Attempt
	Server  ident.ServerID
}

// Cancel tells the server to stop the attempt, because its answer is not needed
// any more.
type Cancel struct {
	Attempt ident.Attempt
	Server  ident.ServerID
}

// EndAttempt reports that an attempt has ended, so that it no longer counts towards
// the load of its server.
type EndAttempt struct {
	Attempt ident.Attempt
	Server  ident.ServerID
	// Refused reports whether the attempt certainly did not run.
	Refused bool
	// Failed reports whether the attempt failed or its link broke.
	Failed bool
}

// EndRequest reports the outcome of the request to the client.
type EndRequest struct {
	Outcome    outcome.Outcome
	RetryAfter time.Duration
}

func (ChooseServer) isAction() {}
func (Offer) isAction()        {}
func (Withdraw) isAction()     {}
func (Cancel) isAction()       {}
func (EndAttempt) isAction()   {}
func (EndRequest) isAction()   {}
