// Package chart interprets state charts that are read from files.
//
// A chart file is JSON with comments. It declares states (which may be nested),
// events, guards, actions and timers. Parse checks the chart itself; Bind
// connects its guards, actions and delays to functions and refuses a chart and
// bindings whose names differ. The semantics are those of Harel's statecharts
// without parallel regions: an event is offered to the innermost active state
// first and then to its ancestors.
package chart

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Chart is a parsed and checked chart file. It is immutable.
type Chart struct {
	name   string
	doc    string
	events map[string]bool
	states map[string]*state
	root   *state
}

// state is one state of a chart. The root has no parent and no name.
type state struct {
	name     string
	doc      string
	parent   *state
	children []*state
	initial  *state
	final    bool
	entry    []string
	exit     []string
	on       map[string][]transition
	timers   []timer
}

// transition is one transition out of a state. One with a nil target is internal:
// it runs its actions without leaving the state.
type transition struct {
	event   string
	target  *state
	guard   string
	actions []string
}

// timer fires an event when its state has been active for the delay.
type timer struct {
	event string
	delay time.Duration
	// delayName names a delay that the binding supplies. It is empty for a delay
	// given in the file.
	delayName string
}

type fileChart struct {
	Name    string               `json:"name"`
	Doc     string               `json:"doc"`
	Initial string               `json:"initial"`
	Events  []string             `json:"events"`
	States  map[string]fileState `json:"states"`
}

type fileState struct {
	Doc     string                      `json:"doc"`
	Initial string                      `json:"initial"`
	Final   bool                        `json:"final"`
	Entry   []string                    `json:"entry"`
	Exit    []string                    `json:"exit"`
	On      map[string][]fileTransition `json:"on"`
	After   []fileTimer                 `json:"after"`
	States  map[string]fileState        `json:"states"`
}

type fileTransition struct {
	Target  string   `json:"target"`
	Guard   string   `json:"guard"`
	Actions []string `json:"actions"`
}

type fileTimer struct {
	Delay string `json:"delay"`
	Event string `json:"event"`
}

// Parse reads one chart from JSON with comments and checks it. If the chart is
// faulty, the error is a *FaultsError with every fault found.
func Parse(file string, data []byte) (*Chart, error) {
	standard, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		return nil, errors.Wrapf(err, "chart file %s", file)
	}
	var fc fileChart
	if err := decodeStrict(standard, &fc); err != nil {
		return nil, errors.Wrapf(err, "chart file %s", file)
	}
	b := builder{file: file, chart: &Chart{
		name:   fc.Name,
		doc:    fc.Doc,
		events: make(map[string]bool),
		states: make(map[string]*state),
	}}
	c := b.build(fc)
	if len(b.faults) > 0 {
		return nil, &FaultsError{File: file, Faults: b.faults}
	}
	return c, nil
}

func (c *Chart) Name() string { return c.name }

// Doc returns the chart's description from the file.
func (c *Chart) Doc() string { return c.doc }

// States returns the names of all states in alphabetical order.
func (c *Chart) States() []string { return sortedKeys(c.states) }

// Events returns the declared events in alphabetical order.
func (c *Chart) Events() []string { return sortedKeys(c.events) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func decodeStrict(data []byte, dst *fileChart) error {
	dec := json.NewDecoder(bytesReader(data))
	dec.DisallowUnknownFields()
	return dec.Decode(dst)
}
