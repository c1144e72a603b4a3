package dev_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/entry"
	"github.com/anvilpoint/anvilpoint/internal/sidecar"
	"github.com/anvilpoint/anvilpoint/internal/standin/answer"
	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
	"github.com/anvilpoint/anvilpoint/internal/standin/group"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
)

// startProduct runs a small installation of the real entries and sidecars.
func startProduct(t *testing.T, changes ...func(*dev.Options)) *dev.Cluster {
	t.Helper()
	return start(t, func(o *dev.Options) {
		o.Programs = dev.Programs{
			Entry: func(ctx context.Context, p dev.ProcessOptions) error { return entry.Run(ctx, entry.Options(p)) },
			Sidecar: func(ctx context.Context, p dev.ProcessOptions) error {
				return sidecar.Run(ctx, sidecar.Options(p))
			},
		}
		o.Services = 2
		for _, change := range changes {
			change(o)
		}
	})
}

type completion struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// result is the response to a call, or its error.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendCall sends a POST request with the demo key and, if it is set, an idempotency key.
func sendCall(ctx context.Context, url, key, body string) result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+dev.DemoKey)
	if key != "" {
		request.Header.Set(service.KeyHeader, key)
		request.GetBody = nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func complete(t *testing.T, entry string, c completion) result {
	body, err := json.Marshal(c)
	must.NoError(t, err)
	return sendCall(t.Context(), entry+"/v1/chat/completions", "", string(body))
}

// streamText checks the ids of the events and the end mark of a stream and returns its
// text.
func streamText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	next, ended := 1, false
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			must.Eq(t, strconv.Itoa(next), id)
			next++
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		must.NoError(t, json.Unmarshal([]byte(data), &event))
		text.WriteString(event.Choices[0].Delta.Content)
	}
	must.True(t, ended, must.Sprint(body))
	return text.String()
}

// Guards against an installation that reports that it is ready and does not work: every
// entry must answer streamed and unstreamed completions and service calls, apply a
// published record, and stop without leaking a goroutine (checked by start).
func TestProductEndToEnd(t *testing.T) {
	c := startProduct(t)
	prompt := []answer.Message{{Role: "user", Content: "Summarise the delivery note of truck 17."}}
	want := answer.Text(answer.Seed(string(dev.DemoModel), prompt), 0, 20)
	for n, entry := range c.EntryURLs() {
		streamed := complete(t, entry, completion{Model: "assistant", Messages: prompt, MaxTokens: 20, Stream: true})
		must.NoError(t, streamed.err)
		must.Eq(t, want, streamText(t, streamed.body))
		whole := complete(t, entry, completion{Model: "assistant", Messages: prompt, MaxTokens: 20})
		must.NoError(t, whole.err)
		must.StrContains(t, whole.body, want)
		booked := sendCall(t.Context(), entry+"/v1/services/ledger/loads", uuid.Must(uuid.NewV7()).String(), "17 t")
		must.Eq(t, http.StatusOK, booked.status, must.Sprint(booked.body))
		must.Eq(t, "completed", booked.header.Get("Anvilpoint-Outcome"))
		_, executions := call(t, http.MethodGet, c.AdminURL()+"/truth/executions", "")
		must.Eq(t, n+1, strings.Count(executions, `"executions":1,`))
	}
	awaitRecord(t, c)
}

// awaitRecord publishes a record without the demo account's key and waits until
// every entry refuses that key.
func awaitRecord(t *testing.T, c *dev.Cluster) {
	t.Helper()
	_, record := call(t, http.MethodGet, c.AdminURL()+"/record", "")
	hash := dev.Account("demo", dev.DemoKey, 1).KeyHashes[0]
	other := dev.Account("demo", "another key", 1).KeyHashes[0]
	record = strings.ReplaceAll(strings.Replace(record, `"revision":1`, `"revision":2`, 1), hash, other)
	status, text := call(t, http.MethodPut, c.AdminURL()+"/record", record)
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	for _, entry := range c.EntryURLs() {
		for complete(t, entry, completion{}).status != http.StatusUnauthorized {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against a stream that loses, repeats or changes tokens when its engine crashes.
func TestProductStreamSurvivesEngineCrash(t *testing.T) {
	c := startProduct(t)
	prompt := []answer.Message{{Role: "user", Content: "List tonight's contaminated loads."}}
	request := completion{Model: "assistant", Messages: prompt, MaxTokens: 100, Stream: true}
	answers := make(chan result, 8)
	for n := range cap(answers) {
		entry := c.EntryURLs()[n%2]
		go func() { answers <- complete(t, entry, request) }()
	}
	for _, engine := range []string{"replica-0", "replica-1"} {
		time.Sleep(500 * time.Millisecond)
		fault(t, c, dev.Fault{Target: engine, Kind: "crash", Seconds: 0.5})
		await(t, c, engine, "live")
	}
	want := answer.Text(answer.Seed(string(dev.DemoModel), prompt), 0, 100)
	for range cap(answers) {
		got := <-answers
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status, must.Sprint(got.body))
		must.Eq(t, want, streamText(t, got.body))
	}
}

// Guards against a group that runs no steps, that does not form again after a rank has
// crashed, or that ran a step in which two ranks used different maps.
func TestProductGroupFormsAgain(t *testing.T) {
	c := startProduct(t)
	steps := func() uint64 {
		_, text := call(t, http.MethodGet, c.AdminURL()+"/truth/steps", "")
		var truth group.Truth
		must.NoError(t, json.Unmarshal([]byte(text), &truth))
		must.SliceEmpty(t, truth.MapMismatches)
		return truth.Steps
	}
	awaitSteps := func(minSteps uint64) {
		for steps() < minSteps {
			time.Sleep(10 * time.Millisecond)
		}
	}
	awaitSteps(5)
	fault(t, c, dev.Fault{Target: "replica-1", Kind: "crash"})
	await(t, c, "replica-1", "crashed")
	stepsAtCrash := steps()
	fault(t, c, dev.Fault{Target: "replica-1", Kind: "heal"})
	awaitSteps(stepsAtCrash + 5)
}
