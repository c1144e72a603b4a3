// Package invariant checks invariants at run time. A violated invariant panics with
// the offending state. The task group then stops the process, because it could no
// longer keep a guarantee given to callers.
package invariant

import "fmt"

// Violation is the panic value of a violated invariant.
type Violation struct {
	Name  string
	State string
}

// Error implements error.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %q violated: %s", v.Name, v.State)
}

// Check panics with a *Violation if the condition does not hold. The state is
// formatted only in that case.
func Check(holds bool, name, format string, args ...any) {
	if holds {
		return
	}
	panic(&Violation{Name: name, State: fmt.Sprintf(format, args...)})
}
