package rank

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/mapchange"
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
)

// largeMap returns the initial map of 72 ranks with 12 layer sets of 144 experts.
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

func command(version mapchange.Version, m placement.Map) frame {
	return frame{Command: &mapchange.Command{Kind: mapchange.Prepare, Version: version, Map: m}}
}

// Guards against maps that saturate an 8 Mbit/s link: 72 ranks are sent one at the same
// time, so a changed map must take a fraction of the size of a whole one.
func TestMapIsSentAsADifference(t *testing.T) {
	var sent, received lastMap
	first, second := largeMap(), largeMap()
	second[3][7] = []int{7, 79, 100}
	second[11][71] = []int{5, 71}
	sizes := make([]int, 0, 2)
	for v, m := range []placement.Map{first, second} {
		payload, err := encodeFrame(command(mapchange.Version(v+1), m), &sent)
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

// Guards against a difference that is applied to another map than its base, and against
// a rank that never gets a map whose first message was lost.
func TestLostMapIsResentWhole(t *testing.T) {
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

// Guards against an encoding of expert counts that distorts their proportions: the sum
// over 72 ranks must be within 5% for each expert.
func TestEncodedCountsKeepTheirProportions(t *testing.T) {
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
		payload, err := encodeFrame(frame{Status: &mapchange.Status{ExpertCounts: chosen}}, new(lastMap))
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

// Guards against a message that announces more expert counts than it contains.
func TestTruncatedCountsAreRefused(t *testing.T) {
	_, err := (&wireCounts{Count: 1000, Levels: make([]byte, 3)}).decode()
	must.Error(t, err)
}

// Guards against changes with fewer experts than announced, with a layer set or rank
// that the map does not have, or with a truncated number.
func TestInvalidChangesAreRefused(t *testing.T) {
	for _, changes := range [][]byte{{0}, {0, 0, 9, 1}, {0, 72, 0}, {12, 0, 0}, {0, 0, 1, 0x80}} {
		must.Error(t, applyChanges(largeMap(), changes))
	}
}
