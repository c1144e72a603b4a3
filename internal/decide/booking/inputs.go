package booking

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// LinkID identifies the link on which a message arrived, so that the answer can
// be sent back on it.
type LinkID string

// Input is a message to Home.
type Input interface{ isHomeInput() }

// Received is a message from another process.
type Received struct {
	From    LinkID
	Message message.Message
}

// RecordAdopted announces a record that came into force. A record that is
// not newer than the one in force is ignored.
type RecordAdopted struct {
	Record message.Digest
	// Replicas are the replicas of the service, empty if the record does not have
	// the service.
	Replicas []Replica
	// KeysValidFrom is a time before which no key was used, as stated by the operator.
	// Zero means that there is no such statement.
	KeysValidFrom time.Time
	// OpaqueKeyWindow is how long opaque keys are protected against a second run.
	// Zero selects the default.
	OpaqueKeyWindow time.Duration
}

// ProcessesLearned reports processes that may be or may have been homes of the
// service, as told by peers.
type ProcessesLearned struct{ Addresses []string }

// InstanceListRead reports one successful read of the instance list.
type InstanceListRead struct {
	// Addresses are the link addresses of all processes on the list.
	Addresses []string
	// Candidates are the addresses of those that may be homes of the service:
	// sidecars that the record does not assign to a model.
	Candidates []string
}

// CallFinished reports the end of a call that Run started.
type CallFinished struct {
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

func (Received) isHomeInput()         {}
func (RecordAdopted) isHomeInput()    {}
func (ProcessesLearned) isHomeInput() {}
func (InstanceListRead) isHomeInput() {}
func (CallFinished) isHomeInput()     {}
func (Drain) isHomeInput()            {}
func (Tick) isHomeInput()             {}

// Action is something that the owner of a Home must carry out.
type Action interface{ isAction() }

// Reply sends an answer on the link on which the question arrived.
type Reply struct {
	To      LinkID
	Message message.Message
}

// SendToSidecar sends a message to another sidecar, by link address.
type SendToSidecar struct {
	To      string
	Message message.Message
}

// Run makes the call to the service. Its end is reported by a CallFinished with
// the same nonce.
type Run struct {
	Nonce  uint64
	Key    message.KeyID
	Commit *message.BookCommit
}

func (Reply) isAction()         {}
func (SendToSidecar) isAction() {}
func (Run) isAction()           {}

// Identity identifies a Home: its service, its process and the incarnation of
// the process.
type Identity struct {
	Service     ident.ServiceName
	Self        Replica
	Incarnation ident.Incarnation
}
