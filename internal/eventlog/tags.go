package eventlog

import (
	"fmt"
	"hash/maphash"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Tags names fingerprints of requests in the log of one process: equal fingerprints have
// equal names. The key of the names is random and never leaves the process, so that the
// content of a request cannot be found by trying. It is immutable.
type Tags struct{ seed maphash.Seed }

// NewTags returns tags with a random key.
func NewTags() Tags { return Tags{seed: maphash.MakeSeed()} }

// Of returns the tag of a fingerprint.
func (t Tags) Of(f ident.Fingerprint) string {
	return fmt.Sprintf("%08x", uint32(maphash.Comparable(t.seed, f)))
}
