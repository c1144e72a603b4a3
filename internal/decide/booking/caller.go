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

// askAgain is when an entry repeats a message that was not answered.
const askAgain = 300 * time.Millisecond

// CallerInput is a message to Caller.
type CallerInput interface{ caller() }

// Begin starts a booking call.
type Begin struct {
	Request  ident.RequestID
	Key      message.KeyID
	Deadline time.Time
	Method   string
	Path     string
	Header   [][2]string
	Body     []byte
}

// Homes says which replicas a service has in the record in force.
type Homes struct {
	Service  ident.ServiceName
	Record   message.Digest
	Replicas []Replica
}

// FromHome is a message from the sidecar at the address.
type FromHome struct {
	Address string
	Message message.Message
}

// Abandon ends a call whose caller has gone. The key is not affected.
type Abandon struct{ Request ident.RequestID }

func (Begin) caller()    {}
func (Homes) caller()    {}
func (FromHome) caller() {}
func (Abandon) caller()  {}
func (Tick) caller()     {}

// CallerAction is what the owner of a Caller carries out.
type CallerAction interface{ callerAction() }

// SendHome sends a message to a home. Without a link it is dropped.
type SendHome struct {
	To      Replica
	Message message.Message
}

// Answer ends a call. The result is final.
type Answer struct{ Result message.BookResult }

func (SendHome) callerAction() {}
func (Answer) callerAction()   {}

// Caller decides about the booking calls of one entry. One task owns it.
//
// Only a home can prove that a key was not run, because an earlier call with
// the key may have gone through another entry. An entry that hears from no home
// therefore answers unknown, also if it sent no commit itself.
type Caller struct {
	machine *chart.Machine[*call]
	homes   map[ident.ServiceName]Homes
	calls   map[ident.RequestID]*call
	// order lists the calls by their begin, so that runs with the same seed are
	// the same.
	order []*call
	now   time.Time
	out   []CallerAction
}

// call is one booking call.
type call struct {
	owner *Caller
	life  *chart.Instance[*call]
	begin Begin
	// home and reserved are set while a commit is under way.
	home     Replica
	reserved *message.Reserved
	// reason is the last reason that a home gave for not answering.
	reason outcome.Reason
}

// NewCaller returns the booking part of an entry.
func NewCaller() *Caller {
	c := &Caller{homes: make(map[ident.ServiceName]Homes), calls: make(map[ident.RequestID]*call)}
	c.machine = chart.MustBind(charts.Must("caller"), chart.Binding[*call]{
		Actions: map[string]func(*call){"book": (*call).book, "commit": (*call).commit},
		Delays:  map[string]func(*call) time.Duration{"again": func(*call) time.Duration { return askAgain }},
	})
	return c
}

// Step takes in one message and returns what is to be done.
func (c *Caller) Step(now time.Time, in CallerInput) []CallerAction {
	c.now, c.out = now, nil
	switch in := in.(type) {
	case Begin:
		c.start(in)
	case Homes:
		if known, ok := c.homes[in.Service]; !ok || known.Record.Less(in.Record) {
			c.homes[in.Service] = in
		}
	case FromHome:
		c.receive(in)
	case Abandon:
		c.drop(in.Request)
	case Tick:
		c.tick()
	}
	return c.out
}

// Open returns the number of calls under way.
func (c *Caller) Open() int { return len(c.calls) }

func (c *Caller) start(in Begin) {
	in.Key.Key = CanonicalKey(in.Key.Key)
	k := &call{owner: c, begin: in, reason: outcome.ReasonLinkLost}
	c.calls[in.Request] = k
	c.order = append(c.order, k)
	k.life = c.machine.New(c.now, k)
}

func (c *Caller) receive(in FromHome) {
	switch m := in.Message.(type) {
	case *message.Reserved:
		if k := c.calls[m.Request]; k != nil && k.life.In("asking") {
			k.home, k.reserved = Replica{Address: in.Address}, m
			k.life.Fire(c.now, "reserved")
		}
	case *message.BookResult:
		if k := c.calls[m.Request]; k != nil {
			c.result(k, m)
		}
	}
}

// result takes an answer that belongs to what the call is waiting for. A
// completed answer is true at any time; any other one may be a late answer to an
// earlier message.
func (c *Caller) result(k *call, m *message.BookResult) {
	asking := k.life.In("asking")
	switch {
	case m.Kind == outcome.Completed:
		c.answer(k, *m)
	case asking && m.Nonce != 0, !asking && m.Nonce != k.reserved.Nonce:
		return
	case !asking && m.Reason == outcome.ReasonReserveExpired:
		k.life.Fire(c.now, "again")
	case asking && elsewhere(m.Reason):
		k.reason = m.Reason
	default:
		c.answer(k, *m)
	}
}

// elsewhere reports whether the call may succeed at another home or later.
func elsewhere(r outcome.Reason) bool {
	return r == outcome.ReasonNotHome || r == outcome.ReasonKeySealed
}

func (c *Caller) answer(k *call, m message.BookResult) {
	if _, taken := k.life.Fire(c.now, "answer"); taken {
		c.finish(k, m)
	}
}

func (c *Caller) finish(k *call, m message.BookResult) {
	c.out = append(c.out, Answer{Result: m})
	c.drop(k.begin.Request)
}

func (c *Caller) drop(request ident.RequestID) {
	delete(c.calls, request)
	c.order = slices.DeleteFunc(c.order, func(k *call) bool { return k.begin.Request == request })
}

func (c *Caller) tick() {
	for _, k := range slices.Clone(c.order) {
		if c.now.Before(k.begin.Deadline) {
			k.life.Tick(c.now)
			continue
		}
		reason := k.reason
		if k.life.In("committed") {
			reason = outcome.ReasonDeadline
		}
		if _, taken := k.life.Fire(c.now, "expire"); taken {
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
	c.out = append(c.out, SendHome{To: home, Message: &message.Book{
		Request: k.begin.Request, Key: k.begin.Key,
		Fingerprint: Fingerprint(k.begin.Method, k.begin.Path, k.begin.Body),
		RemainingMS: k.remaining(), Record: homes.Record,
	}})
}

func (k *call) commit() {
	k.owner.out = append(k.owner.out, SendHome{To: k.home, Message: &message.BookCommit{
		Request: k.begin.Request, Incarnation: k.reserved.Incarnation, Nonce: k.reserved.Nonce,
		RemainingMS: k.remaining(), Method: k.begin.Method, Path: k.begin.Path, Header: k.begin.Header, Body: k.begin.Body,
		Service: k.begin.Key.Service,
	}})
}

func (k *call) remaining() int64 {
	return max(1, k.begin.Deadline.Sub(k.owner.now).Milliseconds())
}

// Has reports whether a call is under way.
func (c *Caller) Has(request ident.RequestID) bool { return c.calls[request] != nil }
