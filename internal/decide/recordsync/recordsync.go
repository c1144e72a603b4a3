// Package recordsync decides how a configuration record reaches every process. A
// process only replaces its record by one with a greater (revision, hash). A few
// entries of each failure domain watch the configuration service and push new
// records to the others over links; digests in heartbeats reveal lost pushes. A new
// process asks its peers before it is ready.
package recordsync

import (
	"math/rand"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/decide/rendezvous"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// maxRemembered is the number of digests that a process remembers of records that
// were in force, which can be the base of a patch, and of records that it refused.
const maxRemembered = 8

// watchKey is the rendezvous hashing key that chooses the watchers among the entries.
const watchKey = "watch anvilpoint.record"

// Config holds the identity of one process, its limits and its timing.
type Config struct {
	Self ident.InstanceID
	// MayWatch reports whether the process may watch the configuration service.
	// Sidecars get records from the entries linked to them; a sidecar without a
	// record and without a link reads the service until it has a record.
	MayWatch bool
	// WatchersPerDomain is the number of entries per failure domain that watch.
	WatchersPerDomain int
	// ReadWait is how long the configuration service holds a read open.
	ReadWait time.Duration
	// AskTimeout is how long a new process waits for its peers' records.
	AskTimeout time.Duration
	// MaxPushDelay bounds the random delay before a push to a sidecar.
	MaxPushDelay time.Duration
	// PushTimeout is how long a push waits for the peer's digest before it is resent.
	PushTimeout time.Duration
	// MaxPushes is the number of pushes of one record to a peer. After them, only a
	// heartbeat that shows the peer to be behind starts another push.
	MaxPushes int
	// PullTimeout is how long a pull waits for the record.
	PullTimeout time.Duration
	// MaxStartDelay bounds the random delay before the first read.
	MaxStartDelay time.Duration
	// MinBackOff bounds the delay after the first failed read.
	MinBackOff time.Duration
	// MaxBackOff bounds the delay after repeated failed reads.
	MaxBackOff time.Duration
}

// DefaultConfig returns the default configuration of a process.
func DefaultConfig(self ident.InstanceID, mayWatch bool) Config {
	return Config{
		Self: self, MayWatch: mayWatch, WatchersPerDomain: 2, ReadWait: time.Second, AskTimeout: time.Second,
		MaxPushDelay: 200 * time.Millisecond, PushTimeout: 300 * time.Millisecond, MaxPushes: 4, PullTimeout: 500 * time.Millisecond,
		MaxStartDelay: 200 * time.Millisecond, MinBackOff: 500 * time.Millisecond, MaxBackOff: 5 * time.Second,
	}
}

// Synchronizer holds the state of record synchronization at one process. One task owns it.
type Synchronizer struct {
	config  Config
	random  *rand.Rand
	now     time.Time
	inForce message.Digest
	// bases holds the last records that were in force, which can be the base of a patch.
	bases           []message.Digest
	refused         []message.Digest
	peers           map[ident.InstanceID]*peer
	lifecycle       *chart.Lifecycle[*Synchronizer]
	watchLifecycle  *chart.Lifecycle[*Synchronizer]
	pullLifecycle   *chart.Lifecycle[*Synchronizer]
	deliveryMachine *chart.Machine[*peer]
	lineage         lineage
	reader          reader
	// instances is the number of instances of the installation.
	instances int
	// source is the peer of the current or the last pull.
	source ident.InstanceID
	// lastRefusal is shown by /readyz.
	lastRefusal Refuse
	actions     []Action
}

// New returns the Synchronizer of a process that has no record yet.
func New(now time.Time, seed int64, config Config) *Synchronizer {
	s := &Synchronizer{
		config: config, random: rand.New(rand.NewSource(seed)), now: now,
		peers:           make(map[ident.InstanceID]*peer),
		deliveryMachine: chart.MustBind(charts.Must("delivery"), deliveryBinding()),
		lineage:         make(lineage),
	}
	s.lifecycle = chart.MustBind(charts.Must("record"), recordBinding()).New(now, s)
	s.watchLifecycle = chart.MustBind(charts.Must("watch"), watchBinding()).New(now, s)
	s.pullLifecycle = chart.MustBind(charts.Must("pull"), pullBinding()).New(now, s)
	return s
}

func recordBinding() chart.Binding[*Synchronizer] {
	return chart.Binding[*Synchronizer]{
		Guards:  map[string]func(*Synchronizer) bool{"hasRecord": func(s *Synchronizer) bool { return s.inForce != message.Digest{} }},
		Actions: map[string]func(*Synchronizer){"announceReady": func(s *Synchronizer) { s.emit(Ready{}) }},
		Delays:  map[string]func(*Synchronizer) time.Duration{"askTimeout": func(s *Synchronizer) time.Duration { return s.config.AskTimeout }},
	}
}

// InForce returns the digest of the record in force, or zero if there is none.
func (s *Synchronizer) InForce() message.Digest { return s.inForce }

// Ready reports whether the process may serve.
func (s *Synchronizer) Ready() bool { return s.lifecycle.In("ready") }

// State returns the state of the chart "record".
func (s *Synchronizer) State() string { return s.lifecycle.State() }

// Watching reports whether this process watches the configuration service.
func (s *Synchronizer) Watching() bool { return s.watchLifecycle.In("watching") }

// LastRefusal returns the latest refused candidate. Its reason is empty if
// there was none.
func (s *Synchronizer) LastRefusal() Refuse { return s.lastRefusal }

// Lineage returns the known replica sets of all services, oldest first per service.
func (s *Synchronizer) Lineage() []message.Lineage { return s.lineage.list() }

// Step handles one message and returns the actions to carry out.
func (s *Synchronizer) Step(now time.Time, in Message) []Action {
	s.now = now
	s.actions = nil
	switch in := in.(type) {
	case LinkUp:
		s.linkUp(in)
	case LinkDown:
		delete(s.peers, in.Peer)
	case PeerDigest:
		s.peerRecord(in.Peer, in.Record)
	case PeerPull:
		s.answerPull(in)
	case Candidate:
		s.candidate(in)
	case InvalidPush:
		s.badPush(in.Peer)
	case ReadDone:
		s.readDone(in)
	case AliveEntries:
		s.chooseWatch(in.Entries)
	case InstanceCount:
		s.instances = in.Instances
	case Tick:
		s.tick()
	}
	return s.actions
}

func (s *Synchronizer) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Synchronizer) tick() {
	s.lifecycle.Tick(s.now)
	s.chooseUnlinkedRead()
	s.watchLifecycle.Tick(s.now)
	s.pullLifecycle.Tick(s.now)
	for _, id := range s.sortedPeers() {
		s.peers[id].lifecycle.Tick(s.now)
	}
}

// Deadline returns the time of the earliest running timer.
func (s *Synchronizer) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	take := func(at time.Time, ok bool) {
		if ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	take(s.lifecycle.Deadline())
	take(s.watchLifecycle.Deadline())
	take(s.pullLifecycle.Deadline())
	for _, p := range s.peers {
		take(p.lifecycle.Deadline())
	}
	return first, found
}

// candidate adopts, refuses or ignores a record.
func (s *Synchronizer) candidate(in Candidate) {
	if in.From != "" && s.peers[in.From] != nil {
		s.peers[in.From].noteRecord(in.Record)
	}
	switch {
	case in.Refusal != "":
		s.refuse(in)
	case in.Record.Revision == 0:
		in.Refusal = "the record has no revision; its publisher must set one"
		s.refuse(in)
	case s.Wants(in.Record):
		s.adopt(in)
	default:
		s.lineage.merge(in.Lineage)
		s.emit(Ignore{Record: in.Record})
		if in.From != "" {
			s.emit(SendDigest{To: in.From})
		}
	}
}

func (s *Synchronizer) refuse(in Candidate) {
	if !slices.Contains(s.refused, in.Record) {
		s.refused = appendBounded(s.refused, in.Record)
	}
	s.lastRefusal = Refuse{Record: in.Record, Reason: in.Refusal}
	s.emit(s.lastRefusal)
	s.finishPull()
}

func (s *Synchronizer) adopt(in Candidate) {
	invariant.Check(s.inForce.Less(in.Record), "record never reverts", "%v in force, %v adopted", s.inForce, in.Record)
	s.inForce = in.Record
	s.bases = appendBounded(s.bases, in.Record)
	s.lineage.merge(in.Lineage)
	s.lineage.merge(in.Services)
	s.emit(Adopt{Record: in.Record, From: in.From})
	s.lifecycle.Fire(s.now, "adopted")
	s.checkAnswers()
	s.finishPull()
	for _, id := range s.sortedPeers() {
		p := s.peers[id]
		p.pushes = 0
		if id == in.From {
			s.emit(SendDigest{To: id})
		}
		p.lifecycle.Fire(s.now, "changed")
		p.lifecycle.Tick(s.now)
	}
}

func appendBounded(list []message.Digest, d message.Digest) []message.Digest {
	list = append(list, d)
	return list[max(0, len(list)-maxRemembered):]
}

// chooseUnlinkedRead starts the reads of a sidecar that has neither a record nor a
// link, and ends them once it has one of them.
func (s *Synchronizer) chooseUnlinkedRead() {
	if s.config.MayWatch {
		return
	}
	event := "deselected"
	if len(s.peers) == 0 && s.lifecycle.In("empty") {
		event = "selected"
	}
	s.watchLifecycle.Fire(s.now, event)
}

// chooseWatch starts the watch if rendezvous hashing chooses this process among the
// live entries of its failure domain, and ends it otherwise.
func (s *Synchronizer) chooseWatch(alive []ident.InstanceID) {
	if !s.config.MayWatch {
		return
	}
	event := "deselected"
	if slices.Contains(rendezvous.Top(watchKey, alive, s.config.WatchersPerDomain), s.config.Self) {
		event = "selected"
	}
	s.watchLifecycle.Fire(s.now, event)
}
