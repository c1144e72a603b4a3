package booking

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Party names a link on which an answer goes back.
type Party string

// Input is a message to Home.
type Input interface{ home() }

// Received is a message from another process.
type Received struct {
	From    Party
	Message message.Message
}

// Adopted is a record that came into force. Records older than the one in force
// are ignored.
type Adopted struct {
	Record message.Digest
	// Replicas of the service, empty if the record has no such service.
	Replicas []Replica
	// ValidFrom is the operator's statement that no key was used before it.
	ValidFrom time.Time
	// OpaqueWindow is how long opaque keys are protected. Zero is the default.
	OpaqueWindow time.Duration
}

// Learned names link addresses of processes that may be or have been homes of
// the service, as peers told them.
type Learned struct{ Addresses []string }

// Listed is one successful read of the instance list.
type Listed struct {
	// Addresses are the link addresses of all processes on the list.
	Addresses []string
	// Candidates are those that may be homes of the service: sidecars that the
	// record does not name as something else.
	Candidates []string
}

// Finished ends a call that Run started.
type Finished struct {
	Nonce uint64
	// Kind is completed with an answer, not-run if the call was never written to
	// the service, else unknown.
	Kind   outcome.Kind
	Reason outcome.Reason
	Status int
	Header [][2]string
	Body   []byte
}

// Drain says whether the backend server is leaving: new keys are refused.
type Drain struct{ On bool }

// Tick lets timers fire. It comes every TickInterval.
type Tick struct{}

func (Received) home() {}
func (Adopted) home()  {}
func (Learned) home()  {}
func (Listed) home()   {}
func (Finished) home() {}
func (Drain) home()    {}
func (Tick) home()     {}

// Action is what the owner of a Home carries out.
type Action interface{ action() }

// Reply goes back on the link that the question came from.
type Reply struct {
	To      Party
	Message message.Message
}

// Ask goes to another sidecar of the service, by link address.
type Ask struct {
	To      string
	Message message.Message
}

// Run makes the call. Its end comes back as Finished with the nonce.
type Run struct {
	Nonce  uint64
	Key    message.KeyID
	Commit *message.BookCommit
}

func (Reply) action() {}
func (Ask) action()   {}
func (Run) action()   {}

// Identity is what a Home is.
type Identity struct {
	Service     ident.ServiceName
	Self        Replica
	Incarnation ident.Incarnation
}
