package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// Result is what one request got.
type Result struct {
	Arrival Arrival
	// Outcome is what the caller was told; empty if the connection broke.
	Outcome outcome.Kind
	Status  int
	Reason  string
	// Whole says that the answer arrived complete and in order.
	Whole bool
	// FirstToken and Total are counted from the intended start.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// LongestGap is the longest time between two tokens.
	LongestGap time.Duration
	// Fault is what was wrong with an answer that is not whole.
	Fault string
	// NotSent says that the tool's limit of requests in flight was reached.
	NotSent bool
	Key     string
}

// client sends requests to one set of entries.
type client struct {
	scenario  *Scenario
	addresses []string
	http      *http.Client
	start     time.Time
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Reason string `json:"reason"`
}

// do runs one request and measures it.
func (c *client) do(ctx context.Context, a Arrival) Result {
	w := c.scenario.Workloads[a.Workload]
	intended := c.start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(w.Deadline))
	defer cancel()
	result := Result{Arrival: a}
	request, err := c.request(ctx, a, w, &result)
	if err != nil {
		result.Fault = err.Error()
		return result
	}
	response, err := c.http.Do(request)
	if err != nil {
		result.Fault = "connection: " + shortError(err)
		result.Total = time.Since(intended)
		return result
	}
	defer response.Body.Close()
	result.Status = response.StatusCode
	result.Outcome = outcome.Kind(response.Header.Get("Anvilpoint-Outcome"))
	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		readProblem(response.Body, &result)
	case w.Booking():
		readBooking(response.Body, &result, intended)
	default:
		readStream(response.Body, &result, intended)
	}
	result.Total = time.Since(intended)
	return result
}

func (c *client) request(ctx context.Context, a Arrival, w Workload, result *Result) (*http.Request, error) {
	address := c.addresses[a.Number%len(c.addresses)]
	target, body := address+"/v1/chat/completions", []byte(nil)
	if w.Booking() {
		target = address + "/v1/services/" + string(w.Service) + "/" + w.Path
		body = []byte(`{"number":` + strconv.Itoa(a.Number) + `}`)
	} else {
		encoded, err := json.Marshal(chatRequest{
			Model: string(w.Model), Stream: true, MaxTokens: a.Output,
			Messages: []chatMessage{{Role: "user", Content: prompt(a)}},
		})
		if err != nil {
			return nil, errors.Wrap(err, "request body")
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+c.scenario.Accounts[a.Account].Key)
	request.Header.Set("Content-Type", "application/json")
	if !w.Booking() {
		request.Header.Set("Anvilpoint-Priority-Class", string(w.Class))
		return request, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "idempotency key")
	}
	result.Key = key.String()
	request.Header.Set("Idempotency-Key", result.Key)
	return request, nil
}

// prompt writes a prompt of the arrival's length. The first half depends only on
// the prefix, so that requests of one prefix can share cached work.
func prompt(a Arrival) string {
	var b strings.Builder
	for i := range a.Prompt {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteByte('p')
		if i < a.Prompt/2 {
			b.WriteString(strconv.Itoa(a.Workload*100000 + a.Prefix))
		} else {
			b.WriteString(strconv.Itoa(a.Number))
		}
	}
	return b.String()
}

func readProblem(body io.Reader, result *Result) {
	var p problem
	if err := json.NewDecoder(io.LimitReader(body, 64<<10)).Decode(&p); err == nil {
		result.Reason = p.Reason
		if p.Reason == "" {
			result.Reason = p.Title
		}
	}
}

func readBooking(body io.Reader, result *Result, intended time.Time) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		result.Fault = "answer cut: " + shortError(err)
		return
	}
	result.FirstToken = time.Since(intended)
	result.Whole = true
}

// readStream reads server-sent events and checks that their numbers have no gap
// and that the stream ends with its end mark.
func readStream(body io.Reader, result *Result, intended time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	next, last := uint64(1), time.Time{}
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.ParseUint(id, 10, 64); err != nil || n != next {
				result.Fault = "event " + id + " in place of " + strconv.FormatUint(next, 10)
				return
			}
			next++
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.Whole = true
			return
		}
		last = noteToken(result, intended, last)
	}
	result.Fault = "answer cut without end mark"
	if err := scanner.Err(); err != nil {
		result.Fault = "answer cut: " + shortError(err)
	}
}

func noteToken(result *Result, intended, last time.Time) time.Time {
	now := time.Now()
	if result.Tokens == 0 {
		result.FirstToken = now.Sub(intended)
	} else {
		result.LongestGap = max(result.LongestGap, now.Sub(last))
	}
	result.Tokens++
	return now
}

// shortError drops the URL that net/http puts before its errors.
func shortError(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "deadline passed"
	}
	text := err.Error()
	if cut := strings.LastIndex(text, ": "); cut >= 0 {
		return text[cut+2:]
	}
	return text
}
