// Package orders reconciles the engine of a sidecar with the record: it decides which
// orders the sidecar sends to its engine. The desired state comes from the record and
// the observed state from reading back the engine's state. Every order is written within
// the lease after a read-back and carries a fencing token that grows with every publish
// of the record.
package orders

import (
	"math/rand"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

// Config holds the times of one reconciler.
type Config struct {
	// Lease is how long after sending a read-back an order may still be written.
	Lease time.Duration
	// SettleTime is how long a new process waits before its first read-back. It exceeds
	// Lease, so that the orders of an earlier process have arrived.
	SettleTime time.Duration
	// CheckInterval is the time between two read-backs of an engine in the desired state.
	CheckInterval time.Duration
	// ReadTimeout bounds a read-back, and OrderTimeout an order.
	ReadTimeout, OrderTimeout time.Duration
	// ResendTimeout is how long an accepted order may take to show its effect
	// before it is resent.
	ResendTimeout time.Duration
	// RecheckInterval is the time between two read-backs of a sidecar that may not
	// send orders, because it has no connection to an entry or its record is out of date.
	RecheckInterval time.Duration
	// MinBackOff and MaxBackOff bound the pause after failed orders.
	MinBackOff, MaxBackOff time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Lease: 3 * time.Second, SettleTime: 5 * time.Second, CheckInterval: 10 * time.Second,
		ReadTimeout: 2 * time.Second, OrderTimeout: 10 * time.Minute, RecheckInterval: time.Second, ResendTimeout: 30 * time.Second,
		MinBackOff: 500 * time.Millisecond, MaxBackOff: 30 * time.Second,
	}
}

// Reconciler reconciles one engine. One task owns it.
type Reconciler struct {
	config    Config
	random    *rand.Rand
	now       time.Time
	lifecycle *chart.Lifecycle[*Reconciler]
	desired   Desired
	// desiredKnown is true once a record has arrived.
	desiredKnown bool
	// loadTurn is when this engine's place in the schedule of loads comes.
	loadTurn  time.Time
	observed  Observed
	connected bool
	// tokens counts the fencing tokens made, and lastToken is the last one sent.
	tokens    uint32
	lastToken ident.FencingToken
	// sent is the latest order, sentAt is when it was sent, and accepted is true once the
	// engine has accepted it. An engine carries out orders in the background, so the
	// effect of an accepted order shows later.
	sent     Order
	sentAt   time.Time
	accepted bool
	failures int
	actions  []Action
}

// New returns a reconciler without a record and without an observed state.
func New(now time.Time, seed int64, config Config) *Reconciler {
	o := &Reconciler{config: config, random: rand.New(rand.NewSource(seed)), now: now}
	o.lifecycle = chart.MustBind(charts.Must("orders"), binding()).New(now, o)
	return o
}

func binding() chart.Binding[*Reconciler] {
	return chart.Binding[*Reconciler]{
		Guards: map[string]func(*Reconciler) bool{
			"matches":  (*Reconciler).matches,
			"mayOrder": (*Reconciler).mayOrder,
			"laterRevisionSeen": func(o *Reconciler) bool {
				return o.observed.HighestToken.Revision() > o.desired.Revision
			},
		},
		Actions: map[string]func(*Reconciler){
			"readBack":      func(o *Reconciler) { o.act(ReadBack{}) },
			"reportReached": (*Reconciler).reportReached,
			"sendOrder":     (*Reconciler).sendOrder,
			"clearFailures": func(o *Reconciler) { o.failures = 0 },
			"countFailure":  func(o *Reconciler) { o.failures++ },
		},
		Delays: map[string]func(*Reconciler) time.Duration{
			"settleTime":      func(o *Reconciler) time.Duration { return o.config.SettleTime },
			"readTimeout":     func(o *Reconciler) time.Duration { return o.config.ReadTimeout },
			"orderTimeout":    func(o *Reconciler) time.Duration { return o.config.OrderTimeout },
			"checkInterval":   func(o *Reconciler) time.Duration { return o.config.CheckInterval },
			"untilLoadTurn":   (*Reconciler).untilLoadTurn,
			"backOff":         (*Reconciler).backOff,
			"recheckInterval": func(o *Reconciler) time.Duration { return o.config.RecheckInterval },
		},
	}
}

// State returns the state of the reconciler in its chart.
func (o *Reconciler) State() string { return o.lifecycle.State() }

// AtDesired reports whether the engine is in the state that the record specifies.
func (o *Reconciler) AtDesired() bool { return o.lifecycle.In("asDesired") }

// Deadline returns the time by which Step must be called with a Tick.
func (o *Reconciler) Deadline() (time.Time, bool) { return o.lifecycle.Deadline() }

// Step takes one message and returns what to do, in order.
func (o *Reconciler) Step(now time.Time, in Message) []Action {
	o.now = now
	o.actions = nil
	switch in := in.(type) {
	case Desired:
		o.setDesired(in)
	case Observed:
		o.observed = in
		o.lifecycle.Fire(now, "observed")
	case ReadBackFailed:
		o.lifecycle.Fire(now, "readFailed")
	case OrderEnded:
		o.ended(in)
	case Connectivity:
		o.connected = in.Connected
	case Tick:
		o.lifecycle.Tick(now)
	}
	return o.actions
}

func (o *Reconciler) act(a Action) { o.actions = append(o.actions, a) }

// setDesired takes the desired state of a record. Most records leave it unchanged; then
// the engine keeps its place in the schedule of loads.
func (o *Reconciler) setDesired(in Desired) {
	if in.Revision < o.desired.Revision {
		return
	}
	changed := !o.desiredKnown || !equal(in.State, o.desired.State)
	if changed {
		o.loadTurn = o.now.Add(time.Duration(in.LoadsBefore) * in.LoadTime)
		o.failures = 0
	}
	o.desired, o.desiredKnown = in, true
	if changed {
		o.lifecycle.Fire(o.now, "desired")
	}
}

func equal(a, b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// matches reports whether the engine needs no order. An engine may hold more adapters
// than the record specifies.
func (o *Reconciler) matches() bool {
	if !o.desiredKnown {
		return false
	}
	_, needed := o.next()
	return !needed
}

// mayOrder reports whether the next order may be sent. A sidecar without a connection to
// an entry sends none, since its record may be old, and a load waits for its place in the
// schedule.
func (o *Reconciler) mayOrder() bool {
	if !o.desiredKnown || !o.connected || o.observed.Loading || o.leaseEnd().Before(o.now) {
		return false
	}
	order, _ := o.next()
	if o.inProgress(order) {
		return false
	}
	return order.Kind == SetRole || !o.now.Before(o.loadTurn)
}

// inProgress reports whether the engine accepted the same order so recently that its
// effect may not show yet.
func (o *Reconciler) inProgress(next Order) bool {
	last := o.sent
	last.Token, last.Revision, last.Deadline = 0, 0, time.Time{}
	return o.accepted && next == last && o.now.Sub(o.sentAt) < o.config.ResendTimeout
}

// next returns the first order that is needed to reach the desired state, if any.
func (o *Reconciler) next() (Order, bool) {
	want, have := o.desired.State, o.observed.State
	if want.Model != "" && (want.Model != have.Model || want.Version != have.Version) {
		return Order{Kind: LoadModel, Model: want.Model, Version: want.Version}, true
	}
	for _, adapter := range want.Adapters {
		if !slices.Contains(have.Adapters, adapter) {
			return Order{Kind: LoadAdapter, Model: want.Model, Adapter: adapter}, true
		}
	}
	if want.Role != have.Role {
		return Order{Kind: SetRole, Role: want.Role}, true
	}
	return Order{}, false
}

func (o *Reconciler) sendOrder() {
	order, needed := o.next()
	invariant.Check(needed, "an order is sent only if states differ", "desired %+v, observed %+v", o.desired.State, o.observed.State)
	order.Token = o.nextToken()
	order.Revision = o.desired.Revision
	order.Deadline = o.leaseEnd()
	invariant.Check(order.Token > o.lastToken, "fencing tokens grow", "token %d after %d", order.Token, o.lastToken)
	o.lastToken, o.sent, o.sentAt, o.accepted = order.Token, order, o.now, false
	o.act(order)
}

// nextToken returns a token greater than any that this process has sent or that the
// engine has seen. The engine has seen none of a later revision, since the chart sends no
// order in that case.
func (o *Reconciler) nextToken() ident.FencingToken {
	o.tokens++
	token := ident.NewFencingToken(o.desired.Revision, o.tokens)
	return max(token, o.observed.HighestToken+1, o.lastToken+1)
}

func (o *Reconciler) leaseEnd() time.Time { return o.observed.RequestedAt.Add(o.config.Lease) }

func (o *Reconciler) ended(in OrderEnded) {
	if in.Token != o.lastToken {
		return
	}
	switch in.Result {
	case Done:
		o.accepted = true
		o.lifecycle.Fire(o.now, "done")
	case Refused, NotSent:
		o.lifecycle.Fire(o.now, "refused")
	case Failed:
		o.lifecycle.Fire(o.now, "failed")
	}
}

func (o *Reconciler) reportReached() { o.act(Reached{Revision: o.desired.Revision}) }

// untilLoadTurn returns the time until this engine's place in the schedule of loads
// comes, or the recheck interval if something else holds the order back.
func (o *Reconciler) untilLoadTurn() time.Duration {
	if o.desiredKnown && o.connected && o.loadTurn.After(o.now) {
		return o.loadTurn.Sub(o.now)
	}
	return o.config.RecheckInterval
}

// backOff returns the pause after a failure. It doubles with every failure and is drawn
// at random from the upper half of the interval, so that engines that the weight store
// refused do not retry at the same time.
func (o *Reconciler) backOff() time.Duration {
	pause := o.config.MinBackOff
	for range o.failures {
		pause = min(2*pause, o.config.MaxBackOff)
	}
	return pause/2 + time.Duration(o.random.Int63n(int64(pause/2)+1))
}
