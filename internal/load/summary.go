package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Range of the latency histograms in microseconds, 1 µs to 10 minutes, and their
// precision in significant digits.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Stats counts the results of one priority class, of the bookings, or of one or
// more client accounts.
type Stats struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Completed counts requests whose response arrived complete and in order.
	Completed int `json:"completed"`
	// InTarget counts completed requests with a first token within the target.
	InTarget int `json:"in_target"`
	// NotRun, Unknown and Broken count the other results: refused and certainly not
	// executed, outcome not known, and truncated responses or failed connections.
	// NotSent counts arrivals beyond Scenario.MaxInFlight.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	NotSent int `json:"not_sent"`
	// Tokens is the number of output tokens in completed responses.
	Tokens int64 `json:"tokens"`
	// Percentiles of completed requests in milliseconds. First token and total count
	// from the intended start; GapP95 is of the longest gap between two tokens.
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP95 float64 `json:"first_token_p95_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
	TotalP95 float64 `json:"total_p95_ms"`
	GapP95   float64 `json:"longest_gap_p95_ms"`

	first, total, gap *hdrhistogram.Histogram
}

func newStats(name string) *Stats {
	return &Stats{
		Name:  name,
		first: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		total: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gap:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (s *Stats) add(r Result, target time.Duration) {
	s.Offered++
	switch {
	case r.NotSent:
		s.NotSent++
	case r.Complete:
		s.addCompleted(r, target)
	case r.Outcome == outcome.NotRun:
		s.NotRun++
	case r.Outcome == outcome.Unknown:
		s.Unknown++
	default:
		s.Broken++
	}
}

func (s *Stats) addCompleted(r Result, target time.Duration) {
	s.Completed++
	s.Tokens += int64(r.Tokens)
	if r.FirstToken <= target {
		s.InTarget++
	}
	record(s.first, r.FirstToken)
	record(s.total, r.Total)
	if r.Tokens > 1 {
		record(s.gap, r.LongestGap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), histogramMin), histogramMax)
	// The value is within the histogram's range, so no error is possible.
	_ = h.RecordValue(value)
}

// computePercentiles sets the latency fields from the histograms.
func (s *Stats) computePercentiles() {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	s.FirstP50, s.FirstP95, s.FirstP99 = ms(s.first, 50), ms(s.first, 95), ms(s.first, 99)
	s.TotalP95, s.GapP95 = ms(s.total, 95), ms(s.gap, 95)
}

// Share returns completed over offered requests.
func (s *Stats) Share() float64 { return ratio(s.Completed, s.Offered) }

// InTargetShare returns requests within target over offered requests.
func (s *Stats) InTargetShare() float64 { return ratio(s.InTarget, s.Offered) }

// ratio returns part over whole, and 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// Summary is the result of one run.
type Summary struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Classes has one row for each priority class and one for bookings.
	Classes []*Stats `json:"classes"`
	// Accounts has one row for each client account, model requests only.
	Accounts []*Stats `json:"accounts"`
	// Small and Large sum the accounts without and with Account.Large, model requests
	// only.
	Small *Stats `json:"small_accounts"`
	Large *Stats `json:"large_accounts"`
	// Jain is Jain's fairness index of completed over requested tokens, over the small
	// accounts.
	Jain float64 `json:"jain_small_accounts"`
	// BookingsRunTwice counts bookings that the services executed more than once,
	// according to the ground truth; -1 if that is not available.
	BookingsRunTwice int `json:"bookings_run_twice"`
	// FalseNotRun counts bookings that were executed although the response said that
	// they were not; -1 if the ground truth is not available.
	FalseNotRun int `json:"bookings_false_not_run"`
	// Steps counts the steps of all expert-parallel groups, and StepsWithTwoMaps those
	// in which two ranks used different expert maps; -1 if the ground truth is not
	// available.
	Steps            int64 `json:"group_steps"`
	StepsWithTwoMaps int64 `json:"group_steps_with_two_maps"`
	// StepOverBest is the largest ratio of a group's mean step time to the time with
	// equally loaded ranks; 0 without a group.
	StepOverBest float64 `json:"step_over_best"`
	// Reasons counts problem documents by reason.
	Reasons []Count `json:"reasons"`
	// Errors counts missing and incomplete responses by error.
	Errors []Count `json:"faults"`
	// Series has one point for each second of the run, for the plots.
	Series []Point `json:"series"`
	// Score is the mean of the in-target shares (for bookings, the completed share),
	// weighted by Scenario.Importance.
	Score float64 `json:"score"`
}

// Count is the number of results with one reason or error.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Point holds the counts and latencies of one second of a run. The slices are in the
// order of Summary.Classes.
type Point struct {
	Second int `json:"second"`
	// Completed and Offered count requests by intended start.
	Completed []int `json:"completed"`
	Offered   []int `json:"offered"`
	// FirstP95 is the 95th percentile of the time to the first token in milliseconds.
	FirstP95 []float64 `json:"first_token_p95_ms"`
}

// bookingsRow is the name of the row in Summary.Classes for calls of plain services.
const bookingsRow = "bookings"

// Summarize aggregates results. Requests that arrived during the warm-up are left out,
// except in Reasons, Faults and Series.
func Summarize(s *Scenario, policy string, results []Result) *Summary {
	sum := &Summary{
		Scenario: s.Name, Policy: policy, Seed: s.Seed,
		Small: newStats("small accounts"), Large: newStats("large accounts"),
		BookingsRunTwice: -1, FalseNotRun: -1, Steps: -1, StepsWithTwoMaps: -1,
	}
	for _, class := range ident.PriorityClasses() {
		sum.Classes = append(sum.Classes, newStats(string(class)))
	}
	sum.Classes = append(sum.Classes, newStats(bookingsRow))
	for _, a := range s.Accounts {
		sum.Accounts = append(sum.Accounts, newStats(string(a.ID)))
	}
	requested := make([]int64, len(s.Accounts))
	for _, r := range results {
		if r.Arrival.At < s.Warmup {
			continue
		}
		sum.addResult(s, r, requested)
	}
	sum.finish(s, results, requested)
	return sum
}

func (sum *Summary) addResult(s *Scenario, r Result, requested []int64) {
	w := s.Workloads[r.Arrival.Workload]
	sum.Classes[classRow(w)].add(r, w.Target)
	if w.Booking() {
		return
	}
	requested[r.Arrival.Account] += int64(r.Arrival.Output)
	sum.Accounts[r.Arrival.Account].add(r, w.Target)
	if s.Accounts[r.Arrival.Account].Large {
		sum.Large.add(r, w.Target)
	} else {
		sum.Small.add(r, w.Target)
	}
}

// classRow returns the index of the workload's row in Summary.Classes.
func classRow(w Workload) int {
	classes := ident.PriorityClasses()
	if w.Booking() {
		return len(classes)
	}
	for i, c := range classes {
		if c == w.Class {
			return i
		}
	}
	return 0
}

func (sum *Summary) finish(s *Scenario, results []Result, requested []int64) {
	for _, rows := range [][]*Stats{sum.Classes, sum.Accounts, {sum.Small, sum.Large}} {
		for _, row := range rows {
			row.computePercentiles()
		}
	}
	sum.Jain = jainSmall(s, sum.Accounts, requested)
	sum.Reasons = countBy(results, func(r Result) string { return r.Reason })
	sum.Errors = countBy(results, func(r Result) string { return r.Error })
	sum.Series = timeSeries(s, results)
	sum.Score = sum.score(s.Importance)
}

// jainSmall returns Jain's fairness index (Jain, Chiu and Hawe, 1984) of completed
// over requested tokens, over the small accounts that sent requests.
func jainSmall(s *Scenario, accounts []*Stats, requested []int64) float64 {
	var sum, squares float64
	n := 0
	for i, a := range s.Accounts {
		if a.Large || requested[i] == 0 {
			continue
		}
		x := float64(accounts[i].Tokens) / float64(requested[i])
		sum += x
		squares += x * x
		n++
	}
	if n == 0 || squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

// score returns the weighted mean of the measures of the rows with requests.
func (sum *Summary) score(w Importance) float64 {
	weights := []float64{w.Interactive, w.Analytical, w.Batch, w.Bookings}
	total, weighted := 0.0, 0.0
	add := func(row *Stats, weight, value float64) {
		if row.Offered > 0 {
			total += weight
			weighted += weight * value
		}
	}
	for i, row := range sum.Classes {
		value := row.InTargetShare()
		if row.Name == bookingsRow {
			value = row.Share()
		}
		add(row, weights[i], value)
	}
	add(sum.Small, w.SmallAccounts, sum.Small.InTargetShare())
	if total == 0 {
		return 0
	}
	return weighted / total
}
