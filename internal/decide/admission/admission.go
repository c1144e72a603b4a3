// Package admission schedules the work of one backend server: it decides which
// queued item runs next, and refuses early what could not be served in time.
//
// Work waits in four lanes: bookings and the three priority classes. Each lane
// has a guaranteed share of the dispatched cost while it has work; what the
// guarantees leave goes to the most urgent lane. Within a lane, start-time fair
// queueing divides the cost between client accounts by weight. Costs are in
// output tokens; see EstimateCost.
package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// ID identifies one attempt of a request.
type ID struct {
	Request ident.RequestID
	Attempt ident.Attempt
}

// Item is an attempt that is offered to the scheduler.
type Item struct {
	ID      ID
	Account ident.ClientAccount
	// Weight is the account's share relative to other accounts. Zero counts as 1.
	Weight float64
	Class  ident.PriorityClass
	// Booking puts the item into the booking lane, whatever its class.
	Booking bool
	// Cost is the estimated cost in tokens. Less than 1 counts as 1.
	Cost int64
	// NoWait refuses the item unless a slot is free now, so that the entry can try
	// another backend server.
	NoWait bool
	// Deadline is the time after which the client has no use for an answer.
	Deadline time.Time
}

// Config comes from the configuration record and the backend server.
type Config struct {
	// Shares are the guaranteed shares by class, from 0 to 1.
	Shares map[ident.PriorityClass]float64
	// BookingShare is the guaranteed share of the bookings, from 0 to 1.
	BookingShare float64
	// Slots is the number of items that the backend server runs at once. Zero
	// means that only the caller of Next limits it.
	Slots int
	// UrgentSlots are kept free of analytical and batch work, so that urgent
	// work need not wait for a long item to end.
	UrgentSlots int
	// LimitPrefills limits how many analytical and batch items are in prefill at the same
	// time, because prefill delays the first tokens of urgent work. The caller must
	// then report the first output of every item with FirstOutput.
	LimitPrefills bool
	// Rate is the backend server's throughput in cost per second, used until it
	// has been measured.
	Rate float64
	// MaxItems bounds each lane's queue.
	MaxItems int
	// MaxWait bounds the estimated wait in each class's queue, and with it the
	// credit given to entries. Zero means that only MaxItems bounds the queue.
	MaxWait map[ident.PriorityClass]time.Duration
}

// Decision is the result of Offer.
type Decision struct {
	// Queued reports whether the item waits. If not, it has been refused, and
	// Reason and RetryAfter are set.
	Queued     bool
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Duplicate reports whether the attempt already waits, runs or has run. If so,
	// the caller ignores this copy of the offer: a refusal would say that it never runs.
	Duplicate bool
	// Displaced are items of other accounts that lost their place in a full
	// queue. They have not run and never will.
	Displaced []Item
}

const (
	// endedRetention is how long an ended attempt is remembered after its deadline,
	// to answer late copies of its offer and late withdrawals.
	endedRetention = 60 * time.Second
	// defaultMaxItems bounds each lane's queue if the configuration does not.
	defaultMaxItems = 1024
	// defaultRate is the assumed throughput in tokens per second if the
	// configuration gives none. It is low, to be cautious.
	defaultRate = 1000
	// minRetryAfter keeps a refused burst of requests from returning at once.
	minRetryAfter = time.Second
	// maxRetryAfter keeps clients from staying away once capacity is free again.
	maxRetryAfter = 60 * time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxItems <= 0 {
		c.MaxItems = defaultMaxItems
	}
	if c.Rate <= 0 {
		c.Rate = defaultRate
	}
	if c.UrgentSlots >= c.Slots {
		c.UrgentSlots = max(0, c.Slots-1)
	}
	return c
}

// prefillDivisor is how many prompt tokens cost as much as one output token. An
// engine that prefills 8,000 tokens a second and decodes 1,300 has about 6:
// prefill handles a prompt's tokens in parallel, decoding makes them one by one.
const prefillDivisor = 6

// EstimateCost returns the cost in tokens of a request with the given numbers
// of prompt and output tokens.
func EstimateCost(prompt, output int64) int64 {
	return max(1, prompt/prefillDivisor+output)
}

func (i Item) normalized() Item {
	i.Cost = max(1, i.Cost)
	if !(i.Weight > 0) {
		i.Weight = 1
	}
	return i
}
