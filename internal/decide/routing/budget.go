package routing

import "time"

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

// WindowConfig bounds the retries of one entry within a sliding window.
type WindowConfig struct {
	// Ratio is the number of retries for each request, and Slack the number beyond
	// it, in any window of the length.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// budgetCells is how many parts the window is counted in. One more part is kept, so
// that the parts in which retries are counted always cover the window.
const budgetCells = 10

// WindowBudget counts requests and retries over a sliding window.
type WindowBudget struct {
	config WindowConfig
	// origin is when counting began. Cells are numbered from it, since the time of
	// day may jump.
	origin time.Time
	cells  [budgetCells + 1]budgetCell
}

type budgetCell struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindowBudget returns a budget that has seen nothing yet.
func NewWindowBudget(c WindowConfig) *WindowBudget { return &WindowBudget{config: c} }

func (b *WindowBudget) cell(now time.Time) *budgetCell {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin)/(b.config.Window/budgetCells)) + 1
	c := &b.cells[number%(budgetCells+1)]
	if c.number != number {
		*c = budgetCell{number: number}
	}
	return c
}

// Request counts a client's request.
func (b *WindowBudget) Request(now time.Time) { b.cell(now).requests++ }

// Take reports whether a retry may be sent, and counts it. The slack is shared by
// that many callers, of which this is one.
func (b *WindowBudget) Take(now time.Time, callers int) bool {
	c := b.cell(now)
	requests, retries := 0.0, 0.0
	for _, one := range b.cells {
		if c.number-one.number < budgetCells {
			requests += one.requests
		}
		if c.number-one.number <= budgetCells {
			retries += one.retries
		}
	}
	if retries+1 > b.config.Ratio*requests+b.config.Slack/float64(max(callers, 1)) {
		return false
	}
	c.retries++
	return true
}
