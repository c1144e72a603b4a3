// Package routing decides which backend server gets a request. An entry feeds
// it with load reports, which lag, and with the progress of its own calls.
//
// The candidates for a request are the two replicas that rendezvous hashing of
// the prompt's prefix selects, plus two drawn at random (power of two choices).
// The candidate with the lowest score gets the request: the estimated wait, plus
// a penalty for another failure domain, minus the time that a cached prefix saves.
// Cache events only change the expected saving, so that late or missing events
// cost time but never correctness. All ranks of a group count as one replica.
package routing

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Server is one backend server that the entry may use.
type Server struct {
	ID     ident.ServerID
	Domain ident.FailureDomain
	// Region is empty if it is unknown, which counts as the entry's own region.
	Region ident.Region
	Model  ident.ModelName
	// Group is the server's expert-parallel group, which counts as one replica.
	// Empty means that the server is a replica by itself.
	Group ident.GroupID
}

// Config holds the entry's location and the parameters of the score.
type Config struct {
	Domain ident.FailureDomain
	Region ident.Region
	// DomainPenalty is the penalty for a server in another failure domain of the region.
	// Zero means 2 ms.
	DomainPenalty time.Duration
	// RegionPenalty is the penalty for a server in another region. Zero means 60 ms.
	RegionPenalty time.Duration
	// PrefillRate is how many prompt tokens a replica prefills per second. Zero
	// means 8000.
	PrefillRate float64
	// MinRate is the lowest throughput, in cost per second, that is assumed of a
	// replica, even if it reports a lower one. Zero means 1000.
	MinRate float64
	// Baseline replaces the policy of this package by a simpler one, for
	// comparisons. Empty means no replacement.
	Baseline Baseline
}

// Baseline is a simple policy that experiments compare against.
type Baseline string

// The baselines: each server in turn, and the fewest running requests.
const (
	RoundRobin       Baseline = "round-robin"
	LeastOutstanding Baseline = "least-outstanding"
)

const (
	defaultDomainPenalty = 2 * time.Millisecond
	defaultRegionPenalty = 60 * time.Millisecond
	defaultPrefillRate   = 8000
	defaultMinRate       = 1000
)

func (c Config) withDefaults() Config {
	if c.DomainPenalty == 0 {
		c.DomainPenalty = defaultDomainPenalty
	}
	if c.RegionPenalty == 0 {
		c.RegionPenalty = defaultRegionPenalty
	}
	if c.PrefillRate <= 0 {
		c.PrefillRate = defaultPrefillRate
	}
	if c.MinRate <= 0 {
		c.MinRate = defaultMinRate
	}
	return c
}

// Request describes a request to be routed.
type Request struct {
	ID    ident.RequestID
	Model ident.ModelName
	Class ident.PriorityClass
	// Account is the client account that is charged.
	Account ident.ClientAccount
	// Cost is the estimated cost in tokens.
	Cost int64
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens int64
	// Prefix is the hash of the prompt's prefix, or zero if there is none.
	Prefix uint64
	// PrefixTokens is the length of the prefix in tokens.
	PrefixTokens int64
	// Tried are the servers that earlier attempts used or that refused them.
	Tried []ident.ServerID
}

// Message is an input of Router.Step.
type Message interface{ routing() }

// Membership replaces the set of servers.
type Membership struct{ Servers []Server }

// Report is a load report from a sidecar's heartbeat.
type Report struct {
	Server  ident.ServerID
	Running int
	// QueuedCost is the queued cost by class, most urgent first.
	QueuedCost [3]int64
	Slots      int
	// Rate is the cost per second over all running requests, zero if unknown.
	Rate float64
	// Age is the age of the report on arrival.
	Age time.Duration
	// Window is the credit by class: the cost that this entry may send until the
	// next report.
	Window [3]int64
	// UsesCredit reports whether Window applies. If not, the entry sends without limit.
	UsesCredit bool
	// Impaired reports whether the group is re-forming or its steps are slow.
	Impaired bool
}

// Started reports that the entry sent a request to a server.
type Started struct {
	Server  ident.ServerID
	Request Request
}

// FirstOutput reports the time from sending a request to its first token or byte.
type FirstOutput struct {
	Server  ident.ServerID
	Request ident.RequestID
	After   time.Duration
}

// Ended reports that an attempt is over. Failed means that the server failed it;
// refusals and withdrawals are not failures.
type Ended struct {
	Server  ident.ServerID
	Request ident.RequestID
	Failed  bool
}

// Stalled reports that a server made no progress on running requests.
type Stalled struct{ Server ident.ServerID }

// Draining reports that a server takes no new work (On), or takes it again.
type Draining struct {
	Server ident.ServerID
	On     bool
}

// Link reports whether the entry is connected to the server's sidecar.
type Link struct {
	Server ident.ServerID
	Up     bool
}

// CacheEvent reports that a server's cache holds a prefix (Held) or evicted it. It
// may be late or missing.
type CacheEvent struct {
	Server ident.ServerID
	Prefix uint64
	Held   bool
}

func (Membership) routing()  {}
func (Report) routing()      {}
func (Started) routing()     {}
func (FirstOutput) routing() {}
func (Ended) routing()       {}
func (Stalled) routing()     {}
func (Draining) routing()    {}
func (Link) routing()        {}
func (CacheEvent) routing()  {}
