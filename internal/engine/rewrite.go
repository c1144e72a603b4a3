package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// jsonObject is a JSON object whose values stay encoded, so that they are forwarded
// unchanged.
type jsonObject map[string]json.RawMessage

// completionBody returns the caller's body with streaming enabled and the extension
// fields for priority and resumption.
func completionBody(call Call) ([]byte, error) {
	var body jsonObject
	if err := json.Unmarshal(call.Body, &body); err != nil {
		return nil, errors.Wrap(err, "decode completion request")
	}
	if body == nil {
		return nil, errors.New("decode completion request: body is null, not a JSON object")
	}
	class, err := json.Marshal(call.Class)
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	resume, err := json.Marshal(call.Resume)
	if err != nil {
		return nil, errors.Wrap(err, "encode completion request")
	}
	body["stream"] = json.RawMessage("true")
	body["anvilpoint_priority"] = class
	body["anvilpoint_resume"] = resume
	out, err := json.Marshal(body)
	return out, errors.Wrap(err, "encode completion request")
}
