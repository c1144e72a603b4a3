// Package mapswitch decides how the processes beside the ranks of a group change
// the group's expert map together, for engines that form their groups
// themselves and can be held before a pass.
//
// The process beside rank 0 leads. Every rank first prepares the map. Then one
// other rank holds the engine of rank 0 before one agreed pass, by an order from its
// own machine, and confirms once more that it is there. Then the change is committed:
// each rank arms the map for that pass, and the leader releases its engine when all
// have. Without the engine of rank 0 the group begins no pass, so all ranks have
// armed before it begins. No rank arms an uncommitted change, and a committed change
// is always completed.
//
// The machine that gives a hold may freeze right after it, and then its own engine
// cannot be reached either. So no process holds the engine beside it: while nothing
// is committed, the leader releases its engine and the group goes on.
//
// Orders to an engine may stay unanswered and be carried out later. Each order is
// repeated until it is confirmed, by an answer or by the engine's report. A late
// copy does no harm: the engine refuses a version that is not new and a pass that has
// begun, no two changes have the same pass, and a hold that belongs to no change is
// released.
package mapswitch

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Version numbers the maps that a rank was told. Map 0 is the engine's own.
type Version uint64

// EngineState is what the engine beside a rank says about itself.
type EngineState struct {
	// Group and Epoch name the formation of the group. The engine refuses orders
	// for another epoch.
	Group string
	Epoch uint64
	Rank  ident.Rank
	Size  int
	// Open is false while the group is broken.
	Open bool
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version in use, Prepared the one that is ready beside it and Armed
	// the one that takes its place at a later pass. Zero means none for the last two.
	Map      Version
	Prepared Version
	Armed    Version
	// Held is the pass that the engine does not begin; zero means none.
	Held uint64
	// Pace is over 1 for a slow rank.
	Pace float64
}

// Phase is the state of a change at a rank, as its status tells it.
type Phase string

// The phases, which are the states of the chart map-change.
const (
	Idle      Phase = "idle"
	Preparing Phase = "preparing"
	Copying   Phase = "copying"
	Prepared  Phase = "prepared"
	Holding   Phase = "holding"
	Refused   Phase = "refused"
	Holds     Phase = "holds"
	Confirmed Phase = "confirmed"
	Arming    Phase = "arming"
)

// Verb is what the leader wants of the ranks.
type Verb uint8

// The verbs. Numbers are never reused.
const (
	// Beat asks for the rank's status.
	Beat Verb = iota + 1
	// Prepare asks the rank to make the map ready.
	Prepare
	// Hold asks the rank to hold the engine of rank 0 before the pass.
	Hold
	// Commit says that all ranks are prepared and the engine of rank 0 is held.
	Commit
	// Abort says that the change is not made.
	Abort
	// Confirm asks the rank that gave the hold whether it is still there.
	Confirm
)

// Command goes from the leader to a rank.
type Command struct {
	Verb   Verb              `cbor:"1,keyasint"`
	Leader ident.Incarnation `cbor:"2,keyasint"`
	Group  string            `cbor:"3,keyasint"`
	Epoch  uint64            `cbor:"4,keyasint"`
	// Version and Step name the change and its pass.
	Version Version `cbor:"5,keyasint,omitempty"`
	Step    uint64  `cbor:"6,keyasint,omitempty"`
	// Map travels in a shorter form than the command itself.
	Map placement.Map `cbor:"-"`
	// Tell asks the rank what its requests chose.
	Tell bool `cbor:"8,keyasint,omitempty"`
	// Server is the host and port of the engine that is to be held.
	Server string `cbor:"9,keyasint,omitempty"`
}

// Status goes from a rank to the leader.
type Status struct {
	// Leader is the incarnation whose command the status answers. The rank takes
	// no command of an earlier leader after that.
	Leader ident.Incarnation `cbor:"1,keyasint"`
	Group  string            `cbor:"2,keyasint"`
	Epoch  uint64            `cbor:"3,keyasint"`
	Rank   ident.Rank        `cbor:"4,keyasint"`
	Phase  Phase             `cbor:"5,keyasint"`
	// Version and Step name the change of the phase.
	Version Version `cbor:"6,keyasint,omitempty"`
	Step    uint64  `cbor:"7,keyasint,omitempty"`
	// Begun is the last pass that the engine has begun.
	Begun uint64 `cbor:"8,keyasint,omitempty"`
	// Map is the version in use and Highest the greatest that the rank knows of.
	Map     Version `cbor:"9,keyasint,omitempty"`
	Highest Version `cbor:"10,keyasint,omitempty"`
	// Armed is the version that the engine has armed and that is not in use yet.
	Armed Version `cbor:"11,keyasint,omitempty"`
	// Prepared is the version that the engine has ready, and Held the pass that it
	// does not begin.
	Prepared Version `cbor:"17,keyasint,omitempty"`
	Held     uint64  `cbor:"18,keyasint,omitempty"`
	// Server is the host and port of the rank's engine.
	Server string `cbor:"14,keyasint,omitempty"`
	// Pace is the rank's time for the same work relative to a healthy rank's.
	Pace float64 `cbor:"15,keyasint,omitempty"`
	// Unanswered says that orders to the engine stayed unanswered lately.
	Unanswered bool `cbor:"16,keyasint,omitempty"`
	// Experts are the rank's experts by layer set.
	Experts [][]int `cbor:"12,keyasint,omitempty"`
	// Chosen is how often the rank's requests chose each expert since it last told
	// so, one layer set after the other. It travels in a shorter form.
	Chosen []float64 `cbor:"-"`
}

// OrderKind is the kind of an order to the engine.
type OrderKind string

// The orders.
const (
	OrderPrepare OrderKind = "prepare"
	OrderHold    OrderKind = "hold"
	OrderArm     OrderKind = "arm"
	OrderGo      OrderKind = "go"
)

// Order is one order to the engine beside the rank.
type Order struct {
	Kind    OrderKind
	Epoch   uint64
	Version Version
	Step    uint64
	Map     placement.Map
}

// Result says how an order ended.
type Result uint8

// The results.
const (
	// Accepted means that the order is carried out, or its state already holds.
	Accepted Result = iota + 1
	// Conflicting means that the engine's state does not allow the order.
	Conflicting
	// Unanswered means that the order may be carried out now, later or never.
	Unanswered
)

// Action is what Step returns.
type Action interface{ isAction() }

// Instruct gives an order to the engine beside the process, or to the one at Server.
type Instruct struct {
	Order  Order
	Server string
}

// Assist is an order of the leader to the engine of a rank: to its own, or to that of
// a rank whose process does not carry out the decision.
type Assist struct {
	Rank   ident.Rank
	Server string
	Order  Order
}

// Report sends the rank's status to the leader.
type Report struct {
	Status Status
	// Tell says that the leader asks what the rank's requests chose.
	Tell bool
}

// Send sends a command to a rank.
type Send struct {
	To      ident.Rank
	Command Command
}

// Notice reports a change for the log.
type Notice struct {
	Name    string
	Version Version
	Step    uint64
	Detail  string
}

func (Instruct) isAction() {}
func (Assist) isAction()   {}
func (Report) isAction()   {}
func (Send) isAction()     {}
func (Notice) isAction()   {}
