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
	// maxLeaveLag is how long after a server is registered as draining an entry that
	// can reach the store may still send it requests: the required bound of 2 s.
	maxLeaveLag = 2 * time.Second
	// requestTimeout is the timeout of the routes in the published configuration.
	requestTimeout = 2 * time.Second
	// maxAnswerLag is how long after requestTimeout an entry that runs may answer.
	maxAnswerLag = time.Second
	// maxPauseLag is how long after a server asked for a pause its requests do not count,
	// maxPauseArrivals how many may reach it from then to the end of the pause.
	maxPauseLag      = 500 * time.Millisecond
	maxPauseArrivals = 2
	// maxCrashes is how often a prompt part may crash a server until all entries know it,
	// maxReadCrashes how often a read may: three that teach and three more.
	maxCrashes     = 5
	maxReadCrashes = 6
)

// checks collects the violations of the system's guarantees in a record.
type checks struct {
	record     *record
	violations []string
}

func (c *checks) failf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// safety checks the guarantees that hold at any speed of the machine.
func (c *checks) safety() {
	c.intactAnswers()
	c.atMostOnce()
	c.refusals()
	c.versions()
	c.answered()
	c.crashes()
}

// timed checks bounds on time, which hold only on a machine that is not busy.
func (c *checks) timed() {
	c.leaving()
	c.announcedLeaving()
	c.pauses()
	c.timeouts()
}

// intactAnswers guards against answers that look complete and are not.
func (c *checks) intactAnswers() {
	var complete strings.Builder
	for n := 1; n <= streamEvents; n++ {
		complete.WriteString(streamEvent(n))
	}
	for _, x := range c.record.results {
		if x.status != http.StatusOK {
			continue
		}
		switch {
		case x.kind == "streaming" && x.err == nil && x.body != complete.String():
			c.failf("request %s: a stream ended without an error, but is not complete: got %d bytes %q", x.id, len(x.body), x.body)
		case x.kind == "streaming" && x.err != nil && !strings.HasPrefix(complete.String(), x.body):
			c.failf("request %s: an interrupted stream has a gap or a repetition: %q", x.id, x.body)
		case x.kind != "streaming" && x.err == nil && (!x.sealed || !strings.HasPrefix(x.body, x.id+" account-")):
			c.failf("request %s: the answer is not the one that the server gave, or has no seal: %q", x.id, x.body)
		}
	}
}

// crashes guards against a prompt part or a read that crashes one server after the other:
// each entry may learn of it once in each incarnation, and once more for each interruption,
// and some requests are on their way when the first crash happens.
func (c *checks) crashes() {
	byPart, byRead, interruptions := 0, 0, 0
	for _, x := range c.record.arrivals {
		if x.deadly {
			byPart++
		}
		if x.deadlyRead {
			byRead++
		}
	}
	for n := range entryCount {
		for _, in := range c.incarnations(fmt.Sprint("entry-", n)) {
			interruptions += 1 + len(in.interruptions)
		}
	}
	if allowed := maxCrashes + interruptions; byPart > allowed {
		c.failf("requests with one prompt part crashed servers %d times; %d are allowed", byPart, allowed)
	}
	if allowed := maxReadCrashes + interruptions; byRead > allowed {
		c.failf("one read crashed servers %d times; %d are allowed", byRead, allowed)
	}
}

// executionCounts returns how often each request ran, by its id.
func (c *checks) executionCounts() map[string]int {
	count := make(map[string]int)
	for _, x := range c.record.executions {
		count[x.id]++
	}
	return count
}

// atMostOnce guards against an unsafe request that ran more than once.
func (c *checks) atMostOnce() {
	count := c.executionCounts()
	for _, x := range c.record.results {
		if x.kind == "unsafe" && count[x.id] > 1 {
			c.failf("request %s: an unsafe request ran %d times", x.id, count[x.id])
		}
	}
}

// refusals guards against an unsafe request that an entry answers with a status that
// means not run, and that ran.
func (c *checks) refusals() {
	count := c.executionCounts()
	for _, x := range c.record.results {
		refused := x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests ||
			x.status == http.StatusRequestTimeout || x.status == http.StatusMisdirectedRequest
		if x.kind == "unsafe" && x.err == nil && refused && !x.sealed && count[x.id] > 0 {
			c.failf("request %s: status %d means not run, but the request ran", x.id, x.status)
		}
	}
}

// incarnation is the time from a start of a process to its end.
type incarnation struct {
	start, end time.Time
	// interruptions are the times of signals other than SIGTERM.
	interruptions []time.Time
	// stopRequested is the time of the last SIGTERM; zero means none.
	stopRequested time.Time
}

func (c *checks) incarnations(process string) []incarnation {
	var list []incarnation
	for _, e := range c.record.events {
		if e.process != process || e.incarnation == 0 {
			continue
		}
		switch e.what {
		case "start":
			list = append(list, incarnation{start: e.at})
			continue
		case "end":
			list[len(list)-1].end = e.at
		case "terminated":
			list[len(list)-1].stopRequested = e.at
		default:
			list[len(list)-1].interruptions = append(list[len(list)-1].interruptions, e.at)
		}
	}
	return list
}

// uninterrupted returns the results of an entry by its incarnation, without those
// during which the process started, was killed or was paused.
func (c *checks) uninterrupted(entry int) [][]result {
	incarnations := c.incarnations(fmt.Sprint("entry-", entry))
	lists := make([][]result, len(incarnations))
	for _, x := range c.record.results {
		if x.entry != entry {
			continue
		}
		for i, in := range incarnations {
			inside := x.start.After(in.start) && (in.end.IsZero() || x.end.Before(in.end))
			// A signal is recorded just before it is sent. A pause affects requests
			// until after SIGCONT, since those that waited are answered late.
			if inside && !slices.ContainsFunc(in.interruptions, func(at time.Time) bool {
				return at.After(x.start.Add(-clientTimeout)) && at.Before(x.end.Add(time.Second))
			}) {
				lists[i] = append(lists[i], x)
			}
		}
	}
	return lists
}

// versions guards against an entry that applies a configuration after a newer one.
func (c *checks) versions() {
	for entry := range entryCount {
		for _, list := range c.uninterrupted(entry) {
			newest, since := 0, time.Time{}
			slices.SortFunc(list, func(a, b result) int { return a.end.Compare(b.end) })
			for _, x := range list {
				_, text, ok := strings.Cut(x.body, " account-")
				version, err := strconv.Atoi(text)
				if !ok || err != nil || x.status != http.StatusOK {
					continue
				}
				if version < newest && x.start.After(since) {
					c.failf("request %s: the entry applied configuration %d after configuration %d", x.id, version, newest)
				}
				if version > newest {
					newest, since = version, x.end
				}
			}
		}
	}
}

// answered guards against requests that an entry cuts off, in particular while it
// drains. Only a stream may end incomplete, after its server failed.
func (c *checks) answered() {
	for entry := range entryCount {
		for _, list := range c.uninterrupted(entry) {
			for _, x := range list {
				if x.connected && x.err != nil && x.kind != "streaming" {
					c.failf("request %s: the entry cut it off %s after its start: %v", x.id, x.end.Sub(x.start), x.err)
				}
			}
		}
	}
}

// timeouts guards against entries that answer after the timeout of a request.
func (c *checks) timeouts() {
	for entry := range entryCount {
		for _, list := range c.uninterrupted(entry) {
			for _, x := range list {
				if took := x.end.Sub(x.start); x.connected && took > requestTimeout+maxAnswerLag {
					c.failf("request %s: answered after %s; the limit is %s", x.id, took, requestTimeout+maxAnswerLag)
				}
			}
		}
	}
}

// leaving guards against requests to a server that has been draining for longer than
// maxLeaveLag.
func (c *checks) leaving() {
	for _, x := range c.record.arrivals {
		from, leaving := c.leavingSince(x.server, x.at)
		entry, _, _ := strings.Cut(x.id, "-")
		if !leaving || x.at.Sub(from) <= maxLeaveLag {
			continue
		}
		// An entry learns of the change later if it was paused or down, or could not reach
		// the store. A proxy may have held the request on its way to the server.
		excused := slices.ContainsFunc(c.record.events, func(e event) bool {
			return (e.process == "entry-"+entry || e.process == "store" || e.process == x.server) && e.overlaps(from, x.at)
		})
		if !excused {
			c.failf("request %s: reached %s %s after it was registered as draining", x.id, x.server, x.at.Sub(from))
		}
	}
}

// runsThrough reports whether the process that runs at a time ran on without a signal until
// a later one.
func (c *checks) runsThrough(process string, from, to time.Time) bool {
	return slices.ContainsFunc(c.incarnations(process), func(in incarnation) bool {
		return in.start.Before(from) && (in.end.IsZero() || in.end.After(to)) &&
			!slices.ContainsFunc(in.interruptions, func(at time.Time) bool { return at.After(from.Add(-clientTimeout)) && at.Before(to) })
	})
}

// announcedLeaving guards against requests to a server from an entry that passed on an
// answer in which it said that it is leaving, whether the entry reaches the store or not.
func (c *checks) announcedLeaving() {
	heard := make(map[string]time.Time)
	for _, x := range c.record.results {
		key := fmt.Sprint(x.entry, " ", x.leaving)
		if first, known := heard[key]; x.leaving != "" && (!known || x.end.Before(first)) {
			heard[key] = x.end
		}
	}
	sent := make(map[string]time.Time, len(c.record.results))
	for _, x := range c.record.results {
		sent[x.id] = x.start
	}
	for _, x := range c.record.arrivals {
		entry, _, _ := strings.Cut(x.id, "-")
		at, known := heard[entry+" "+x.boot]
		start, recorded := sent[x.id]
		if known && recorded && start.Sub(at) > maxLeaveLag && c.runsThrough("entry-"+entry, at, x.at) {
			c.failf("request %s: sent to %s %s after the entry had passed on that it is leaving", x.id, x.boot, start.Sub(at))
		}
	}
}

// pauses guards against requests to a server that turned one of the same entry away and
// asked for a pause.
func (c *checks) pauses() {
	for _, away := range c.record.arrivals {
		if !away.turnedAway {
			continue
		}
		entry, _, _ := strings.Cut(away.id, "-")
		from, to := away.at.Add(maxPauseLag), away.at.Add(pauseTime)
		// An entry whose connection is held up gets the answer late, or not at all.
		cut := slices.ContainsFunc(c.record.events, func(e event) bool { return e.process == away.server && e.overlaps(away.at.Add(-maxFaultTime), to) })
		if cut || !c.runsThrough("entry-"+entry, away.at, to) {
			continue
		}
		arrived := 0
		for _, x := range c.record.arrivals {
			if other, _, _ := strings.Cut(x.id, "-"); other == entry && x.boot == away.boot && x.at.After(from) && x.at.Before(to) {
				arrived++
			}
		}
		if arrived > maxPauseArrivals {
			c.failf("request %s: turned away by %s, which got %d more of the entry within the pause", away.id, away.boot, arrived)
		}
	}
}

// leavingSince returns when the server was registered as draining, if it was
// draining at the given time.
func (c *checks) leavingSince(server string, at time.Time) (from time.Time, leaving bool) {
	for _, e := range c.record.events {
		if e.process == server+" leaving" && e.overlaps(at, at.Add(time.Nanosecond)) {
			return e.at, true
		}
	}
	return time.Time{}, false
}
