package spread

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Message is an input of Step.
type Message interface{ spreadMessage() }

// LinkUp reports a new link whose peer announced its record in Hello.
type LinkUp struct {
	Peer   ident.InstanceID
	Record message.Digest
}

// LinkDown reports the end of a link.
type LinkDown struct{ Peer ident.InstanceID }

// PeerRecord is the record in force at a peer, from RecordDigest or a heartbeat.
type PeerRecord struct {
	Peer   ident.InstanceID
	Record message.Digest
}

// PeerPull is a peer's request for a newer record than it has.
type PeerPull struct {
	Peer ident.InstanceID
	Have message.Digest
}

// Candidate is a value that was read or received, after parsing. An empty
// Refusal means that the value is valid.
type Candidate struct {
	// From is the peer that sent the value. It is empty for the configuration service.
	From    ident.InstanceID
	Record  message.Digest
	Refusal string
	Lineage []message.Lineage
	// Services are the replicas of each service in a valid value.
	Services []message.Lineage
}

// BadPush reports a push from a peer that did not give the value that it names.
type BadPush struct{ Peer ident.InstanceID }

// ReadResult says how a read of the configuration service ended.
type ReadResult int

// The results of a read. A value comes as a Candidate before ReadDone.
const (
	ReadValue ReadResult = iota
	ReadUnchanged
	ReadFailed
)

// ReadDone reports the end of the read that was started with the given number.
type ReadDone struct {
	Number uint64
	Result ReadResult
	// StoreRevision is the configuration service's own counter, from the answer.
	StoreRevision uint64
}

// Alive lists the entries of this failure domain that are believed alive,
// this process included.
type Alive struct{ Entries []ident.InstanceID }

// Population is the number of instances that the instance list shows.
type Population struct{ Instances int }

// Tick lets time pass.
type Tick struct{}

func (LinkUp) spreadMessage()     {}
func (LinkDown) spreadMessage()   {}
func (PeerRecord) spreadMessage() {}
func (PeerPull) spreadMessage()   {}
func (Candidate) spreadMessage()  {}
func (BadPush) spreadMessage()    {}
func (ReadDone) spreadMessage()   {}
func (Alive) spreadMessage()      {}
func (Population) spreadMessage() {}
func (Tick) spreadMessage()       {}

// Action is an output of Step. Actions are carried out in order.
type Action interface{ spreadAction() }

// Adopt puts the candidate in force.
type Adopt struct {
	Record message.Digest
	// From is the peer that sent it, or empty.
	From ident.InstanceID
}

// Refuse names a candidate that is not valid. The record in force stays.
type Refuse struct {
	Record message.Digest
	Reason string
}

// Ignore names a valid candidate that is not newer than the record in force.
type Ignore struct{ Record message.Digest }

// Ready says that the process may serve.
type Ready struct{}

// SendRecord sends the record in force to a peer that holds Base. A zero base
// asks for the whole value.
type SendRecord struct {
	To   ident.InstanceID
	Base message.Digest
}

// SendDigest announces the record in force to a peer.
type SendDigest struct{ To ident.InstanceID }

// SendPull asks a peer for a newer record.
type SendPull struct {
	To   ident.InstanceID
	Have message.Digest
}

// Read starts a read of the configuration service. A zero After asks for the
// value at once; otherwise the service waits until its revision exceeds After.
type Read struct {
	Number uint64
	After  uint64
	Wait   time.Duration
}

// CancelRead ends the running read, if there is one.
type CancelRead struct{}

func (Adopt) spreadAction()      {}
func (Refuse) spreadAction()     {}
func (Ignore) spreadAction()     {}
func (Ready) spreadAction()      {}
func (SendRecord) spreadAction() {}
func (SendDigest) spreadAction() {}
func (SendPull) spreadAction()   {}
func (Read) spreadAction()       {}
func (CancelRead) spreadAction() {}
