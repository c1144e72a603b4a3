// Package policybench compares admission and routing policies on the same seeded
// arrivals. It is a discrete-event simulation: it calls the decision packages in
// virtual time, with a model of the engine's service time, and without network or
// processes. Each message takes hopLatency, and load reports are sent once per
// heartbeat interval.
package policybench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/admission"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// The model of the engine's service time, with the defaults of the stand-in engine.
// A step takes stepBase, plus stepPerRequest for each decoding request, plus the time
// to prefill up to prefillChunk prompt tokens.
const (
	// slots is the number of requests in one batch.
	slots          = 32
	stepBase       = 20 * time.Millisecond
	stepPerRequest = 150 * time.Microsecond
	// prefillRate is in prompt tokens per second.
	prefillRate = 8000.0
	// prefillChunk is the largest number of prompt tokens per step.
	prefillChunk = 512
	// cachedPrefixes is the size of a replica's prefix cache, in prefixes.
	cachedPrefixes = 64
)

const (
	replicas = 16
	entries  = 3
	// hopLatency is the one-way latency of a message.
	hopLatency = time.Millisecond
	// heartbeatInterval is the time between two load reports of a replica.
	heartbeatInterval = time.Second
	// expireInterval is the time between two removals of expired items.
	expireInterval = 50 * time.Millisecond
	// creditRetryInterval is the time between two tries of an entry to dispatch a
	// request for which it had no credit.
	creditRetryInterval = 25 * time.Millisecond
	// maxRefusals is the number of replicas that may refuse a request before it is
	// refused to the caller.
	maxRefusals = 4
	// creditWaitDivisor limits the wait for credit at an entry to the first-token
	// target divided by it.
	creditWaitDivisor = 8
	// maxWaitingForCredit is the largest number of requests of one class and account
	// that wait for credit at an entry.
	maxWaitingForCredit = 16
	// warmUp is the time at the start that is left out of the results.
	warmUp = 15 * time.Second
)

// Queue is a sidecar's queue in front of its engine. The methods are those of
// admission.Scheduler.
type Queue interface {
	Offer(now time.Time, i admission.Item) admission.Decision
	Next(now time.Time) (admission.Item, bool)
	FirstOutput(now time.Time, id admission.ID)
	Charge(now time.Time, id admission.ID, cost int64)
	Expire(now time.Time) []admission.Item
	QueuedCost() [3]int64
	Window(now time.Time, entries int) [3]int64
}

// Policy is a combination of routing and admission.
type Policy struct {
	Name string
	// Routing replaces the policy of package routing; empty means no replacement.
	Routing routing.Baseline
	// FCFS queues first come, first served. Otherwise Admission configures
	// package admission.
	FCFS      bool
	Admission admission.Config
	// Credits makes entries send no more than the credit that sidecars grant.
	Credits bool
	// GlobalQueue uses one queue for all replicas, with the state of all of them and no
	// lag. It is the ideal that local queues are compared with.
	GlobalQueue bool
}

// Load is a Poisson stream of requests of one account and class.
type Load struct {
	Account ident.ClientAccount
	Weight  float64
	Class   ident.PriorityClass
	Booking bool
	// Rate is in requests per second, from Start on.
	Rate  float64
	Start time.Duration
	// Prompt and Output are mean lengths in tokens. The length of one request is
	// uniform between half and one and a half times the mean.
	Prompt, Output int64
	// Prefixes is the number of shared prompt prefixes of PrefixTokens tokens each;
	// 0 is none.
	Prefixes     int
	PrefixTokens int64
	// Target is the first-token target. Deadline is the time from the arrival after
	// which a queued request expires.
	Target, Deadline time.Duration
}

// Scenario is a set of loads and the length of the run.
type Scenario struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	Loads    []Load
}
