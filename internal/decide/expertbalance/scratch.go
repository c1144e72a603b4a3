package expertbalance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
)

// PackFromScratch packs one layer without regard to the current map: it copies the
// hottest experts into the spare slots and places the copies, heaviest first, on
// the rank that would finish first. It is the baseline for the planner.
func PackFromScratch(load, speeds []float64, slots []int) expertmap.Layer {
	total := 0
	for _, n := range slots {
		total += n
	}
	copies := copyHottest(load, total, len(slots))
	var items []int
	for e, n := range copies {
		for range n {
			items = append(items, e)
		}
	}
	copyLoad := func(e int) float64 { return load[e] / float64(copies[e]) }
	sort.SliceStable(items, func(a, b int) bool { return copyLoad(items[a]) > copyLoad(items[b]) })
	layer := make(expertmap.Layer, len(slots))
	rankLoads := make([]float64, len(slots))
	for _, e := range items {
		r := firstToFinish(layer, rankLoads, speeds, slots, e, copyLoad(e))
		layer[r] = append(layer[r], expertmap.Expert(e))
		rankLoads[r] += copyLoad(e)
	}
	return layer
}

// copyHottest returns the number of copies of each expert. It gives the spare
// slots, one by one, to the expert with the greatest load per copy.
func copyHottest(load []float64, slots, ranks int) []int {
	copies := make([]int, len(load))
	for e := range copies {
		copies[e] = 1
	}
	for range slots - len(load) {
		hot := -1
		for e := range load {
			if copies[e] < ranks && (hot < 0 || load[e]/float64(copies[e]) > load[hot]/float64(copies[hot])) {
				hot = e
			}
		}
		copies[hot]++
	}
	return copies
}

// firstToFinish returns the rank with a free slot that would finish first with one
// more copy of expert e, preferably one that does not hold the expert yet.
func firstToFinish(layer expertmap.Layer, rankLoads, speeds []float64, slots []int, e int, copyLoad float64) int {
	best, bestTwice := -1, true
	var bestTime float64
	for r := range layer {
		if len(layer[r]) >= slots[r] {
			continue
		}
		twice := contains(layer[r], e)
		finish := (rankLoads[r] + copyLoad) / max(speeds[r], minSpeed)
		if best < 0 || bestTwice && !twice || twice == bestTwice && finish < bestTime {
			best, bestTwice, bestTime = r, twice, finish
		}
	}
	return best
}

// minSpeed replaces the speed 0 of a lost rank where it is a divisor.
const minSpeed = 1e-6

func contains(slots []expertmap.Expert, e int) bool {
	for _, other := range slots {
		if int(other) == e {
			return true
		}
	}
	return false
}

// InitialMap returns a map for equal loads: it deals the experts to the ranks in
// turn, then copies of the first experts into the spare slots.
func InitialMap(layers, experts int, slots []int) *expertmap.Map {
	layer := make(expertmap.Layer, len(slots))
	next := 0
	for placed := true; placed; {
		placed = false
		for r, n := range slots {
			if len(layer[r]) < n {
				// Each round over the experts is shifted by one, so that a copy of
				// an expert goes to another rank.
				layer[r] = append(layer[r], expertmap.Expert((next+next/experts)%experts))
				next++
				placed = true
			}
		}
	}
	m := &expertmap.Map{}
	for range layers {
		m.Layers = append(m.Layers, layer.Clone())
	}
	return m
}

// SlotsPerRank returns the number of slots of each rank, with the slots for the experts
// and the spare slots spread over the ranks as evenly as possible.
func SlotsPerRank(ranks, experts, spare int) []int {
	slots := make([]int, ranks)
	for i := range experts + spare {
		slots[i%ranks]++
	}
	return slots
}

// RankTimes returns each rank's time for a layer: its load over its speed. Copies of
// an expert on live ranks share the expert's load evenly.
func RankTimes(layer expertmap.Layer, load, speeds []float64) []float64 {
	copies := make([]int, len(load))
	for r := range layer {
		for i, e := range layer[r] {
			if speeds[r] > 0 && !contains(layer[r][:i], int(e)) {
				copies[e]++
			}
		}
	}
	times := make([]float64, len(layer))
	for r := range layer {
		for i, e := range layer[r] {
			if speeds[r] > 0 && !contains(layer[r][:i], int(e)) {
				times[r] += load[e] / float64(copies[e]) / speeds[r]
			}
		}
	}
	return times
}
