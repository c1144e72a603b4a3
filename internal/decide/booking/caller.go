package booking

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// callerResendInterval is the time after which an entry resends an unanswered
// message to a home.
const callerResendInterval = 300 * time.Millisecond

// CallerInput is a message to Caller.
type CallerInput interface{ isCallerInput() }

// BeginCall starts a booking call.
type BeginCall struct {
	Request  ident.RequestID
	Key      message.KeyID
	Deadline time.Time
	Method   string
	Path     string
	Header   [][2]string
	Body     []byte
}

// ReplicasChanged reports the replicas of a service in the record in force.
type ReplicasChanged struct {
	Service  ident.ServiceName
	Record   message.Digest
	Replicas []Replica
}

// ReceivedFromHome is a message from the sidecar at the address.
type ReceivedFromHome struct {
	Address string
	Message message.Message
}

// AbandonCall drops a call whose client has disconnected. The key is not affected.
type AbandonCall struct{ Request ident.RequestID }

func (BeginCall) isCallerInput()        {}
func (ReplicasChanged) isCallerInput()  {}
func (ReceivedFromHome) isCallerInput() {}
func (AbandonCall) isCallerInput()      {}
func (Tick) isCallerInput()             {}

// CallerAction is something that the owner of a Caller must carry out.
type CallerAction interface{ isCallerAction() }

// SendToHome sends a message to a home. If there is no link to it, the message is
// dropped.
type SendToHome struct {
	To      Replica
	Message message.Message
}

// AnswerCall ends a call with its final result.
type AnswerCall struct{ Result message.BookResult }

func (SendToHome) isCallerAction() {}
func (AnswerCall) isCallerAction() {}

// Caller handles the booking calls of one entry. It is not safe for concurrent
// use.
//
// Only a home can prove that a key was not run, because an earlier call with the
// key may have gone through another entry. If no home answers, the entry therefore
// answers unknown, even if it sent no commit itself.
type Caller struct {
	machine *chart.Machine[*call]
	homes   map[ident.ServiceName]ReplicasChanged
	calls   map[ident.RequestID]*call
	// order holds the calls in the order of their start, so that simulations with
	// the same seed are identical.
	order []*call
	now   time.Time
	// actions are collected by the current step.
	actions []CallerAction
}

// call is one booking call.
type call struct {
	owner     *Caller
	lifecycle *chart.Lifecycle[*call]
	begin     BeginCall
	// home and reserved are set once the home has reserved the key.
	home     Replica
	reserved *message.Reserved
	// reason is the latest reason for which a home refused the call, reported if
	// the call expires without a commit.
	reason outcome.Reason
}

// NewCaller returns a Caller without calls.
func NewCaller() *Caller {
	c := &Caller{homes: make(map[ident.ServiceName]ReplicasChanged), calls: make(map[ident.RequestID]*call)}
	c.machine = chart.MustBind(charts.Must("caller"), chart.Binding[*call]{
		Actions: map[string]func(*call){"book": (*call).book, "commit": (*call).commit},
		Delays:  map[string]func(*call) time.Duration{"resendInterval": func(*call) time.Duration { return callerResendInterval }},
	})
	return c
}

// Step handles one input and returns the actions to carry out.
func (c *Caller) Step(now time.Time, in CallerInput) []CallerAction {
	c.now, c.actions = now, nil
	switch in := in.(type) {
	case BeginCall:
		c.start(in)
	case ReplicasChanged:
		if known, ok := c.homes[in.Service]; !ok || known.Record.Less(in.Record) {
			c.homes[in.Service] = in
		}
	case ReceivedFromHome:
		c.receive(in)
	case AbandonCall:
		c.drop(in.Request)
	case Tick:
		c.tick()
	}
	return c.actions
}

// OpenCalls returns the number of calls in progress.
func (c *Caller) OpenCalls() int { return len(c.calls) }

func (c *Caller) start(in BeginCall) {
	in.Key.Key = CanonicalKey(in.Key.Key)
	k := &call{owner: c, begin: in, reason: outcome.ReasonLinkLost}
	c.calls[in.Request] = k
	c.order = append(c.order, k)
	k.lifecycle = c.machine.New(c.now, k)
}

func (c *Caller) receive(in ReceivedFromHome) {
	switch m := in.Message.(type) {
	case *message.Reserved:
		if k := c.calls[m.Request]; k != nil && k.lifecycle.In("reserving") {
			k.home, k.reserved = Replica{Address: in.Address}, m
			k.lifecycle.Fire(c.now, "reserved")
		}
	case *message.BookResult:
		if k := c.calls[m.Request]; k != nil {
			c.result(k, m)
		}
	}
}

// result handles an answer from a home. A completed answer is valid at any time.
// Any other may be a late answer to an earlier message, and is ignored unless it
// matches the message that the call is waiting on.
func (c *Caller) result(k *call, m *message.BookResult) {
	reserving := k.lifecycle.In("reserving")
	switch {
	case m.Kind == outcome.Completed:
		c.answer(k, *m)
	case reserving && m.Nonce != 0, !reserving && m.Nonce != k.reserved.Nonce:
		return
	case !reserving && m.Reason == outcome.ReasonReservationExpired:
		k.lifecycle.Fire(c.now, "reservationExpired")
	case reserving && retryable(m.Reason):
		k.reason = m.Reason
	default:
		c.answer(k, *m)
	}
}

// retryable reports whether the call may succeed later or at another home.
func retryable(r outcome.Reason) bool {
	return r == outcome.ReasonNotHome || r == outcome.ReasonKeySealed
}

func (c *Caller) answer(k *call, m message.BookResult) {
	if _, taken := k.lifecycle.Fire(c.now, "answer"); taken {
		c.finish(k, m)
	}
}

func (c *Caller) finish(k *call, m message.BookResult) {
	c.actions = append(c.actions, AnswerCall{Result: m})
	c.drop(k.begin.Request)
}

func (c *Caller) drop(request ident.RequestID) {
	delete(c.calls, request)
	c.order = slices.DeleteFunc(c.order, func(k *call) bool { return k.begin.Request == request })
}

// tick ends the calls whose deadline has passed and fires the timers of the others.
func (c *Caller) tick() {
	for _, k := range slices.Clone(c.order) {
		if c.now.Before(k.begin.Deadline) {
			k.lifecycle.Tick(c.now)
			continue
		}
		reason := k.reason
		if k.lifecycle.In("committed") {
			reason = outcome.ReasonDeadline
		}
		if _, taken := k.lifecycle.Fire(c.now, "expire"); taken {
			c.finish(k, message.BookResult{Request: k.begin.Request, Kind: outcome.Unknown, Reason: reason, RetryAfterMS: time.Second.Milliseconds()})
		}
	}
}

func (k *call) book() {
	c := k.owner
	homes := c.homes[k.begin.Key.Service]
	home, ok := HomeOf(k.begin.Key, homes.Replicas)
	if !ok {
		return
	}
	c.actions = append(c.actions, SendToHome{To: home, Message: &message.Book{
		Request: k.begin.Request, Key: k.begin.Key,
		Fingerprint: Fingerprint(k.begin.Method, k.begin.Path, k.begin.Body),
		RemainingMS: k.remainingMS(), Record: homes.Record,
	}})
}

func (k *call) commit() {
	k.owner.actions = append(k.owner.actions, SendToHome{To: k.home, Message: &message.BookCommit{
		Request: k.begin.Request, Incarnation: k.reserved.Incarnation, Nonce: k.reserved.Nonce,
		RemainingMS: k.remainingMS(), Method: k.begin.Method, Path: k.begin.Path, Header: k.begin.Header, Body: k.begin.Body,
		Service: k.begin.Key.Service,
	}})
}

// remainingMS returns the time until the call's deadline in milliseconds, at least 1.
func (k *call) remainingMS() int64 {
	return max(1, k.begin.Deadline.Sub(k.owner.now).Milliseconds())
}

// HasCall reports whether the call is in progress.
func (c *Caller) HasCall(request ident.RequestID) bool { return c.calls[request] != nil }
