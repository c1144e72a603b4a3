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

	"github.com/anvilpoint/anvilpoint/internal/pathtest"
)

// firstTokens compares the time to the first token through the path with a
// direct call of the engine, in turns in the same run.
func firstTokens(ctx context.Context, o options, p *path) error {
	const highest = int64(10 * time.Second)
	direct, relayed := hdrhistogram.New(1000, highest, 3), hdrhistogram.New(1000, highest, 3)
	for n := range o.Firsts + 50 {
		for _, side := range []struct {
			url  string
			into *hdrhistogram.Histogram
		}{{p.engine, direct}, {p.entry, relayed}} {
			took, err := firstToken(ctx, side.url)
			if err != nil {
				return err
			}
			// The first pairs open connections and fill caches.
			if n < 50 {
				continue
			}
			if err := side.into.RecordValue(int64(took)); err != nil {
				return errors.Wrap(err, "first token")
			}
		}
	}
	for _, q := range []float64{50, 95, 99} {
		d, r := time.Duration(direct.ValueAtQuantile(q)), time.Duration(relayed.ValueAtQuantile(q))
		fmt.Printf("first token p%.0f: direct %v, relayed %v, added %v\n", q, d, r, r-d)
	}
	return nil
}

func firstToken(ctx context.Context, url string) (time.Duration, error) {
	begin := time.Now()
	response, err := open(ctx, http.DefaultClient, url)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, ok := pathtest.NewEvents(response.Body).Next(); !ok {
		return 0, errors.New("no first token")
	}
	took := time.Since(begin)
	_, err = io.Copy(io.Discard, response.Body)
	return took, errors.Wrap(err, "first token")
}

func open(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	r, err := pathtest.Request(ctx, http.MethodPost, url+"/v1/chat/completions", pathtest.Key, pathtest.Completion(true))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "completion")
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.Errorf("completion: status %s", response.Status)
	}
	return response, nil
}

// window is the time in which tokens are counted.
type window struct{ begin, end time.Time }

// counted is what one stream saw.
type counted struct {
	tokens int64
	err    error
}

// relay measures the processor time of entry and sidecar while streams flow.
func relay(ctx context.Context, o options, p *path) error {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Streams}}
	begin := time.Now().Add(o.Settle)
	w := window{begin: begin, end: begin.Add(time.Duration(o.Seconds) * time.Second)}
	results := make(chan counted, o.Streams)
	var wait conc.WaitGroup
	for range o.Streams {
		wait.Go(func() { results <- readTokens(limited, client, p.entry, w) })
		time.Sleep(o.Pause / time.Duration(o.Streams))
	}
	entry, sidecar, err := sample(p, w)
	wait.Wait()
	if err != nil {
		return err
	}
	return report(o, entry, sidecar, results)
}

// readTokens counts the tokens of one stream within the window and leaves then.
func readTokens(ctx context.Context, client *http.Client, url string, w window) counted {
	response, err := open(ctx, client, url)
	if err != nil {
		return counted{err: err}
	}
	defer response.Body.Close()
	events := pathtest.NewEvents(response.Body)
	var c counted
	for {
		e, ok := events.Next()
		now := time.Now()
		switch {
		case now.After(w.end):
			return c
		case !ok || e.Name != "" || e.ID == "":
			c.err = errors.New("a stream ended early")
			return c
		case now.After(w.begin):
			c.tokens++
		}
	}
}

// sample returns the processor time that each process used within the window.
func sample(p *path, w window) (entry, sidecar times, err error) {
	time.Sleep(time.Until(w.begin))
	entryBefore, sidecarBefore, err := p.used()
	if err != nil {
		return times{}, times{}, err
	}
	time.Sleep(time.Until(w.end))
	entry, sidecar, err = p.used()
	return entry.minus(entryBefore), sidecar.minus(sidecarBefore), err
}

func (p *path) used() (entry, sidecar times, err error) {
	if entry, err = p.entryProcess.used(); err != nil {
		return times{}, times{}, err
	}
	sidecar, err = p.sidecarProcess.used()
	return entry, sidecar, err
}

func report(o options, entry, sidecar times, results <-chan counted) error {
	var tokens int64
	for range o.Streams {
		c := <-results
		if c.err != nil {
			return c.err
		}
		tokens += c.tokens
	}
	if tokens == 0 {
		return errors.New("no token was relayed")
	}
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(tokens) }
	fmt.Printf("relay: %d streams, %.0f tokens/s; processor time per token: entry %.2f µs, sidecar %.2f µs, together %.2f µs (kernel %.2f µs)\n",
		o.Streams, float64(tokens)/float64(o.Seconds), perToken(entry.total()), perToken(sidecar.total()),
		perToken(entry.total()+sidecar.total()), perToken(entry.system+sidecar.system))
	return nil
}
