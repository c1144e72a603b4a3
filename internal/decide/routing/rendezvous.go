package routing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hash (highest random weight) of a name for a key.
// Every process computes the same value.
func Score(key uint64, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var head [8]byte
	binary.BigEndian.PutUint64(head[:], key)
	// Writing to a digest never fails.
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// topReplicas returns up to n replicas, those with the highest scores for the key
// first.
func topReplicas(key uint64, list []*replica, n int) []*replica {
	return top(list, n, func(p *replica) uint64 { return Score(key, p.name) })
}

// top returns up to n items, those with the highest scores first.
func top[T any](list []T, n int, score func(T) uint64) []T {
	type scored struct {
		item  T
		score uint64
	}
	all := make([]scored, len(list))
	for i, item := range list {
		all[i] = scored{item, score(item)}
	}
	slices.SortStableFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	best := make([]T, 0, n)
	for _, s := range all[:min(n, len(all))] {
		best = append(best, s.item)
	}
	return best
}
