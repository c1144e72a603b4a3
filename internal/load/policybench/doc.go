// Package policybench compares policies of admission and routing on the same
// seeded arrivals. It drives the decision packages in virtual time with a model
// of the engine's service time. It has no network and no processes: messages
// take a fixed time, and load reports arrive with the lag of heartbeats.
package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// The engine's service-time model is that of the stand-in engine: a step takes
// stepBase, stepPerRequest for each decoding request, and the time of the
// prompt tokens that it works off, at most prefillChunk.
const (
	slots          = 32
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 150 * time.Microsecond
	prefillRate    = 8000.0
	prefillChunk   = 512
	cachedPrefixes = 64
)

const (
	replicas   = 16
	entries    = 3
	hop        = time.Millisecond
	heartbeat  = time.Second
	entryRetry = 25 * time.Millisecond
	// maxRefusals bounds the servers that are asked for one request.
	maxRefusals = 4
	// entryPart is the part of the first-token target, as a divisor, that a request
	// may wait at an entry for credit.
	entryPart = 8
	// entryLimit bounds the requests of one class and account that wait at an
	// entry for credit.
	entryLimit = 16
	// warmUp is left out of the figures.
	warmUp = 15 * time.Second
)

// Queue is a sidecar's queue in front of its engine.
type Queue interface {
	Offer(now time.Time, i admission.Item) admission.Decision
	Next(now time.Time) (admission.Item, bool)
	FirstOutput(now time.Time, id admission.ID)
	Charge(now time.Time, id admission.ID, cost int64)
	Expire(now time.Time) []admission.Item
	QueuedCost() [3]int64
	Window(now time.Time, entries int) [3]int64
}

// Policy is one combination that is measured.
type Policy struct {
	Name string
	// Routing is empty for the policy of package routing.
	Routing routing.Baseline
	// FCFS queues first come, first served. Otherwise Admission configures
	// package admission.
	FCFS      bool
	Admission admission.Config
	// Credits makes entries keep to the windows that sidecars grant.
	Credits bool
	// Global uses one queue for all replicas, which knows everything at once. It
	// is the ideal that local queues are compared with.
	Global bool
}

// Load is one stream of requests with exponential gaps.
type Load struct {
	Account ident.ClientAccount
	Weight  float64
	Class   ident.PriorityClass
	Booking bool
	// Rate is in requests per second, from Start on.
	Rate  float64
	Start time.Duration
	// Prompt and Output are mean tokens; single requests take half to one and a
	// half of them.
	Prompt, Output int64
	// Prefixes is the number of shared prompt prefixes, of PrefixTokens each.
	Prefixes     int
	PrefixTokens int64
	// Target is the first-token target, Deadline the time until the first token.
	Target, Deadline time.Duration
}

// Scenario is a set of loads.
type Scenario struct {
	Name   string
	Seed   uint64
	Length time.Duration
	Loads  []Load
}
