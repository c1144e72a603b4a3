package routing

// retryShare is how much of a retry each successful request pays for. A tenth
// keeps retries from multiplying the load when many servers fail at once.
const retryShare = 0.1

// maxRetries bounds the retries that an entry saves up, and is what it starts
// with. It covers the requests that one entry has at one backend server, so that
// the loss of one server loses none of them.
const maxRetries = 64.0

// RetryBudget limits the retries of one entry.
type RetryBudget struct{ spent float64 }

// Success pays into the budget.
func (b *RetryBudget) Success() { b.spent = max(0, b.spent-retryShare) }

// Take reports whether a retry may be sent, and pays for it.
func (b *RetryBudget) Take() bool {
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}
