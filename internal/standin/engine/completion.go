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

// RequestIDHeader lets the caller name its request, so that it can cancel it.
const RequestIDHeader = "X-Request-Id"

// maxAnswerTokens bounds max_tokens.
const maxAnswerTokens = 1 << 20

// Priority orders the queue; smaller is more urgent. In JSON it is a number or
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

// Completion is the body of POST /v1/chat/completions. Other fields of the
// OpenAI interface are accepted and have no effect.
type Completion struct {
	Model               ident.ModelName  `json:"model"`
	Messages            []answer.Message `json:"messages"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Stream              bool             `json:"stream"`
	Priority            Priority         `json:"anvilpoint_priority"`
	// Resume is the number of events that the caller already has: one per token,
	// and one more for the end of the answer.
	Resume int `json:"anvilpoint_resume"`
}

func (c *Completion) check() string {
	c.MaxTokens = max(c.MaxTokens, c.MaxCompletionTokens)
	switch {
	case c.Model == "":
		return "model is required"
	case len(c.Messages) == 0:
		return "messages must not be empty"
	case c.MaxTokens < 0 || c.MaxTokens > maxAnswerTokens:
		return "max_tokens must be from 0 to 1048576"
	case c.Resume < 0:
		return "anvilpoint_resume must not be negative"
	}
	return ""
}

// reader is what the handler knows about one completion.
type reader struct {
	id     string
	model  ident.ModelName
	seed   uint64
	prompt int
	from   int
	// endSeen says that the caller already has the event that ends the answer.
	endSeen  bool
	sequence *sequence
	// head is the start of every event of the stream.
	head []byte
}

func newReader(c Completion, id string) *reader {
	if id == "" {
		id = "c-" + uuid.NewString()
	}
	seed := answer.Seed(string(c.Model), c.Messages)
	length := answer.Length(seed, c.MaxTokens)
	from := min(c.Resume, length)
	prompt := promptTokens(c.Messages)
	return &reader{id: id, model: c.Model, seed: seed, prompt: prompt, from: from, endSeen: c.Resume > length, head: eventHead(id, c.Model), sequence: &sequence{
		id: id, priority: int(c.Priority), blocks: promptBlocks(string(c.Model), c.Messages),
		work: prompt + from, next: from, length: length,
	}}
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var c Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		standin.Refuse(w, http.StatusBadRequest, "the body is not a completion request: "+err.Error())
		return
	}
	if fault := c.check(); fault != "" {
		standin.Refuse(w, http.StatusBadRequest, fault)
		return
	}
	d := newReader(c, r.Header.Get(RequestIDHeader))
	v, ok := task.Ask(r.Context(), e.mailbox, func(reply chan<- verdict) request {
		return &submit{model: c.Model, sequence: d.sequence, reply: reply}
	})
	// Finds nothing to do when the request has finished or was refused.
	defer e.mailbox.Send(context.Background(), &abandon{sequence: d.sequence})
	switch {
	case !ok:
		standin.Stopped(w)
	case v == unknownModel:
		standin.Refuse(w, http.StatusNotFound, "the model is not loaded")
	case v == full:
		w.Header().Set("Retry-After", "1")
		standin.Refuse(w, http.StatusTooManyRequests, "the queue is full or the request id is in use")
	case c.Stream:
		d.stream(w, r)
	default:
		d.whole(w, r)
	}
}

// receive returns the next piece. It aborts the connection when none will come.
func (d *reader) receive(r *http.Request) piece {
	select {
	case p := <-d.sequence.pieces.Receive():
		return p
	case <-d.sequence.canceled:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// stream answers with server-sent events, one per token.
func (d *reader) stream(w http.ResponseWriter, r *http.Request) {
	flusher := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(RequestIDHeader, d.id)
	w.WriteHeader(http.StatusOK)
	// A failed write or flush shows as the end of the request's context.
	_ = flusher.Flush()
	for {
		p := d.receive(r)
		if !p.last || !d.endSeen {
			_, _ = w.Write(d.event(p))
		}
		if p.last {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			_ = flusher.Flush()
			return
		}
		if d.sequence.pieces.Len() == 0 {
			_ = flusher.Flush()
		}
	}
}

func eventHead(id string, model ident.ModelName) []byte {
	head, err := json.Marshal(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   ident.ModelName `json:"model"`
	}{ID: id, Object: "chat.completion.chunk", Model: model})
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	head = append([]byte("data: "), head[:len(head)-1]...)
	return append(head, `,"choices":[{"index":0,"delta":{`...)
}

// event encodes one piece. Tokens consist of letters and a space and need no
// escaping.
func (d *reader) event(p piece) []byte {
	text := append(make([]byte, 0, len(d.head)+128), d.head...)
	if p.last {
		text = append(text, `},"finish_reason":"stop"}],"usage":`...)
		text = append(text, d.usage(p.index)...)
		return append(text, "}\n\n"...)
	}
	if p.index == 0 {
		text = append(text, `"role":"assistant",`...)
	}
	text = append(text, `"content":"`...)
	text = append(text, answer.Token(d.seed, p.index)...)
	return append(text, "\"},\"finish_reason\":null}]}\n\n"...)
}

func (d *reader) usage(output int) []byte {
	return fmt.Appendf(nil, `{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, d.prompt, output, d.prompt+output)
}

// wholeAnswer is the document that answers an unstreamed completion.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   ident.ModelName `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type wholeChoice struct {
	Index        int            `json:"index"`
	Message      answer.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

// whole answers with one document.
func (d *reader) whole(w http.ResponseWriter, r *http.Request) {
	p := d.receive(r)
	for !p.last {
		p = d.receive(r)
	}
	w.Header().Set(RequestIDHeader, d.id)
	standin.WriteJSON(w, http.StatusOK, wholeAnswer{
		ID: d.id, Object: "chat.completion", Model: d.model, Usage: d.usage(p.index),
		Choices: []wholeChoice{{
			Message:      answer.Message{Role: "assistant", Content: answer.Text(d.seed, d.from, p.index)},
			FinishReason: "stop",
		}},
	})
}
