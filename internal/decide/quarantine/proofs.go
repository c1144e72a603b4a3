package quarantine

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// proofTime is the minimum time for which a proof is remembered.
	proofTime = time.Minute
	// maxProofs is the number of parts at which older proofs are dropped earlier.
	maxProofs = 20_000
)

// proofs remembers when each part was last shown to be sound, for proofTime to twice that
// long. The maps replace each other in turn, so that dropping old proofs takes no search.
type proofs struct {
	recent, older map[ident.PromptPart]time.Time
	begun         time.Time
}

func (k *proofs) add(p ident.PromptPart, at time.Time) {
	if k.recent == nil || at.Sub(k.begun) > proofTime || len(k.recent) >= maxProofs {
		k.recent, k.older, k.begun = make(map[ident.PromptPart]time.Time), k.recent, at
	}
	if latest, known := k.latest(p); !known || at.After(latest) {
		k.recent[p] = at
	}
}

// latest returns when the part was last shown to be sound. False means that no proof is
// remembered.
func (k *proofs) latest(p ident.PromptPart) (time.Time, bool) {
	at, ok := k.recent[p]
	if !ok {
		at, ok = k.older[p]
	}
	return at, ok
}

// since reports whether the part was shown to be sound after the time.
func (k *proofs) since(p ident.PromptPart, at time.Time) bool {
	latest, ok := k.latest(p)
	return ok && latest.After(at)
}
