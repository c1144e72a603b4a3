package eventlog

import (
	"fmt"
	"hash/maphash"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// RequestTags names fingerprints of requests in the log of one process: equal fingerprints have
// equal names. The key of the names is random and never leaves the process, so that the
// content of a request cannot be found by trying. It is immutable.
type RequestTags struct{ seed maphash.Seed }

// NewRequestTags returns tags with a random key.
func NewRequestTags() RequestTags { return RequestTags{seed: maphash.MakeSeed()} }

// Of returns the tag of a fingerprint.
func (t RequestTags) Of(f ident.Fingerprint) string {
	return fmt.Sprintf("%08x", uint32(maphash.Comparable(t.seed, f)))
}
