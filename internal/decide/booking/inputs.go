package booking

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Party identifies the link on which a message arrived, so that the answer can
// be sent back on it.
type Party string

// Input is a message to Home.
type Input interface{ isHomeInput() }

// Received is a message from another process.
type Received struct {
	From    Party
	Message message.Message
}

// Adopted announces a record that came into force. A record that is
// not newer than the one in force is ignored.
type Adopted struct {
	Record message.Digest
	// Replicas are the replicas of the service, empty if the record does not have
	// the service.
	Replicas []Replica
	// ValidFrom is a time before which no key was used, as stated by the operator.
	// Zero means that there is no such statement.
	ValidFrom time.Time
	// OpaqueWindow is how long opaque keys are protected against a second run.
	// Zero selects the default.
	OpaqueWindow time.Duration
}

// Learned reports processes that may be or may have been homes of the
// service, as told by peers.
type Learned struct{ Addresses []string }

// Listed reports one successful read of the instance list.
type Listed struct {
	// Addresses are the link addresses of all processes on the list.
	Addresses []string
	// Candidates are the addresses of those that may be homes of the service:
	// sidecars that the record does not assign to a model.
	Candidates []string
}

// Finished reports the end of a call that Run started.
type Finished struct {
	Nonce uint64
	// Kind is completed if the service answered, not-run if the call was never
	// written to the service, and unknown otherwise.
	Kind   outcome.Kind
	Reason outcome.Reason
	Status int
	Header [][2]string
	Body   []byte
}

// Drain reports whether the backend server is shutting down. While it is, new
// keys are refused.
type Drain struct{ On bool }

// Tick lets expired timers fire. It is sent every TickInterval.
type Tick struct{}

func (Received) isHomeInput() {}
func (Adopted) isHomeInput()  {}
func (Learned) isHomeInput()  {}
func (Listed) isHomeInput()   {}
func (Finished) isHomeInput() {}
func (Drain) isHomeInput()    {}
func (Tick) isHomeInput()     {}

// Action is something that the owner of a Home must carry out.
type Action interface{ isAction() }

// Reply sends an answer on the link on which the question arrived.
type Reply struct {
	To      Party
	Message message.Message
}

// Ask sends a message to another sidecar, by link address.
type Ask struct {
	To      string
	Message message.Message
}

// Run makes the call to the service. Its end is reported by an input with the same
// nonce.
type Run struct {
	Nonce  uint64
	Key    message.KeyID
	Commit *message.BookCommit
}

func (Reply) isAction() {}
func (Ask) isAction()   {}
func (Run) isAction()   {}

// Identity identifies a Home: its service, its process and the incarnation of
// the process.
type Identity struct {
	Service     ident.ServiceName
	Self        Replica
	Incarnation ident.Incarnation
}
