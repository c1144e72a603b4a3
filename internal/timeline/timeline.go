// Package timeline merges the event lines of several processes into one timeline,
// filters it and writes it as text or as a self-contained HTML page.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// maxLineBytes is the size of the longest event line that is read, in bytes.
const maxLineBytes = 1 << 20

// Line is one event as written by package eventlog.
type Line struct {
	Time        string              `json:"t"`
	Stamp       string              `json:"hlc"`
	Process     string              `json:"process"`
	Incarnation ident.Incarnation   `json:"incarnation"`
	Event       string              `json:"event"`
	Request     ident.RequestID     `json:"request,omitempty"`
	Record      ident.Revision      `json:"record,omitempty"`
	Group       ident.GroupID       `json:"group,omitempty"`
	Server      ident.ServerID      `json:"server,omitempty"`
	Instance    ident.InstanceID    `json:"instance,omitempty"`
	Account     ident.ClientAccount `json:"account,omitempty"`
	Class       ident.PriorityClass `json:"class,omitempty"`
	Chart       string              `json:"chart,omitempty"`
	From        string              `json:"from,omitempty"`
	To          string              `json:"to,omitempty"`
	Reason      string              `json:"reason,omitempty"`
	Detail      string              `json:"detail,omitempty"`

	stamp hlc.Stamp
}

// Stamped returns the event's hybrid logical clock stamp, which orders the lines.
func (l Line) Stamped() hlc.Stamp { return l.stamp }

// Filter selects lines. An empty field selects every line.
type Filter struct {
	Request  ident.RequestID
	Record   ident.Revision
	Group    ident.GroupID
	Instance string
	// Event selects the events of this name or, if it ends with a dot, those whose
	// names begin with it.
	Event string
}

// Matches reports whether the filter selects the line.
func (f Filter) Matches(l Line) bool {
	switch {
	case f.Request != "" && l.Request != f.Request:
		return false
	case f.Record != 0 && l.Record != f.Record:
		return false
	case f.Group != "" && l.Group != f.Group:
		return false
	case f.Instance != "" && !l.concerns(f.Instance):
		return false
	default:
		return f.matchesEvent(l.Event)
	}
}

func (f Filter) matchesEvent(name string) bool {
	if strings.HasSuffix(f.Event, ".") {
		return strings.HasPrefix(name, f.Event)
	}
	return f.Event == "" || f.Event == name
}

// concerns reports whether the line was written by the named process or is about
// the named instance or backend server.
func (l Line) concerns(name string) bool {
	return l.Process == name || string(l.Instance) == name || string(l.Server) == name
}

// Source is one file or other input with event lines.
type Source struct {
	Name   string
	Reader io.Reader
}

// Skipped is a line that could not be read as an event.
type Skipped struct {
	Source string
	Line   int
	Err    error
}

// Merge reads all sources and returns the selected lines in causal order. Lines
// that are not events, such as a last line truncated by a crash, are returned as
// skipped.
func Merge(sources []Source, filter Filter) ([]Line, []Skipped, error) {
	var lines []Line
	var skipped []Skipped
	for _, source := range sources {
		read, bad, err := readSource(source, filter)
		if err != nil {
			return nil, nil, err
		}
		lines = append(lines, read...)
		skipped = append(skipped, bad...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return before(lines[i], lines[j]) })
	return lines, skipped, nil
}

func before(a, b Line) bool {
	if a.stamp != b.stamp {
		return a.stamp < b.stamp
	}
	return a.Process < b.Process
}

func readSource(source Source, filter Filter) ([]Line, []Skipped, error) {
	var lines []Line
	var skipped []Skipped
	scanner := bufio.NewScanner(source.Reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(strings.TrimSpace(scanner.Text())) == 0 {
			continue
		}
		line, err := parseLine(scanner.Bytes())
		if err != nil {
			skipped = append(skipped, Skipped{Source: source.Name, Line: number, Err: err})
			continue
		}
		if filter.Matches(line) {
			lines = append(lines, line)
		}
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "read events from %s", source.Name)
}

// parseLine reads one event. Text before it, such as the prefix that a log collector
// adds, is ignored.
func parseLine(data []byte) (Line, error) {
	if start := bytes.IndexByte(data, '{'); start > 0 {
		data = data[start:]
	}
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return Line{}, errors.Wrap(err, "not an event")
	}
	stamp, err := hlc.Parse(line.Stamp)
	if err != nil {
		return Line{}, err
	}
	if line.Event == "" {
		return Line{}, errors.New("the event has no name")
	}
	line.stamp = stamp
	return line, nil
}

// Processes returns the names of the processes in the lines, in alphabetical order.
func Processes(lines []Line) []string {
	seen := make(map[string]bool)
	var names []string
	for _, l := range lines {
		if !seen[l.Process] {
			seen[l.Process] = true
			names = append(names, l.Process)
		}
	}
	sort.Strings(names)
	return names
}
