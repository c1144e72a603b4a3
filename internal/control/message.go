package control

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// Input is an input of Step.
type Input interface{ isInput() }

// LinkUp reports a new link. A second link to the same peer replaces the first.
type LinkUp struct{ Hello message.Hello }

// LinkDown reports the end of the last link to a peer. OnPurpose means that this
// process closed it because it no longer needs it.
type LinkDown struct {
	Peer      ident.InstanceID
	OnPurpose bool
}

// PeerMessage is a message from a linked peer.
type PeerMessage struct {
	From    ident.InstanceID
	Message message.Message
}

// ReadValue reports a read of the configuration service that returned a value.
type ReadValue struct {
	Number        uint64
	StoreRevision uint64
	Data          []byte
}

// ReadWithoutValue reports a read of the configuration service that returned no value.
type ReadWithoutValue struct {
	Number        uint64
	Result        recordsync.ReadResult
	StoreRevision uint64
}

// Instances is the result of one read of the instance list: the live entries, and
// the number of all instances.
type Instances struct {
	Members []message.Member
	Total   int
}

// EngineMessage is an answer of the engine beside a sidecar.
type EngineMessage struct{ Message orders.Message }

// Tick runs the timers that are due.
type Tick struct{}

func (LinkUp) isInput()           {}
func (LinkDown) isInput()         {}
func (PeerMessage) isInput()      {}
func (ReadValue) isInput()        {}
func (ReadWithoutValue) isInput() {}
func (Instances) isInput()        {}
func (EngineMessage) isInput()    {}
func (Tick) isInput()             {}

// Action is an output of Step. Outputs are carried out in order.
type Action interface{ isAction() }

// Send sends a message to a linked peer.
type Send struct {
	To      ident.InstanceID
	Message message.Message
}

// Adopt puts a snapshot in force. Before is the earlier one, or nil.
type Adopt struct {
	Snapshot *record.Snapshot
	Before   *record.Snapshot
	// From is the peer that sent the record, or empty.
	From ident.InstanceID
}

// Refused reports an invalid record.
type Refused struct {
	Record message.Digest
	Reason string
}

// Ignored reports a record that is not newer than the one in force or was refused
// before. Stale means that it came from the configuration service and is older.
type Ignored struct {
	Record message.Digest
	Stale  bool
}

// Ready reports that the process may serve.
type Ready struct{}

// Read starts a read of the configuration service.
type Read struct{ recordsync.Read }

// CancelRead cancels the running read, if any.
type CancelRead struct{}

// PeerChanged reports a new state of a peer.
type PeerChanged struct{ membership.StateChanged }

// ReadBack asks the engine for its state.
type ReadBack struct{}

// Order changes the engine's state.
type Order struct{ orders.Order }

// Reached reports that the engine is in the desired state.
type Reached struct{ Revision ident.Revision }

func (Send) isAction()        {}
func (Adopt) isAction()       {}
func (Refused) isAction()     {}
func (Ignored) isAction()     {}
func (Ready) isAction()       {}
func (Read) isAction()        {}
func (CancelRead) isAction()  {}
func (PeerChanged) isAction() {}
func (ReadBack) isAction()    {}
func (Order) isAction()       {}
func (Reached) isAction()     {}
