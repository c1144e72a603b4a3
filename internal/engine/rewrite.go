package engine

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// fields is a JSON object whose values are passed through unchanged.
type fields map[string]json.RawMessage

// rewrite returns the caller's body as a streamed request with the extensions
// for priority and resume.
func rewrite(call Call) ([]byte, error) {
	var body fields
	if err := json.Unmarshal(call.Body, &body); err != nil {
		return nil, errors.Wrap(err, "completion request")
	}
	if body == nil {
		return nil, errors.New("completion request: not a JSON object")
	}
	class, err := json.Marshal(call.Class)
	if err != nil {
		return nil, errors.Wrap(err, "completion request")
	}
	resume, err := json.Marshal(call.Resume)
	if err != nil {
		return nil, errors.Wrap(err, "completion request")
	}
	body["stream"] = json.RawMessage("true")
	body["anvilpoint_priority"] = class
	body["anvilpoint_resume"] = resume
	out, err := json.Marshal(body)
	return out, errors.Wrap(err, "completion request")
}
