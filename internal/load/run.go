package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/task"
)

// connectionsPerEntry bounds idle connections so that a run does not open a new
// one for each request.
const connectionsPerEntry = 4096

// Environment is what a run is aimed at.
type Environment struct {
	Addresses []string
	// Admin is the base URL of the stand-ins' admin listener; empty without one.
	Admin string
}

// Progress tells how far a run is.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
}

// Run sends the scenario's load and returns one result per arrival, in the order
// of the schedule. Progress is called about once a second.
func Run(ctx context.Context, s *Scenario, e Environment, progress func(Progress)) ([]Result, error) {
	schedule := Schedule(s)
	transport := &http.Transport{MaxIdleConnsPerHost: connectionsPerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &client{scenario: s, addresses: e.Addresses, http: &http.Client{Transport: transport}, start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Drain)
	defer cancel()
	var workers conc.WaitGroup
	defer workers.Wait()
	faults := make(chan error, 1)
	workers.Go(func() { faults <- injectFaults(ctx, c.start, s.Faults, e.Admin) })
	results := task.NewMailbox[Result](len(schedule)+1, task.Block)
	gathered := send(ctx, c, schedule, results, &workers, progress)
	if len(gathered) < len(schedule) {
		return gathered, errors.Errorf("only %d of %d requests ended", len(gathered), len(schedule))
	}
	cancel()
	return gathered, <-faults
}

// send starts each request at its time, collects results and returns them in
// the order of the schedule.
func send(ctx context.Context, c *client, schedule []Arrival, results *task.Mailbox[Result], workers *conc.WaitGroup, progress func(Progress)) []Result {
	gathered := make([]Result, len(schedule))
	sent, ended, inFlight := 0, 0, 0
	report := time.NewTicker(time.Second)
	defer report.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for ended < len(schedule) {
		select {
		case <-next.C:
			for sent < len(schedule) && time.Since(c.start) >= schedule[sent].At {
				a := schedule[sent]
				sent++
				if inFlight >= c.scenario.MaxInFlight {
					gathered[a.Number] = Result{Arrival: a, NotSent: true, Fault: "limit of requests in flight"}
					ended++
					continue
				}
				inFlight++
				workers.Go(func() { results.Send(context.Background(), c.do(ctx, a)) })
			}
			if sent < len(schedule) {
				next.Reset(time.Until(c.start.Add(schedule[sent].At)))
			}
		case r := <-results.Receive():
			gathered[r.Arrival.Number] = r
			ended++
			inFlight--
		case <-report.C:
			progress(Progress{Elapsed: time.Since(c.start), Sent: sent, Answered: ended})
		}
	}
	return gathered
}

type faultRequest struct {
	Target  string  `json:"target"`
	Kind    string  `json:"kind"`
	Seconds float64 `json:"seconds"`
}

// injectFaults posts each fault at its time. Faults that the run's end overtakes
// are left out.
func injectFaults(ctx context.Context, start time.Time, faults []Fault, admin string) error {
	for _, f := range faults {
		timer := time.NewTimer(time.Until(start.Add(f.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if err := postFault(ctx, admin, f); err != nil {
			return err
		}
	}
	return nil
}

func postFault(ctx context.Context, admin string, f Fault) error {
	body, err := json.Marshal(faultRequest{Target: f.Target, Kind: f.Kind, Seconds: f.Seconds})
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, admin+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("fault %s on %s: status %d", f.Kind, f.Target, response.StatusCode)
	}
	return nil
}
