// Package booking decides about bookings: calls that run at most once per
// idempotency key. Home is the part beside each replica of a service; it holds
// the key table. Caller is the part at an entry. Neither stores anything
// outside its process: what cannot be known from memory is answered unknown.
//
// A key has one home by rendezvous hashing over the service's replicas in the
// record. A home runs a key only with authority over it. It has authority if,
// since it became the key's home, every other known process of the service has
// confirmed that it gave up the key, either for all keys at once (Release) or
// for this key (Seal). The confirmation of a process covers keys that were
// first used after it; for an earlier key the process must seal the key itself.
package booking

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

const (
	// Skew is how far a caller's or operator's clock may differ from a home's.
	Skew = 5 * time.Second
	// DefaultOpaqueWindow is the protection of opaque keys if the record says nothing.
	DefaultOpaqueWindow = 24 * time.Hour
	// memoryMargin is how much longer than the opaque window a key is remembered.
	memoryMargin = time.Hour
	// resendAfter is when an unanswered question to another home is repeated.
	resendAfter = 500 * time.Millisecond
	// pauseLimit is the gap between two steps that counts as a pause of the
	// process. It is well above the tick interval and below the time in which
	// the instance list drops an instance twice.
	pauseLimit = 2 * time.Second
	// commitLimit is how long after its reservation a commit is taken.
	commitLimit = 5 * time.Second
	// maxWaiters bounds the calls that wait for one key.
	maxWaiters = 32
	// maxKeys bounds the key table.
	maxKeys = 500_000
	// maxEpochs bounds the remembered changes of the replicas. Forgetting an
	// epoch only means that more keys must be sealed.
	maxEpochs = 16
	// maxKnown bounds the remembered processes of the service.
	maxKnown = 512
)

// TickInterval is how often Home and Caller want a Tick.
const TickInterval = 100 * time.Millisecond

// Replica is one process of a service. The same server id at another address is
// another process, which may live at the same time.
type Replica struct {
	ID      ident.ServerID
	Address string
}

// HomeOf returns the home of a key among the replicas. False means there are none.
func HomeOf(key message.KeyID, replicas []Replica) (Replica, bool) {
	var best Replica
	var highest uint64
	for n, r := range replicas {
		if w := keyWeight(key, r.ID); n == 0 || w > highest || w == highest && r.ID > best.ID {
			best, highest = r, w
		}
	}
	return best, len(replicas) > 0
}

func keyWeight(key message.KeyID, server ident.ServerID) uint64 {
	return hashStrings(string(key.Account), string(key.Service), string(key.Key), string(server))
}

// hashStrings hashes the strings with their lengths, so that moving a character
// from one to the next changes the result.
func hashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		// Writing to a digest never fails.
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// Fingerprint is the hash of a call that tells a repeat from a reuse of its key.
func Fingerprint(method, path string, body []byte) uint64 {
	return hashStrings(method, path, string(body))
}

// CanonicalKey returns the key in the form under which it is stored. UUIDs are
// the same key in upper and lower case; opaque keys are taken as they are.
func CanonicalKey(key ident.IdempotencyKey) ident.IdempotencyKey {
	if len(key) != uuidLength {
		return key
	}
	id, err := uuid.Parse(string(key))
	if err != nil {
		return key
	}
	return ident.IdempotencyKey(id.String())
}

const uuidLength = 36

// Created returns the creation time that a UUIDv7 key carries.
func Created(key ident.IdempotencyKey) (time.Time, bool) {
	if len(key) != uuidLength {
		return time.Time{}, false
	}
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms [8]byte
	copy(ms[2:], id[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms[:]))), true
}

// hashReplicas is the same for the same set in any order.
func hashReplicas(replicas []Replica) uint64 {
	var sum uint64
	for _, r := range replicas {
		sum += hashStrings(string(r.ID), r.Address)
	}
	return sum
}
