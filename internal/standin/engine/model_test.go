package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
)

// withVirtualTime runs an engine in a synctest bubble: a step takes 10 ms and 1 ms per
// decoding request, and the prefill of 1,000 tokens takes a second.
func withVirtualTime(t *testing.T, change func(*engine.Config), body func(t *testing.T, e *engine.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := engine.Defaults()
		c.Models = []engine.Model{{Name: "demo", Version: "1"}}
		c.StepBase, c.StepPerRequest, c.PrefillRate, c.PrefillChunk = 10*time.Millisecond, time.Millisecond, 1000, 100
		change(&c)
		e := engine.New(c)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = e.Run(ctx) }()
		body(t, e)
		cancel()
		synctest.Wait()
	})
}

func get[R any](t *testing.T, e *engine.Engine, path string) R {
	t.Helper()
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil).WithContext(t.Context()))
	must.Eq(t, http.StatusOK, w.Code)
	var result R
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &result))
	return result
}

// complete runs one unstreamed completion and returns how long it took.
func complete(t *testing.T, e *engine.Engine, prompt string, tokens int) time.Duration {
	began := time.Now()
	body := fmt.Sprintf(`{"model":"demo","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, prompt, tokens)
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)).WithContext(t.Context())
	e.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	return time.Since(began)
}

// Guards against a step time that does not depend on the batch: with ten requests in it,
// every token takes longer than with one, but far less than ten times as long.
func TestStepTimeGrowsWithTheBatch(t *testing.T) {
	withVirtualTime(t, func(*engine.Config) {}, func(t *testing.T, e *engine.Engine) {
		// The first token in a step of 10 ms and 1 ms of prefill, then 49 steps of 10 ms
		// and 1 ms for the decoding request.
		must.Eq(t, 11*time.Millisecond+49*11*time.Millisecond, complete(t, e, "", 50))
		took := make(chan time.Duration, 10)
		for range cap(took) {
			go func() { took <- complete(t, e, "", 50) }()
		}
		for range cap(took) {
			must.Between(t, 900*time.Millisecond, <-took, 1200*time.Millisecond)
		}
	})
}

// Guards against a prefix cache that has no effect or no limit, and against cache events
// that are published too early, are never lost, or are renumbered after a loss.
func TestPrefixCache(t *testing.T) {
	prompt := strings.Repeat("x", 4*640) // 641 tokens, 10 whole blocks
	withVirtualTime(t, func(c *engine.Config) { c.EventLoss, c.CacheBlocks = 0, 12 }, func(t *testing.T, e *engine.Engine) {
		cold, warm := complete(t, e, prompt, 1), complete(t, e, prompt, 1)
		must.Greater(t, 600*time.Millisecond, cold)
		must.Less(t, 50*time.Millisecond, warm)
		must.Len(t, 0, get[engine.CacheEvents](t, e, "/v1/cache-events").Events)
		complete(t, e, strings.Repeat("y", 4*640), 1)
		time.Sleep(time.Second)
		events := get[engine.CacheEvents](t, e, "/v1/cache-events?after=10").Events
		must.Len(t, 18, events) // ten stored, eight of the first prompt removed
		must.Eq(t, uint64(11), events[0].Sequence)
		must.Eq(t, engine.CacheStored, events[0].Kind)
		must.Eq(t, engine.CacheRemoved, events[17].Kind)
		must.Eq(t, 12, get[engine.Load](t, e, "/v1/load").CachedPrefixes)
	})
	withVirtualTime(t, func(c *engine.Config) { c.EventLoss, c.Seed = 0.5, 7 }, func(t *testing.T, e *engine.Engine) {
		complete(t, e, prompt, 1)
		time.Sleep(time.Second)
		events := get[engine.CacheEvents](t, e, "/v1/cache-events").Events
		must.Between(t, 1, len(events), 9)
	})
}

// Guards against a load report without lag, which would not test how the product copes
// with old ones, and against a report with a wrong age.
func TestLoadReportLags(t *testing.T) {
	withVirtualTime(t, func(c *engine.Config) { c.LoadReportLag = time.Second }, func(t *testing.T, e *engine.Engine) {
		done := make(chan time.Duration, 1)
		go func() { done <- complete(t, e, "", 500) }()
		time.Sleep(900 * time.Millisecond)
		load := get[engine.Load](t, e, "/v1/load")
		must.Eq(t, engine.Load{Slots: 32, AgeMS: 900}, load)
		time.Sleep(200 * time.Millisecond)
		load = get[engine.Load](t, e, "/v1/load")
		must.Eq(t, 1, load.Running)
		must.Eq(t, 100, load.AgeMS)
		must.Between(t, 80.0, load.TokensPerSecond, 100.0)
		<-done
	})
}

// Guards against ground truth that misses completions accepted by an engine more than 2 s
// after it began to leave.
func TestLateAcceptance(t *testing.T) {
	withVirtualTime(t, func(*engine.Config) {}, func(t *testing.T, e *engine.Engine) {
		must.NoError(t, e.SetLeaving(t.Context(), true))
		complete(t, e, "", 1)
		time.Sleep(3 * time.Second)
		must.True(t, get[engine.Load](t, e, "/v1/load").Leaving)
		complete(t, e, "", 1)
		must.Eq(t, uint64(1), get[engine.State](t, e, "/v1/state").Requests.AcceptedLate)
	})
}
