package rank

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// frame is one message between two agents. Exactly one of Command and Status is set.
type frame struct {
	Command *mapchange.Command `cbor:"1,keyasint,omitempty"`
	Status  *mapchange.Status  `cbor:"2,keyasint,omitempty"`
	// Rank is the sender's rank.
	Rank ident.Rank `cbor:"3,keyasint"`
	// Map is the map of Command, and Counts are the expert counts of Status.
	Map    *wireMap    `cbor:"4,keyasint,omitempty"`
	Counts *wireCounts `cbor:"5,keyasint,omitempty"`
}

// wireMap is an encoded map: whole, or as its difference from the last map on the same
// link. The map of a group of 72 ranks takes 6 KB, of which a change modifies a tenth.
type wireMap struct {
	Whole placement.Map `cbor:"1,keyasint,omitempty"`
	// Base is the version that Changes applies to. Each change is a sequence of unsigned
	// varints: layer set, rank, number of experts, and the experts.
	Base    mapchange.Version `cbor:"2,keyasint,omitempty"`
	Changes []byte            `cbor:"3,keyasint,omitempty"`
}

func appendChange(changes []byte, layer, rank int, experts []int) []byte {
	for _, n := range []int{layer, rank, len(experts)} {
		changes = binary.AppendUvarint(changes, uint64(n))
	}
	for _, e := range experts {
		changes = binary.AppendUvarint(changes, uint64(e))
	}
	return changes
}

// applyChanges replaces the experts of each layer set and rank that the changes name.
func applyChanges(m placement.Map, changes []byte) error {
	next := func() int {
		n, size := binary.Uvarint(changes)
		if size <= 0 || n > math.MaxInt32 {
			changes = nil
			return -1
		}
		changes = changes[size:]
		return int(n)
	}
	for len(changes) > 0 {
		layer, rank, count := next(), next(), next()
		if layer < 0 || layer >= len(m) || rank < 0 || rank >= len(m[layer]) || count < 0 || count > len(changes) {
			return errors.Errorf("change names layer set %d, rank %d and %d experts; the map has %d layer sets and %d bytes are left", layer, rank, count, len(m), len(changes))
		}
		experts := make([]int, count)
		for i := range experts {
			if experts[i] = next(); experts[i] < 0 {
				return errors.Errorf("change of layer set %d, rank %d is truncated or invalid", layer, rank)
			}
		}
		m[layer][rank] = experts
	}
	return nil
}

// lastMap is the last map that one end of a link has sent or received.
type lastMap struct {
	version mapchange.Version
	content placement.Map
}

// encode encodes the map of a version as its difference from the last map. A version
// that is resent is encoded whole, since the first message may have been lost.
func (l *lastMap) encode(version mapchange.Version, m placement.Map) *wireMap {
	old := *l
	l.version, l.content = version, m
	if old.content == nil || old.version == version || len(old.content) != len(m) {
		return &wireMap{Whole: m}
	}
	w := &wireMap{Base: old.version}
	for layer := range m {
		if len(old.content[layer]) != len(m[layer]) {
			return &wireMap{Whole: m}
		}
		for r, experts := range m[layer] {
			if !slices.Equal(old.content[layer][r], experts) {
				w.Changes = appendChange(w.Changes, layer, r, experts)
			}
		}
	}
	return w
}

// decode returns the map of a version. It fails if the map that it is based on is
// missing; the sender then resends the whole map.
func (l *lastMap) decode(version mapchange.Version, w *wireMap) (placement.Map, error) {
	m := w.Whole
	if m == nil {
		if l.content == nil || l.version != w.Base {
			return nil, errors.Errorf("decode map version %d: its base version %d is not known", version, w.Base)
		}
		m = l.content.Clone()
		if err := applyChanges(m, w.Changes); err != nil {
			return nil, errors.WithMessagef(err, "decode map version %d", version)
		}
	}
	l.version, l.content = version, m
	return m, nil
}

// maxCountLevel is the greatest encoded value of an expert count, which takes four
// bits. Counts are summed over all ranks, so the rounding errors average out.
const maxCountLevel = 15

// wireCounts holds encoded expert counts. Each level is four bits: the square root of
// the count's ratio to Max, scaled to maxCountLevel. The root keeps small counts precise.
type wireCounts struct {
	_      struct{} `cbor:",toarray"`
	Max    float64
	Count  int
	Levels []byte
}

func encodeCounts(counts []float64) *wireCounts {
	if len(counts) == 0 {
		return nil
	}
	w := &wireCounts{Max: slices.Max(counts), Count: len(counts), Levels: make([]byte, (len(counts)+1)/2)}
	if w.Max <= 0 {
		return w
	}
	for i, n := range counts {
		level := byte(math.Round(maxCountLevel * math.Sqrt(n/w.Max)))
		w.Levels[i/2] |= level << (4 * (i % 2))
	}
	return w
}

func (w *wireCounts) decode() ([]float64, error) {
	if w.Count < 0 || len(w.Levels) != (w.Count+1)/2 {
		return nil, errors.Errorf("%d expert counts cannot be encoded in %d bytes", w.Count, len(w.Levels))
	}
	counts := make([]float64, w.Count)
	for i := range counts {
		root := float64(w.Levels[i/2]>>(4*(i%2))&maxCountLevel) / maxCountLevel
		counts[i] = w.Max * root * root
	}
	return counts, nil
}

// encodeFrame encodes a message for a link. Sent is the last map sent on it.
func encodeFrame(f frame, sent *lastMap) ([]byte, error) {
	if f.Command != nil && f.Command.Map != nil {
		f.Map = sent.encode(f.Command.Version, f.Command.Map)
	}
	if f.Status != nil {
		f.Counts = encodeCounts(f.Status.ExpertCounts)
	}
	payload, err := cbor.Marshal(f)
	return payload, errors.Wrap(err, "encode map change message")
}

// decodeFrame decodes a message from a link. Received is the last map received on it.
func decodeFrame(payload []byte, received *lastMap) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return frame{}, errors.Wrap(err, "decode map change message")
	}
	var err error
	if f.Command != nil && f.Map != nil {
		if f.Command.Map, err = received.decode(f.Command.Version, f.Map); err != nil {
			return frame{}, err
		}
	}
	if f.Status != nil && f.Counts != nil {
		if f.Status.ExpertCounts, err = f.Counts.decode(); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}
