// Package admission decides which waiting work a backend server runs next, and
// which work is refused before it waits in vain.
//
// Work waits in four lanes: bookings and the three priority classes. Each lane
// has a guaranteed share of the dispatched cost while it has work; what the
// guarantees leave goes to the most urgent lane. Within a lane, start-time fair
// queueing divides the cost between client accounts by weight. Costs are in
// tokens of work.
package admission

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// ID names one attempt of a request.
type ID struct {
	Request ident.RequestID
	Attempt ident.Attempt
}

// Item is one attempt that asks to be run.
type Item struct {
	ID      ID
	Account ident.ClientAccount
	// Weight is the account's share relative to other accounts. Zero counts as 1.
	Weight float64
	Class  ident.PriorityClass
	// Booking puts the item into the lane of the bookings.
	Booking bool
	// Cost is the estimate in tokens. Less than 1 counts as 1.
	Cost int64
	// NoWait work is refused unless it can be run at once, because another
	// backend server may have a free slot.
	NoWait bool
	// Deadline is the time after which an answer is worth nothing.
	Deadline time.Time
}

// Config is what the record and the backend server say.
type Config struct {
	// Shares are the guaranteed shares by class, from 0 to 1.
	Shares map[ident.PriorityClass]float64
	// BookingShare is the guaranteed share of the bookings, from 0 to 1.
	BookingShare float64
	// Slots is how many items the backend server runs at once. Zero means that
	// the caller of Next limits them alone.
	Slots int
	// UrgentSlots are kept free of analytical and batch work, so that urgent
	// work need not wait for a long item to end.
	UrgentSlots int
	// Pace limits how many analytical and batch items work off their prompts at
	// the same time, because prompts hold up the first tokens of urgent work. The
	// caller then reports the first output of every item.
	Pace bool
	// Rate is the cost per second that the backend server gets done, used until
	// it has been measured.
	Rate float64
	// MaxItems bounds each lane's queue.
	MaxItems int
	// MaxWait bounds the estimated wait of each class's queue, and with it the
	// credit given to entries. Zero means the class has no bound but MaxItems.
	MaxWait map[ident.PriorityClass]time.Duration
}

// Decision answers Offer.
type Decision struct {
	// Queued says that the item waits. Otherwise it has been refused, and
	// Reason and RetryAfter are set.
	Queued     bool
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Duplicate says that the attempt waits, runs or has run already. The offer
	// is a copy: the caller ignores it, because a refusal would be false.
	Duplicate bool
	// Displaced are items of other accounts that lost their place in a full
	// queue. They have not run and never will.
	Displaced []Item
}

const (
	// proofWindow is how long after its deadline an ended attempt stays known.
	proofWindow = 60 * time.Second
	// defaultMaxItems bounds a lane when the configuration does not.
	defaultMaxItems = 1024
	// defaultRate is a cautious rate in tokens per second.
	defaultRate = 1000
	// minRetryAfter and maxRetryAfter bound the advice to callers: shorter would
	// bring a refused flood back at once, longer would keep callers away from
	// capacity that has become free.
	minRetryAfter = time.Second
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
