package upstream

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// StreamEvent is one complete event of a stream.
type StreamEvent struct {
	// ID is the event's number. HasID is false for an event without a numeric id.
	ID    uint64
	HasID bool
	// Raw is the event as received, with the empty line at its end.
	Raw []byte
}

// eventSplitter splits a stream into complete events. A server may fail within an event.
type eventSplitter struct{ buffer []byte }

var eventEnd = []byte("\n\n")

// add appends bytes and returns the events that they complete.
func (s *eventSplitter) add(data []byte) []StreamEvent {
	s.buffer = append(s.buffer, data...)
	var events []StreamEvent
	for {
		end := bytes.Index(s.buffer, eventEnd)
		if end < 0 {
			return events
		}
		raw := bytes.Clone(s.buffer[:end+len(eventEnd)])
		s.buffer = s.buffer[end+len(eventEnd):]
		e := StreamEvent{Raw: raw}
		e.ID, e.HasID = eventID(raw)
		events = append(events, e)
	}
}

// pending reports whether an incomplete event is buffered.
func (s *eventSplitter) pending() bool { return len(bytes.TrimSpace(s.buffer)) > 0 }

// tooLong reports whether the incomplete event exceeds maxEventBytes.
func (s *eventSplitter) tooLong() bool { return len(s.buffer) > maxEventBytes }

func eventID(raw []byte) (uint64, bool) {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
