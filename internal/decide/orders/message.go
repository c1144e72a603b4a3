package orders

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

// State is what an engine runs, as the record asks for it or as the engine
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

// Desired is the state that the record in force asks for.
type Desired struct {
	Revision ident.Revision
	State    State
	// Place is the number of loads that the weight store serves before this one.
	Place int
	// Interval is the time that the weight store needs for one load.
	Interval time.Duration
}

// Observed is the engine's answer to a read-back that was sent at Asked.
type Observed struct {
	Asked time.Time
	State State
	// Loading says that the engine is carrying out an earlier order.
	Loading bool
	// Highest is the greatest fencing token that the engine has seen. It is zero
	// for an engine that ignores tokens.
	Highest ident.FencingToken
}

// Unreadable says that the engine did not answer a read-back.
type Unreadable struct{}

// Result is how an order ended.
type Result int

// The results of an order.
const (
	Done Result = iota
	// Refused means that the engine has seen a greater token.
	Refused
	// Failed means that the order was not carried out, or that nobody knows.
	Failed
	// NotSent means that the lease ended before the order was written.
	NotSent
)

// Ended reports the end of the order with the given token.
type Ended struct {
	Token  ident.FencingToken
	Result Result
}

// Connected says whether the process hears any entry.
type Connected struct{ Yes bool }

// Tick lets time pass.
type Tick struct{}

func (Desired) ordersMessage()    {}
func (Observed) ordersMessage()   {}
func (Unreadable) ordersMessage() {}
func (Ended) ordersMessage()      {}
func (Connected) ordersMessage()  {}
func (Tick) ordersMessage()       {}

// Action is an output of Step.
type Action interface{ ordersAction() }

// ReadBack asks the engine for its state.
type ReadBack struct{}

// Order changes the engine. The sender checks MayWrite right before the write.
type Order struct {
	Token    ident.FencingToken
	Kind     Kind
	Model    ident.ModelName
	Version  string
	Adapter  string
	Role     record.ReplicaRole
	Revision ident.Revision
	// Until is the end of the lease; the order must not be written later.
	Until time.Time
}

// MayWrite reports whether the lease still holds. A process that paused after
// the decision finds here that its read-back is too old.
func (o Order) MayWrite(now time.Time) bool { return !now.After(o.Until) }

// Reached reports that the engine is in the desired state.
type Reached struct{ Revision ident.Revision }

func (ReadBack) ordersAction() {}
func (Order) ordersAction()    {}
func (Reached) ordersAction()  {}
