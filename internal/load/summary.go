package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Histograms hold microseconds from 1 µs to 10 minutes with three digits.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Service is what one kind of work or one account got.
type Service struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Completed answers arrived whole.
	Completed int `json:"completed"`
	// InTarget answers had their first token within the target.
	InTarget int `json:"in_target"`
	// NotRun, Unknown and Broken count the other ends: refused with proof, not
	// known, and answers that were cut or connections that broke.
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	Broken  int `json:"broken"`
	NotSent int `json:"not_sent"`
	// Tokens is the output of the completed answers.
	Tokens int64 `json:"tokens"`
	// Latencies in milliseconds, of completed answers, from the intended start.
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP95 float64 `json:"first_token_p95_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
	TotalP95 float64 `json:"total_p95_ms"`
	GapP95   float64 `json:"longest_gap_p95_ms"`

	first, total, gap *hdrhistogram.Histogram
}

func newService(name string) *Service {
	return &Service{
		Name:  name,
		first: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		total: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gap:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (s *Service) add(r Result, target time.Duration) {
	s.Offered++
	switch {
	case r.NotSent:
		s.NotSent++
	case r.Whole:
		s.complete(r, target)
	case r.Outcome == outcome.NotRun:
		s.NotRun++
	case r.Outcome == outcome.Unknown:
		s.Unknown++
	default:
		s.Broken++
	}
}

func (s *Service) complete(r Result, target time.Duration) {
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

func (s *Service) finish() {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	s.FirstP50, s.FirstP95, s.FirstP99 = ms(s.first, 50), ms(s.first, 95), ms(s.first, 99)
	s.TotalP95, s.GapP95 = ms(s.total, 95), ms(s.gap, 95)
}

// Share returns completed answers over offered requests.
func (s *Service) Share() float64 { return ratio(s.Completed, s.Offered) }

// InTargetShare returns answers within target over offered requests.
func (s *Service) InTargetShare() float64 { return ratio(s.InTarget, s.Offered) }

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
	Classes []*Service `json:"classes"`
	// Accounts has one row for each client account, model requests only.
	Accounts []*Service `json:"accounts"`
	// Small and Large sum the accounts of either kind.
	Small *Service `json:"small_accounts"`
	Large *Service `json:"large_accounts"`
	// Jain is Jain's index of served over asked tokens, over the small accounts.
	Jain float64 `json:"jain_small_accounts"`
	// BookingsRunTwice is the ground truth of the stand-ins; -1 if not available.
	BookingsRunTwice int `json:"bookings_run_twice"`
	// FalseNotRun counts bookings that the caller was told were not run and that ran; -1 if not available.
	FalseNotRun int `json:"bookings_false_not_run"`
	// Steps and StepsWithTwoMaps are the ground truth of the groups; -1 if not available.
	Steps            int64 `json:"group_steps"`
	StepsWithTwoMaps int64 `json:"group_steps_with_two_maps"`
	// StepOverBest is the mean step time of the slowest group over that of equally
	// loaded ranks; 0 without a group.
	StepOverBest float64 `json:"step_over_best"`
	// Reasons counts problem documents by reason.
	Reasons []Count `json:"reasons"`
	// Broken lists what was wrong with answers that were not whole.
	Faults []Count `json:"faults"`
	// Series has one point a second for the plots.
	Series []Point `json:"series"`
	// Score is the mean of the measures in target, weighed by the scenario.
	Score float64 `json:"score"`
}

// Count is how often something occurred.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Point is one second of a run.
type Point struct {
	Second int `json:"second"`
	// Completed answers by intended start, in the order of Summary.Classes.
	Completed []int `json:"completed"`
	Offered   []int `json:"offered"`
	// FirstP95 in milliseconds by class.
	FirstP95 []float64 `json:"first_token_p95_ms"`
}

// bookingsRow is the name of the row for plain services.
const bookingsRow = "bookings"

// Summarize turns results into a summary. Requests of the warm-up are left out.
func Summarize(s *Scenario, policy string, results []Result) *Summary {
	sum := &Summary{
		Scenario: s.Name, Policy: policy, Seed: s.Seed,
		Small: newService("small accounts"), Large: newService("large accounts"),
		BookingsRunTwice: -1, FalseNotRun: -1, Steps: -1, StepsWithTwoMaps: -1,
	}
	for _, class := range ident.PriorityClasses() {
		sum.Classes = append(sum.Classes, newService(string(class)))
	}
	sum.Classes = append(sum.Classes, newService(bookingsRow))
	for _, a := range s.Accounts {
		sum.Accounts = append(sum.Accounts, newService(string(a.ID)))
	}
	asked := make([]int64, len(s.Accounts))
	for _, r := range results {
		if r.Arrival.At < s.Warmup {
			continue
		}
		sum.addResult(s, r, asked)
	}
	sum.finish(s, results, asked)
	return sum
}

func (sum *Summary) addResult(s *Scenario, r Result, asked []int64) {
	w := s.Workloads[r.Arrival.Workload]
	sum.Classes[rowOf(w)].add(r, w.Target)
	if w.Booking() {
		return
	}
	asked[r.Arrival.Account] += int64(r.Arrival.Output)
	sum.Accounts[r.Arrival.Account].add(r, w.Target)
	if s.Accounts[r.Arrival.Account].Large {
		sum.Large.add(r, w.Target)
	} else {
		sum.Small.add(r, w.Target)
	}
}

// rowOf returns the index of the workload's row in Summary.Classes.
func rowOf(w Workload) int {
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

func (sum *Summary) finish(s *Scenario, results []Result, asked []int64) {
	for _, rows := range [][]*Service{sum.Classes, sum.Accounts, {sum.Small, sum.Large}} {
		for _, row := range rows {
			row.finish()
		}
	}
	sum.Jain = jainSmall(s, sum.Accounts, asked)
	sum.Reasons = countBy(results, func(r Result) string { return r.Reason })
	sum.Faults = countBy(results, func(r Result) string { return r.Fault })
	sum.Series = series(s, results)
	sum.Score = sum.score(s.Importance)
}

// jainSmall is Jain's index of served over asked tokens over the small accounts
// that asked for anything (Jain, Chiu and Hawe, 1984).
func jainSmall(s *Scenario, accounts []*Service, asked []int64) float64 {
	var sum, squares float64
	n := 0
	for i, a := range s.Accounts {
		if a.Large || asked[i] == 0 {
			continue
		}
		x := float64(accounts[i].Tokens) / float64(asked[i])
		sum += x
		squares += x * x
		n++
	}
	if n == 0 || squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

func (sum *Summary) score(w Importance) float64 {
	weights := []float64{w.Interactive, w.Analytical, w.Batch, w.Bookings}
	total, weighed := 0.0, 0.0
	add := func(row *Service, weight, value float64) {
		if row.Offered > 0 {
			total += weight
			weighed += weight * value
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
	return weighed / total
}
