package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// truthTimeout bounds one question to the admin listener.
const truthTimeout = 10 * time.Second

// execution is how often the services ran one idempotency key.
type execution struct {
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

// groupSteps is what the stand-in of a group of ranks counted.
type groupSteps struct {
	Group string `json:"group"`
	Steps int64  `json:"steps"`
	// TwoMaps lists the steps in which two ranks used different maps.
	TwoMaps []json.RawMessage `json:"two_maps"`
	// StepMicros is the mean step time, BestMicros that of equally loaded ranks.
	StepMicros float64 `json:"step_micros"`
	BestMicros float64 `json:"best_micros"`
}

// AddTruth adds what the stand-ins counted: bookings that ran twice or ran
// although the caller was told that they had not, and steps with two maps.
func AddTruth(ctx context.Context, sum *Summary, e Environment, results []Result) error {
	runs := make(map[string]int)
	err := readLines(ctx, e.Admin+"/truth/executions", func(x execution) { runs[x.Key] = x.Executions })
	if err != nil {
		return err
	}
	sum.BookingsRunTwice, sum.FalseNotRun = 0, 0
	for _, n := range runs {
		if n > 1 {
			sum.BookingsRunTwice++
		}
	}
	for _, r := range results {
		if r.Key != "" && r.Outcome == outcome.NotRun && runs[r.Key] > 0 {
			sum.FalseNotRun++
		}
	}
	return readLines(ctx, e.Admin+"/truth/steps", sum.addSteps)
}

func (sum *Summary) addSteps(g groupSteps) {
	sum.Steps = max(sum.Steps, 0) + g.Steps
	sum.StepsWithTwoMaps = max(sum.StepsWithTwoMaps, 0) + int64(len(g.TwoMaps))
	if g.BestMicros > 0 {
		sum.StepOverBest = max(sum.StepOverBest, g.StepMicros/g.BestMicros)
	}
}

// readLines reads JSON lines from the admin listener.
func readLines[T any](ctx context.Context, url string, take func(T)) error {
	ctx, cancel := context.WithTimeout(ctx, truthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "ground truth")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "ground truth")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("ground truth: %s answered %d", url, response.StatusCode)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var line T
		if err := decoder.Decode(&line); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "ground truth")
		}
		take(line)
	}
}
