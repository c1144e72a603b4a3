package soak_test

import (
	"time"

	"github.com/sourcegraph/conc"
)

// event is something that happened to a process, or a fault that was injected.
type event struct {
	at      time.Time
	process string
	life    int
	what    string
	err     error
	// until is the end of a fault that lasts.
	until time.Time
}

// overlaps reports whether the event, or the fault that began with it, falls into the
// time.
func (e event) overlaps(from, to time.Time) bool {
	end := e.at
	if e.until.After(end) {
		end = e.until
	}
	return e.at.Before(to) && end.After(from)
}

// run is a request that a backend server ran.
type run struct {
	id, server string
	at         time.Time
}

// result is what a client saw of one request.
type result struct {
	id, kind   string
	entry      int
	start, end time.Time
	// reached says that a connection to the entry was open.
	reached bool
	status  int
	sealed  bool
	body    string
	// err is set if no whole answer came.
	err error
}

// record is everything that happened in a run, for the checks after it.
type record struct {
	events   []event
	runs     []run
	results  []result
	arrivals []run
}

// history collects the record. Its task ends with close.
type history struct {
	owner chan func(*record)
	done  conc.WaitGroup
	all   record
}

func newHistory() *history {
	h := &history{owner: make(chan func(*record), 1024)}
	h.done.Go(func() {
		for add := range h.owner {
			add(&h.all)
		}
	})
	return h
}

func (h *history) note(e event)      { h.owner <- func(r *record) { r.events = append(r.events, e) } }
func (h *history) ran(x run)         { h.owner <- func(r *record) { r.runs = append(r.runs, x) } }
func (h *history) arrived(x run)     { h.owner <- func(r *record) { r.arrivals = append(r.arrivals, x) } }
func (h *history) answered(x result) { h.owner <- func(r *record) { r.results = append(r.results, x) } }

// close ends the task and returns the record. Nothing is added after it.
func (h *history) close() *record {
	close(h.owner)
	h.done.Wait()
	return &h.all
}
