package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// firstTokens compares the time to the first token through entry and sidecar with that
// of a direct call of the engine. The calls alternate, so that both see the same load
// on the machine.
func firstTokens(ctx context.Context, o options, p *deployment) error {
	// The first pairs open connections and fill caches. They do not count.
	const warmUpPairs = 50
	const maxLatency = int64(10 * time.Second)
	direct, relayed := hdrhistogram.New(1000, maxLatency, 3), hdrhistogram.New(1000, maxLatency, 3)
	for n := range o.Firsts + warmUpPairs {
		for _, target := range []struct {
			url       string
			histogram *hdrhistogram.Histogram
		}{{p.engine, direct}, {p.entry, relayed}} {
			took, err := firstToken(ctx, target.url)
			if err != nil {
				return err
			}
			if n < warmUpPairs {
				continue
			}
			if err := target.histogram.RecordValue(int64(took)); err != nil {
				return errors.Wrapf(err, "record first-token latency %v", took)
			}
		}
	}
	for _, q := range []float64{50, 95, 99} {
		d, r := time.Duration(direct.ValueAtQuantile(q)), time.Duration(relayed.ValueAtQuantile(q))
		fmt.Printf("first token p%.0f: direct %v, relayed %v, added %v\n", q, d, r, r-d)
	}
	return nil
}

// firstToken returns the time from sending a request to its first token.
func firstToken(ctx context.Context, url string) (time.Duration, error) {
	begin := time.Now()
	response, err := open(ctx, http.DefaultClient, url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, ok := e2etest.NewEventReader(response.Body).Next(); !ok {
		return 0, errors.Errorf("completion from %s ended without a token", url)
	}
	took := time.Since(begin)
	_, err = io.Copy(io.Discard, response.Body)
	return took, errors.Wrapf(err, "read completion from %s", url)
}

// open requests a streamed completion.
func open(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	r, err := e2etest.Request(ctx, http.MethodPost, url+"/v1/chat/completions", e2etest.AccountKey, e2etest.Completion(true))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "request completion from %s", url)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("request completion from %s: status %s", url, response.Status)
	}
	return response, nil
}

// window is the interval in which tokens are counted.
type window struct{ begin, end time.Time }

// streamResult is the number of tokens of one stream within the window.
type streamResult struct {
	tokens int64
	err    error
}

// relay measures the CPU time of entry and sidecar per token over o.Streams concurrent
// streams.
func relay(ctx context.Context, o options, p *deployment) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams}}
	begin := time.Now().Add(o.Settle)
	w := window{begin: begin, end: begin.Add(time.Duration(o.Seconds) * time.Second)}
	results := make(chan streamResult, o.Streams)
	var wait conc.WaitGroup
	for range o.Streams {
		wait.Go(func() { results <- readTokens(streamCtx, client, p.entry, w) })
		time.Sleep(o.Pause / time.Duration(o.Streams))
	}
	entry, sidecar, err := cpuTimeWithin(p, w)
	wait.Wait()
	if err != nil {
		return err
	}
	return report(o, entry, sidecar, results)
}

// readTokens opens a stream, counts its tokens within the window and closes it after the
// window.
func readTokens(ctx context.Context, client *http.Client, url string, w window) streamResult {
	response, err := open(ctx, client, url)
	if err != nil {
		return streamResult{err: err}
	}
	defer response.Body.Close()
	events := e2etest.NewEventReader(response.Body)
	var c streamResult
	for {
		e, ok := events.Next()
		now := time.Now()
		switch {
		case now.After(w.end):
			return c
		case !ok || e.Name != "" || e.ID == "":
			c.err = errors.New("stream ended before the end of the measurement")
			return c
		case now.After(w.begin):
			c.tokens++
		}
	}
}

// cpuTimeWithin waits for the end of the window and returns the CPU time that each
// process used within it.
func cpuTimeWithin(p *deployment, w window) (entry, sidecar cpuTime, err error) {
	time.Sleep(time.Until(w.begin))
	entryBefore, sidecarBefore, err := p.cpuTimes()
	if err != nil {
		return cpuTime{}, cpuTime{}, err
	}
	time.Sleep(time.Until(w.end))
	entry, sidecar, err = p.cpuTimes()
	return entry.minus(entryBefore), sidecar.minus(sidecarBefore), err
}

// cpuTimes returns the CPU time that each process has used since its start.
func (p *deployment) cpuTimes() (entry, sidecar cpuTime, err error) {
	if entry, err = p.entryProcess.cpuTime(); err != nil {
		return cpuTime{}, cpuTime{}, err
	}
	sidecar, err = p.sidecarProcess.cpuTime()
	return entry, sidecar, err
}

func report(o options, entry, sidecar cpuTime, results <-chan streamResult) error {
	var tokens int64
	for range o.Streams {
		c := <-results
		if c.err != nil {
			return c.err
		}
		tokens += c.tokens
	}
	if tokens == 0 {
		return errors.New("no token was relayed within the measurement")
	}
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(tokens) }
	fmt.Printf("relay: %d streams, %.0f tokens/s; processor time per token: entry %.2f µs, sidecar %.2f µs, together %.2f µs (kernel %.2f µs)\n",
		o.Streams, float64(tokens)/float64(o.Seconds), perToken(entry.total()), perToken(sidecar.total()),
		perToken(entry.total()+sidecar.total()), perToken(entry.system+sidecar.system))
	return nil
}
