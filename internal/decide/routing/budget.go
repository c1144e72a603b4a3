package routing

import "time"

// retryRatio is the number of retries that each successful request adds to the
// budget. A tenth keeps retries from multiplying the load when many servers fail at
// once.
const retryRatio = 0.1

// maxRetries is the initial and largest retry budget of an entry. It covers the
// requests that one entry has at one backend server, so that all of them can be
// retried when that server fails.
const maxRetries = 64.0

// RetryBudget limits the retries of one entry to a ratio of its successful requests.
// The zero value is a full budget.
type RetryBudget struct{ spent float64 }

// Success adds a successful request's part of a retry to the budget.
func (b *RetryBudget) Success() { b.spent = max(0, b.spent-retryRatio) }

// Take reports whether a retry may be sent, and takes it from the budget.
func (b *RetryBudget) Take() bool {
	if b.spent+1 > maxRetries {
		return false
	}
	b.spent++
	return true
}

// WindowConfig bounds the retries of one entry within a sliding window.
type WindowConfig struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed in the window beyond the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// windowBuckets is the number of buckets that make up the window. One more is kept,
// so that the buckets in which retries are counted always cover the whole window.
const windowBuckets = 10

// WindowBudget counts requests and retries over a sliding window.
type WindowBudget struct {
	config WindowConfig
	// origin is the time of the first count. Buckets are numbered from it, because the
	// wall clock may jump.
	origin  time.Time
	buckets [windowBuckets + 1]windowBucket
}

type windowBucket struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindowBudget returns a budget without counted requests or retries.
func NewWindowBudget(c WindowConfig) *WindowBudget { return &WindowBudget{config: c} }

func (b *WindowBudget) bucket(now time.Time) *windowBucket {
	if b.origin.IsZero() {
		b.origin = now
	}
	number := int64(now.Sub(b.origin)/(b.config.Window/windowBuckets)) + 1
	c := &b.buckets[number%(windowBuckets+1)]
	if c.number != number {
		*c = windowBucket{number: number}
	}
	return c
}

// Request counts a client's request.
func (b *WindowBudget) Request(now time.Time) { b.bucket(now).requests++ }

// Take reports whether a retry may be sent, and counts it. The slack is divided
// among the given number of entries, which includes this one.
func (b *WindowBudget) Take(now time.Time, entries int) bool {
	c := b.bucket(now)
	requests, retries := 0.0, 0.0
	for _, one := range b.buckets {
		if c.number-one.number < windowBuckets {
			requests += one.requests
		}
		if c.number-one.number <= windowBuckets {
			retries += one.retries
		}
	}
	if retries+1 > b.config.Ratio*requests+b.config.Slack/float64(max(entries, 1)) {
		return false
	}
	c.retries++
	return true
}
