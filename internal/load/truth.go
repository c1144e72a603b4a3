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

// truthTimeout is the timeout of one request to the admin listener.
const truthTimeout = 10 * time.Second

// execution is the number of times that the services executed one idempotency key.
type execution struct {
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

// groupSteps holds the step counts of one group of stand-in ranks.
type groupSteps struct {
	Group string `json:"group"`
	Steps int64  `json:"steps"`
	// TwoMaps lists the steps in which two ranks used different expert maps.
	TwoMaps []json.RawMessage `json:"two_maps"`
	// StepMicros is the mean step time in microseconds, and BestMicros what it would
	// be with equally loaded ranks.
	StepMicros float64 `json:"step_micros"`
	BestMicros float64 `json:"best_micros"`
}

// AddGroundTruth adds the ground truth that the stand-ins counted: bookings that ran more
// than once or ran although the response said that they did not, and steps with two
// expert maps.
func AddGroundTruth(ctx context.Context, sum *Summary, e Environment, results []Result) error {
	executions := make(map[string]int)
	err := readLines(ctx, e.Admin+"/truth/executions", func(x execution) { executions[x.Key] = x.Executions })
	if err != nil {
		return err
	}
	sum.BookingsRunTwice, sum.FalseNotRun = 0, 0
	for _, n := range executions {
		if n > 1 {
			sum.BookingsRunTwice++
		}
	}
	for _, r := range results {
		if r.Key != "" && r.Outcome == outcome.NotRun && executions[r.Key] > 0 {
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

// readLines requests JSON lines from the admin listener and calls handle for each.
func readLines[T any](ctx context.Context, url string, handle func(T)) error {
	ctx, cancel := context.WithTimeout(ctx, truthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "create request for ground truth %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "read ground truth")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("read ground truth: %s answered %d", url, response.StatusCode)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var line T
		if err := decoder.Decode(&line); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrapf(err, "decode ground truth from %s", url)
		}
		handle(line)
	}
}
