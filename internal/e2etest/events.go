package e2etest

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

func bodyReader(body []byte) io.Reader { return bytes.NewReader(body) }

// SSE is one server-sent event with its fields id, event and data.
type SSE struct {
	ID, Name, Data string
}

// EventReader reads the server-sent events of a body one by one.
type EventReader struct{ scanner *bufio.Scanner }

// NewEventReader returns a reader of the events of an answer's body.
func NewEventReader(body io.Reader) *EventReader {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 64<<10), 1<<20)
	return &EventReader{scanner: s}
}

// Next returns the next event. False means that the body has ended or could not
// be read further.
func (e *EventReader) Next() (SSE, bool) {
	var event SSE
	for e.scanner.Scan() {
		field, value, _ := strings.Cut(e.scanner.Text(), ": ")
		switch field {
		case "id":
			event.ID = value
		case "event":
			event.Name = value
		case "data":
			event.Data = value
		case "":
			return event, true
		}
	}
	return SSE{}, false
}
