// Package spread decides how a configuration record reaches every process. A
// process only moves to a greater (revision, hash). A few entries of each
// failure domain watch the configuration service; the others learn by push over
// links, and the digests in heartbeats repair what was lost. A new process asks
// its peers before it is ready.
package spread

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

// memory bounds what a process remembers of records: those it held, which peers
// may name as the base of a patch, and those it refused.
const memory = 8

// watchKey is the key under which entries are ranked as watchers.
const watchKey = "watch anvilpoint.record"

// Config holds the constants of one process.
type Config struct {
	Self ident.InstanceID
	// Watches says that the process may watch the configuration service. Sidecars
	// learn from the entries linked to them; one without a record and without a
	// link reads the service until it has a record.
	Watches bool
	// Watchers is the number of entries of a failure domain that watch.
	Watchers int
	// Wait is how long the configuration service holds a read open.
	Wait time.Duration
	// AskTime is how long a new process waits for its peers.
	AskTime time.Duration
	// RetryTime is how long a push waits for the peer's digest.
	RetryTime time.Duration
	// Tries is the number of pushes before the heartbeats take over.
	Tries int
	// PullTimeout is how long a pull waits for the record.
	PullTimeout time.Duration
	// JitterTime bounds the random pause before the first read.
	JitterTime time.Duration
	// BackOffMin and BackOffMax bound the pause after failed reads.
	BackOffMin, BackOffMax time.Duration
}

// Defaults returns the constants of the design page for a process.
func Defaults(self ident.InstanceID, watches bool) Config {
	return Config{
		Self: self, Watches: watches, Watchers: 2, Wait: 25 * time.Second, AskTime: time.Second,
		RetryTime: 300 * time.Millisecond, Tries: 4, PullTimeout: 500 * time.Millisecond,
		JitterTime: 200 * time.Millisecond, BackOffMin: 500 * time.Millisecond, BackOffMax: 5 * time.Second,
	}
}

// Spread holds the records that one process knows. One task owns it.
type Spread struct {
	config  Config
	random  *rand.Rand
	now     time.Time
	inForce message.Digest
	held    []message.Digest
	refused []message.Digest
	peers   map[ident.InstanceID]*peer
	life    *chart.Instance[*Spread]
	watch   *chart.Instance[*Spread]
	pull    *chart.Instance[*Spread]
	deliver *chart.Machine[*peer]
	lineage lineage
	reader  reader
	// population is the number of instances of the installation.
	population int
	source     ident.InstanceID
	// lastRefusal is kept for /readyz.
	lastRefusal Refuse
	actions     []Action
}

// New returns a process without a record.
func New(now time.Time, seed int64, config Config) *Spread {
	s := &Spread{
		config: config, random: rand.New(rand.NewSource(seed)), now: now,
		peers:   make(map[ident.InstanceID]*peer),
		deliver: chart.MustBind(charts.Must("delivery"), deliveryBinding()),
		lineage: make(lineage),
	}
	s.life = chart.MustBind(charts.Must("record"), lifeBinding()).New(now, s)
	s.watch = chart.MustBind(charts.Must("watch"), watchBinding()).New(now, s)
	s.pull = chart.MustBind(charts.Must("pull"), pullBinding()).New(now, s)
	return s
}

func lifeBinding() chart.Binding[*Spread] {
	return chart.Binding[*Spread]{
		Guards:  map[string]func(*Spread) bool{"holdsRecord": func(s *Spread) bool { return s.inForce != message.Digest{} }},
		Actions: map[string]func(*Spread){"announceReady": func(s *Spread) { s.act(Ready{}) }},
		Delays:  map[string]func(*Spread) time.Duration{"askTime": func(s *Spread) time.Duration { return s.config.AskTime }},
	}
}

// InForce returns the digest of the record in force, or zero without one.
func (s *Spread) InForce() message.Digest { return s.inForce }

// Ready reports whether the process may serve.
func (s *Spread) Ready() bool { return s.life.In("ready") }

// State returns the chart state of the process's record.
func (s *Spread) State() string { return s.life.State() }

// Watching reports whether this process watches the configuration service.
func (s *Spread) Watching() bool { return s.watch.In("on") }

// LastRefusal returns the latest refused candidate. Its reason is empty if
// there was none.
func (s *Spread) LastRefusal() Refuse { return s.lastRefusal }

// Lineage returns the known sets of replicas of all services, oldest first.
func (s *Spread) Lineage() []message.Lineage { return s.lineage.list() }

// Step takes one message in and returns what to do.
func (s *Spread) Step(now time.Time, in Message) []Action {
	s.now = now
	s.actions = nil
	switch in := in.(type) {
	case LinkUp:
		s.linkUp(in)
	case LinkDown:
		delete(s.peers, in.Peer)
	case PeerRecord:
		s.peerRecord(in.Peer, in.Record)
	case PeerPull:
		s.answerPull(in)
	case Candidate:
		s.candidate(in)
	case BadPush:
		s.badPush(in.Peer)
	case ReadDone:
		s.readDone(in)
	case Alive:
		s.chooseWatch(in.Entries)
	case Population:
		s.population = in.Instances
	case Tick:
		s.tick()
	}
	return s.actions
}

func (s *Spread) act(a Action) { s.actions = append(s.actions, a) }

func (s *Spread) tick() {
	s.life.Tick(s.now)
	s.chooseOrphanRead()
	s.watch.Tick(s.now)
	s.pull.Tick(s.now)
	for _, id := range s.sortedPeers() {
		s.peers[id].delivery.Tick(s.now)
	}
}

// Deadline returns the time of the earliest running timer.
func (s *Spread) Deadline() (time.Time, bool) {
	var first time.Time
	found := false
	take := func(at time.Time, ok bool) {
		if ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	take(s.life.Deadline())
	take(s.watch.Deadline())
	take(s.pull.Deadline())
	for _, p := range s.peers {
		take(p.delivery.Deadline())
	}
	return first, found
}

func (s *Spread) candidate(in Candidate) {
	if in.From != "" && s.peers[in.From] != nil {
		s.peers[in.From].raise(in.Record)
	}
	switch {
	case in.Refusal != "":
		s.refuse(in)
	case in.Record.Revision == 0:
		in.Refusal = "the record has no revision; the publisher must stamp it"
		s.refuse(in)
	case s.Wants(in.Record):
		s.adopt(in)
	default:
		s.lineage.merge(in.Lineage)
		s.act(Ignore{Record: in.Record})
		if in.From != "" {
			s.act(SendDigest{To: in.From})
		}
	}
}

func (s *Spread) refuse(in Candidate) {
	if !slices.Contains(s.refused, in.Record) {
		s.refused = appendBounded(s.refused, in.Record)
	}
	s.lastRefusal = Refuse{Record: in.Record, Reason: in.Refusal}
	s.act(s.lastRefusal)
	s.afterPull()
}

func (s *Spread) adopt(in Candidate) {
	invariant.Check(s.inForce.Less(in.Record), "record never reverts", "%v in force, %v adopted", s.inForce, in.Record)
	s.inForce = in.Record
	s.held = appendBounded(s.held, in.Record)
	s.lineage.merge(in.Lineage)
	s.lineage.merge(in.Services)
	s.act(Adopt{Record: in.Record, From: in.From})
	s.life.Fire(s.now, "adopted")
	s.checkAnswers()
	s.afterPull()
	for _, id := range s.sortedPeers() {
		p := s.peers[id]
		p.tries = 0
		if id == in.From {
			s.act(SendDigest{To: id})
		}
		p.delivery.Fire(s.now, "changed")
	}
}

func appendBounded(list []message.Digest, d message.Digest) []message.Digest {
	list = append(list, d)
	return list[max(0, len(list)-memory):]
}

// chooseOrphanRead lets a sidecar read that has neither a record nor a link.
func (s *Spread) chooseOrphanRead() {
	if s.config.Watches {
		return
	}
	event := "dropped"
	if len(s.peers) == 0 && s.life.In("empty") {
		event = "chosen"
	}
	s.watch.Fire(s.now, event)
}

// chooseWatch starts or ends the watch by this process's rank among the entries
// of its failure domain.
func (s *Spread) chooseWatch(alive []ident.InstanceID) {
	if !s.config.Watches {
		return
	}
	event := "dropped"
	if slices.Contains(rendezvous.Top(watchKey, alive, s.config.Watchers), s.config.Self) {
		event = "chosen"
	}
	s.watch.Fire(s.now, event)
}
