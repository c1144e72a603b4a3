package balance

import (
	"sort"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
)

// Scratch packs one layer without regard to the present map: it copies the
// hottest experts into the spare slots and places the copies, largest first, on
// the rank that would finish first. It is the baseline of the planner.
func Scratch(load, speeds []float64, slots []int) expertmap.Layer {
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
	share := func(e int) float64 { return load[e] / float64(copies[e]) }
	sort.SliceStable(items, func(a, b int) bool { return share(items[a]) > share(items[b]) })
	layer := make(expertmap.Layer, len(slots))
	work := make([]float64, len(slots))
	for _, e := range items {
		r := firstToFinish(layer, work, speeds, slots, e, share(e))
		layer[r] = append(layer[r], expertmap.Expert(e))
		work[r] += share(e)
	}
	return layer
}

// copyHottest gives the spare slots, one by one, to the expert with the greatest
// work per copy.
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

func firstToFinish(layer expertmap.Layer, work, speeds []float64, slots []int, e int, share float64) int {
	best, bestTwice := -1, true
	var bestTime float64
	for r := range layer {
		if len(layer[r]) >= slots[r] {
			continue
		}
		twice := contains(layer[r], e)
		time := (work[r] + share) / max(speeds[r], minSpeed)
		if best < 0 || bestTwice && !twice || twice == bestTwice && time < bestTime {
			best, bestTwice, bestTime = r, twice, time
		}
	}
	return best
}

// minSpeed stands for the speed of a lost rank where a division needs one.
const minSpeed = 1e-6

func contains(slots []expertmap.Expert, e int) bool {
	for _, other := range slots {
		if int(other) == e {
			return true
		}
	}
	return false
}

// Initial returns a map for equal loads: experts in order over the ranks'
// slots, then copies of the first experts in the spare slots.
func Initial(layers, experts int, slots []int) *expertmap.Map {
	layer := make(expertmap.Layer, len(slots))
	next := 0
	for placed := true; placed; {
		placed = false
		for r, n := range slots {
			if len(layer[r]) < n {
				// The second round is shifted, so that a copy goes to another rank.
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

// Slots spreads experts and spare slots over the ranks as evenly as possible.
func Slots(ranks, experts, spare int) []int {
	slots := make([]int, ranks)
	for i := range experts + spare {
		slots[i%ranks]++
	}
	return slots
}

// Times returns each rank's time for a layer: its work over its speed. Copies of
// an expert on live ranks share the expert's work evenly.
func Times(layer expertmap.Layer, load, speeds []float64) []float64 {
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
