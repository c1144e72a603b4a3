// Package invariant checks the promises of the system inside the program. A
// broken invariant panics with the state that broke it; the task group then
// stops the process, because going on would break a promise to a caller.
package invariant

import "fmt"

// Violation is the panic value of a broken invariant.
type Violation struct {
	Name  string
	State string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %q is broken: %s", v.Name, v.State)
}

// Check panics with a Violation if the condition does not hold. The state is
// formatted only then.
func Check(holds bool, name, format string, args ...any) {
	if holds {
		return
	}
	panic(&Violation{Name: name, State: fmt.Sprintf(format, args...)})
}
