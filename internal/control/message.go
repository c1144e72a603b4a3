package control

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/membership"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/spread"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// In is an input of Step.
type In interface{ controlIn() }

// LinkUp reports a new link. A second link to the same peer replaces the first.
type LinkUp struct{ Hello message.Hello }

// LinkDown reports the end of the last link to a peer. OnPurpose says that this
// process closed it because it no longer needs it.
type LinkDown struct {
	Peer      ident.InstanceID
	OnPurpose bool
}

// Frame is a message from a linked peer.
type Frame struct {
	From    ident.InstanceID
	Message message.Message
}

// Value is a value read from the configuration service.
type Value struct {
	Number        uint64
	StoreRevision uint64
	Data          []byte
}

// NoValue reports a read that ended without a value.
type NoValue struct {
	Number        uint64
	Result        spread.ReadResult
	StoreRevision uint64
}

// Instances is one read of the instance list: the live entries, and the number
// of all instances.
type Instances struct {
	Members []message.Member
	Total   int
}

// Engine is what the engine beside a sidecar answered.
type Engine struct{ Message orders.Message }

// Tick lets time pass.
type Tick struct{}

func (LinkUp) controlIn()    {}
func (LinkDown) controlIn()  {}
func (Frame) controlIn()     {}
func (Value) controlIn()     {}
func (NoValue) controlIn()   {}
func (Instances) controlIn() {}
func (Engine) controlIn()    {}
func (Tick) controlIn()      {}

// Out is an output of Step. Outputs are carried out in order.
type Out interface{ controlOut() }

// Send sends a message to a linked peer.
type Send struct {
	To      ident.InstanceID
	Message message.Message
}

// InForce puts a snapshot in force. Before is the earlier one, or nil.
type InForce struct {
	Snapshot *record.Snapshot
	Before   *record.Snapshot
	// From is the peer that sent the record, or empty.
	From ident.InstanceID
}

// Refused names a record that is not valid.
type Refused struct {
	Record message.Digest
	Reason string
}

// Ignored names a record that is not newer than the one in force. Stale says
// that it came from the configuration service and is older.
type Ignored struct {
	Record message.Digest
	Stale  bool
}

// Ready says that the process may serve.
type Ready struct{}

// Read starts a read of the configuration service.
type Read struct{ spread.Read }

// CancelRead ends the running read, if there is one.
type CancelRead struct{}

// PeerChanged reports a new belief about a peer.
type PeerChanged struct{ membership.StateChanged }

// ReadBack asks the engine for its state.
type ReadBack struct{}

// Order changes the engine.
type Order struct{ orders.Order }

// Reached reports that the engine is in the desired state.
type Reached struct{ Revision ident.Revision }

func (Send) controlOut()        {}
func (InForce) controlOut()     {}
func (Refused) controlOut()     {}
func (Ignored) controlOut()     {}
func (Ready) controlOut()       {}
func (Read) controlOut()        {}
func (CancelRead) controlOut()  {}
func (PeerChanged) controlOut() {}
func (ReadBack) controlOut()    {}
func (Order) controlOut()       {}
func (Reached) controlOut()     {}
