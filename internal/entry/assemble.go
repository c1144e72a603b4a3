package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/anvilpoint/anvilpoint/internal/decide/stream"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// completionChunk is one event of a streamed completion.
type completionChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// isLastPiece reports whether the event ends the text of the answer, that is,
// whether each of its choices has a finish reason.
func isLastPiece(piece []byte) bool {
	var c completionChunk
	if json.Unmarshal(piece, &c) != nil || len(c.Choices) == 0 {
		return false
	}
	for _, choice := range c.Choices {
		if choice.FinishReason == nil {
			return false
		}
	}
	return true
}

// completion is the body of an answer that is not streamed.
type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      choiceMessage `json:"message"`
	FinishReason *string       `json:"finish_reason"`
}

type choiceMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// collector assembles the events of a stream into one answer.
type collector struct {
	answer completion
	texts  []*strings.Builder
}

func (c *collector) add(piece []byte) bool {
	var chunk completionChunk
	if json.Unmarshal(piece, &chunk) != nil {
		return false
	}
	if c.answer.ID == "" {
		c.answer.ID, c.answer.Created, c.answer.Model = chunk.ID, chunk.Created, chunk.Model
	}
	if len(chunk.Usage) > 0 && string(chunk.Usage) != "null" {
		c.answer.Usage = chunk.Usage
	}
	for _, part := range chunk.Choices {
		if !c.addChoice(part) {
			return false
		}
	}
	return true
}

// maxChoices is the maximum number of choices in one answer.
const maxChoices = 128

func (c *collector) addChoice(part chunkChoice) bool {
	if part.Index < 0 || part.Index >= maxChoices {
		return false
	}
	for len(c.texts) <= part.Index {
		c.texts = append(c.texts, new(strings.Builder))
		c.answer.Choices = append(c.answer.Choices, choice{Index: len(c.answer.Choices)})
	}
	c.texts[part.Index].WriteString(part.Delta.Content)
	if part.FinishReason != nil {
		c.answer.Choices[part.Index].FinishReason = part.FinishReason
	}
	return true
}

func (c *collector) complete() completion {
	c.answer.Object = "chat.completion"
	for n, text := range c.texts {
		c.answer.Choices[n].Message = choiceMessage{Role: "assistant", Content: text.String()}
	}
	return c.answer
}

// answerUnstreamed answers a completion request without stream. The engine streams
// to the entry nevertheless, so that the answer is resumed rather than repeated when
// a server fails.
func (s *clientAPI) answerUnstreamed(w http.ResponseWriter, r *http.Request, t submitReply) {
	var c collector
	parsed := true
	started := false
	var used int64
	for {
		d, ok := s.nextDelivery(r, t)
		if !ok {
			writeUnfinished(w)
			return
		}
		if !started && d.end != nil && answerWithoutStream(w, r, d) {
			return
		}
		for _, piece := range d.pieces {
			parsed = c.add(piece) && parsed
			used += stream.CreditCost(piece)
			started = true
		}
		if d.end == nil {
			used = s.consumed(t, used)
			continue
		}
		writeAssembled(w, d, &c, parsed)
		return
	}
}

func writeAssembled(w http.ResponseWriter, d delivery, c *collector, parsed bool) {
	switch {
	case d.end.outcome.Kind != outcome.Completed:
		writeProblem(w, d.id, d.end.outcome, d.end.retryAfter)
	case !parsed:
		writeProblem(w, d.id, outcome.MayHaveRun(outcome.ReasonServerFailed, "the engine's answer is not a completion"), 0)
	default:
		h := w.Header()
		h.Set(headerType, typeJSON)
		h.Set(headerRequestID, string(d.id))
		h.Set(headerOutcome, string(outcome.Completed))
		_ = json.NewEncoder(w).Encode(c.complete())
	}
}
