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

// Result is the measured result of one request.
type Result struct {
	Arrival Arrival
	// Outcome is the outcome that the response header states; empty without a response.
	Outcome outcome.Kind
	Status  int
	Reason  string
	// Complete reports whether the response arrived complete and in order.
	Complete bool
	// FirstToken and Total are the times from the intended start to the first token
	// (for a booking, to the end of the response) and to the end of the response.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// LongestGap is the longest time between two consecutive tokens.
	LongestGap time.Duration
	// Error is the error because of which the response is missing or incomplete.
	Error string
	// NotSent reports whether the request was dropped because Scenario.MaxInFlight
	// requests were in flight.
	NotSent bool
	// Key is the idempotency key of a booking.
	Key string
}

// client sends the requests of a scenario to the entries in turn.
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

// problem is the part of an RFC 9457 problem document that is read.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Reason string `json:"reason"`
}

// do sends one request and measures it. Times count from the intended start, so
// that a late send counts as latency (no coordinated omission).
func (c *client) do(ctx context.Context, a Arrival) Result {
	w := c.scenario.Workloads[a.Workload]
	intended := c.start.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(w.Deadline))
	defer cancel()
	result := Result{Arrival: a}
	request, err := c.newRequest(ctx, a, w, &result)
	if err != nil {
		result.Error = err.Error()
		return result
	}
	response, err := c.http.Do(request)
	if err != nil {
		result.Error = "request failed: " + shortError(err)
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

func (c *client) newRequest(ctx context.Context, a Arrival, w Workload, result *Result) (*http.Request, error) {
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
			return nil, errors.Wrapf(err, "encode body of request %d", a.Number)
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "create request for %s", target)
	}
	request.Header.Set("Authorization", "Bearer "+c.scenario.Accounts[a.Account].Key)
	request.Header.Set("Content-Type", "application/json")
	if !w.Booking() {
		request.Header.Set("Anvilpoint-Priority-Class", string(w.Class))
		return request, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "generate idempotency key")
	}
	result.Key = key.String()
	request.Header.Set("Idempotency-Key", result.Key)
	return request, nil
}

// prompt returns a prompt of a.Prompt words. The first half depends only on the
// workload and the prefix number, so that requests with the same prefix share
// cached prefill.
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

// readBooking reads the response to a booking to its end.
func readBooking(body io.Reader, result *Result, intended time.Time) {
	if _, err := io.Copy(io.Discard, body); err != nil {
		result.Error = "response truncated: " + shortError(err)
		return
	}
	result.FirstToken = time.Since(intended)
	result.Complete = true
}

// readStream reads server-sent events and checks that their IDs count up from 1
// without a gap and that the stream ends with the event [DONE].
func readStream(body io.Reader, result *Result, intended time.Time) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 16<<10), 1<<20)
	next, last := uint64(1), time.Time{}
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if n, err := strconv.ParseUint(id, 10, 64); err != nil || n != next {
				result.Error = "stream out of order: event ID " + id + ", expected " + strconv.FormatUint(next, 10)
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
			result.Complete = true
			return
		}
		last = recordToken(result, intended, last)
	}
	result.Error = "response truncated: stream ended without [DONE]"
	if err := scanner.Err(); err != nil {
		result.Error = "response truncated: " + shortError(err)
	}
}

// recordToken updates the result for a token that arrives now and returns the
// time of its arrival.
func recordToken(result *Result, intended, last time.Time) time.Time {
	now := time.Now()
	if result.Tokens == 0 {
		result.FirstToken = now.Sub(intended)
	} else {
		result.LongestGap = max(result.LongestGap, now.Sub(last))
	}
	result.Tokens++
	return now
}

// shortError returns the last part of an error, without the URL that net/http
// puts first, so that equal failures are counted together.
func shortError(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "deadline exceeded"
	}
	text := err.Error()
	if cut := strings.LastIndex(text, ": "); cut >= 0 {
		return text[cut+2:]
	}
	return text
}
