package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/pkg/errors"
)

//go:embed report.html.tmpl
var reportTemplate string

// Sizes of a plot in pixels. The template repeats plotHeight.
const (
	plotWidth  = 1000
	plotHeight = 180
	plotLeft   = 60
	plotBottom = 20
)

// reportPage is the input of report.html.tmpl.
type reportPage struct {
	Scenario  *Scenario
	Summaries []*Summary
	Plots     []plot
	Bars      []bars
}

// plot is a line chart over the seconds of a run, with one line per priority class.
type plot struct {
	Title         string
	Width, Height int
	// Top is the label of the highest value on the vertical axis.
	Top    string
	Lines  []plotLine
	Marks  []plotMark
	Floods []plotSpan
}

type plotLine struct {
	Name   string
	Color  string
	Points string
}

// plotMark is the vertical line of an injected fault.
type plotMark struct {
	X     float64
	Title string
}

// plotSpan is the shaded background of a flood.
type plotSpan struct{ X, Width float64 }

// bars is a bar chart of the share of requests within target, by account.
type bars struct {
	Title  string
	Height int
	Rows   []barRow
}

type barRow struct {
	Name  string
	Y     int
	Width float64
	Text  string
	Large bool
}

var lineColors = [...]string{"#2f6fde", "#b28600", "#5b6b8c", "#8a3ffc"}

// WriteReport writes a self-contained HTML page.
func WriteReport(out io.Writer, s *Scenario, summaries []*Summary) error {
	t, err := template.New("report").Funcs(template.FuncMap{
		"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"known":   formatCount,
		"count":   func(n int) string { return formatCount(int64(n)) },
	}).Parse(reportTemplate)
	if err != nil {
		return errors.Wrap(err, "parse report template")
	}
	page := reportPage{Scenario: s, Summaries: summaries}
	for _, sum := range summaries {
		page.Plots = append(page.Plots,
			newPlot(s, sum, "first token p95, ms", func(p Point, row int) float64 { return p.FirstP95[row] }),
			newPlot(s, sum, "completed answers a second", func(p Point, row int) float64 { return float64(p.Completed[row]) }),
		)
		page.Bars = append(page.Bars, newBars(s, sum))
	}
	return errors.Wrap(t.Execute(out, page), "write report page")
}

func newPlot(s *Scenario, sum *Summary, title string, value func(Point, int) float64) plot {
	top := 1.0
	for _, p := range sum.Series {
		for row := range sum.Classes {
			top = max(top, value(p, row))
		}
	}
	seconds := float64(max(len(sum.Series), 1))
	x := func(second float64) float64 { return plotLeft + second/seconds*(plotWidth-plotLeft) }
	out := plot{Title: sum.Policy + ": " + title, Width: plotWidth, Height: plotHeight + plotBottom, Top: fmt.Sprintf("%.0f", top)}
	for row, class := range sum.Classes {
		if class.Offered == 0 {
			continue
		}
		var points strings.Builder
		for _, p := range sum.Series {
			fmt.Fprintf(&points, "%.1f,%.1f ", x(float64(p.Second)), plotHeight*(1-value(p, row)/top))
		}
		out.Lines = append(out.Lines, plotLine{Name: class.Name, Color: lineColors[row%len(lineColors)], Points: points.String()})
	}
	for _, f := range s.Faults {
		out.Marks = append(out.Marks, plotMark{X: x(f.At.Seconds()), Title: fmt.Sprintf("%s on %s at %s", f.Kind, f.Target, f.At)})
	}
	for _, w := range s.Floods {
		out.Floods = append(out.Floods, plotSpan{X: x(w.From.Seconds()), Width: x(w.To.Seconds()) - x(w.From.Seconds())})
	}
	return out
}

func newBars(s *Scenario, sum *Summary) bars {
	const rowHeight, fullWidth = 20, 600
	out := bars{Title: sum.Policy + ": requests served within target, by account", Height: rowHeight * len(sum.Accounts)}
	for i, a := range sum.Accounts {
		out.Rows = append(out.Rows, barRow{
			Name: a.Name, Y: rowHeight * i, Width: fullWidth * a.InTargetShare(),
			Text: fmt.Sprintf("%.1f%% of %d", 100*a.InTargetShare(), a.Offered), Large: s.Accounts[i].Large,
		})
	}
	return out
}
