// Package mapswitch decides how the processes beside the ranks of a group change
// the group's expert map together, for engines that form their groups
// themselves and can be held before a pass.
//
// The process beside rank 0 leads. Every rank first prepares the map and then
// holds its engine before one agreed pass, which is its promise. When all have
// promised, the change is committed: each rank arms the map for that pass, and
// releases its engine only after the engine has confirmed. The pass begins when
// the last rank is released, so all ranks have armed then. No rank arms an
// uncommitted change, and a committed change is always completed.
//
// Orders to an engine may stay unanswered and be carried out later. Each order
// is repeated until it is confirmed, by an answer or by the engine's report. A
// late copy of an order does no harm: the engine refuses a version that is not
// new, and a pass that has begun.
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
	Promised  Phase = "promised"
	Recovered Phase = "recovered"
	Arming    Phase = "arming"
	Releasing Phase = "releasing"
)

// Verb is what the leader wants of the ranks.
type Verb uint8

// The verbs. Numbers are never reused.
const (
	// Beat asks for the rank's status.
	Beat Verb = iota + 1
	// Prepare asks the rank to make the map ready.
	Prepare
	// Promise asks the rank to hold its engine before the pass.
	Promise
	// Commit says that all ranks have promised.
	Commit
	// Abort says that the change is not made.
	Abort
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

// Instruct gives an order to the engine.
type Instruct struct{ Order Order }

// Assist gives an order to the engine of another rank, whose process does not
// carry out the decision.
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
