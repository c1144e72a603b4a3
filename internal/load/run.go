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

// maxIdleConnectionsPerEntry is the number of idle connections kept open to one
// entry, so that a run does not open a new connection for each request.
const maxIdleConnectionsPerEntry = 4096

// Environment holds the addresses that a run uses.
type Environment struct {
	// Addresses are the base URLs of the entries.
	Addresses []string
	// Admin is the base URL of the dev environment's admin listener; empty if there
	// is none.
	Admin string
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed time.Duration
	// Sent and Answered include arrivals that were not sent because of
	// Scenario.MaxInFlight.
	Sent     int
	Answered int
}

// Run sends the requests of the scenario's schedule and returns one result per
// arrival, in the order of the schedule. Progress is called about once a second.
func Run(ctx context.Context, s *Scenario, e Environment, progress func(Progress)) ([]Result, error) {
	schedule := Schedule(s)
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerEntry, DisableCompression: true}
	defer transport.CloseIdleConnections()
	c := &client{scenario: s, addresses: e.Addresses, http: &http.Client{Transport: transport}, start: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Drain)
	defer cancel()
	var workers conc.WaitGroup
	defer workers.Wait()
	faults := make(chan error, 1)
	workers.Go(func() { faults <- injectFaults(ctx, c.start, s.Faults, e.Admin) })
	mailbox := task.NewMailbox[Result](len(schedule)+1, task.Block)
	results := send(ctx, c, schedule, mailbox, &workers, progress)
	if len(results) < len(schedule) {
		return results, errors.Errorf("run ended with results for only %d of %d requests", len(results), len(schedule))
	}
	cancel()
	return results, <-faults
}

// send starts each request at its intended time and returns the results in the
// order of the schedule.
func send(ctx context.Context, c *client, schedule []Arrival, mailbox *task.Mailbox[Result], workers *conc.WaitGroup, progress func(Progress)) []Result {
	results := make([]Result, len(schedule))
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
					results[a.Number] = Result{Arrival: a, NotSent: true, Error: "not sent: max_in_flight requests in flight"}
					ended++
					continue
				}
				inFlight++
				workers.Go(func() { mailbox.Send(context.Background(), c.do(ctx, a)) })
			}
			if sent < len(schedule) {
				next.Reset(time.Until(c.start.Add(schedule[sent].At)))
			}
		case r := <-mailbox.Receive():
			results[r.Arrival.Number] = r
			ended++
			inFlight--
		case <-report.C:
			progress(Progress{Elapsed: time.Since(c.start), Sent: sent, Answered: ended})
		}
	}
	return results
}

type faultRequest struct {
	Target  string  `json:"target"`
	Kind    string  `json:"kind"`
	Seconds float64 `json:"seconds"`
}

// injectFaults posts each fault to the admin listener at its time. Faults that are
// due after the end of the run are skipped.
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
		return errors.Wrapf(err, "encode fault %s on %s", f.Kind, f.Target)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, admin+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create request for fault %s on %s", f.Kind, f.Target)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "inject fault %s on %s", f.Kind, f.Target)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("inject fault %s on %s: admin listener answered %d", f.Kind, f.Target, response.StatusCode)
	}
	return nil
}
