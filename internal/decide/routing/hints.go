package routing

import (
	"math"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

const (
	// maxHints bounds the hints of one generation. A full one replaces the older.
	maxHints = 4096
	// hintHalfLife is the time in which the confidence in an unconfirmed hint halves.
	hintHalfLife = 60 * time.Second
	// eventConfidence is the probability that a server holds a prefix after a cache
	// event said so.
	eventConfidence = 0.95
	// sentConfidence is the probability that a server holds a prefix after this entry
	// sent it a request with the prefix.
	sentConfidence = 0.8
	// priorConfidence is the assumed probability, without a hint, that the first
	// replica by rendezvous hashing holds a prefix: other entries send the prefix
	// there too. Without it, the first request with a prefix would go to a random
	// replica, and each entry would fill another cache.
	priorConfidence = 0.3
)

type hintKey struct {
	server ident.ServerID
	prefix uint64
}

type hint struct {
	confidence float64
	at         time.Time
}

// hints records which servers probably cache which prefixes. It keeps two
// generations and drops the older one when the younger is full, which bounds its
// memory without an ordered list.
type hints struct{ young, old map[hintKey]hint }

func newHints() hints {
	return hints{young: make(map[hintKey]hint), old: make(map[hintKey]hint)}
}

func (h *hints) set(k hintKey, v hint) {
	if len(h.young) >= maxHints {
		h.young, h.old = make(map[hintKey]hint), h.young
	}
	h.young[k] = v
}

// sent records that this entry sent a request with the prefix to the server.
func (h *hints) sent(now time.Time, server ident.ServerID, prefix uint64) {
	if prefix == 0 || h.confidence(now, server, prefix, 0) > sentConfidence {
		return
	}
	h.set(hintKey{server, prefix}, hint{sentConfidence, now})
}

func (h *hints) event(now time.Time, e CacheEvent) {
	confidence := 0.0
	if e.Held {
		confidence = eventConfidence
	}
	h.set(hintKey{e.Server, e.Prefix}, hint{confidence, now})
}

// confidence returns the probability that the server holds the prefix, or the prior
// if there is no hint.
func (h *hints) confidence(now time.Time, server ident.ServerID, prefix uint64, prior float64) float64 {
	k := hintKey{server, prefix}
	v, ok := h.young[k]
	if !ok {
		v, ok = h.old[k]
	}
	if !ok {
		return prior
	}
	return v.confidence * math.Exp2(-max(0, now.Sub(v.at)).Seconds()/hintHalfLife.Seconds())
}
