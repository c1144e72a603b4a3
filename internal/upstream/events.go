package upstream

import (
	"bytes"
	"strconv"
)

// StreamEvent is one whole event of a stream with its end.
type StreamEvent struct {
	// ID is the event's number; HasID is false for an event without one.
	ID    uint64
	HasID bool
	Raw   []byte
}

// splitter cuts a stream into whole events. A server may stop within an event.
type splitter struct{ rest []byte }

var eventEnd = []byte("\n\n")

// add takes bytes and returns the events that are whole now.
func (s *splitter) add(data []byte) []StreamEvent {
	s.rest = append(s.rest, data...)
	var events []StreamEvent
	for {
		end := bytes.Index(s.rest, eventEnd)
		if end < 0 {
			return events
		}
		raw := bytes.Clone(s.rest[:end+len(eventEnd)])
		s.rest = s.rest[end+len(eventEnd):]
		e := StreamEvent{Raw: raw}
		e.ID, e.HasID = eventID(raw)
		events = append(events, e)
	}
}

// pending reports whether an event has begun that is not whole.
func (s *splitter) pending() bool { return len(bytes.TrimSpace(s.rest)) > 0 }

func eventID(raw []byte) (uint64, bool) {
	for line := range bytes.Lines(raw) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
