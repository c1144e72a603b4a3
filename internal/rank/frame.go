package rank

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// frame is one message of the protocol on a link. One of Command and Status is set.
type frame struct {
	Command *mapswitch.Command `cbor:"1,keyasint,omitempty"`
	Status  *mapswitch.Status  `cbor:"2,keyasint,omitempty"`
	// Rank is the sender's.
	Rank ident.Rank `cbor:"3,keyasint"`
	// Map is the map of the command, Chosen the choices of the status.
	Map    *wireMap    `cbor:"4,keyasint,omitempty"`
	Chosen *wireChoice `cbor:"5,keyasint,omitempty"`
}

// wireMap is a map, whole or as its difference from the last one on the same link.
// A group of 72 ranks has a map of six kilobytes, of which a change touches a
// tenth.
type wireMap struct {
	Whole placement.Map `cbor:"1,keyasint,omitempty"`
	// Base is the version that the changes apply to. Changes holds them as unsigned
	// varints: layer set, rank, the number of its experts and the experts.
	Base    mapswitch.Version `cbor:"2,keyasint,omitempty"`
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

// applyChanges replaces the experts that the changes name.
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
			return errors.Errorf("a change names layer set %d, rank %d and %d experts", layer, rank, count)
		}
		experts := make([]int, count)
		for i := range experts {
			if experts[i] = next(); experts[i] < 0 {
				return errors.Errorf("a change of layer set %d, rank %d is cut off", layer, rank)
			}
		}
		m[layer][rank] = experts
	}
	return nil
}

// lastMap is the last map that one side of a link has sent or received.
type lastMap struct {
	version mapswitch.Version
	content placement.Map
}

// encode returns the map of a version as it travels after the last one. A version
// that is sent again travels whole, since the first message may be lost.
func (l *lastMap) encode(version mapswitch.Version, m placement.Map) *wireMap {
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

// decode returns the map of a version. It fails if the map before it is missing;
// the sender repeats it whole.
func (l *lastMap) decode(version mapswitch.Version, w *wireMap) (placement.Map, error) {
	m := w.Whole
	if m == nil {
		if l.content == nil || l.version != w.Base {
			return nil, errors.Errorf("the map of version %d that version %d changes is not known", w.Base, version)
		}
		m = l.content.Clone()
		if err := applyChanges(m, w.Changes); err != nil {
			return nil, errors.WithMessagef(err, "map of version %d", version)
		}
	}
	l.version, l.content = version, m
	return m, nil
}

// choiceLevels is the number of steps of a choice as it travels, which is four
// bits. Choices are summed over all ranks, so the rounding of each rank evens out.
const choiceLevels = 15

// wireChoice is how often each expert was chosen, as the square root of its part of
// the greatest number in four bits, so that small numbers keep their precision.
type wireChoice struct {
	_        struct{} `cbor:",toarray"`
	Greatest float64
	Count    int
	Levels   []byte
}

func encodeChoice(chosen []float64) *wireChoice {
	if len(chosen) == 0 {
		return nil
	}
	w := &wireChoice{Greatest: slices.Max(chosen), Count: len(chosen), Levels: make([]byte, (len(chosen)+1)/2)}
	if w.Greatest <= 0 {
		return w
	}
	for i, n := range chosen {
		level := byte(math.Round(choiceLevels * math.Sqrt(n/w.Greatest)))
		w.Levels[i/2] |= level << (4 * (i % 2))
	}
	return w
}

func (w *wireChoice) decode() ([]float64, error) {
	if w.Count < 0 || len(w.Levels) != (w.Count+1)/2 {
		return nil, errors.Errorf("%d choices in %d bytes", w.Count, len(w.Levels))
	}
	chosen := make([]float64, w.Count)
	for i := range chosen {
		part := float64(w.Levels[i/2]>>(4*(i%2))&choiceLevels) / choiceLevels
		chosen[i] = w.Greatest * part * part
	}
	return chosen, nil
}

// encodeFrame encodes a message for a link on which sent was the last map.
func encodeFrame(f frame, sent *lastMap) ([]byte, error) {
	if f.Command != nil && f.Command.Map != nil {
		f.Map = sent.encode(f.Command.Version, f.Command.Map)
	}
	if f.Status != nil {
		f.Chosen = encodeChoice(f.Status.ExpertCounts)
	}
	payload, err := cbor.Marshal(f)
	return payload, errors.Wrap(err, "map change message")
}

// decodeFrame decodes a message of a link on which received was the last map.
func decodeFrame(payload []byte, received *lastMap) (frame, error) {
	var f frame
	if err := cbor.Unmarshal(payload, &f); err != nil {
		return frame{}, errors.Wrap(err, "map change message")
	}
	var err error
	if f.Command != nil && f.Map != nil {
		if f.Command.Map, err = received.decode(f.Command.Version, f.Map); err != nil {
			return frame{}, err
		}
	}
	if f.Status != nil && f.Chosen != nil {
		if f.Status.ExpertCounts, err = f.Chosen.decode(); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}
