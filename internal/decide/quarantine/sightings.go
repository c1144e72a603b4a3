package quarantine

import (
	"strconv"
	"strings"
	"time"
)

const (
	// sightingTime is how long a set of accused traits counts as coming. Requests with more
	// traits wait that long for one with the smaller set.
	sightingTime = 2 * time.Second
	// maxSightings bounds the sets that are remembered.
	maxSightings = 64
)

// sightings remembers the sets of accused traits that refused requests had lately.
type sightings struct {
	byKey map[string]*sighting
}

// sighting is a set of accused traits, and when a request with just this set came last.
type sighting struct {
	traits []Trait
	at     time.Time
}

func (s *sightings) add(now time.Time, traits []Trait) {
	if s.byKey == nil {
		s.byKey = make(map[string]*sighting)
	}
	key := setKey(traits)
	if known := s.byKey[key]; known != nil {
		known.at = now
		return
	}
	if len(s.byKey) >= maxSightings {
		s.dropOldest()
	}
	s.byKey[key] = &sighting{traits: traits, at: now}
}

func (s *sightings) dropOldest() {
	oldest := ""
	for key, one := range s.byKey {
		if oldest == "" || one.at.Before(s.byKey[oldest].at) {
			oldest = key
		}
	}
	delete(s.byKey, oldest)
}

// setKey returns a text that tells sets of traits apart. Requests name the parts of their
// prompts in the same order, so equal sets have equal texts as a rule.
func setKey(traits []Trait) string {
	var b strings.Builder
	for _, t := range traits {
		b.WriteString(strconv.FormatUint(uint64(t.Request), 16))
		b.WriteString(string(t.Part))
		b.WriteByte(0)
	}
	return b.String()
}

// smallerThan reports whether a request came lately whose accused traits are some of these
// but not all. Traits that are no longer accused do not count.
func (s *sightings) smallerThan(now time.Time, traits []Trait, isAccused func(Trait) bool) bool {
	all := make(map[Trait]bool, len(traits))
	for _, t := range traits {
		all[t] = true
	}
	for _, one := range s.byKey {
		if now.Sub(one.at) > sightingTime {
			continue
		}
		if n, within := countAccused(one.traits, all, isAccused); within && n > 0 && n < len(all) {
			return true
		}
	}
	return false
}

// countAccused returns how many of the traits are accused, and whether all those are in the
// set.
func countAccused(traits []Trait, set map[Trait]bool, isAccused func(Trait) bool) (n int, within bool) {
	for _, t := range traits {
		if !isAccused(t) {
			continue
		}
		if !set[t] {
			return 0, false
		}
		n++
	}
	return n, true
}
