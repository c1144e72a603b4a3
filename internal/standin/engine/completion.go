package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/answer"
	"github.com/anvilpoint/anvilpoint/task"
)

// RequestIDHeader carries the id under which the caller can cancel its request.
const RequestIDHeader = "X-Request-Id"

// maxAnswerTokens is the greatest allowed max_tokens.
const maxAnswerTokens = 1 << 20

// Priority orders the queue; a smaller value is served earlier. In JSON it is a number or
// the name of a priority class.
type Priority int

// UnmarshalJSON implements json.Unmarshaler.
func (p *Priority) UnmarshalJSON(data []byte) error {
	var name ident.PriorityClass
	if json.Unmarshal(data, &name) != nil {
		return json.Unmarshal(data, (*int)(p))
	}
	for n, class := range ident.PriorityClasses() {
		if class == name {
			*p = Priority(n)
			return nil
		}
	}
	return errors.Errorf("unknown priority class %q", name)
}

// CompletionRequest is the body of POST /v1/chat/completions. Other fields of the OpenAI API
// are accepted and ignored.
type CompletionRequest struct {
	Model               ident.ModelName  `json:"model"`
	Messages            []answer.Message `json:"messages"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	Priority            Priority         `json:"anvilpoint_priority"`
	// Resume is the number of events that the caller already has: one per token and one
	// for the end of the answer.
	Resume int `json:"anvilpoint_resume"`
}

// validate returns what is wrong with the request, or an empty string.
func (c *CompletionRequest) validate() string {
	c.MaxTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	switch {
	case c.Model == "":
		return "model is required"
	case len(c.Messages) == 0:
		return "messages must not be empty"
	case c.MaxTokens < 0 || c.MaxTokens > maxAnswerTokens:
		return fmt.Sprintf("max_tokens must be from 0 to %d, not %d", maxAnswerTokens, c.MaxTokens)
	case c.Resume < 0:
		return fmt.Sprintf("anvilpoint_resume must not be negative, but is %d", c.Resume)
	}
	return ""
}

// responder writes the answer to one completion.
type responder struct {
	id           string
	model        ident.ModelName
	seed         uint64
	promptTokens int
	// firstToken is the index of the first token to send; a resumed answer starts later.
	firstToken int
	// endReceived is set if the caller already has the event that ends the answer.
	endReceived bool
	sequence    *sequence
	// eventPrefix is the encoded part that starts every event of the stream.
	eventPrefix []byte
}

func newResponder(c CompletionRequest, id string) *responder {
	if id == "" {
		id = "c-" + uuid.NewString()
	}
	seed := answer.Seed(string(c.Model), c.Messages)
	length := answer.Length(seed, c.MaxTokens)
	firstToken := min(c.Resume, length)
	tokens := promptTokens(c.Messages)
	return &responder{
		id: id, model: c.Model, seed: seed, promptTokens: tokens, firstToken: firstToken, endReceived: c.Resume > length,
		eventPrefix: eventPrefix(id, c.Model),
		sequence: &sequence{
			id: id, priority: int(c.Priority), blocks: promptBlocks(string(c.Model), c.Messages),
			prefillLeft: tokens + firstToken, nextToken: firstToken, length: length,
		},
	}
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "decode completion request: "+err.Error())
		return
	}
	if problem := c.validate(); problem != "" {
		standin.WriteError(w, http.StatusBadRequest, problem)
		return
	}
	d := newResponder(c, r.Header.Get(RequestIDHeader))
	result, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- submitResult) request {
		return &submitCompletion{model: c.Model, sequence: d.sequence, reply: reply}
	})
	// Has no effect on a request that has finished or was rejected.
	defer e.mailbox.Send(context.Background(), &abandonCompletion{sequence: d.sequence})
	switch {
	case !ok:
		standin.WriteStopped(w)
	case result == unknownModel:
		standin.WriteError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", c.Model))
	case result == rejected:
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusTooManyRequests, fmt.Sprintf(
			"the queue has reached its limit of %d requests or the request id %q is in use", e.config.QueueLimit, d.id))
	case c.Stream:
		d.writeStream(w, r)
	default:
		d.writeDocument(w, r)
	}
}

// next waits for the next item of the output. It aborts the connection if the request is
// canceled.
func (d *responder) next(r *http.Request) outputItem {
	select {
	case item := <-d.sequence.output.Receive():
		return item
	case <-d.sequence.canceled:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// writeStream answers with server-sent events, one per token and one for the end.
func (d *responder) writeStream(w http.ResponseWriter, r *http.Request) {
	flusher := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(RequestIDHeader, d.id)
	w.WriteHeader(http.StatusOK)
	// A failed write or flush also ends the context of the request.
	_ = flusher.Flush()
	for {
		item := d.next(r)
		if !item.end || !d.endReceived {
			_, _ = w.Write(d.event(item))
		}
		if item.end {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			_ = flusher.Flush()
			return
		}
		if d.sequence.output.Len() == 0 {
			_ = flusher.Flush()
		}
	}
}

func eventPrefix(id string, model ident.ModelName) []byte {
	head, err := json.Marshal(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   ident.ModelName `json:"model"`
	}{ID: id, Object: "chat.completion.chunk", Model: model})
	if err != nil {
		// Unreachable: strings and numbers always encode.
		panic(err)
	}
	head = append([]byte("data: "), head[:len(head)-1]...)
	return append(head, `,"choices":[{"index":0,"delta":{`...)
}

// event encodes one item as a server-sent event. Tokens consist of letters and a space
// and need no escaping.
func (d *responder) event(item outputItem) []byte {
	text := append(make([]byte, 0, len(d.eventPrefix)+128), d.eventPrefix...)
	if item.end {
		text = append(text, `},"finish_reason":"stop"}],"usage":`...)
		text = append(text, d.usage(item.index)...)
		return append(text, "}\n\n"...)
	}
	if item.index == 0 {
		text = append(text, `"role":"assistant",`...)
	}
	text = append(text, `"content":"`...)
	text = append(text, answer.Token(d.seed, item.index)...)
	return append(text, "\"},\"finish_reason\":null}]}\n\n"...)
}

func (d *responder) usage(outputTokens int) []byte {
	return fmt.Appendf(nil, `{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, d.promptTokens, outputTokens, d.promptTokens+outputTokens)
}

// completionDocument is the answer to an unstreamed completion.
type completionDocument struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   ident.ModelName  `json:"model"`
	Choices []documentChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage"`
}

type documentChoice struct {
	Index        int            `json:"index"`
	Message      answer.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// writeDocument answers with one JSON document once the answer is complete.
func (d *responder) writeDocument(w http.ResponseWriter, r *http.Request) {
	item := d.next(r)
	for !item.end {
		item = d.next(r)
	}
	w.Header().Set(RequestIDHeader, d.id)
	standin.WriteJSON(w, http.StatusOK, completionDocument{
		ID: d.id, Object: "chat.completion", Model: d.model, Usage: d.usage(item.index),
		Choices: []documentChoice{{
			Message:      answer.Message{Role: "assistant", Content: answer.Text(d.seed, d.firstToken, item.index)},
			FinishReason: "stop",
		}},
	})
}
