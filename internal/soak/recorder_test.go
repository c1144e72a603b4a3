package soak_test

import (
	"time"

	"github.com/sourcegraph/conc"
)

// event is the start or end of a process, a signal to it, or an injected fault.
type event struct {
	at      time.Time
	process string
	// incarnation is the number of the process's start, from 1; zero for an injected
	// fault.
	incarnation int
	what        string
	err         error
	// until is the planned end of a fault; zero for an event without duration.
	until time.Time
}

// overlaps reports whether the event, or the fault that began with it, falls into the
// time between from and to.
func (e event) overlaps(from, to time.Time) bool {
	end := e.at
	if e.until.After(end) {
		end = e.until
	}
	return e.at.Before(to) && end.After(from)
}

// execution is a request that reached a backend server or was run by it.
type execution struct {
	id, server string
	// boot names the process of the server.
	boot string
	at   time.Time
	// turnedAway reports whether the server answered that it wants no request for pauseTime.
	turnedAway bool
	// deadly and deadlyRead report whether the request crashed the server by a part of its
	// prompt or as a whole.
	deadly, deadlyRead bool
}

// result is what a client saw of one request.
type result struct {
	id, kind   string
	entry      int
	start, end time.Time
	// connected reports whether the client had a connection to the entry.
	connected bool
	status    int
	// sealed reports whether the answer had the response seal, which marks it as the
	// backend server's own.
	sealed bool
	body   string
	// leaving is the process of the server whose answer says that it is leaving, if it does.
	leaving string
	// err is set if the client did not receive a complete answer.
	err error
}

// record holds everything that happened in a test run, for the checks after it.
type record struct {
	events []event
	// executions are the requests that backend servers ran.
	executions []execution
	results    []result
	// arrivals are the requests that reached backend servers, also refused ones.
	arrivals []execution
}

// recorder is the task that owns the record. It ends with close.
type recorder struct {
	additions chan func(*record)
	done      conc.WaitGroup
	all       record
}

func newRecorder() *recorder {
	r := &recorder{additions: make(chan func(*record), 1024)}
	r.done.Go(func() {
		for add := range r.additions {
			add(&r.all)
		}
	})
	return r
}

func (r *recorder) event(e event) {
	r.additions <- func(all *record) { all.events = append(all.events, e) }
}

func (r *recorder) executed(x execution) {
	r.additions <- func(all *record) { all.executions = append(all.executions, x) }
}

func (r *recorder) arrived(x execution) {
	r.additions <- func(all *record) { all.arrivals = append(all.arrivals, x) }
}

func (r *recorder) answered(x result) {
	r.additions <- func(all *record) { all.results = append(all.results, x) }
}

// close ends the task and returns the record. No other method may be called after it.
func (r *recorder) close() *record {
	close(r.additions)
	r.done.Wait()
	return &r.all
}
