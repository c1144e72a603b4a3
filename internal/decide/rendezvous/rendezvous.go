// Package rendezvous implements rendezvous hashing (Thaler and Ravishankar,
// 1998): every process ranks the same candidates in the same order, and a
// candidate that leaves moves only the keys that it held.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key. The highest score wins.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The writes of xxhash never fail. The separator keeps ("ab", "c") and
	// ("a", "bc") apart.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Top returns the n candidates with the highest scores, or all if there are fewer,
// highest first. The lesser name wins a tie.
func Top[C ~string](key string, candidates []C, n int) []C {
	ranked := append([]C(nil), candidates...)
	scores := make(map[C]uint64, len(ranked))
	for _, c := range ranked {
		scores[c] = Score(key, string(c))
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if scores[a] != scores[b] {
			return scores[a] > scores[b]
		}
		return a < b
	})
	return ranked[:min(n, len(ranked))]
}
