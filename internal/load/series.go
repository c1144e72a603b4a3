package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// countBy counts results by the given text, most frequent first. Results with an
// empty text are left out.
func countBy(results []Result, text func(Result) string) []Count {
	counts := make(map[string]int)
	for _, r := range results {
		if t := text(r); t != "" {
			counts[t]++
		}
	}
	out := make([]Count, 0, len(counts))
	for name, n := range counts {
		out = append(out, Count{Name: name, Count: n})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Name < out[j].Name
	})
	return out
}

// timeSeries returns one point for each second of the run. A result counts in the
// second of its intended start.
func timeSeries(s *Scenario, results []Result) []Point {
	rows := len(ident.PriorityClasses()) + 1
	seconds := int((s.Duration + time.Second - 1) / time.Second)
	points := make([]Point, seconds)
	histograms := make([][]*hdrhistogram.Histogram, seconds)
	for i := range points {
		points[i] = Point{Second: i, Completed: make([]int, rows), Offered: make([]int, rows), FirstP95: make([]float64, rows)}
		histograms[i] = make([]*hdrhistogram.Histogram, rows)
	}
	for _, r := range results {
		second := min(int(r.Arrival.At/time.Second), seconds-1)
		row := classRow(s.Workloads[r.Arrival.Workload])
		points[second].Offered[row]++
		if !r.Complete {
			continue
		}
		points[second].Completed[row]++
		if histograms[second][row] == nil {
			histograms[second][row] = hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
		}
		record(histograms[second][row], r.FirstToken)
	}
	for i := range points {
		for row, h := range histograms[i] {
			if h != nil {
				points[i].FirstP95[row] = float64(h.ValueAtQuantile(95)) / 1000
			}
		}
	}
	return points
}
