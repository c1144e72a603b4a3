package request

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const (
	// maxRefusals bounds by default how many servers are asked for one request, so that an
	// overloaded fleet is not asked in full by every request.
	maxRefusals = 4
	// maxFruitless bounds the attempts in a row that broke off before any output,
	// in case the request itself breaks its server.
	maxFruitless = 5
	// maxFailures bounds all attempts that broke off. An answer that goes on with
	// each attempt is worth more of them than one that never begins.
	maxFailures = 32
	// attemptLimit bounds how long one attempt may wait at a sidecar. A sidecar
	// remembers a refused attempt until after its deadline, so an hour's deadline
	// of a batch class would make it remember an hour of refusals.
	attemptLimit = 2 * time.Minute
	// again is the pause before another look for a server.
	again = 25 * time.Millisecond
	// noLimit stands for the absence of a limit on the whole answer.
	noLimit = 24 * time.Hour
	// resumeLimit is how long a started answer waits for a server to go on.
	resumeLimit = 20 * time.Second
)

// Plan is what does not change about a request.
type Plan struct {
	// Deadline is the time until the first output, after which an answer is
	// worth nothing.
	Deadline time.Duration
	// Repeatable means that the work may run more than once.
	Repeatable bool
	// MaxRefusals bounds how many servers are asked; 0 is the default.
	MaxRefusals int
	// Limit is the time until the whole answer; 0 means that there is none.
	Limit time.Duration
	// MaxAttempts bounds the servers that the request is sent to; 0 leaves it to
	// the other bounds.
	MaxAttempts int
}

// attempt is one try.
type attempt struct {
	number ident.Attempt
	server ident.ServerID
	life   *chart.Instance[*attempt]
}

// Life is the life of one request. One goroutine owns it.
type Life struct {
	machines *Machines
	plan     Plan
	life     *chart.Instance[*Life]
	deadline time.Time
	attempts []*attempt
	excluded []ident.ServerID
	failures int
	// fruitless counts the failures since the last output.
	fruitless int
	refusals  int
	whole     bool
	// last is what will be said if the request ends now.
	last       outcome.Reason
	retryAfter time.Duration
	actions    []Action
}

// Machines holds the bound charts. It is shared by all requests.
type Machines struct {
	request *chart.Machine[*Life]
	attempt *chart.Machine[*attempt]
}

// NewMachines binds the charts. Observe, if not nil, is called after each
// transition of a request.
func NewMachines(observe func(*Life, chart.Transition)) (*Machines, error) {
	a, err := chart.Bind(charts.Must("attempt"), chart.Binding[*attempt]{})
	if err != nil {
		return nil, err
	}
	r, err := chart.Bind(charts.Must("request"), chart.Binding[*Life]{
		Guards: map[string]func(*Life) bool{
			"whole":       func(l *Life) bool { return l.whole },
			"proven":      (*Life).proven,
			"outstanding": func(l *Life) bool { return l.current() != nil },
		},
		Actions: map[string]func(*Life){"choose": (*Life).choose},
		Delays: map[string]func(*Life) time.Duration{
			"deadline":    func(l *Life) time.Duration { return l.plan.Deadline },
			"again":       func(*Life) time.Duration { return again },
			"resumeLimit": func(*Life) time.Duration { return resumeLimit },
			"limit":       func(l *Life) time.Duration { return l.plan.Limit },
		},
		Observe: observe,
	})
	return &Machines{request: r, attempt: a}, err
}

// New starts a request. The actions to take first are returned with it.
func (m *Machines) New(now time.Time, plan Plan) (*Life, []Action) {
	if plan.MaxRefusals == 0 {
		plan.MaxRefusals = maxRefusals
	}
	if plan.Limit == 0 {
		plan.Limit = noLimit
	}
	l := &Life{machines: m, plan: plan, deadline: now.Add(plan.Deadline), last: outcome.ReasonNoServer}
	l.life = m.request.New(now, l)
	l.choose()
	return l, l.take(now)
}

// Done reports whether the request has ended.
func (l *Life) Done() bool { return l.life.Done() }

// State returns the name of the request's state.
func (l *Life) State() string { return l.life.State() }

// Deadline returns the time at which Tick is due.
func (l *Life) Deadline() (time.Time, bool) { return l.life.Deadline() }

// Attempt returns the number of the latest attempt, or 0.
func (l *Life) Attempt() ident.Attempt { return ident.Attempt(len(l.attempts)) }

// Streaming reports whether output of the attempt has reached the caller.
func (l *Life) Streaming(number ident.Attempt) bool {
	return l.life.In("streaming") && l.Attempt() == number
}

// Answering reports whether output of any attempt has reached the caller.
func (l *Life) Answering() bool { return l.life.In("answering") }

// Server returns the server of the latest attempt, if there is one.
func (l *Life) Server() ident.ServerID {
	if len(l.attempts) == 0 {
		return ""
	}
	return l.attempts[len(l.attempts)-1].server
}

// proven reports whether every attempt is known not to have run.
func (l *Life) proven() bool {
	for _, a := range l.attempts {
		if !a.life.In("notRun") {
			return false
		}
	}
	return true
}

// Sent returns how many attempts were written to a server.
func (l *Life) Sent() int {
	sent := 0
	for _, a := range l.attempts {
		if !a.life.In("unwritten") {
			sent++
		}
	}
	return sent
}

// spent reports whether no further attempt is allowed.
func (l *Life) spent() bool { return l.plan.MaxAttempts > 0 && l.Sent() >= l.plan.MaxAttempts }

// current returns the outstanding attempt, or nil.
func (l *Life) current() *attempt {
	if len(l.attempts) == 0 {
		return nil
	}
	a := l.attempts[len(l.attempts)-1]
	if !a.life.In("outstanding") {
		return nil
	}
	return a
}

func (l *Life) do(a Action) { l.actions = append(l.actions, a) }

func (l *Life) choose() {
	l.do(Choose{
		Excluded: l.excluded,
		Retry:    !l.proven() && !l.life.In("answering"),
		Resume:   l.life.In("answering"),
	})
}

// take returns the actions of a step, with the end of the request if it ended.
func (l *Life) take(now time.Time) []Action {
	if l.life.Done() {
		l.finish(now)
	}
	actions := l.actions
	l.actions = nil
	return actions
}

// finish settles what is outstanding and says how the request ended. It does so
// once, because Step and Tick do nothing afterwards.
func (l *Life) finish(now time.Time) {
	if a := l.current(); a != nil {
		a.life.Fire(now, "abandon")
		l.do(Cancel{Attempt: a.number, Server: a.server})
		l.do(Settle{Attempt: a.number, Server: a.server})
	}
	end := End{RetryAfter: l.retryAfter}
	switch {
	case l.life.In("completed"):
		invariant.Check(l.whole, "only a whole answer is completed", "state %s", l.life.State())
		end.Outcome = outcome.Done()
	case l.life.In("notRun"):
		invariant.Check(l.proven(), "not-run is only said with proof", "%d attempts", len(l.attempts))
		end.Outcome = outcome.DidNotRun(l.last, "the request was not run and will not be")
	case l.life.In("left"):
		end.Outcome = outcome.CannotTell(outcome.ReasonCanceled, "the caller left before the answer was whole")
	default:
		end.Outcome = outcome.CannotTell(l.last, "the request may have been run; no whole answer arrived")
	}
	l.do(end)
}
