package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin/answer"
	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
)

var prompt = []answer.Message{{Role: "user", Content: strings.Repeat("summarise the delivery note of truck 17. ", 40)}}

// start runs an engine with steps of 1 ms behind an HTTP server until the test ends.
func start(t *testing.T, change func(*engine.Config)) (*engine.Engine, string) {
	t.Helper()
	c := engine.Defaults()
	c.Models = []engine.Model{{Name: "demo", Version: "1"}}
	c.StepBase, c.StepPerRequest, c.PrefillRate = time.Millisecond, 0, 1e6
	c.LoadTime = time.Millisecond
	change(&c)
	e := engine.New(c)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return e, server.URL
}

func post(t *testing.T, url, path string, body any, header ...string) *http.Response {
	t.Helper()
	text, err := json.Marshal(body)
	must.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(string(text)))
	must.NoError(t, err)
	if len(header) == 2 {
		request.Header.Set(header[0], header[1])
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

type completionRequest struct {
	Model     string           `json:"model"`
	Messages  []answer.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream"`
	Resume    int              `json:"anvilpoint_resume,omitempty"`
	Priority  string           `json:"anvilpoint_priority,omitempty"`
}

// endEvent stands for the event that ends an answer.
const endEvent = "(end)"

// readTokens reads a stream until its end mark or until maxEvents events were read.
func readTokens(t *testing.T, r *http.Response, maxEvents int) (tokens []string, finished bool) {
	t.Helper()
	lines := bufio.NewScanner(r.Body)
	for len(tokens) < maxEvents && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var event struct {
			Choices []struct {
				Delta  struct{ Content string }
				Finish string `json:"finish_reason"`
			}
		}
		must.NoError(t, json.Unmarshal([]byte(data), &event))
		text := event.Choices[0].Delta.Content
		if event.Choices[0].Finish != "" {
			text = endEvent
		}
		tokens = append(tokens, text)
	}
	return tokens, false
}

// Guards against a resumed stream that repeats, skips or changes tokens when
// another engine continues it, at every possible resume position.
func TestResumeContinuesExactly(t *testing.T) {
	_, first := start(t, func(*engine.Config) {})
	_, second := start(t, func(c *engine.Config) { c.Server = "other" })
	const length = 12
	seed := answer.Seed("demo", prompt)
	for resume := 0; resume <= length+1; resume++ {
		head, _ := readTokens(t, post(t, first, "/v1/chat/completions", completionRequest{Model: "demo", Messages: prompt, MaxTokens: length, Stream: true}), resume)
		tail, finished := readTokens(t, post(t, second, "/v1/chat/completions", completionRequest{Model: "demo", Messages: prompt, MaxTokens: length, Stream: true, Resume: resume}), length+2)
		must.True(t, finished)
		must.Eq(t, answer.Text(seed, 0, length)+endEvent, strings.Join(append(head, tail...), ""))
	}
}

// Guards against an unstreamed answer that differs from the streamed one.
func TestWholeAnswer(t *testing.T) {
	_, url := start(t, func(*engine.Config) {})
	response := post(t, url, "/v1/chat/completions", completionRequest{Model: "demo", Messages: prompt})
	must.Eq(t, http.StatusOK, response.StatusCode)
	var whole struct {
		Choices []struct{ Message answer.Message }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	must.NoError(t, json.NewDecoder(response.Body).Decode(&whole))
	seed := answer.Seed("demo", prompt)
	must.Eq(t, answer.Text(seed, 0, answer.Length(seed, 0)), whole.Choices[0].Message.Content)
	must.Eq(t, answer.Length(seed, 0), whole.Usage.Completion)
	must.Eq(t, http.StatusNotFound, post(t, url, "/v1/chat/completions", completionRequest{Model: "missing", Messages: prompt}).StatusCode)
}

// Guards against an engine that executes an order with an old fencing token although it
// checks tokens, that refuses one although it ignores tokens, or that miscounts them.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, url := start(t, func(c *engine.Config) { c.ChecksFencing = checks })
		load := func(token ident.FencingToken, version string) int {
			return post(t, url, "/v1/orders", engine.Order{Fencing: token, Kind: engine.OrderLoadModel, Model: "demo", Version: version}).StatusCode
		}
		must.Eq(t, 200, load(10, "2"))
		must.Eq(t, 200, load(10, "2"))
		want := map[bool]int{true: 409, false: 200}[checks]
		must.Eq(t, want, load(9, "1"))
		must.Eq(t, want, load(10, "3"))
		state, err := e.State(t.Context())
		must.NoError(t, err)
		must.Eq(t, ident.FencingToken(10), state.Fencing)
		must.Eq(t, map[bool]engine.OrderCounts{true: {Executed: 1, Refused: 2}, false: {Executed: 3, Superseded: 2}}[checks], state.Orders)
	}
}

// Guards against loading a model that never ends, or that unloads the old version before
// the new one is ready.
func TestLoadModel(t *testing.T) {
	e, url := start(t, func(c *engine.Config) { c.LoadTime = 50 * time.Millisecond })
	post(t, url, "/v1/orders", engine.Order{Fencing: 1, Kind: engine.OrderLoadModel, Model: "demo", Version: "2"})
	state, err := e.State(t.Context())
	must.NoError(t, err)
	must.Eq(t, engine.Model{Name: "demo", Version: "1", Adapters: []string{}, Loading: "2"}, state.Models[0])
	for state.Models[0].Version != "2" {
		time.Sleep(time.Millisecond)
		state, err = e.State(t.Context())
		must.NoError(t, err)
	}
	must.Eq(t, "", state.Models[0].Loading)
}

// Guards against an engine that goes on working for a caller that cancelled or
// disconnected, which would distort every measurement of wasted work.
func TestCancel(t *testing.T) {
	e, url := start(t, func(*engine.Config) {})
	long := completionRequest{Model: "demo", Messages: prompt, MaxTokens: 100000, Stream: true}
	response := post(t, url, "/v1/chat/completions", long, engine.RequestIDHeader, "one")
	readTokens(t, response, 1)
	request, err := http.NewRequest(http.MethodDelete, url+"/v1/requests/one", nil)
	must.NoError(t, err)
	deleted, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	must.NoError(t, deleted.Body.Close())
	must.Eq(t, http.StatusNoContent, deleted.StatusCode)
	_, finished := readTokens(t, response, 200000)
	must.False(t, finished)
	must.NoError(t, post(t, url, "/v1/chat/completions", long).Body.Close())
	for canceled := uint64(0); canceled < 2; time.Sleep(time.Millisecond) {
		state, err := e.State(t.Context())
		must.NoError(t, err)
		canceled = state.Requests.Canceled
	}
}

// Guards against a queue that ignores priorities: when the only slot becomes free, the
// interactive request must be answered before the batch request that arrived earlier.
func TestPriority(t *testing.T) {
	e, url := start(t, func(c *engine.Config) { c.Slots = 1 })
	blocker := post(t, url, "/v1/chat/completions", completionRequest{Model: "demo", Messages: prompt, MaxTokens: 100000, Stream: true}, engine.RequestIDHeader, "blocker")
	readTokens(t, blocker, 1)
	order := make(chan string, 2)
	for n, class := range []string{"batch", "interactive"} {
		go func() {
			post(t, url, "/v1/chat/completions", completionRequest{Model: "demo", Messages: prompt, MaxTokens: 20, Priority: class})
			order <- class
		}()
		for accepted := uint64(0); accepted < uint64(n)+2; time.Sleep(time.Millisecond) {
			state, err := e.State(t.Context())
			must.NoError(t, err)
			accepted = state.Requests.Accepted
		}
	}
	must.NoError(t, blocker.Body.Close())
	must.Eq(t, "interactive", <-order)
	must.Eq(t, "batch", <-order)
}
