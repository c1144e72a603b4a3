// Package booking implements bookings: calls that run at most once per
// idempotency key. Home runs in the sidecar of each replica of a service and
// owns the key table. Caller runs at each entry. Both keep their state in memory
// only, so the result of a key that no process remembers is unknown.
//
// Each key has one home, chosen by rendezvous hashing over the service's
// replicas in the record. A home runs a key only if it has authority over it:
// since it became the key's home, every other known process of the service must
// have confirmed that it gave up the key, either together with all other keys
// (Release) or for this key alone (Seal). A Release covers keys that were first
// used after it; a key used earlier must be sealed individually.
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
	// MaxClockSkew is the maximum difference between a client's or operator's clock
	// and a home's.
	MaxClockSkew = 5 * time.Second
	// DefaultOpaqueKeyWindow is how long opaque keys (those that carry no creation
	// time) are protected against a second run if the record sets no window.
	DefaultOpaqueKeyWindow = 24 * time.Hour
	// retentionMargin is how much longer than the opaque-key window a key stays in
	// the key table.
	retentionMargin = time.Hour
	// resendInterval is the time between resends of an unanswered Release or Seal.
	resendInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between two steps from which on the process counts
	// as having been paused. It is well above TickInterval, and below the time that
	// two reads of the instance list take to declare an absent process dead.
	pauseThreshold = 2 * time.Second
	// commitTimeout is how long after the reservation a commit is accepted.
	commitTimeout = 5 * time.Second
	// maxWaitersPerKey bounds the calls that wait for one key at a time.
	maxWaitersPerKey = 32
	// maxKeys bounds the number of keys in the key table.
	maxKeys = 500_000
	// maxEpochs bounds the remembered epochs, see epoch. Dropping an old epoch only
	// means that more keys must be sealed individually.
	maxEpochs = 16
	// maxProcesses bounds the remembered processes of one service.
	maxProcesses = 512
)

// TickInterval is the time between the Tick inputs that Home and Caller expect.
const TickInterval = 100 * time.Millisecond

// Replica is one process of a service. The same server id at another address is
// another process; both may be running at the same time.
type Replica struct {
	ID      ident.ServerID
	Address string
}

// HomeOf returns the home of a key among the replicas, by rendezvous hashing.
// False means that there are no replicas.
func HomeOf(key message.KeyID, replicas []Replica) (Replica, bool) {
	var best Replica
	var highest uint64
	for n, r := range replicas {
		if score := keyScore(key, r.ID); n == 0 || score > highest || score == highest && r.ID > best.ID {
			best, highest = r, score
		}
	}
	return best, len(replicas) > 0
}

func keyScore(key message.KeyID, server ident.ServerID) uint64 {
	return hashStrings(string(key.Account), string(key.Service), string(key.Key), string(server))
}

// hashStrings hashes the strings with their lengths, so that moving a character
// from one string to the next changes the result.
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

// Fingerprint returns a hash of the call. A call with a known key and the same
// fingerprint is a retry; with another fingerprint it is a reuse of the key.
func Fingerprint(method, path string, body []byte) uint64 {
	return hashStrings(method, path, string(body))
}

// CanonicalKey returns the key in the form in which it is stored. UUIDs are
// converted to lower case; opaque keys are unchanged.
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

// uuidLength is the length in bytes of a UUID in text form.
const uuidLength = 36

// CreationTime returns the creation time in a UUIDv7 key. False means that the
// key is opaque, that is, not a UUIDv7.
func CreationTime(key ident.IdempotencyKey) (time.Time, bool) {
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

// hashReplicas returns a hash that does not depend on the order of the replicas.
func hashReplicas(replicas []Replica) uint64 {
	var sum uint64
	for _, r := range replicas {
		sum += hashStrings(string(r.ID), r.Address)
	}
	return sum
}
