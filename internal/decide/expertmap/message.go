package expertmap

import "github.com/anvilpoint/anvilpoint/internal/ident"

// Message is an input of Step.
type Message interface{ isMessage() }

// Tick lets timers fire.
type Tick struct{}

// Propose asks the rank, if it leads, to switch the group to the present map with the
// changes applied.
type Propose struct{ Changes []Change }

// Kind is the kind of a message between ranks.
type Kind uint8

// The kinds of messages between ranks. Numbers are never reused.
const (
	// Heartbeat means that the sender leads the group and asks for a Status.
	Heartbeat Kind = iota + 1
	// Status tells the leader which map the rank runs and which decision it waits for.
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
	// Arm asks the rank to let its engine stop before the switch step and to promise.
	Arm
	// Promise means that the engine will stop until the decision is known, as a yes vote of
	// two-phase commit.
	Promise
	// Refuse means that the rank has not promised the epoch and never will, or that it is
	// not in the formation that the message belongs to.
	Refuse
	// Commit means that all ranks have promised and the proposal takes effect.
	Commit
	// Abort cancels the switch, because a rank refused or did not answer in time.
	Abort
	// Query asks what the rank knows about a switch.
	Query
	// QueryReply answers Query.
	QueryReply
)

// SwitchState is what a rank knows about a switch.
type SwitchState uint8

// What a rank may know about a switch. Numbers are never reused.
const (
	// StateUnknown means that the engine has not answered the arm order yet.
	StateUnknown SwitchState = iota
	// StatePromised means that the rank has promised and knows no decision.
	StatePromised
	// StateCommitted means that the switch was committed.
	StateCommitted
	// StateAborted means that the switch was or will be aborted.
	StateAborted
)

// PeerMessage is a message between ranks. Each kind uses some of the fields.
type PeerMessage struct {
	Kind Kind       `cbor:"1,keyasint"`
	From ident.Rank `cbor:"2,keyasint"`
	// Incarnation is the sender's incarnation.
	Incarnation ident.Incarnation `cbor:"3,keyasint"`
	// Addressee is the receiver's incarnation as the sender knows it; zero means any.
	Addressee ident.Incarnation `cbor:"4,keyasint,omitempty"`
	Epoch     Epoch             `cbor:"5,keyasint,omitempty"`
	// View is the epoch of the formation that the sender belongs to, zero without one.
	View Epoch `cbor:"6,keyasint,omitempty"`
	// Step is the step from which the proposed map is used or, in a Report, the last step
	// that the engine entered.
	Step uint64 `cbor:"7,keyasint,omitempty"`
	// Hash identifies the proposed or promised map.
	Hash uint64 `cbor:"8,keyasint,omitempty"`
	// Current is the epoch of the map that the sender runs.
	Current Epoch `cbor:"9,keyasint,omitempty"`
	// Floor is the epoch up to which the sender gives no new promises; it promises only
	// greater epochs.
	Floor Epoch `cbor:"10,keyasint,omitempty"`
	// Pending is the epoch whose decision the sender waits for, zero without one.
	Pending Epoch `cbor:"11,keyasint,omitempty"`
	// SwitchState is what the sender knows about the switch that a Query asked for.
	SwitchState SwitchState `cbor:"12,keyasint,omitempty"`
	// Map is sent only to a rank that does not have it.
	Map *Map `cbor:"13,keyasint,omitempty"`
	// Changes turn the map of epoch Current into the proposed one.
	Changes []Change `cbor:"14,keyasint,omitempty"`
	// Members are the incarnations of the ranks in a proposed formation.
	Members []ident.Incarnation `cbor:"15,keyasint,omitempty"`
	// ComputeMicros is the rank's compute time for an expert's work in microseconds, for
	// the planner.
	ComputeMicros uint32 `cbor:"16,keyasint,omitempty"`
}

// OrderKind is the kind of an order to the engine.
type OrderKind uint8

// The kinds of orders: the smallest engine interface that the protocol needs.
const (
	// OrderReadState reads the engine's state.
	OrderReadState OrderKind = iota + 1
	// OrderLoad loads a map beside the one in use.
	OrderLoad
	// OrderHold stops the engine before its next step.
	OrderHold
	// OrderArm stops the engine before the given step. It moves a held engine to that
	// step and abandons a step that cannot be completed.
	OrderArm
	// OrderRelease lets the engine run from the armed step on with the map of the
	// given epoch.
	OrderRelease
)

// Order is one order to the engine. At most one is outstanding per rank.
type Order struct {
	ID   uint64
	Kind OrderKind
	// Token is the fencing token, which is the epoch of the proposal.
	Token Epoch
	// Map is the map to load.
	Map *Map
	// Step is the step before which the engine is to stop.
	Step uint64
	// RunEpoch is the epoch of the map to run after a release.
	RunEpoch Epoch
}

// Result is the outcome of an order.
type Result uint8

// The results.
const (
	// ResultDone means that the engine carried out the order.
	ResultDone Result = iota + 1
	// ResultTooLate means that the engine has already entered the step.
	ResultTooLate
	// ResultFenced means that the engine has seen a greater token.
	ResultFenced
	// ResultMapMissing means that the engine does not have the map that the order names.
	ResultMapMissing
	// ResultUnanswered means that the order timed out: it may or may not have been carried
	// out, and can no longer take effect.
	ResultUnanswered
)

// EngineState is the state that the engine reports.
type EngineState struct {
	// Boot is unique to each start of the engine.
	Boot uint64
	// Current is the epoch of the map in use, and Next of the map used from the armed step
	// on.
	Current Epoch
	Next    Epoch
	// Map is the map of epoch Next. It may be nil if that map was reported before.
	Map *Map
	// Entered is the last step that the engine entered.
	Entered uint64
	// Armed is the epoch whose decision the engine waits for, zero without one.
	Armed Epoch
	// Held is true while the engine enters no step.
	Held bool
	// HighestToken is the greatest fencing token that the engine has seen.
	HighestToken Epoch
	// ComputeMicros is the engine's compute time for an expert's work in microseconds.
	ComputeMicros uint32
}

// OrderReply is the result of an order, with the engine's state after it.
type OrderReply struct {
	ID     uint64
	Result Result
	State  EngineState
}

func (Tick) isMessage()        {}
func (Propose) isMessage()     {}
func (PeerMessage) isMessage() {}
func (EngineState) isMessage() {}
func (OrderReply) isMessage()  {}

// Action is an output of Step.
type Action interface{ isAction() }

// Send sends a message to another rank.
type Send struct {
	To      ident.Rank
	Message PeerMessage
}

// SendOrder sends an order to the engine.
type SendOrder struct{ Order Order }

// Notice reports a change for the event log and the metrics.
type Notice struct {
	Name   NoticeName
	Epoch  Epoch
	Detail string
}

// NoticeName is the name of a Notice in the event log.
type NoticeName string

// The notices.
const (
	SwitchPrepared NoticeName = "group.switch-prepared"
	Switched       NoticeName = "group.switched"
	SwitchAborted  NoticeName = "group.switch-aborted"
	Formed         NoticeName = "group.formed"
)

func (Send) isAction()      {}
func (SendOrder) isAction() {}
func (Notice) isAction()    {}
