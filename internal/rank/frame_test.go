package rank

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapswitch"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
)

// largeMap is the first map of 72 ranks with 12 layer sets of 144 experts.
func largeMap() placement.Map {
	m := make(placement.Map, 12)
	for l := range m {
		m[l] = make([][]int, 72)
		for e := range 144 {
			m[l][e%72] = append(m[l][e%72], e)
		}
	}
	return m
}

func command(version mapswitch.Version, m placement.Map) frame {
	return frame{Command: &mapswitch.Command{Kind: mapswitch.Prepare, Version: version, Map: m}}
}

// Guards against maps that fill a link of 8 Mbit/s: 72 ranks get one at once. A
// change of the map before it takes a fraction of the whole map.
func TestMapTravelsAsADifference(t *testing.T) {
	var sent, received lastMap
	first, second := largeMap(), largeMap()
	second[3][7] = []int{7, 79, 100}
	second[11][71] = []int{5, 71}
	sizes := make([]int, 0, 2)
	for v, m := range []placement.Map{first, second} {
		payload, err := encodeFrame(command(mapswitch.Version(v+1), m), &sent)
		must.NoError(t, err)
		sizes = append(sizes, len(payload))
		f, err := decodeFrame(payload, &received)
		must.NoError(t, err)
		must.Eq(t, m, f.Command.Map)
	}
	t.Logf("%d bytes", sizes)
	must.Less(t, 200, sizes[1])
	must.Eq(t, []int{7, 79}, first[3][7])
}

// Guards against a map that is put on another one than it was made from, and
// against a rank that never gets the map after a lost message.
func TestLostMapIsRepeatedWhole(t *testing.T) {
	var sent, received lastMap
	_, err := encodeFrame(command(1, largeMap()), &sent)
	must.NoError(t, err)
	payload, err := encodeFrame(command(2, largeMap()), &sent)
	must.NoError(t, err)
	_, err = decodeFrame(payload, &received)
	must.Error(t, err)
	payload, err = encodeFrame(command(2, largeMap()), &sent)
	must.NoError(t, err)
	f, err := decodeFrame(payload, &received)
	must.NoError(t, err)
	must.Eq(t, largeMap(), f.Command.Map)
}

// Guards against choices that lose their proportions on the way: the sum over many
// ranks must give each expert's share within five in a hundred.
func TestChoicesKeepTheirProportions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const ranks, experts = 72, 144
	want, got := make([]float64, experts), make([]float64, experts)
	all := 0.0
	for range ranks {
		chosen := make([]float64, experts)
		for e := range chosen {
			chosen[e] = float64(int(float64(200+8*e) * (0.6 + 0.8*random.Float64())))
			want[e] += chosen[e]
			all += chosen[e]
		}
		payload, err := encodeFrame(frame{Status: &mapswitch.Status{ExpertCounts: chosen}}, new(lastMap))
		must.NoError(t, err)
		f, err := decodeFrame(payload, new(lastMap))
		must.NoError(t, err)
		for e, n := range f.Status.ExpertCounts {
			got[e] += n
		}
	}
	for e := range want {
		must.InDelta(t, 1, got[e]/want[e], 0.05, must.Sprintf("expert %d", e))
	}
}

// Guards against a message that names more choices than it carries.
func TestShortChoicesAreRefused(t *testing.T) {
	_, err := (&wireChoice{Count: 1000, Levels: make([]byte, 3)}).decode()
	must.Error(t, err)
}

// Guards against changes that name experts beyond their end, ranks that the map
// does not have, or numbers that are cut off.
func TestBrokenChangesAreRefused(t *testing.T) {
	for _, changes := range [][]byte{{0}, {0, 0, 9, 1}, {0, 72, 0}, {12, 0, 0}, {0, 0, 1, 0x80}} {
		must.Error(t, applyChanges(largeMap(), changes))
	}
}
