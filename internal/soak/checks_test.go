package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// leaveBound is how long after its entry says so a server may get new work: the
	// brief's two seconds, for entries that can reach the store.
	leaveBound = 2 * time.Second
	// lateBound is added to a request's time limit of two seconds before an entry that
	// runs counts as not having answered.
	lateBound = time.Second
	timeLimit = 2 * time.Second
)

// checks looks for broken promises in what happened.
type checks struct {
	record *record
	faults []string
}

func (c *checks) failf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// safety checks what must hold whatever the speed of the machine.
func (c *checks) safety() {
	c.wholeAnswers()
	c.atMostOnce()
	c.refusals()
	c.versions()
	c.answered()
}

// timed checks bounds on time, for a machine that is not busy.
func (c *checks) timed() {
	c.leaving()
	c.limits()
}

// wholeAnswers guards against answers that look whole and are not.
func (c *checks) wholeAnswers() {
	var whole strings.Builder
	for n := 1; n <= streamEvents; n++ {
		whole.WriteString(streamEvent(n))
	}
	for _, x := range c.record.results {
		if x.status != http.StatusOK {
			continue
		}
		switch {
		case x.kind == "streaming" && x.err == nil && x.body != whole.String():
			c.failf("request %s: a stream of %d bytes looks whole: %q", x.id, len(x.body), x.body)
		case x.kind == "streaming" && x.err != nil && !strings.HasPrefix(whole.String(), x.body):
			c.failf("request %s: a stream has a gap or a repetition: %q", x.id, x.body)
		case x.kind != "streaming" && x.err == nil && (!x.sealed || !strings.HasPrefix(x.body, x.id+" account-")):
			c.failf("request %s: changed answer %q", x.id, x.body)
		}
	}
}

func (c *checks) runsOf() map[string]int {
	count := make(map[string]int)
	for _, x := range c.record.runs {
		count[x.id]++
	}
	return count
}

// atMostOnce guards against a call at most once that ran twice.
func (c *checks) atMostOnce() {
	count := c.runsOf()
	for _, x := range c.record.results {
		if x.kind == "unsafe" && count[x.id] > 1 {
			c.failf("request %s: ran %d times", x.id, count[x.id])
		}
	}
}

// refusals guards against a refusal that is not true.
func (c *checks) refusals() {
	count := c.runsOf()
	for _, x := range c.record.results {
		refused := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests ||
			x.status == http.StatusRequestTimeout || x.status == http.StatusMisdirectedRequest
		if x.kind == "unsafe" && x.err == nil && refused && !x.sealed && count[x.id] > 0 {
			c.failf("request %s: status %d says not run, and it ran", x.id, x.status)
		}
	}
}

// life is one life of a process.
type life struct {
	start, end time.Time
	// disturbed are the times of signals other than a request to stop, and asked is
	// when it was asked to stop.
	disturbed []time.Time
	asked     time.Time
}

func (c *checks) lives(name string) []life {
	var list []life
	for _, e := range c.record.events {
		if e.process != name || e.life == 0 {
			continue
		}
		switch e.what {
		case "start":
			list = append(list, life{start: e.at})
			continue
		case "end":
			list[len(list)-1].end = e.at
		case "terminated":
			list[len(list)-1].asked = e.at
		default:
			list[len(list)-1].disturbed = append(list[len(list)-1].disturbed, e.at)
		}
	}
	return list
}

// undisturbed returns the results of an entry by its life, without those during
// which the process started, ended by force or stood still.
func (c *checks) undisturbed(entry int) [][]result {
	lives := c.lives(fmt.Sprint("entry-", entry))
	lists := make([][]result, len(lives))
	for _, x := range c.record.results {
		if x.entry != entry {
			continue
		}
		for i, l := range lives {
			inside := x.start.After(l.start) && (l.end.IsZero() || x.end.Before(l.end))
			// A signal is noted just before it is sent, and the effect of the last one, the
			// continuation, lasts for the requests that waited.
			if inside && !slices.ContainsFunc(l.disturbed, func(at time.Time) bool {
				return at.After(x.start.Add(-patience)) && at.Before(x.end.Add(time.Second))
			}) {
				lists[i] = append(lists[i], x)
			}
		}
	}
	return lists
}

// versions guards against a configuration that takes effect after a newer one.
func (c *checks) versions() {
	for entry := range entryCount {
		for _, list := range c.undisturbed(entry) {
			newest, since := 0, time.Time{}
			slices.SortFunc(list, func(a, b result) int { return a.end.Compare(b.end) })
			for _, x := range list {
				_, text, ok := strings.Cut(x.body, " account-")
				version, err := strconv.Atoi(text)
				if !ok || err != nil || x.status != http.StatusOK {
					continue
				}
				if version < newest && x.start.After(since) {
					c.failf("request %s: configuration %d after %d", x.id, version, newest)
				}
				if version > newest {
					newest, since = version, x.end
				}
			}
		}
	}
}

// answered guards against requests that an entry cuts off, above all while it stops.
// Only a stream may end without a whole answer, after its server failed.
func (c *checks) answered() {
	for entry := range entryCount {
		for _, list := range c.undisturbed(entry) {
			for _, x := range list {
				if x.reached && x.err != nil && x.kind != "streaming" {
					c.failf("request %s: cut off: %v (%s after its start)", x.id, x.err, x.end.Sub(x.start))
				}
			}
		}
	}
}

// limits guards against requests that are answered late.
func (c *checks) limits() {
	for entry := range entryCount {
		for _, list := range c.undisturbed(entry) {
			for _, x := range list {
				if took := x.end.Sub(x.start); x.reached && took > timeLimit+lateBound {
					c.failf("request %s: answered after %s", x.id, took)
				}
			}
		}
	}
}

// leaving guards against new work for a server that is leaving.
func (c *checks) leaving() {
	for _, x := range c.record.arrivals {
		from, is := c.leavingSince(x.server, x.at)
		entry, _, _ := strings.Cut(x.id, "-")
		if !is || x.at.Sub(from) <= leaveBound {
			continue
		}
		// An entry that was paused or away hears of it later, and so does one that cannot
		// reach the store. A request may be held on its way to the server.
		disturbed := slices.ContainsFunc(c.record.events, func(e event) bool {
			return (e.process == "entry-"+entry || e.process == "store" || e.process == x.server) && e.overlaps(from, x.at)
		})
		if !disturbed {
			c.failf("request %s: reached %s %s after it began to leave", x.id, x.server, x.at.Sub(from))
		}
	}
}

// leavingSince returns when the server began to leave, if it was leaving then.
func (c *checks) leavingSince(server string, at time.Time) (from time.Time, is bool) {
	for _, e := range c.record.events {
		if e.process == server+" leaving" && e.overlaps(at, at.Add(time.Nanosecond)) {
			return e.at, true
		}
	}
	return time.Time{}, false
}
