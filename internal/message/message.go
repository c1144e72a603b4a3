// Package message defines the messages that anvilpoint processes exchange. They
// are plain values; package codec turns them into frames. The empty field with
// the toarray tag keeps frames small: a struct is encoded as an array without
// field names, so new fields may only be added at the end.
package message

import (
	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// ProtocolVersion is the protocol version that Hello carries. A peer with another
// version is refused.
const ProtocolVersion = 1

// Role is the kind of a process.
type Role string

// The roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleSidecar Role = "sidecar"
)

// Message is any message between processes.
type Message interface{ kind() Kind }

// Envelope carries a message and the stamp of the sender's hybrid logical clock.
type Envelope struct {
	Stamp   hlc.Stamp
	Message Message
}

// Kind is the frame type on the wire. Numbers are never reused.
type Kind uint8

// The kinds of messages.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindOffer
	KindWithdraw
	KindAccepted
	KindRefused
	KindWithdrawn
	KindTooLate
	KindChunk
	KindDone
	KindFailed
	KindCancel
	KindCredit
	KindAttach
	KindBook
	KindReserved
	KindBookCommit
	KindBookResult
	KindSeal
	KindSealed
	KindReleased
	KindRecordDigest
	KindRecordPull
	KindRecordPush
	KindMembers
	KindUsage
	KindExpertMap
	KindRelease
	KindEntryReport
	KindProcessAddresses
	KindRoutesPull
	KindRoutesPush
	KindMapChange
	KindSlowServers
	KindCrashReport
	KindTraitsProven
	KindTraitTrial
	KindAnnouncedRates
	KindServerDepartures
	KindStateSummary
	KindRequestRecurred
)

// Digest identifies one accepted configuration record by its revision and the hash
// of its content. Digests are ordered by revision, then by hash.
type Digest struct {
	_        struct{} `cbor:",toarray"`
	Revision ident.Revision
	Hash     uint64
}

// Less reports whether the digest is older than the other.
func (d Digest) Less(other Digest) bool {
	if d.Revision != other.Revision {
		return d.Revision < other.Revision
	}
	return d.Hash < other.Hash
}

// Hello is the first message on a link, in both directions.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Version     int
	Role        Role
	Instance    ident.InstanceID
	Server      ident.ServerID
	Domain      ident.FailureDomain
	Region      ident.Region
	Incarnation ident.Incarnation
	Record      Digest
}

// Load is a sidecar's report on its backend server.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Running int
	// QueuedCost is the queued work by priority class in tokens, most urgent class
	// first.
	QueuedCost [3]int64
	// Slots is the number of requests that the backend server can run at once.
	Slots int
	// TokensPerSecond is the recent token rate over all running requests.
	TokensPerSecond float64
	// AgeMS is the age of the backend server's own report, in milliseconds.
	AgeMS int64
	// Window is the credit by priority class in tokens: the cost of requests that
	// the receiving entry may send in addition to those it has outstanding.
	Window [3]int64
	// GroupState is the state of the expert-parallel group, empty without one.
	GroupState string
	// StepMS is the recent mean step time of the group in milliseconds.
	StepMS float64
}

// Heartbeat keeps a link alive and carries the sender's load and record digest.
type Heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Echo is the last sequence received from the peer.
	Echo     uint64
	Load     Load
	Draining bool
	Record   Digest
}

// Offer asks a sidecar to run one attempt of a request.
type Offer struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
	Account ident.ClientAccount
	// Weight is the account's scheduling weight in the record.
	Weight float64
	Class  ident.PriorityClass
	// RemainingMS is the time until the client's deadline, in milliseconds.
	RemainingMS int64
	// Cost is the estimated cost in tokens, prefill and decode together.
	Cost int64
	// Resume is the number of output tokens that the client already has.
	Resume uint64
	// Prefix is the hash of the prompt's prefix.
	Prefix uint64
	Record Digest
	// Service and the request line are set for calls of plain services.
	Service ident.ServiceName
	Method  string
	Path    string
	Header  [][2]string
	Body    []byte
	// NoWait makes the sidecar refuse the attempt unless it can start at once.
	NoWait bool
}

// Withdraw asks the sidecar to remove an attempt from its queue if it has not started.
type Withdraw struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
}

// Accepted reports that the attempt is in the sidecar's queue.
type Accepted struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
}

// Refused reports that the attempt was not run and never will be.
type Refused struct {
	_            struct{} `cbor:",toarray"`
	Request      ident.RequestID
	Attempt      ident.Attempt
	Reason       outcome.Reason
	RetryAfterMS int64
}

// Withdrawn reports that the attempt was removed from the queue and never will be run.
type Withdrawn struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
}

// TooLate reports that the attempt had started when Withdraw arrived.
type TooLate struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
}

// Chunk is one piece of an answer. Sequence numbers start at 1 and continue without
// gaps over all attempts of a request. Sequence 0 carries the head of a plain
// service's answer.
type Chunk struct {
	_        struct{} `cbor:",toarray"`
	Request  ident.RequestID
	Attempt  ident.Attempt
	Sequence uint64
	Payload  []byte
}

// Done ends an answer. Last is the sequence number of its last chunk; Prompt and
// Output are numbers of tokens.
type Done struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
	Last    uint64
	Status  int
	Header  [][2]string
	Prompt  int64
	Output  int64
}

// Failed reports that an attempt ended without a complete answer.
type Failed struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
	Kind    outcome.Kind
	Reason  outcome.Reason
}

// Cancel stops an attempt whose answer is no longer wanted.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
}

// Credit allows the sidecar to send Bytes further bytes of a stream.
type Credit struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Attempt ident.Attempt
	Bytes   int64
}

// Attach asks the sidecar that holds a stream to send the chunks after a sequence
// number.
type Attach struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	// Attempt is chosen by the attaching entry and marks the chunks sent to it.
	Attempt ident.Attempt
	// Account must be the account that made the request.
	Account ident.ClientAccount
	// After is the sequence number of the last chunk that the client has.
	After uint64
}

// KeyID identifies a booking: a call of a plain service with an idempotency key.
type KeyID struct {
	_       struct{} `cbor:",toarray"`
	Account ident.ClientAccount
	Service ident.ServiceName
	Key     ident.IdempotencyKey
}

// Book asks the home of an idempotency key, the sidecar that runs its calls, to
// reserve the key.
type Book struct {
	_       struct{} `cbor:",toarray"`
	Request ident.RequestID
	Key     KeyID
	// Fingerprint is the hash of the call's method, path and body.
	Fingerprint uint64
	// RemainingMS is the time until the client's deadline, in milliseconds.
	RemainingMS int64
	Record      Digest
}

// Reserved answers Book if the key's call may run at this home.
type Reserved struct {
	_           struct{} `cbor:",toarray"`
	Request     ident.RequestID
	Incarnation ident.Incarnation
	Nonce       uint64
}

// BookCommit makes the home run the call of a reserved key. It carries the call.
type BookCommit struct {
	_           struct{} `cbor:",toarray"`
	Request     ident.RequestID
	Incarnation ident.Incarnation
	Nonce       uint64
	// RemainingMS is the time until the client's deadline, in milliseconds.
	RemainingMS int64
	Method      string
	Path        string
	Header      [][2]string
	Body        []byte
	Service     ident.ServiceName
}

// BookResult ends a booking. It carries the stored answer or why there is none.
type BookResult struct {
	_            struct{} `cbor:",toarray"`
	Request      ident.RequestID
	Kind         outcome.Kind
	Reason       outcome.Reason
	RetryAfterMS int64
	// Replayed reports whether the answer was stored by an earlier call.
	Replayed bool
	Status   int
	Header   [][2]string
	Body     []byte
	// Nonce is the nonce of the BookCommit that this answers. It is zero for an
	// answer to Book.
	Nonce uint64
}

// Seal asks an earlier home of a key to refuse the key from now on, or to return
// its result. The sender is the new home.
type Seal struct {
	_       struct{} `cbor:",toarray"`
	Key     KeyID
	NewHome ident.ServerID
	Record  Digest
	// Address is the link address of the new home. It is needed because two processes
	// may have had the same server id at different addresses.
	Address string
	// CorrelationID is echoed by the answer, so that an old answer is not taken for a new one.
	CorrelationID uint64
}

// SealState is what an earlier home answers about a key.
type SealState string

// The answers to Seal.
const (
	// SealSealed means that the key did not run and is refused from now on.
	SealSealed SealState = "sealed"
	// SealRan means that the key ran; its result is in the answer.
	SealRan SealState = "ran"
	// SealUnknown means that the key may have run, with an unknown result.
	SealUnknown SealState = "unknown"
	// SealForgotten means that the key is refused from now on, but that an earlier
	// incarnation of the process may have run it.
	SealForgotten SealState = "forgotten"
	// SealStale means that the asked process knows a newer record than the asking one.
	SealStale SealState = "stale"
)

// Sealed answers Seal.
type Sealed struct {
	_           struct{} `cbor:",toarray"`
	Key         KeyID
	State       SealState
	Incarnation ident.Incarnation
	Result      BookResult
	Fingerprint uint64
	// Server and Address identify the answering process.
	Server  ident.ServerID
	Address string
	// CorrelationID is copied from the Seal that this answers.
	CorrelationID uint64
	// SealedFor lists the link addresses of other processes for which the key was sealed
	// earlier. They may have run it, so they must be asked as well.
	SealedFor []string
}

// Release asks another sidecar of a service to confirm that it no longer runs the
// keys whose home is the sender under the sender's record.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Service ident.ServiceName
	Server  ident.ServerID
	Address string
	Record  Digest
	// Replicas is a hash of the service's replicas in the sender's record.
	Replicas uint64
	// CorrelationID is echoed by Released, so that an old answer is not taken for a new one.
	CorrelationID uint64
	Incarnation   ident.Incarnation
}

// Released answers Release.
type Released struct {
	_           struct{} `cbor:",toarray"`
	Service     ident.ServiceName
	Server      ident.ServerID
	Incarnation ident.Incarnation
	Record      Digest
	Address     string
	// CorrelationID is copied from the Release that this answers.
	CorrelationID uint64
	// Granted is false if the service has other replicas in the sender's record.
	Granted bool
	// FloorMS is the least creation time of a key, in milliseconds since 1970, from
	// which on the sender knows every key that it ran.
	FloorMS int64
	// HoldsNoKey reports whether the sender holds no key whose home is the asking process.
	HoldsNoKey bool
	// Known lists link addresses of the service's processes that the sender knows.
	Known []string
}

// RecordDigest announces the record in force at the sender.
type RecordDigest struct {
	_      struct{} `cbor:",toarray"`
	Record Digest
}

// RecordPull asks the peer for its record if it is newer than Have.
type RecordPull struct {
	_    struct{} `cbor:",toarray"`
	Have Digest
}

// Lineage is the set of replicas that a service had as of an earlier revision.
type Lineage struct {
	_        struct{} `cbor:",toarray"`
	Service  ident.ServiceName
	Revision ident.Revision
	Replicas []ident.ServerID
}

// RecordPush carries a record, compressed: whole or as a patch against Base.
type RecordPush struct {
	_      struct{} `cbor:",toarray"`
	Record Digest
	// Base is the record that Patch applies to. It is zero for a whole record.
	Base    Digest
	Whole   []byte
	Patch   []byte
	Lineage []Lineage
}

// MemberState is an observer's opinion of a process.
type MemberState string

// The states of a member.
const (
	MemberAlive     MemberState = "alive"
	MemberSuspected MemberState = "suspected"
	MemberDead      MemberState = "dead"
	MemberLeft      MemberState = "left"
)

// Member is one observer's opinion of one process.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Instance    ident.InstanceID
	Role        Role
	Domain      ident.FailureDomain
	Address     string
	Incarnation ident.Incarnation
	State       MemberState
	// Observer is the process whose opinion this is. Sequence orders the opinions
	// of one observer: microseconds since 1970 by its own clock.
	Observer ident.InstanceID
	Sequence uint64
}

// Members gossips changes of membership.
type Members struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
}

// AccountUsage is the cost, in tokens, of the recent work for one account.
type AccountUsage struct {
	_       struct{} `cbor:",toarray"`
	Account ident.ClientAccount
	Class   ident.PriorityClass
	Cost    int64
}

// Usage reports the accounts' recent usage to other processes, so that fair
// sharing holds over all replicas.
type Usage struct {
	_        struct{} `cbor:",toarray"`
	Accounts []AccountUsage
}

// ExpertMap carries one message of the expert-map protocol between the sidecars of an
// expert-parallel group. Payload is encoded by that protocol's codec.
type ExpertMap struct {
	_       struct{} `cbor:",toarray"`
	Group   ident.GroupID
	From    ident.Rank
	To      ident.Rank
	Payload []byte
}
