// Package mapchange implements the protocol by which the agents of an
// expert-parallel group change the group's expert map together. It is for engines
// that form their groups themselves and can be held before a step. An agent is the
// process beside one rank's engine; a step is one forward pass of the group.
//
// The agent of rank 0 leads. First every rank prepares the map. Then one other rank,
// the holder, orders the engine of rank 0 to stop before an agreed step, and confirms
// that it is still running. Then the leader orders the engine of rank 0 to arm the map
// for that step, which commits the change: each other rank arms it, too, and the leader
// releases the engine of rank 0 once all have. The group begins no step without the
// engine of rank 0, so all ranks have armed before the step begins. No other rank arms
// an uncommitted change, and a committed change is always completed.
//
// Agents may be killed at any moment, and nothing that they know lasts. The decision on
// a change therefore stands in the engine of rank 0, which carries out one order at a
// time: either it arms the change, or it prepares a later version and then refuses to
// arm the change for good. Before the leader gives a change up and releases the engine,
// it has the change revoked in this way, with the map in use under a new version. A
// release that a leader has sent is thus for a change that is complete or revoked, and
// releases no engine that a successor needs held, however late it is carried out.
//
// The holder's machine may freeze right after it has sent the hold, and its own engine
// is then unreachable too. Therefore no agent holds its own engine: until the commit
// the leader can release the engine of rank 0, and the group continues.
//
// An order to an engine may time out and still be carried out later. Each order is
// resent until an answer or the engine's report confirms it. A late duplicate is
// harmless: the engine refuses a version that is not new and a step that has begun,
// no two changes use the same step or version, and a hold that belongs to no change is
// released.
package mapchange

import (
	"github.com/anvilpoint/anvilpoint/internal/decide/placement"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Version numbers the expert maps of a formation. Version 0 is the engine's initial map.
type Version uint64

// EngineState is the state that an engine reports.
type EngineState struct {
	// Group and Epoch identify the formation of the group. The engine refuses orders
	// for another epoch.
	Group string
	Epoch uint64
	Rank  ident.Rank
	Size  int
	// Open is false while the group's formation is broken.
	Open bool
	// Step is the last step that the engine has begun.
	Step uint64
	// Map is the version in use, Prepared the version that is loaded beside it, and
	// Armed the version that replaces it at a later step. Zero means none for Prepared
	// and Armed.
	Map      Version
	Prepared Version
	Armed    Version
	// Held is the step before which the engine stops; zero means none.
	Held uint64
	// Slowdown is the rank's time for the same work relative to a healthy rank's; it is
	// greater than 1 for a slow rank.
	Slowdown float64
}

// Phase is the state of a change at a rank, as reported in its status.
type Phase string

// The phases. Their values are states of the chart map-change.
const (
	Idle Phase = "idle"
	// Preparing means that the engine has not yet accepted the order to load the map.
	Preparing Phase = "preparing"
	// Copying means that the engine is copying the experts that it lacks.
	Copying  Phase = "copying"
	Prepared Phase = "prepared"
	// Holding means that the engine of rank 0 has not yet answered this rank's hold.
	Holding Phase = "holding"
	// HoldRefused means that the engine of rank 0 has refused the hold.
	HoldRefused Phase = "refused"
	// HoldAccepted means that the engine of rank 0 is held.
	HoldAccepted Phase = "holds"
	// Confirmed means that the rank has answered the leader's question after the hold.
	Confirmed Phase = "confirmed"
	// Arming means that the change is committed and the engine has not armed it yet.
	Arming Phase = "arming"
)

// CommandKind is the kind of a command from the leader to the ranks.
type CommandKind uint8

// The kinds of commands. Numbers are never reused.
const (
	// Heartbeat only asks for the rank's status, as every command does.
	Heartbeat CommandKind = iota + 1
	// Prepare asks the rank to load the map into its engine.
	Prepare
	// Hold asks the rank to stop the engine of rank 0 before the step.
	Hold
	// Commit means that all ranks are prepared and the engine of rank 0 is held.
	Commit
	// Abort cancels the change.
	Abort
	// Confirm asks the holder whether it still runs.
	Confirm
)

// Command is a message from the leader to a rank.
type Command struct {
	Kind   CommandKind       `cbor:"1,keyasint"`
	Leader ident.Incarnation `cbor:"2,keyasint"`
	Group  string            `cbor:"3,keyasint"`
	Epoch  uint64            `cbor:"4,keyasint"`
	// Version identifies the change, and Step is the step at which it takes effect.
	Version Version `cbor:"5,keyasint,omitempty"`
	Step    uint64  `cbor:"6,keyasint,omitempty"`
	// Map is encoded separately, in a more compact form.
	Map placement.Map `cbor:"-"`
	// WantCounts asks the rank how often its requests chose each expert.
	WantCounts bool `cbor:"8,keyasint,omitempty"`
	// Server is the host and port of the engine to hold.
	Server string `cbor:"9,keyasint,omitempty"`
}

// Status is a message from a rank to the leader.
type Status struct {
	// Leader is the incarnation whose command the status answers. From then on the
	// rank ignores commands of earlier leaders.
	Leader ident.Incarnation `cbor:"1,keyasint"`
	Group  string            `cbor:"2,keyasint"`
	Epoch  uint64            `cbor:"3,keyasint"`
	Rank   ident.Rank        `cbor:"4,keyasint"`
	Phase  Phase             `cbor:"5,keyasint"`
	// Version and Step identify the change that Phase is about.
	Version Version `cbor:"6,keyasint,omitempty"`
	Step    uint64  `cbor:"7,keyasint,omitempty"`
	// CurrentStep is the last step that the engine has begun.
	CurrentStep uint64 `cbor:"8,keyasint,omitempty"`
	// Map is the version in use.
	Map Version `cbor:"9,keyasint,omitempty"`
	// HighestVersion is the greatest version known to the rank.
	HighestVersion Version `cbor:"10,keyasint,omitempty"`
	// Armed is the version that the engine has armed but does not use yet.
	Armed Version `cbor:"11,keyasint,omitempty"`
	// Prepared is the version that the engine has loaded, and Held the step before
	// which the engine stops.
	Prepared Version `cbor:"17,keyasint,omitempty"`
	Held     uint64  `cbor:"18,keyasint,omitempty"`
	// Server is the host and port of the rank's engine.
	Server string `cbor:"14,keyasint,omitempty"`
	// Slowdown is the rank's time for the same work relative to a healthy rank's.
	Slowdown float64 `cbor:"15,keyasint,omitempty"`
	// OrdersUnanswered is true if an order to an engine timed out within the last 5 s.
	OrdersUnanswered bool `cbor:"16,keyasint,omitempty"`
	// Experts lists the rank's experts for each layer set.
	Experts [][]int `cbor:"12,keyasint,omitempty"`
	// ExpertCounts is how often the rank's requests chose each expert since the rank last
	// reported it, layer set by layer set. It is encoded separately, in a more compact
	// form.
	ExpertCounts []float64 `cbor:"-"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	// OrderPrepare loads a map beside the one in use.
	OrderPrepare OrderKind = "prepare"
	// OrderHold stops the engine before a step.
	OrderHold OrderKind = "hold"
	// OrderArm makes the engine use the prepared map from a step on.
	OrderArm OrderKind = "arm"
	// OrderRelease releases an engine that is held before a step.
	OrderRelease OrderKind = "go"
)

// Order is one order to an engine.
type Order struct {
	Kind    OrderKind
	Epoch   uint64
	Version Version
	Step    uint64
	Map     placement.Map
}

// Result is the outcome of an order.
type Result uint8

// The results.
const (
	// Accepted means that the order was carried out, or was already in effect.
	Accepted Result = iota + 1
	// Conflicting means that the engine's state does not allow the order.
	Conflicting
	// Unanswered means that the order timed out; the engine may have carried it out,
	// or may do so later or never.
	Unanswered
)

// Action is something that the caller of a Rank or a Leader must carry out.
type Action interface{ isAction() }

// SendOrder sends an order to the rank's own engine or, if Server is set, to the engine
// at that address. The caller passes the result back to the Rank.
type SendOrder struct {
	Order  Order
	Server string
}

// SendLeaderOrder sends an order from the leader to the engine of a rank: its own,
// or that of a rank whose agent does not carry out the decision. The caller passes the
// result back to the Leader.
type SendLeaderOrder struct {
	Rank   ident.Rank
	Server string
	Order  Order
}

// Report sends the rank's status to the leader.
type Report struct {
	Status Status
	// WantCounts asks the caller to add the expert counts to the status.
	WantCounts bool
}

// Send sends a command from the leader to a rank.
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

func (SendOrder) isAction()       {}
func (SendLeaderOrder) isAction() {}
func (Report) isAction()          {}
func (Send) isAction()            {}
func (Notice) isAction()          {}
