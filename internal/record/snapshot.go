// Package record reads and writes the configuration record: its schema versions,
// its checks, and the immutable snapshot that processes act on. It also defines
// the routes that an operator publishes for services called over HTTP.
package record

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Snapshot is one accepted record, independent of its schema version. It is never
// changed after Parse.
type Snapshot struct {
	Digest message.Digest
	// Accounts by id.
	Accounts map[ident.ClientAccount]Account
	// Classes by name.
	Classes map[ident.PriorityClass]Class
	// BookingShare is the share of capacity guaranteed to bookings, from 0 to 1.
	BookingShare float64
	Models       map[ident.ModelName]Model
	// Replicas are the backend servers that run models.
	Replicas map[ident.ServerID]Replica
	Services map[ident.ServiceName]Service
	Groups   map[ident.GroupID]Group
	// WeightStoreRate is the rate at which the weight store serves all loads of model
	// weights together, in bytes per second. Zero means that it is not known.
	WeightStoreRate int64

	accountByKey map[string]ident.ClientAccount
}

// AccountForKey returns the account that owns the API key with the given
// SHA-256 hash in lower-case hexadecimal.
func (s *Snapshot) AccountForKey(hash string) (Account, bool) {
	id, ok := s.accountByKey[hash]
	return s.Accounts[id], ok
}

// Account is a client account.
type Account struct {
	ID ident.ClientAccount
	// KeyHashes are SHA-256 hashes of the API keys, in lower-case hexadecimal.
	KeyHashes []string
	// Weight is the account's scheduling weight relative to the other accounts.
	Weight float64
	// Classes lists the classes that the account may use; the first is the default.
	Classes  []ident.PriorityClass
	Models   []ident.ModelName
	Services []ident.ServiceName
}

// Class is a priority class.
type Class struct {
	Name ident.PriorityClass
	// FirstTokenTarget and TokenTarget are the targets for the 95th percentile of the
	// time to the first token and of the time per further token.
	FirstTokenTarget time.Duration
	TokenTarget      time.Duration
	// Deadline is the time after the arrival of a request at which its answer has
	// lost its value.
	Deadline time.Duration
	// Worth is the value of a request served within its target, relative to others.
	Worth float64
	// Share is the guaranteed share of capacity, from 0 to 1.
	Share float64
}

// Model is a model that callers can name.
type Model struct {
	Name     ident.ModelName
	Version  string
	Adapters []string
	// Bytes is the size of the model weights.
	Bytes int64
}

// ReplicaRole is the part of the work that a replica does.
type ReplicaRole string

// The roles of a replica: RoleServe does both prefill and decode.
const (
	RoleServe   ReplicaRole = "serve"
	RolePrefill ReplicaRole = "prefill"
	RoleDecode  ReplicaRole = "decode"
	RoleStandby ReplicaRole = "standby"
)

// Replica is a backend server that runs a model.
type Replica struct {
	ID ident.ServerID
	// Address is the host and port of its sidecar.
	Address string
	Domain  ident.FailureDomain
	Role    ReplicaRole
	Model   ident.ModelName
	// ChecksFencing reports whether the engine refuses orders with an old fencing token.
	ChecksFencing bool
	// Group is the expert-parallel group, empty without one.
	Group ident.GroupID
}

// Service is a plain service.
type Service struct {
	Name     ident.ServiceName
	Replicas []ServiceReplica
	// Repeatable matches the calls that may run more than once.
	Repeatable []CallPattern
	// KeysValidFrom is the operator's assurance that no idempotency key was used
	// before this time. Zero means that there is none.
	KeysValidFrom time.Time
	// OpaqueKeyWindow is the time for which an idempotency key that does not carry
	// its creation time is protected against a second run.
	OpaqueKeyWindow time.Duration
}

// ServiceReplica is a backend server that runs a plain service.
type ServiceReplica struct {
	ID      ident.ServerID
	Address string
	Domain  ident.FailureDomain
}

// CallPattern matches calls by method and path prefix. An empty method matches
// every method.
type CallPattern struct {
	Method string
	Prefix string
}

// Group is an expert-parallel group.
type Group struct {
	ID ident.GroupID
	// Ranks are the backend servers of the group in rank order.
	Ranks   []ident.ServerID
	Layers  int
	Experts int
	// SpareSlots is the number of additional copies of experts, beyond one of each,
	// over all ranks.
	SpareSlots int
}
