package chart_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/chart"
)

const door = `{
  // A door with a lock.
  "name": "door", "initial": "closed", "events": ["open", "close", "lock", "timeout"],
  "states": {
    "closed": {
      "initial": "unlocked",
      "on": {"open": [{"target": "opened", "guard": "unlocked", "actions": ["count"]}]},
      "states": {
        "unlocked": {"on": {"lock": [{"target": "locked"}]}},
        "locked": {"after": [{"delay": "$relock", "event": "timeout"}], "on": {"timeout": [{"target": "unlocked"}]}}
      }
    },
    "opened": {"on": {"close": [{"target": "closed"}]}}
  }
}`

type doorContext struct {
	lifecycle *chart.Lifecycle[*doorContext]
	opened    int
	seen      []chart.Transition
}

func bindDoor(t *testing.T) *chart.Machine[*doorContext] {
	t.Helper()
	c, err := chart.Parse("door", []byte(door))
	must.NoError(t, err)
	m, err := chart.Bind(c, chart.Binding[*doorContext]{
		Guards:  map[string]func(*doorContext) bool{"unlocked": func(d *doorContext) bool { return d.lifecycle.In("unlocked") }},
		Actions: map[string]func(*doorContext){"count": func(d *doorContext) { d.opened++ }},
		Delays:  map[string]func(*doorContext) time.Duration{"relock": func(*doorContext) time.Duration { return 3 * time.Second }},
		Observe: func(d *doorContext, tr chart.Transition) { d.seen = append(d.seen, tr) },
	})
	must.NoError(t, err)
	return m
}

// Guards against a child state hiding its parent's transitions and against timers
// that keep running after their state is left.
func TestNestedStatesGuardsAndTimers(t *testing.T) {
	m := bindDoor(t)
	now := time.Unix(0, 0)
	d := &doorContext{}
	d.lifecycle = m.New(now, d)
	must.Eq(t, "unlocked", d.lifecycle.State())
	_, ok := d.lifecycle.Fire(now, "lock")
	must.True(t, ok)
	_, ok = d.lifecycle.Fire(now, "open")
	must.False(t, ok)
	at, running := d.lifecycle.Deadline()
	must.True(t, running)
	must.Eq(t, now.Add(3*time.Second), at)
	must.Eq(t, 0, d.lifecycle.Tick(at.Add(-1)))
	must.Eq(t, 1, d.lifecycle.Tick(at))
	_, ok = d.lifecycle.Fire(at, "open")
	must.True(t, ok)
	must.Eq(t, 1, d.opened)
	_, running = d.lifecycle.Deadline()
	must.False(t, running)
	must.Eq(t, chart.Transition{Chart: "door", Event: "open", From: "unlocked", To: "opened"}, d.seen[len(d.seen)-1])
}

// Guards against a fault in a chart file that Parse does not report.
func TestParseRefusesBrokenCharts(t *testing.T) {
	for name, change := range map[string][2]string{
		"is not declared":                 {`"lock", "timeout"]`, `"timeout"]`},
		"no state handles it":             {`"timeout"]`, `"timeout", "ring"]`},
		"goes to unknown state":           {`{"target": "locked"}`, `{"target": "cellar"}`},
		"is unreachable":                  {`{"target": "locked"}`, `{"target": "opened"}`},
		"has no way out":                  {`"opened": {"on": {"close": [{"target": "closed"}]}}`, `"opened": {"on": {"close": [{"target": "opened"}]}}`},
		"which can never be taken":        {`[{"target": "closed"}]`, `[{"target": "closed"}, {"target": "locked", "guard": "unlocked"}]`},
		"have the same guard":             {`[{"target": "closed"}]`, `[{"target": "closed", "guard": "g"}, {"target": "locked", "guard": "g"}]`},
		"not a child":                     {`"initial": "unlocked"`, `"initial": "opened"`},
		"not a positive duration":         {`"$relock"`, `"soon"`},
		"has no transition in this state": {`"event": "timeout"`, `"event": "open"`},
		"unknown field":                   {`"initial": "closed"`, `"initial": "closed", "colour": "red"`},
	} {
		text := strings.Replace(door, change[0], change[1], 1)
		must.NotEq(t, door, text)
		_, err := chart.Parse("door", []byte(text))
		must.ErrorContains(t, err, name)
	}
}

// Guards against a chart whose guards, actions or delays differ from those in code.
func TestBindRefusesMissingAndUnusedNames(t *testing.T) {
	c, err := chart.Parse("door", []byte(door))
	must.NoError(t, err)
	_, err = chart.Bind(c, chart.Binding[int]{Guards: map[string]func(int) bool{"ajar": nil}})
	must.ErrorContains(t, err, `guard "unlocked" is not bound`)
	must.ErrorContains(t, err, `guard "ajar" is bound but the chart does not use it`)
	must.ErrorContains(t, err, `action "count" is not bound`)
	must.ErrorContains(t, err, `delay "relock" is not bound`)
}
