package chart

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

// FaultsError lists all faults found in one chart file or binding.
type FaultsError struct {
	File   string
	Faults []string
}

// Error implements error.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("chart file %s: %s", e.File, strings.Join(e.Faults, "; "))
}

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

// builder links the states of a decoded chart file and collects the faults found.
type builder struct {
	file   string
	chart  *Chart
	faults []string
}

func (b *builder) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *builder) build(fc fileChart) *Chart {
	if fc.Name == "" {
		b.fault("the chart has no name")
	}
	for _, e := range fc.Events {
		if b.chart.events[e] {
			b.fault("event %q is declared twice", e)
		}
		b.chart.events[e] = true
	}
	root := &state{}
	b.chart.root = root
	b.addStates(root, fc.States)
	if len(b.faults) > 0 {
		return nil
	}
	root.initial = b.resolveInitial(root, fc.Initial)
	b.linkStates(root, fc.States)
	if len(b.faults) > 0 {
		return nil
	}
	b.checkEventsUsed()
	b.checkReachable()
	b.checkCanLeave()
	return b.chart
}

func (b *builder) addStates(parent *state, states map[string]fileState) {
	for _, name := range sortedKeys(states) {
		if b.chart.states[name] != nil {
			b.fault("state %q is declared twice", name)
			continue
		}
		fs := states[name]
		s := &state{
			name: name, doc: fs.Doc, parent: parent, final: fs.Final,
			entry: fs.Entry, exit: fs.Exit, on: make(map[string][]transition),
		}
		b.chart.states[name] = s
		parent.children = append(parent.children, s)
		b.addStates(s, fs.States)
	}
}

func (b *builder) resolveInitial(s *state, name string) *state {
	if len(s.children) == 0 {
		if name != "" {
			b.fault("state %q names initial state %q but has no child states", s.name, name)
		}
		return nil
	}
	for _, child := range s.children {
		if child.name == name {
			return child
		}
	}
	b.fault("initial state %q is not a child of %q", name, s.name)
	return nil
}

func (b *builder) linkStates(parent *state, states map[string]fileState) {
	for _, name := range sortedKeys(states) {
		fs := states[name]
		s := b.chart.states[name]
		s.initial = b.resolveInitial(s, fs.Initial)
		for _, event := range sortedKeys(fs.On) {
			b.linkTransitions(s, event, fs.On[event])
		}
		for _, ft := range fs.After {
			b.linkTimer(s, ft)
		}
		b.linkStates(s, fs.States)
	}
}

func (b *builder) linkTransitions(s *state, event string, list []fileTransition) {
	if !b.chart.events[event] {
		b.fault("state %q: event %q is not declared", s.name, event)
	}
	if s.final {
		b.fault("final state %q has a transition on %q", s.name, event)
	}
	if len(list) == 0 {
		b.fault("state %q: event %q has no transition", s.name, event)
	}
	guards := make(map[string]bool)
	for i, ft := range list {
		var target *state
		if ft.Target != "" {
			target = b.chart.states[ft.Target]
			if target == nil {
				b.fault("state %q: event %q goes to unknown state %q", s.name, event, ft.Target)
			}
		}
		if ft.Guard == "" && i < len(list)-1 {
			b.fault("state %q: an unguarded transition on %q comes before others, which can never be taken", s.name, event)
		}
		if guards[ft.Guard] {
			b.fault("state %q: two transitions on %q have the same guard %q", s.name, event, ft.Guard)
		}
		guards[ft.Guard] = true
		s.on[event] = append(s.on[event], transition{event: event, target: target, guard: ft.Guard, actions: ft.Actions})
	}
}

func (b *builder) linkTimer(s *state, ft fileTimer) {
	if _, ok := s.on[ft.Event]; !ok {
		b.fault("state %q: timer event %q has no transition in this state", s.name, ft.Event)
	}
	t := timer{event: ft.Event}
	if name, ok := strings.CutPrefix(ft.Delay, "$"); ok {
		t.delayName = name
		s.timers = append(s.timers, t)
		return
	}
	d, err := time.ParseDuration(ft.Delay)
	if err != nil || d <= 0 {
		b.fault("state %q: timer delay %q is not a positive duration", s.name, ft.Delay)
		return
	}
	t.delay = d
	s.timers = append(s.timers, t)
}

func (b *builder) checkEventsUsed() {
	used := make(map[string]bool)
	for _, s := range b.chart.states {
		for event := range s.on {
			used[event] = true
		}
	}
	for _, event := range b.chart.Events() {
		if !used[event] {
			b.fault("event %q is declared but no state handles it", event)
		}
	}
}

// checkReachable reports states that no sequence of transitions enters.
func (b *builder) checkReachable() {
	reached := make(map[*state]bool)
	var enter func(s *state)
	enter = func(s *state) {
		for leaf := s; leaf != nil; leaf = leaf.initial {
			for up := leaf; up != nil && up.parent != nil && !reached[up]; up = up.parent {
				reached[up] = true
				for _, list := range up.on {
					for _, t := range list {
						if t.target != nil {
							enter(t.target)
						}
					}
				}
			}
		}
	}
	enter(b.chart.root.initial)
	for _, name := range b.chart.States() {
		if !reached[b.chart.states[name]] {
			b.fault("state %q is unreachable", name)
		}
	}
}

// checkCanLeave reports leaf states that are not final and that no transition of
// the state or of its ancestors leaves.
func (b *builder) checkCanLeave() {
	for _, name := range b.chart.States() {
		s := b.chart.states[name]
		if s.final || len(s.children) > 0 {
			continue
		}
		if !canLeave(s) {
			b.fault("state %q is not final and has no way out", name)
		}
	}
}

func canLeave(s *state) bool {
	for up := s; up.parent != nil; up = up.parent {
		for _, list := range up.on {
			for _, t := range list {
				if t.target != nil && t.target != s {
					return true
				}
			}
		}
	}
	return false
}
