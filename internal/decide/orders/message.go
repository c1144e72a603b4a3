package orders

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// State is what an engine runs, either as the record specifies it or as the engine
// reports it.
type State struct {
	Model    ident.ModelName
	Version  string
	Adapters []string
	Role     record.ReplicaRole
}

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	SetRole     Kind = "role"
)

// Message is an input of Step.
type Message interface{ ordersMessage() }

// Desired is the state that the record in force specifies.
type Desired struct {
	Revision ident.Revision
	State    State
	// LoadsBefore is the number of loads that the weight store is to serve before this one.
	LoadsBefore int
	// LoadTime is the time that the weight store needs for the load of this model.
	LoadTime time.Duration
}

// Observed is the engine's answer to a ReadBack.
type Observed struct {
	// RequestedAt is when the ReadBack was sent.
	RequestedAt time.Time
	State       State
	// Loading is true while the engine is carrying out an earlier order.
	Loading bool
	// HighestToken is the greatest fencing token that the engine has seen, zero for
	// an engine that ignores tokens.
	HighestToken ident.FencingToken
}

// ReadBackFailed reports that a ReadBack failed.
type ReadBackFailed struct{}

// Result is the outcome of an order.
type Result int

// The results of an order.
const (
	// Done means that the engine accepted the order. It may carry it out later.
	Done Result = iota
	// Refused means that the engine has seen a greater fencing token.
	Refused
	// Failed means that the order was not carried out, or that its outcome is unknown.
	Failed
	// NotSent means that the lease ended before the order was written.
	NotSent
)

// OrderEnded reports the end of the order with the given token.
type OrderEnded struct {
	Token  ident.FencingToken
	Result Result
}

// Connectivity reports whether the sidecar receives messages from any entry.
type Connectivity struct{ Connected bool }

// Tick fires the timers that are due.
type Tick struct{}

func (Desired) ordersMessage()        {}
func (Observed) ordersMessage()       {}
func (ReadBackFailed) ordersMessage() {}
func (OrderEnded) ordersMessage()     {}
func (Connectivity) ordersMessage()   {}
func (Tick) ordersMessage()           {}

// Action is an output of Step.
type Action interface{ ordersAction() }

// ReadBack asks the engine for its state.
type ReadBack struct{}

// Order changes the engine's state. The sender checks MayWrite right before the write.
type Order struct {
	Token    ident.FencingToken
	Kind     Kind
	Model    ident.ModelName
	Version  string
	Adapter  string
	Role     record.ReplicaRole
	Revision ident.Revision
	// Deadline is the end of the lease; the order must not be written later.
	Deadline time.Time
}

// MayWrite reports whether the order may still be written. It may not if the process was
// paused since the decision for so long that the read-back is too old.
func (o Order) MayWrite(now time.Time) bool { return !now.After(o.Deadline) }

// Reached reports that the engine is in the state that the record revision specifies.
type Reached struct{ Revision ident.Revision }

func (ReadBack) ordersAction() {}
func (Order) ordersAction()    {}
func (Reached) ordersAction()  {}
