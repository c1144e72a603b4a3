package chart

import (
	"fmt"
	"time"
)

// Binding connects the names in a chart file to functions. C is the type of the
// context that the functions receive, usually a pointer to the object that owns
// the lifecycle.
type Binding[C any] struct {
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
	// Delays returns the timer delays that the file gives as "$name".
	Delays map[string]func(C) time.Duration
	// Observe, if set, is called after each transition.
	Observe func(C, Transition)
}

// Transition describes one transition that was taken.
type Transition struct {
	Chart string
	Event string
	From  string
	To    string
}

// Machine is a chart bound to functions. It is immutable and can have any number
// of lifecycles.
type Machine[C any] struct {
	chart   *Chart
	binding Binding[C]
}

// Bind returns a machine for the chart. It checks that the chart and the binding
// have the same names of guards, actions and delays.
func Bind[C any](c *Chart, b Binding[C]) (*Machine[C], error) {
	guards, actions, delays := c.names()
	var faults []string
	faults = append(faults, compareNames("guard", guards, b.Guards)...)
	faults = append(faults, compareNames("action", actions, b.Actions)...)
	faults = append(faults, compareNames("delay", delays, b.Delays)...)
	if len(faults) > 0 {
		return nil, &FaultsError{File: c.name, Faults: faults}
	}
	return &Machine[C]{chart: c, binding: b}, nil
}

// MustBind is Bind for charts that are embedded in the binary. It panics on an
// error, since the error is then in the program itself.
func MustBind[C any](c *Chart, b Binding[C]) *Machine[C] {
	m, err := Bind(c, b)
	if err != nil {
		panic(err)
	}
	return m
}

func compareNames[V any](kind string, used map[string]bool, bound map[string]V) []string {
	var faults []string
	for _, name := range sortedKeys(used) {
		if _, ok := bound[name]; !ok {
			faults = append(faults, fmt.Sprintf("%s %q is not bound", kind, name))
		}
	}
	for _, name := range sortedKeys(bound) {
		if !used[name] {
			faults = append(faults, fmt.Sprintf("%s %q is bound but the chart does not use it", kind, name))
		}
	}
	return faults
}

// names collects the guards, actions and delays that the chart refers to.
func (c *Chart) names() (guards, actions, delays map[string]bool) {
	guards, actions, delays = map[string]bool{}, map[string]bool{}, map[string]bool{}
	add := func(set map[string]bool, names ...string) {
		for _, n := range names {
			if n != "" {
				set[n] = true
			}
		}
	}
	for _, s := range c.states {
		add(actions, s.entry...)
		add(actions, s.exit...)
		for _, t := range s.timers {
			add(delays, t.delayName)
		}
		for _, list := range s.on {
			for _, t := range list {
				add(guards, t.guard)
				add(actions, t.actions...)
			}
		}
	}
	return guards, actions, delays
}

// Lifecycle is one object's execution of a chart. One goroutine owns it.
type Lifecycle[C any] struct {
	machine   *Machine[C]
	context   C
	current   *state
	deadlines []deadline
}

// deadline is a running timer of an active state.
type deadline struct {
	owner *state
	event string
	at    time.Time
}

// New starts a lifecycle in the chart's initial state.
func (m *Machine[C]) New(now time.Time, context C) *Lifecycle[C] {
	l := &Lifecycle[C]{machine: m, context: context, current: m.chart.root}
	l.enter(now, m.chart.root, m.chart.root.initial)
	return l
}

// State returns the name of the innermost active state.
func (l *Lifecycle[C]) State() string { return l.current.name }

// In reports whether the named state is active, as the innermost state or as
// one of its ancestors.
func (l *Lifecycle[C]) In(name string) bool {
	for s := l.current; s.parent != nil; s = s.parent {
		if s.name == name {
			return true
		}
	}
	return false
}

// Done reports whether the lifecycle has reached a final state.
func (l *Lifecycle[C]) Done() bool { return l.current.final }

// Fire offers an event to the active states. The result is false if no transition
// was taken, either because no active state handles the event or because every
// guard returned false. Firing an event that the chart does not declare panics.
func (l *Lifecycle[C]) Fire(now time.Time, event string) (Transition, bool) {
	if !l.machine.chart.events[event] {
		panic(fmt.Sprintf("chart %s: event %q is not declared", l.machine.chart.name, event))
	}
	for s := l.current; s.parent != nil; s = s.parent {
		for _, t := range s.on[event] {
			if t.guard != "" && !l.machine.binding.Guards[t.guard](l.context) {
				continue
			}
			return l.take(now, t), true
		}
	}
	return Transition{}, false
}

// Deadline returns the time at which the next timer is due, or false if no timer
// is running.
func (l *Lifecycle[C]) Deadline() (time.Time, bool) {
	var first time.Time
	for n, d := range l.deadlines {
		if n == 0 || d.at.Before(first) {
			first = d.at
		}
	}
	return first, len(l.deadlines) > 0
}

// Tick fires the timers that are due, earliest first, and returns their number.
func (l *Lifecycle[C]) Tick(now time.Time) int {
	fired := 0
	for {
		n := l.dueTimer(now)
		if n < 0 {
			return fired
		}
		event := l.deadlines[n].event
		l.deadlines = append(l.deadlines[:n], l.deadlines[n+1:]...)
		l.Fire(now, event)
		fired++
	}
}

func (l *Lifecycle[C]) dueTimer(now time.Time) int {
	due := -1
	for n, d := range l.deadlines {
		if d.at.After(now) {
			continue
		}
		if due < 0 || d.at.Before(l.deadlines[due].at) {
			due = n
		}
	}
	return due
}

func (l *Lifecycle[C]) take(now time.Time, t transition) Transition {
	from := l.current
	if t.target == nil {
		l.run(t.actions)
	} else {
		common := commonAncestor(from, t.target)
		l.exit(from, common)
		l.run(t.actions)
		l.enter(now, common, t.target)
	}
	taken := Transition{Chart: l.machine.chart.name, Event: t.event, From: from.name, To: l.current.name}
	if l.machine.binding.Observe != nil {
		l.machine.binding.Observe(l.context, taken)
	}
	return taken
}

func (l *Lifecycle[C]) run(actions []string) {
	for _, name := range actions {
		l.machine.binding.Actions[name](l.context)
	}
}

// exit leaves the states from the innermost one up to but excluding the ancestor.
func (l *Lifecycle[C]) exit(from, ancestor *state) {
	for s := from; s != ancestor; s = s.parent {
		l.run(s.exit)
		l.stopTimers(s)
	}
}

func (l *Lifecycle[C]) stopTimers(s *state) {
	kept := l.deadlines[:0]
	for _, d := range l.deadlines {
		if d.owner != s {
			kept = append(kept, d)
		}
	}
	l.deadlines = kept
}

// enter activates the states below the ancestor down to the target and then
// the target's initial states.
func (l *Lifecycle[C]) enter(now time.Time, ancestor, target *state) {
	var path []*state
	for s := target; s != ancestor; s = s.parent {
		path = append(path, s)
	}
	for n := len(path) - 1; n >= 0; n-- {
		l.activate(now, path[n])
	}
	for s := target.initial; s != nil; s = s.initial {
		l.activate(now, s)
	}
}

func (l *Lifecycle[C]) activate(now time.Time, s *state) {
	l.current = s
	for _, t := range s.timers {
		delay := t.delay
		if t.delayName != "" {
			delay = l.machine.binding.Delays[t.delayName](l.context)
		}
		l.deadlines = append(l.deadlines, deadline{owner: s, event: t.event, at: now.Add(delay)})
	}
	l.run(s.entry)
}

// commonAncestor returns the innermost state that contains both states and is
// neither of them, so that a transition of a state to itself exits and reenters it.
func commonAncestor(a, b *state) *state {
	above := make(map[*state]bool)
	for s := a.parent; s != nil; s = s.parent {
		above[s] = true
	}
	for s := b.parent; s != nil; s = s.parent {
		if above[s] {
			return s
		}
	}
	return nil
}
