package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"strings"

	"github.com/pkg/errors"
)

//go:embed page.html.tmpl
var pageTemplate string

// page is the data for the template of the HTML page.
type page struct {
	Processes []string
	Rows      []row
	Width     int
	Height    int
	Lanes     []lane
	Marks     []mark
}

type row struct {
	Time    string
	Process string
	Event   string
	Summary string
}

// lane is the horizontal line of one process in the drawing.
type lane struct {
	Name  string
	Y     int
	LineY int
}

// mark is the circle of one event in the drawing. Kind is its CSS class.
type mark struct {
	X, Y  float64
	Kind  string
	Title string
}

// Sizes of the drawing in pixels.
const (
	drawingWidth   = 1100
	laneLabelWidth = 150
	laneHeight     = 22
	laneTop        = 12
	rightMargin    = 20
)

// WriteHTML writes a self-contained HTML page: a drawing with one lane per process
// and one mark per event, and a table of all events.
func WriteHTML(out io.Writer, lines []Line) error {
	t, err := template.New("timeline").Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse timeline page template")
	}
	return errors.Wrap(t.Execute(out, newPage(lines)), "write timeline page")
}

func newPage(lines []Line) page {
	names := Processes(lines)
	p := page{Processes: names, Width: drawingWidth, Height: laneTop + laneHeight*len(names)}
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
		y := laneTop + laneHeight*i
		p.Lanes = append(p.Lanes, lane{Name: name, Y: y + 4, LineY: y})
	}
	for _, l := range lines {
		at := l.stamp.Wall().UTC().Format("15:04:05.000000")
		p.Rows = append(p.Rows, row{Time: at, Process: l.Process, Event: l.Event, Summary: l.Summary()})
		p.Marks = append(p.Marks, mark{
			X:     position(lines, l),
			Y:     float64(laneTop + laneHeight*index[l.Process]),
			Kind:  subject(l.Event),
			Title: at + " " + l.Event + " " + l.Summary(),
		})
	}
	return p
}

// position returns the horizontal position, in pixels, of a line's wall time.
func position(lines []Line, l Line) float64 {
	first := lines[0].stamp.Wall()
	span := lines[len(lines)-1].stamp.Wall().Sub(first)
	if span <= 0 {
		return laneLabelWidth
	}
	return laneLabelWidth + float64(l.stamp.Wall().Sub(first))/float64(span)*(drawingWidth-laneLabelWidth-rightMargin)
}

// subject returns the part of an event name before the dot.
func subject(event string) string {
	name, _, _ := strings.Cut(event, ".")
	return name
}
