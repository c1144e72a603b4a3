package recordsync

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Message is an input of Step.
type Message interface{ recordSyncMessage() }

// LinkUp reports a new link and the record that the peer's Hello announced.
type LinkUp struct {
	Peer   ident.InstanceID
	Record message.Digest
	// Sidecar reports whether the peer is a sidecar. Several entries link to a sidecar.
	Sidecar bool
}

// LinkDown reports the end of a link.
type LinkDown struct{ Peer ident.InstanceID }

// PeerDigest is the digest of the record in force at a peer, from a RecordDigest or
// a heartbeat.
type PeerDigest struct {
	Peer   ident.InstanceID
	Record message.Digest
}

// PeerPull is a peer's request for a record newer than Have.
type PeerPull struct {
	Peer ident.InstanceID
	Have message.Digest
}

// Candidate is a record that was read or received, after parsing.
type Candidate struct {
	// From is the peer that sent the record. It is empty for the configuration service.
	From   ident.InstanceID
	Record message.Digest
	// Refusal is why the record is invalid. It is empty for a valid record.
	Refusal string
	// Lineage holds earlier replica sets that the peer sent along.
	Lineage []message.Lineage
	// Services holds the replica set of each service in a valid record.
	Services []message.Lineage
}

// InvalidPush reports a push that did not yield the record that it names.
type InvalidPush struct{ Peer ident.InstanceID }

// ReadResult is the result of a read of the configuration service.
type ReadResult int

const (
	// ReadValue is a read that returned a value. The Candidate arrives before ReadDone.
	ReadValue ReadResult = iota
	// ReadUnchanged is a read that returned no value newer than Read.After, or none at
	// all if After was zero.
	ReadUnchanged
	// ReadFailed is a read without a valid answer.
	ReadFailed
)

// ReadDone reports the end of a read.
type ReadDone struct {
	// Number is the number of the Read.
	Number uint64
	Result ReadResult
	// StoreRevision is the configuration service's own revision counter, from the answer.
	StoreRevision uint64
}

// AliveEntries lists the live entries of this failure domain, this process included if it
// is an entry.
type AliveEntries struct{ Entries []ident.InstanceID }

// InstanceCount is the number of instances in the instance list.
type InstanceCount struct{ Instances int }

// Tick runs the timers that are due.
type Tick struct{}

func (LinkUp) recordSyncMessage()        {}
func (LinkDown) recordSyncMessage()      {}
func (PeerDigest) recordSyncMessage()    {}
func (PeerPull) recordSyncMessage()      {}
func (Candidate) recordSyncMessage()     {}
func (InvalidPush) recordSyncMessage()   {}
func (ReadDone) recordSyncMessage()      {}
func (AliveEntries) recordSyncMessage()  {}
func (InstanceCount) recordSyncMessage() {}
func (Tick) recordSyncMessage()          {}

// Action is an output of Step. Actions are carried out in order.
type Action interface{ recordSyncAction() }

// Adopt puts the candidate in force.
type Adopt struct {
	Record message.Digest
	// From is the peer that sent it. It is empty for the configuration service.
	From ident.InstanceID
}

// Refuse reports an invalid candidate. The record in force stays.
type Refuse struct {
	Record message.Digest
	Reason string
}

// Ignore reports a candidate that is not newer than the record in force or was
// refused before.
type Ignore struct{ Record message.Digest }

// Ready reports that the process may serve.
type Ready struct{}

// SendRecord sends the record in force to a peer as a patch against Base, or whole
// if Base is zero.
type SendRecord struct {
	To   ident.InstanceID
	Base message.Digest
}

// SendDigest announces the record in force to a peer.
type SendDigest struct{ To ident.InstanceID }

// SendPull asks a peer for a record newer than Have. If Have is zero, the peer sends
// the whole record.
type SendPull struct {
	To   ident.InstanceID
	Have message.Digest
}

// Read starts a read of the configuration service. If After is zero, the service
// answers at once. Otherwise it answers when its revision exceeds After, at the
// latest after Wait.
type Read struct {
	Number uint64
	After  uint64
	Wait   time.Duration
}

// CancelRead cancels the read in progress, if any.
type CancelRead struct{}

func (Adopt) recordSyncAction()      {}
func (Refuse) recordSyncAction()     {}
func (Ignore) recordSyncAction()     {}
func (Ready) recordSyncAction()      {}
func (SendRecord) recordSyncAction() {}
func (SendDigest) recordSyncAction() {}
func (SendPull) recordSyncAction()   {}
func (Read) recordSyncAction()       {}
func (CancelRead) recordSyncAction() {}
