// Package rendezvous implements rendezvous hashing (Thaler and Ravishankar,
// 1998): every process ranks the same candidates in the same order, and a
// candidate that leaves moves only what it held.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a candidate for a key. The greatest score wins.
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

// Top returns up to n candidates with the greatest scores, best first.
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
