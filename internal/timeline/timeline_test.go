package timeline_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/timeline"
)

// run writes the events that the function emits and returns their lines.
func run(t *testing.T, emit func(w *eventlog.Writer)) string {
	t.Helper()
	var out bytes.Buffer
	w := eventlog.NewWriter(&out)
	emit(w)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	must.NoError(t, w.Run(ctx))
	return out.String()
}

// Guards against a timeline that shows an effect before its cause when the wall
// clocks of two processes differ.
func TestCausesComeBeforeEffects(t *testing.T) {
	ahead := hlc.New(func() time.Time { return time.Unix(1000, 0) })
	behind := hlc.New(func() time.Time { return time.Unix(10, 0) })
	sender := run(t, func(w *eventlog.Writer) {
		must.True(t, w.Log("entry-0", 1, ahead).Emit(eventlog.Event{Name: "request.offered", Request: "r-1.a"}))
	})
	sent := ahead.Now()
	receiver := run(t, func(w *eventlog.Writer) {
		log := w.Log("sidecar-0", 2, behind)
		must.True(t, log.Emit(eventlog.Event{Name: "process.started"}))
		behind.Observe(sent)
		must.True(t, log.Emit(eventlog.Event{Name: "request.accepted", Request: "r-1.a"}))
	})
	lines, skipped, err := timeline.Merge([]timeline.Source{
		{Name: "b", Reader: strings.NewReader(receiver)},
		{Name: "a", Reader: strings.NewReader(sender)},
	}, timeline.Filter{})
	must.NoError(t, err)
	must.SliceEmpty(t, skipped)
	var names []string
	for _, l := range lines {
		names = append(names, l.Event)
	}
	must.Eq(t, []string{"process.started", "request.offered", "request.accepted"}, names)
	lines, _, err = timeline.Merge([]timeline.Source{{Name: "b", Reader: strings.NewReader(receiver)}}, timeline.Filter{Event: "request.", Instance: "sidecar-0", Request: "r-1.a"})
	must.NoError(t, err)
	must.Len(t, 1, lines)
}

// Guards against a truncated line hiding the other events of a crashed process, and
// against events that inject markup into the HTML page.
func TestCutOffLineIsSkipped(t *testing.T) {
	text := run(t, func(w *eventlog.Writer) {
		log := w.Log("entry-0", 1, hlc.New(time.Now))
		must.True(t, log.Emit(eventlog.Event{Name: "request.offered", Detail: "<script>"}))
		must.True(t, log.Emit(eventlog.Event{Name: "request.done"}))
	})
	lines, skipped, err := timeline.Merge([]timeline.Source{{Name: "a", Reader: strings.NewReader(text[:len(text)-20])}}, timeline.Filter{})
	must.NoError(t, err)
	must.Len(t, 1, lines)
	must.Eq(t, 2, skipped[0].Line)
	var page bytes.Buffer
	must.NoError(t, timeline.WriteHTML(&page, lines))
	must.StrNotContains(t, page.String(), "<script>\"")
	must.StrContains(t, page.String(), "&lt;script&gt;")
}

// Guards against events being skipped because a log collector has put the time and
// the instance before each line.
func TestTextBeforeAnEventIsLeftOut(t *testing.T) {
	text := run(t, func(w *eventlog.Writer) {
		log := w.Log("entry-0", 1, hlc.New(func() time.Time { return time.Unix(10, 0) }))
		must.True(t, log.Emit(eventlog.Event{Name: "request.ended", Request: "r"}))
	})
	lines, skipped, err := timeline.Merge([]timeline.Source{{Name: "a", Reader: strings.NewReader("  12.5 front-1 " + text)}}, timeline.Filter{})
	must.NoError(t, err)
	must.SliceEmpty(t, skipped)
	must.SliceLen(t, 1, lines)
}
