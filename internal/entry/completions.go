package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// completionRequest holds the fields that the entry reads of a completion request.
// The body is passed to the engine unchanged.
type completionRequest struct {
	Model     ident.ModelName `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int64           `json:"max_tokens"`
	MaxOutput int64           `json:"max_completion_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

const (
	completionsPath = "/v1/chat/completions"
	// bytesPerToken is the assumed mean size of a token, to estimate prompt tokens.
	bytesPerToken = 4
	// defaultOutput is the assumed number of output tokens of a request without a
	// limit.
	defaultOutput = 256
	// prefixBytes is the number of bytes at the start of the messages whose hash
	// identifies the cached prefix.
	prefixBytes = 1024
)

// completions answers POST /v1/chat/completions.
func (s *clientAPI) completions(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d, account, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	class, refusal, ok := d.class(account, r)
	if !ok {
		s.rejectOutcome(w, refusal)
		return
	}
	wanted, refusal, ok := parseCompletion(d, account, body)
	if !ok {
		s.rejectOutcome(w, refusal)
		return
	}
	t, ok := s.submit(w, r, completionSubmission(account, class, wanted, body))
	if !ok {
		return
	}
	if wanted.Stream {
		s.stream(w, r, t)
		return
	}
	s.answerUnstreamed(w, r, t)
}

func parseCompletion(d *directory, a record.Account, body []byte) (completionRequest, outcome.Outcome, bool) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, outcome.DidNotRun(outcome.ReasonMalformed, "the body is not a completion request in JSON"), false
	}
	if c.Model == "" || !bytes.HasPrefix(bytes.TrimSpace(c.Messages), []byte("[")) {
		return c, outcome.DidNotRun(outcome.ReasonMalformed, "model and messages are required"), false
	}
	if _, known := d.snapshot.Models[c.Model]; !known {
		return c, outcome.DidNotRun(outcome.ReasonNotFound, "the model is not known"), false
	}
	if !slices.Contains(a.Models, c.Model) {
		return c, outcome.DidNotRun(outcome.ReasonForbidden, "the account may not use this model"), false
	}
	return c, outcome.Outcome{}, true
}

func completionSubmission(a record.Account, class record.Class, c completionRequest, body []byte) submission {
	output := max(c.MaxTokens, c.MaxOutput)
	if output <= 0 {
		output = defaultOutput
	}
	prompt := int64(len(c.Messages)) / bytesPerToken
	cost := admission.EstimateCost(prompt, output)
	prefix := xxhash.Sum64(c.Messages[:min(len(c.Messages), prefixBytes)])
	q := query{
		model: c.Model, account: a.ID, class: class.Name, prefix: prefix, cost: cost, prompt: prompt,
		prefixTokens: min(prompt, prefixBytes/bytesPerToken), creditWait: class.FirstTokenTarget / creditWaitDivisor,
	}
	return submission{
		offer:  message.Offer{Account: a.ID, Weight: a.Weight, Class: class.Name, Cost: cost, Prefix: prefix, Body: body},
		query:  q,
		traits: traitsOf(a.ID, http.MethodPost, completionsPath, body),
		plan:   request.Plan{FirstOutputTimeout: deadlineOf(class), Repeatable: true},
	}
}

// models answers GET /v1/models with the models that the account may use.
func (s *clientAPI) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	d, account, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range account.Models {
		if _, known := d.snapshot.Models[name]; known {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "anvilpoint"})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelEntry) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	w.Header().Set(headerType, typeJSON)
	w.Header().Set(headerOutcome, string(outcome.Completed))
	_ = json.NewEncoder(w).Encode(list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      ident.ModelName `json:"id"`
	Object  string          `json:"object"`
	OwnedBy string          `json:"owned_by"`
}
