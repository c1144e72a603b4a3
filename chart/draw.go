package chart

import (
	"fmt"
	"strings"
)

// Mermaid draws the chart as a Mermaid state diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	drawChildren(&b, c.root, 1)
	for _, name := range c.States() {
		drawTransitions(&b, c.states[name])
	}
	return b.String()
}

func drawChildren(b *strings.Builder, s *state, depth int) {
	indent := strings.Repeat("    ", depth)
	fmt.Fprintf(b, "%s[*] --> %s\n", indent, s.initial.name)
	for _, child := range s.children {
		if len(child.children) == 0 {
			fmt.Fprintf(b, "%s%s\n", indent, child.name)
			if child.final {
				fmt.Fprintf(b, "%s%s --> [*]\n", indent, child.name)
			}
			continue
		}
		fmt.Fprintf(b, "%sstate %s {\n", indent, child.name)
		drawChildren(b, child, depth+1)
		fmt.Fprintf(b, "%s}\n", indent)
	}
}

func drawTransitions(b *strings.Builder, s *state) {
	for _, event := range sortedKeys(s.on) {
		for _, t := range s.on[event] {
			target := s
			if t.target != nil {
				target = t.target
			}
			fmt.Fprintf(b, "    %s --> %s : %s\n", s.name, target.name, label(s, t))
		}
	}
}

func label(s *state, t transition) string {
	text := t.event
	for _, timer := range s.timers {
		if timer.event != t.event {
			continue
		}
		delay := timer.delay.String()
		if timer.delayName != "" {
			delay = timer.delayName
		}
		text += " after " + delay
	}
	if t.guard != "" {
		text += " [" + t.guard + "]"
	}
	if len(t.actions) > 0 {
		text += " / " + strings.Join(t.actions, ", ")
	}
	return text
}
