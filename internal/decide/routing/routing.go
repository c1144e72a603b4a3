// Package routing decides which backend server gets a request. An entry feeds
// it with load reports, which lag, and with the course of its own calls.
//
// The candidates for a request are the two replicas that rendezvous hashing of
// the prompt's prefix names, plus two drawn at random (power of two choices).
// The candidate with the lowest score gets the request: the estimated wait, plus
// a penalty for a far failure domain, minus the time that a cached prefix saves.
// Cache events only move the expected saving, so that late or missing events
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
	// Region is empty if it is not known, and then counts as near.
	Region ident.Region
	Model  ident.ModelName
	// Group makes all servers of the group one replica. Empty means none.
	Group ident.GroupID
}

// Config holds the entry's own place and the costs that the score weighs.
type Config struct {
	Domain ident.FailureDomain
	Region ident.Region
	// FarDomain and FarRegion are what a request loses by leaving its failure
	// domain or region. Zero means 2 ms and 60 ms.
	FarDomain time.Duration
	FarRegion time.Duration
	// PrefillRate is how many prompt tokens a replica prefills per second. Zero
	// means 8000.
	PrefillRate float64
	// DefaultRate is the cost per second of a replica that has not reported a
	// rate. Zero means 1000.
	DefaultRate float64
	// Baseline replaces the policy by a simple one, for comparisons. Empty is
	// the policy of this package.
	Baseline Baseline
}

// Baseline is a simple policy that experiments compare against.
type Baseline string

// The baselines.
const (
	RoundRobin       Baseline = "round-robin"
	LeastOutstanding Baseline = "least-outstanding"
)

const (
	defaultFarDomain   = 2 * time.Millisecond
	defaultFarRegion   = 60 * time.Millisecond
	defaultPrefillRate = 8000
	defaultRate        = 1000
)

func (c Config) withDefaults() Config {
	if c.FarDomain == 0 {
		c.FarDomain = defaultFarDomain
	}
	if c.FarRegion == 0 {
		c.FarRegion = defaultFarRegion
	}
	if c.PrefillRate <= 0 {
		c.PrefillRate = defaultPrefillRate
	}
	if c.DefaultRate <= 0 {
		c.DefaultRate = defaultRate
	}
	return c
}

// Request is what the choice depends on.
type Request struct {
	ID    ident.RequestID
	Model ident.ModelName
	Class ident.PriorityClass
	// Account is the client account that pays.
	Account ident.ClientAccount
	// Cost is the estimate in tokens.
	Cost int64
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int64
	// Prefix is the hash of the prompt's prefix, zero without one, and
	// PrefixTokens its length.
	Prefix       uint64
	PrefixTokens int64
	// Tried are the servers that an earlier attempt used or that refused it.
	Tried []ident.ServerID
}

// Message is an input of Router.Step.
type Message interface{ routing() }

// Membership replaces the set of servers.
type Membership struct{ Servers []Server }

// Report is a load report as the heartbeat of a sidecar brings it.
type Report struct {
	Server  ident.ServerID
	Running int
	// QueuedCost is the waiting cost by class, most urgent first.
	QueuedCost [3]int64
	Slots      int
	// Rate is the cost per second over all running requests, zero if unknown.
	Rate float64
	// Age is how old the report was when it arrived.
	Age time.Duration
	// Window is the credit by class; Credits says whether it is in force.
	Window  [3]int64
	Credits bool
	// Impaired says that the group re-forms or that its steps are slow.
	Impaired bool
}

// Started says that the entry sent a request to a server.
type Started struct {
	Server  ident.ServerID
	Request Request
}

// FirstToken says how long a request waited for its first token or byte.
type FirstToken struct {
	Server  ident.ServerID
	Request ident.RequestID
	After   time.Duration
}

// Ended says that an attempt is over. Failed is set if the server failed it;
// refusals and withdrawals are not failures.
type Ended struct {
	Server  ident.ServerID
	Request ident.RequestID
	Failed  bool
}

// Stalled says that a server made no progress although it should have.
type Stalled struct{ Server ident.ServerID }

// Draining says that a server takes no new work, or takes it again.
type Draining struct {
	Server ident.ServerID
	On     bool
}

// Link says whether the entry has a link to the server's sidecar.
type Link struct {
	Server ident.ServerID
	Up     bool
}

// CacheEvent is a hint that a server holds a prefix in its cache, or dropped it.
type CacheEvent struct {
	Server ident.ServerID
	Prefix uint64
	Held   bool
}

func (Membership) routing() {}
func (Report) routing()     {}
func (Started) routing()    {}
func (FirstToken) routing() {}
func (Ended) routing()      {}
func (Stalled) routing()    {}
func (Draining) routing()   {}
func (Link) routing()       {}
func (CacheEvent) routing() {}
