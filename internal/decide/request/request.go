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
	// maxRefusals is the default bound on the servers that refuse one request, so
	// that in an overloaded fleet not every request is offered to every server.
	maxRefusals = 4
	// maxFailuresWithoutOutput bounds the successive attempts that failed without
	// any output, in case the request itself makes its server fail.
	maxFailuresWithoutOutput = 5
	// maxFailures bounds all failed attempts of one request. It is higher than
	// maxFailuresWithoutOutput because an answer that advances with each attempt is
	// worth more retries than one that never begins.
	maxFailures = 32
	// attemptTimeout bounds how long one attempt may wait at a sidecar. A sidecar
	// remembers a refused attempt until after its deadline, so without this bound a
	// batch class with a deadline of 1 h would make it remember 1 h of refusals.
	attemptTimeout = 2 * time.Minute
	// retryInterval is the time between attempts to choose a server while none is
	// available.
	retryInterval = 25 * time.Millisecond
	// noTotalTimeout replaces an unset timeout for the complete answer.
	noTotalTimeout = 24 * time.Hour
	// resumeTimeout bounds the time between the failure of an attempt whose output
	// has reached the client and the first output of the attempt that resumes it.
	resumeTimeout = 20 * time.Second
)

// Plan holds the parameters of one request.
type Plan struct {
	// FirstOutputTimeout is the timeout for the first output, after which an answer has no
	// value.
	FirstOutputTimeout time.Duration
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MaxRefusals bounds how many servers may refuse the request; 0 selects the
	// default.
	MaxRefusals int
	// TotalTimeout is the timeout for the complete answer; 0 means that there is none.
	TotalTimeout time.Duration
	// MaxAttempts bounds the attempts that are sent to a server; 0 means that only
	// the other bounds apply.
	MaxAttempts int
}

// attempt is one attempt of a request at one server.
type attempt struct {
	number    ident.Attempt
	server    ident.ServerID
	lifecycle *chart.Lifecycle[*attempt]
}

// Request is the state of one request over all its attempts. It is not safe for
// concurrent use.
type Request struct {
	machines            *Machines
	plan                Plan
	lifecycle           *chart.Lifecycle[*Request]
	firstOutputDeadline time.Time
	attempts            []*attempt
	excluded            []ident.ServerID
	failures            int
	// failuresWithoutOutput counts the failed attempts since the last output.
	failuresWithoutOutput int
	refusals              int
	answerComplete        bool
	// lastReason is the reason that is reported if the request ends now.
	lastReason outcome.Reason
	retryAfter time.Duration
	actions    []Action
}

// Machines holds the charts of requests and attempts, bound to their guards and actions.
// All requests share it.
type Machines struct {
	request *chart.Machine[*Request]
	attempt *chart.Machine[*attempt]
}

// NewMachines binds the charts. Observe, if not nil, is called after each
// transition of a request.
func NewMachines(observe func(*Request, chart.Transition)) (*Machines, error) {
	attemptMachine, err := chart.Bind(charts.Must("attempt"), chart.Binding[*attempt]{})
	if err != nil {
		return nil, err
	}
	requestMachine, err := chart.Bind(charts.Must("request"), chart.Binding[*Request]{
		Guards: map[string]func(*Request) bool{
			"answerComplete": func(r *Request) bool { return r.answerComplete },
			"provenNotRun":   (*Request).provenNotRun,
			"outstanding":    func(r *Request) bool { return r.outstanding() != nil },
		},
		Actions: map[string]func(*Request){"chooseServer": (*Request).chooseServer},
		Delays: map[string]func(*Request) time.Duration{
			"firstOutputTimeout": func(r *Request) time.Duration { return r.plan.FirstOutputTimeout },
			"retryInterval":      func(*Request) time.Duration { return retryInterval },
			"resumeTimeout":      func(*Request) time.Duration { return resumeTimeout },
			"totalTimeout":       func(r *Request) time.Duration { return r.plan.TotalTimeout },
		},
		Observe: observe,
	})
	return &Machines{request: requestMachine, attempt: attemptMachine}, err
}

// New starts a request and returns it with its first actions.
func (m *Machines) New(now time.Time, plan Plan) (*Request, []Action) {
	if plan.MaxRefusals == 0 {
		plan.MaxRefusals = maxRefusals
	}
	if plan.TotalTimeout == 0 {
		plan.TotalTimeout = noTotalTimeout
	}
	r := &Request{machines: m, plan: plan, firstOutputDeadline: now.Add(plan.FirstOutputTimeout), lastReason: outcome.ReasonNoServer}
	r.lifecycle = m.request.New(now, r)
	r.chooseServer()
	return r, r.takeActions(now)
}

// Done reports whether the request has ended.
func (r *Request) Done() bool { return r.lifecycle.Done() }

// State returns the name of the request's state in its chart.
func (r *Request) State() string { return r.lifecycle.State() }

// Deadline returns the time at which Tick is due.
func (r *Request) Deadline() (time.Time, bool) { return r.lifecycle.Deadline() }

// LatestAttempt returns the number of the latest attempt, or 0 if there is none.
func (r *Request) LatestAttempt() ident.Attempt { return ident.Attempt(len(r.attempts)) }

// Streaming reports whether the attempt is the latest one and its output has
// reached the client.
func (r *Request) Streaming(number ident.Attempt) bool {
	return r.lifecycle.In("streaming") && r.LatestAttempt() == number
}

// Answering reports whether output of any attempt has reached the client.
func (r *Request) Answering() bool { return r.lifecycle.In("answering") }

// LatestServer returns the server of the latest attempt, or "" if there is none.
func (r *Request) LatestServer() ident.ServerID {
	if len(r.attempts) == 0 {
		return ""
	}
	return r.attempts[len(r.attempts)-1].server
}

// provenNotRun reports whether it is proven that no attempt ran or will run.
func (r *Request) provenNotRun() bool {
	for _, a := range r.attempts {
		if !a.lifecycle.In("notRun") {
			return false
		}
	}
	return true
}

// SentAttempts returns the number of attempts that may have been written to a server.
func (r *Request) SentAttempts() int {
	sent := 0
	for _, a := range r.attempts {
		if !a.lifecycle.In("notSent") {
			sent++
		}
	}
	return sent
}

// attemptsExhausted reports whether MaxAttempts allows no further attempt.
func (r *Request) attemptsExhausted() bool {
	return r.plan.MaxAttempts > 0 && r.SentAttempts() >= r.plan.MaxAttempts
}

// outstanding returns the outstanding attempt, or nil if there is none.
func (r *Request) outstanding() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	a := r.attempts[len(r.attempts)-1]
	if !a.lifecycle.In("outstanding") {
		return nil
	}
	return a
}

func (r *Request) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Request) chooseServer() {
	r.emit(ChooseServer{
		Excluded: r.excluded,
		Retry:    !r.provenNotRun() && !r.lifecycle.In("answering"),
		Resume:   r.lifecycle.In("answering"),
	})
}

// takeActions returns the actions of a step, including End if the request ended.
func (r *Request) takeActions(now time.Time) []Action {
	if r.lifecycle.Done() {
		r.finish(now)
	}
	actions := r.actions
	r.actions = nil
	return actions
}

// finish cancels the outstanding attempt and reports the outcome of the request.
// It runs once, because Step and Tick do nothing after the end.
func (r *Request) finish(now time.Time) {
	if a := r.outstanding(); a != nil {
		a.lifecycle.Fire(now, "abandon")
		r.emit(Cancel{Attempt: a.number, Server: a.server})
		r.emit(EndAttempt{Attempt: a.number, Server: a.server})
	}
	end := EndRequest{RetryAfter: r.retryAfter}
	switch {
	case r.lifecycle.In("completed"):
		invariant.Check(r.answerComplete, "a completed request has its complete answer", "state %s", r.lifecycle.State())
		end.Outcome = outcome.Done()
	case r.lifecycle.In("notRun"):
		invariant.Check(r.provenNotRun(), "not-run is answered only with proof", "one of %d attempts may have run", len(r.attempts))
		end.Outcome = outcome.DidNotRun(r.lastReason, "the request was not run and will not be")
	case r.lifecycle.In("left"):
		end.Outcome = outcome.MayHaveRun(outcome.ReasonCanceled, "the caller left before the answer was whole")
	default:
		end.Outcome = outcome.MayHaveRun(r.lastReason, "the request may have been run; no whole answer arrived")
	}
	r.emit(end)
}
