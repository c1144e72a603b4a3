package expertmap

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// rankBits is the number of low bits of an epoch that hold the rank, enough for 1,024
// ranks.
const rankBits = 10

// Epoch identifies one proposal of a map, like a ballot number in Paxos. Its high bits
// hold a growing number and its low bits the rank that proposed, so that two leaders
// never use the same epoch. It is the fencing token of all engine orders of the
// proposal. Zero means none.
type Epoch uint64

// Next returns the epoch of the rank with the next number, which is greater than this
// epoch.
func (e Epoch) Next(rank ident.Rank) Epoch {
	return (e>>rankBits+1)<<rankBits | Epoch(rank)
}

// Proposer returns the rank that proposed the epoch.
func (e Epoch) Proposer() ident.Rank { return ident.Rank(e & (1<<rankBits - 1)) }

// Expert is the index of an expert within a layer.
type Expert uint16

// Layer lists, for each rank, the experts in its slots.
type Layer [][]Expert

// Map lists, for each layer, the experts placed on each rank. It is immutable once it
// was passed to a Rank.
type Map struct {
	_      struct{} `cbor:",toarray"`
	Layers []Layer
}

// Change puts an expert into one slot.
type Change struct {
	_      struct{} `cbor:",toarray"`
	Layer  int
	Rank   ident.Rank
	Slot   int
	Expert Expert
}

// Hash identifies the content of the map. The hash of a nil map is zero.
func (m *Map) Hash() uint64 {
	if m == nil {
		return 0
	}
	digest := xxhash.New()
	var buffer []byte
	for _, layer := range m.Layers {
		for _, slots := range layer {
			buffer = binary.BigEndian.AppendUint16(buffer[:0], uint16(len(slots)))
			for _, e := range slots {
				buffer = binary.BigEndian.AppendUint16(buffer, uint16(e))
			}
			_, _ = digest.Write(buffer)
		}
	}
	return digest.Sum64()
}

// Clone returns a deep copy.
func (l Layer) Clone() Layer {
	copied := make(Layer, len(l))
	for r := range l {
		copied[r] = append([]Expert(nil), l[r]...)
	}
	return copied
}

// Apply returns a copy of the map with the changes applied. The second result is false if
// a change names a layer, rank or slot that the map does not have.
func (m *Map) Apply(changes []Change) (*Map, bool) {
	next := &Map{Layers: append([]Layer(nil), m.Layers...)}
	copied := make(map[int]bool)
	for _, c := range changes {
		if !m.has(c) {
			return nil, false
		}
		if !copied[c.Layer] {
			next.Layers[c.Layer] = m.Layers[c.Layer].Clone()
			copied[c.Layer] = true
		}
		next.Layers[c.Layer][c.Rank][c.Slot] = c.Expert
	}
	return next, true
}

func (m *Map) has(c Change) bool {
	return c.Layer >= 0 && c.Layer < len(m.Layers) &&
		c.Rank >= 0 && int(c.Rank) < len(m.Layers[c.Layer]) &&
		c.Slot >= 0 && c.Slot < len(m.Layers[c.Layer][c.Rank])
}

// Differences returns the changes that turn one map into another of the same
// shape.
func Differences(from, to *Map) []Change {
	var changes []Change
	for l := range from.Layers {
		for r := range from.Layers[l] {
			for s, e := range from.Layers[l][r] {
				if want := to.Layers[l][r][s]; want != e {
					changes = append(changes, Change{Layer: l, Rank: ident.Rank(r), Slot: s, Expert: want})
				}
			}
		}
	}
	return changes
}
