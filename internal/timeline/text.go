package timeline

import (
	"fmt"
	"io"
	"strings"
)

// WriteText writes one line per event: the time, the process, the event's name and
// its other fields.
func WriteText(out io.Writer, lines []Line) error {
	width := 0
	for _, l := range lines {
		width = max(width, len(l.Process))
	}
	for _, l := range lines {
		at := l.stamp.Wall().UTC().Format("15:04:05.000000")
		if _, err := fmt.Fprintf(out, "%s  %-*s  %-24s %s\n", at, width, l.Process, l.Event, l.Summary()); err != nil {
			return err
		}
	}
	return nil
}

// Summary returns the fields of the event other than its time, process and name, in
// one line.
func (l Line) Summary() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", string(l.Request))
	if l.Record != 0 {
		add("record", fmt.Sprint(l.Record))
	}
	add("group", string(l.Group))
	add("server", string(l.Server))
	add("instance", string(l.Instance))
	add("account", string(l.Account))
	add("class", string(l.Class))
	if l.From != "" || l.To != "" {
		parts = append(parts, fmt.Sprintf("%s: %s -> %s", l.Chart, l.From, l.To))
	}
	add("reason", l.Reason)
	if l.Detail != "" {
		parts = append(parts, l.Detail)
	}
	return strings.Join(parts, " ")
}
