package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// Message is what Step takes.
type Message interface{ isMessage() }

// Tick lets timers fire.
type Tick struct{}

// Propose asks the rank, if it leads, to switch the group to a map that differs
// from the present one by the changes.
type Propose struct{ Changes []Change }

// Kind is the kind of a message between ranks.
type Kind uint8

// The kinds of messages between ranks. Numbers are never reused.
const (
	// Beat says that the sender leads and asks for a Status.
	Beat Kind = iota + 1
	// Status tells the leader what the rank runs and what it waits for.
	Status
	// Collect asks the rank to stop its engine and to report.
	Collect
	// Report answers Collect.
	Report
	// Form proposes the map and the first step of a formation.
	Form
	// Prepare asks the rank to load a map for a switch.
	Prepare
	// Prepared answers Prepare.
	Prepared
	// Arm asks the rank to stop before the switch step and to promise.
	Arm
	// Promise says that the engine stops until the decision is known.
	Promise
	// Refuse says that the rank has not promised the epoch and never will.
	Refuse
	// Commit says that all ranks promised.
	Commit
	// Abort says that a rank refused.
	Abort
	// Query asks what the rank knows of a switch.
	Query
	// Known answers Query.
	Known
)

// Verdict is what a rank knows of a switch.
type Verdict uint8

// The verdicts.
const (
	VerdictNone Verdict = iota
	VerdictPromised
	VerdictCommitted
	VerdictAborted
)

// Wire is a message between ranks. Each kind uses some of the fields.
type Wire struct {
	Kind Kind       `cbor:"1,keyasint"`
	From ident.Rank `cbor:"2,keyasint"`
	// Incarnation is the sender's.
	Incarnation ident.Incarnation `cbor:"3,keyasint"`
	// Addressee is the receiver's incarnation as the sender knows it; zero means any.
	Addressee ident.Incarnation `cbor:"4,keyasint,omitempty"`
	Epoch     Epoch             `cbor:"5,keyasint,omitempty"`
	// View is the formation that the sender belongs to, zero without one.
	View    Epoch   `cbor:"6,keyasint,omitempty"`
	Step    uint64  `cbor:"7,keyasint,omitempty"`
	Hash    uint64  `cbor:"8,keyasint,omitempty"`
	Current Epoch   `cbor:"9,keyasint,omitempty"`
	Floor   Epoch   `cbor:"10,keyasint,omitempty"`
	Pending Epoch   `cbor:"11,keyasint,omitempty"`
	Verdict Verdict `cbor:"12,keyasint,omitempty"`
	// Map is sent only to a rank that does not have it.
	Map     *Map                `cbor:"13,keyasint,omitempty"`
	Changes []Change            `cbor:"14,keyasint,omitempty"`
	Members []ident.Incarnation `cbor:"15,keyasint,omitempty"`
	// ComputeMicros is the rank's own time for an expert's work, for the planner.
	ComputeMicros uint32 `cbor:"16,keyasint,omitempty"`
}

// OrderKind is the kind of an order to the engine.
type OrderKind uint8

// The orders: the smallest engine interface that the protocol needs.
const (
	// OrderCurrent reads the engine's state.
	OrderCurrent OrderKind = iota + 1
	// OrderLoad loads a map beside the one in use.
	OrderLoad
	// OrderHold stops the engine before its next step.
	OrderHold
	// OrderArm stops the engine before the given step. It moves a held engine to
	// that step and abandons a step that cannot be completed.
	OrderArm
	// OrderRelease lets the engine run from the armed step on with the map Run.
	OrderRelease
)

// Order is one order to the engine. At most one is outstanding per rank.
type Order struct {
	ID    uint64
	Kind  OrderKind
	Token Epoch
	Map   *Map
	Step  uint64
	Run   Epoch
}

// Result says how an order ended.
type Result uint8

// The results.
const (
	// ResultDone means that the engine obeyed.
	ResultDone Result = iota + 1
	// ResultLate means that the engine has already entered the step.
	ResultLate
	// ResultFenced means that the engine has seen a greater token.
	ResultFenced
	// ResultLost means that the engine does not have the map that the order names.
	ResultLost
	// ResultUnanswered means that the order may or may not have been obeyed and
	// cannot take effect any more.
	ResultUnanswered
)

// EngineState is what the engine says about itself.
type EngineState struct {
	// Boot is unique for each start of the engine.
	Boot uint64
	// Current is the map in use and Next the one from the armed step on.
	Current Epoch
	Next    Epoch
	// Map is the content of Next. It may be nil in answers that nobody reads it from.
	Map *Map
	// Entered is the last step that the engine entered.
	Entered uint64
	// Armed is the epoch whose decision the engine waits for, zero without one.
	Armed Epoch
	Held  bool
	// Fence is the greatest token seen.
	Fence Epoch
	// ComputeMicros is the engine's own time for an expert's work.
	ComputeMicros uint32
}

// OrderReply tells how an order ended.
type OrderReply struct {
	ID     uint64
	Result Result
	State  EngineState
}

func (Tick) isMessage()        {}
func (Propose) isMessage()     {}
func (Wire) isMessage()        {}
func (EngineState) isMessage() {}
func (OrderReply) isMessage()  {}

// Action is what Step returns.
type Action interface{ isAction() }

// Send sends a message to another rank.
type Send struct {
	To   ident.Rank
	Wire Wire
}

// Instruct gives an order to the engine.
type Instruct struct{ Order Order }

// Notice reports a change for events and metrics.
type Notice struct {
	Name   NoticeName
	Epoch  Epoch
	Detail string
}

// NoticeName is the name of an event.
type NoticeName string

// The notices.
const (
	SwitchPrepared NoticeName = "group.switch-prepared"
	Switched       NoticeName = "group.switched"
	SwitchAborted  NoticeName = "group.switch-aborted"
	Formed         NoticeName = "group.formed"
)

func (Send) isAction()     {}
func (Instruct) isAction() {}
func (Notice) isAction()   {}
