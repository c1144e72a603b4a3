package quarantine

import "time"

const (
	// proofTime is the minimum time for which a proof is remembered.
	proofTime = time.Minute
	// maxProofs is the number of traits at which older proofs are dropped earlier.
	maxProofs = 20_000
)

// proofs remembers when each trait was last shown to be sound, for proofTime to twice that
// long. The maps replace each other in turn, so that dropping old proofs takes no search.
type proofs struct {
	recent, older map[Trait]time.Time
	begun         time.Time
}

func (k *proofs) add(t Trait, at time.Time) {
	if k.recent == nil || at.Sub(k.begun) > proofTime || len(k.recent) >= maxProofs {
		k.recent, k.older, k.begun = make(map[Trait]time.Time), k.recent, at
	}
	if latest, known := k.latest(t); !known || at.After(latest) {
		k.recent[t] = at
	}
}

// latest returns when the trait was last shown to be sound. False means that no proof is
// remembered.
func (k *proofs) latest(t Trait) (time.Time, bool) {
	at, ok := k.recent[t]
	if !ok {
		at, ok = k.older[t]
	}
	return at, ok
}
