// Package orders decides which orders a sidecar sends to the engine beside it.
// The desired state comes from the record and the observed state from the
// engine. Every order follows a read-back by at most the lease time and carries
// a fencing token that grows with every publish.
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

// Config holds the constants of one process.
type Config struct {
	// Lease is how long after a read-back was sent an order may be written.
	Lease time.Duration
	// SettleTime is how long a new process waits before its first read-back. It
	// exceeds the lease, so that orders of an earlier process have arrived.
	SettleTime time.Duration
	// CheckTime is the time between read-backs of an engine in the desired state.
	CheckTime time.Duration
	// ReadTimeout and OrderTimeout bound the calls to the engine.
	ReadTimeout, OrderTimeout time.Duration
	// CutOffTime is the pause before a process that is cut off looks again.
	CutOffTime time.Duration
	// BackOffMin and BackOffMax bound the pause after failed orders.
	BackOffMin, BackOffMax time.Duration
}

// Defaults returns the constants of the design page.
func Defaults() Config {
	return Config{
		Lease: 3 * time.Second, SettleTime: 5 * time.Second, CheckTime: 10 * time.Second,
		ReadTimeout: 2 * time.Second, OrderTimeout: 10 * time.Minute, CutOffTime: time.Second,
		BackOffMin: 500 * time.Millisecond, BackOffMax: 30 * time.Second,
	}
}

// Orders decides for one engine. One task owns it.
type Orders struct {
	config    Config
	random    *rand.Rand
	now       time.Time
	life      *chart.Instance[*Orders]
	desired   Desired
	known     bool
	due       time.Time
	observed  Observed
	connected bool
	number    uint32
	last      ident.FencingToken
	failures  int
	actions   []Action
}

// New returns a process that knows neither the record nor the engine's state.
func New(now time.Time, seed int64, config Config) *Orders {
	o := &Orders{config: config, random: rand.New(rand.NewSource(seed)), now: now}
	o.life = chart.MustBind(charts.Must("orders"), binding()).New(now, o)
	return o
}

func binding() chart.Binding[*Orders] {
	return chart.Binding[*Orders]{
		Guards: map[string]func(*Orders) bool{
			"matches":  (*Orders).matches,
			"mayOrder": (*Orders).mayOrder,
			"laterToken": func(o *Orders) bool {
				return o.observed.Highest.Revision() > o.desired.Revision
			},
		},
		Actions: map[string]func(*Orders){
			"readBack":      func(o *Orders) { o.act(ReadBack{}) },
			"report":        (*Orders).report,
			"sendOrder":     (*Orders).sendOrder,
			"clearFailures": func(o *Orders) { o.failures = 0 },
			"countFailure":  func(o *Orders) { o.failures++ },
		},
		Delays: map[string]func(*Orders) time.Duration{
			"settleTime":   func(o *Orders) time.Duration { return o.config.SettleTime },
			"readTimeout":  func(o *Orders) time.Duration { return o.config.ReadTimeout },
			"orderTimeout": func(o *Orders) time.Duration { return o.config.OrderTimeout },
			"checkTime":    func(o *Orders) time.Duration { return o.config.CheckTime },
			"untilPlace":   (*Orders).untilPlace,
			"backOff":      (*Orders).backOff,
			"cutOffTime":   func(o *Orders) time.Duration { return o.config.CutOffTime },
		},
	}
}

// State returns the chart state.
func (o *Orders) State() string { return o.life.State() }

// Settled reports whether the engine is in the state that the record asks for.
func (o *Orders) Settled() bool { return o.life.In("asDesired") }

// Deadline returns the time of the running timer.
func (o *Orders) Deadline() (time.Time, bool) { return o.life.Deadline() }

// Step takes one message in and returns what to do.
func (o *Orders) Step(now time.Time, in Message) []Action {
	o.now = now
	o.actions = nil
	switch in := in.(type) {
	case Desired:
		o.desire(in)
	case Observed:
		o.observed = in
		o.life.Fire(now, "observed")
	case Unreadable:
		o.life.Fire(now, "unreadable")
	case Ended:
		o.ended(in)
	case Connected:
		o.connected = in.Yes
	case Tick:
		o.life.Tick(now)
	}
	return o.actions
}

func (o *Orders) act(a Action) { o.actions = append(o.actions, a) }

// desire takes in a record. Most records change nothing here; those keep the
// place in the schedule of loads.
func (o *Orders) desire(in Desired) {
	if in.Revision < o.desired.Revision {
		return
	}
	changed := !o.known || !equal(in.State, o.desired.State)
	if changed {
		o.due = o.now.Add(time.Duration(in.Place) * in.Interval)
		o.failures = 0
	}
	o.desired, o.known = in, true
	if changed {
		o.life.Fire(o.now, "desired")
	}
}

func equal(a, b State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// matches reports whether the engine needs no order. An engine may hold more
// adapters than the record asks for.
func (o *Orders) matches() bool {
	if !o.known {
		return false
	}
	_, needed := o.next()
	return !needed
}

// mayOrder holds back the orders of a process that is cut off, since its record
// may be old, and loads whose place in the schedule has not come.
func (o *Orders) mayOrder() bool {
	if !o.known || !o.connected || o.observed.Loading || o.leaseEnd().Before(o.now) {
		return false
	}
	order, _ := o.next()
	return order.Kind == SetRole || !o.now.Before(o.due)
}

// next returns the first order on the way to the desired state.
func (o *Orders) next() (Order, bool) {
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

func (o *Orders) sendOrder() {
	order, needed := o.next()
	invariant.Check(needed, "an order follows a difference", "desired %+v, observed %+v", o.desired.State, o.observed.State)
	order.Token = o.nextToken()
	order.Revision = o.desired.Revision
	order.Until = o.leaseEnd()
	invariant.Check(order.Token > o.last, "fencing tokens grow", "%d after %d", order.Token, o.last)
	o.last = order.Token
	o.act(order)
}

// nextToken exceeds every token that this process sent and that the engine has
// seen. The engine has seen none of a later revision, since the chart orders
// nothing then.
func (o *Orders) nextToken() ident.FencingToken {
	o.number++
	token := ident.NewFencingToken(o.desired.Revision, o.number)
	return max(token, o.observed.Highest+1, o.last+1)
}

func (o *Orders) leaseEnd() time.Time { return o.observed.Asked.Add(o.config.Lease) }

func (o *Orders) ended(in Ended) {
	if in.Token != o.last {
		return
	}
	switch in.Result {
	case Done:
		o.life.Fire(o.now, "done")
	case Refused, NotSent:
		o.life.Fire(o.now, "refused")
	case Failed:
		o.life.Fire(o.now, "failed")
	}
}

func (o *Orders) report() { o.act(Reached{Revision: o.desired.Revision}) }

func (o *Orders) untilPlace() time.Duration {
	if o.known && o.connected && o.due.After(o.now) {
		return o.due.Sub(o.now)
	}
	return o.config.CutOffTime
}

// backOff doubles with every failure and is drawn from the upper half of the
// interval, so that engines refused by the weight store do not return together.
func (o *Orders) backOff() time.Duration {
	pause := o.config.BackOffMin
	for range o.failures {
		pause = min(2*pause, o.config.BackOffMax)
	}
	return pause/2 + time.Duration(o.random.Int63n(int64(pause/2)+1))
}
