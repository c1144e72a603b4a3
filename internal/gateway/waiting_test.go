package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/panics"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/upstream"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/platform/platformtest"
	"github.com/anvilpoint/anvilpoint/task"
)

var testStart = time.Unix(1000, 0)

// dispatchFixture is a dispatch task that the test steps itself, with engines of one
// slot each and a route for each priority.
type dispatchFixture struct {
	t *testing.T
	d *dispatch
}

func newDispatchFixture(t *testing.T, servers int) *dispatchFixture {
	t.Helper()
	d := newDispatch("z", rand.New(rand.NewPCG(1, 1)), routing.WindowConfig{Ratio: 1, Slack: 10, Window: time.Second}, newMetrics())
	spec := record.RouteSpec{Version: 1, Services: map[ident.ServiceName]record.HTTPService{
		"s": {Name: "s", Engine: &record.EngineProfile{Slots: 1, Stride: 1, Step: time.Millisecond, PerSequence: time.Millisecond}},
	}}
	for priority := range 3 {
		spec.Routes = append(spec.Routes, record.Route{
			Name: fmt.Sprint(priority), Host: "h", Prefix: fmt.Sprintf("/%d/", priority), Kind: record.Streaming, Priority: priority,
			Target: 500 * time.Millisecond, TimeLimit: 8 * time.Second, GapTarget: 120 * time.Millisecond,
			Split: []record.Share{{Service: "s", Weight: 1}}, MaxAttempts: 1,
		})
	}
	routes, err := record.NewRoutes(spec)
	must.NoError(t, err)
	d.step(testStart, setRoutes{routes: routes})
	var list []registry.Server
	for n := range servers {
		list = append(list, registry.Server{ID: ident.ServerID(fmt.Sprint(n)), Service: "s", Domain: "z", Slots: 1})
	}
	d.step(testStart, setServers{servers: list})
	return &dispatchFixture{t: t, d: d}
}

// ask sends a request of the priority. A time left of zero marks a first try.
func (f *dispatchFixture) ask(at time.Duration, priority int, left time.Duration) <-chan admission {
	reply := make(chan admission, 1)
	f.d.step(testStart.Add(at), admit{host: "h", path: fmt.Sprintf("/%d/x", priority), timeLeft: left, reply: reply})
	f.serveWaiting(at)
	return reply
}

func (f *dispatchFixture) serveWaiting(at time.Duration) { f.d.serveWaiting(testStart.Add(at)) }

// free ends the request at the server.
func (f *dispatchFixture) free(at time.Duration, a admission) {
	f.d.step(testStart.Add(at), attemptEnded{service: "s", server: a.server.ID})
	f.serveWaiting(at)
}

func answered(reply <-chan admission) bool { return len(reply) == 1 }

// Guards against a request that waits although its service has no server.
func TestRequestWithoutServersIsRefusedAtOnce(t *testing.T) {
	f := newDispatchFixture(t, 0)
	reply := f.ask(0, 0, 0)
	must.True(t, answered(reply))
	a := <-reply
	must.Eq(t, http.StatusServiceUnavailable, a.status)
	must.Positive(t, a.retryAfter)
}

// Guards against a less urgent request that gets a slot before a more urgent one that
// arrived later.
func TestMoreUrgentRequestGetsTheNextSlot(t *testing.T) {
	f := newDispatchFixture(t, 1)
	first := <-f.ask(0, 2, 0)
	later := f.ask(10*time.Millisecond, 2, 0)
	urgent := f.ask(20*time.Millisecond, 0, 0)
	f.free(30*time.Millisecond, first)
	must.True(t, answered(urgent))
	must.False(t, answered(later))
}

// Guards against a late request that takes the slot of one that can be on time, and
// against a request retried after a refusal that gets a slot only after a late first
// try.
func TestSlotsAreGivenByStanding(t *testing.T) {
	f := newDispatchFixture(t, 1)
	running := <-f.ask(0, 0, 0)
	late := f.ask(0, 0, 0)
	returned := f.ask(300*time.Millisecond, 0, 4*time.Second)
	f.serveWaiting(300 * time.Millisecond)
	onTime := f.ask(310*time.Millisecond, 2, 0)
	f.free(320*time.Millisecond, running)
	must.True(t, answered(onTime))
	f.free(330*time.Millisecond, <-onTime)
	must.True(t, answered(returned))
	must.False(t, answered(late))
}

// Guards against first tries that count as retries because the client's time limit is
// below the route's: clients give 0.85 to 1 of it. With that fault nearly all first
// tries queued behind each other, and half of all answers were a second late.
func TestFirstTryWithAShorterTimeLimitIsOnTime(t *testing.T) {
	f := newDispatchFixture(t, 1)
	running := <-f.ask(0, 0, 0)
	late := f.ask(0, 0, 0)
	f.serveWaiting(300 * time.Millisecond)
	first := f.ask(310*time.Millisecond, 2, 6900*time.Millisecond)
	f.free(320*time.Millisecond, running)
	must.True(t, answered(first))
	must.False(t, answered(late))
}

// Guards against a stream that waits until its client abandons it: clients leave after
// 2 s without an event, but a request retried after a refusal waited up to 2.4 s.
func TestStreamIsRefusedBeforeItsClientLeaves(t *testing.T) {
	f := newDispatchFixture(t, 1)
	<-f.ask(0, 0, 0)
	reply := f.ask(0, 0, 6*time.Second)
	f.serveWaiting(1500 * time.Millisecond)
	must.True(t, answered(reply))
	must.Eq(t, http.StatusServiceUnavailable, (<-reply).status)
}

// Guards against a request that waits until its client's time limit.
func TestLateRequestIsRefused(t *testing.T) {
	f := newDispatchFixture(t, 1)
	<-f.ask(0, 0, 0)
	reply := f.ask(0, 0, 0)
	f.serveWaiting(time.Second)
	must.False(t, answered(reply))
	f.serveWaiting(1300 * time.Millisecond)
	must.True(t, answered(reply))
	must.Eq(t, http.StatusServiceUnavailable, (<-reply).status)
}

// Guards against a request that is sent to a server although its client left while it
// waited for a slot, and against such a request that keeps its slot.
func TestRequestOfAClientThatLeftIsNotSent(t *testing.T) {
	f := newDispatchFixture(t, 1)
	opened := false
	h := &clientHandler{
		dispatch: f.d.mailbox, protocol: platform.Protocol{}, metrics: f.d.metrics, events: eventlog.Discard(hlc.New(time.Now)),
		draining: make(chan struct{}),
		transport: &upstream.Transport{Pool: upstream.NewPool(), Dial: func(context.Context, string) (net.Conn, error) {
			opened = true
			return nil, errors.New("no connection is expected")
		}},
	}
	group := task.NewGroup(context.Background())
	group.Go("dispatch", f.d.run)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	r := platformtest.NewRequest(t, http.MethodPost, "127.0.0.1:1", "h", "/0/x", "request-1", "", "prompt").WithContext(left)
	r.RequestURI = "/0/x"
	ended := panics.Try(func() { h.ServeHTTP(httptest.NewRecorder(), r) })
	must.NotNil(t, ended)
	must.Eq(t, any(http.ErrAbortHandler), ended.Value)
	must.False(t, opened)
	report, ok := task.Ask(context.Background(), f.d.mailbox, func(reply chan<- ownReport) dispatchMessage { return getReport{reply: reply} })
	must.True(t, ok)
	must.SliceEmpty(t, report.report.Servers)
	must.NoError(t, group.Stop(0))
}

// Guards against counts that are lost between two entries: reports name servers by
// tag, and the receiver must map the tags back.
func TestReportedCountsReachTheirServers(t *testing.T) {
	one, other := newDispatchFixture(t, 2), newDispatchFixture(t, 2)
	for range 2 {
		must.Eq(t, 0, (<-one.ask(0, 0, 0)).status)
	}
	other.d.step(testStart, peerReport{from: "one", report: one.d.report(testStart).report})
	must.Eq(t, 2, (<-other.ask(0, 0, 0)).state.Running)
}

// Guards against counts that are applied to another server with the same tag: among 19
// servers these two had equal tags of 16 bits, and a plain service refused every
// request on routes that a new configuration had added.
func TestServerTagsDoNotCollide(t *testing.T) {
	must.NotEq(t, message.TagOf("i-7633a80c43"), message.TagOf("i-7428e06947"))
}

// Guards against a queue of waiting requests without a bound.
func TestWaitingRequestsAreBounded(t *testing.T) {
	f := newDispatchFixture(t, 1)
	<-f.ask(0, 0, 0)
	var replies []<-chan admission
	for range maxWaiting + 10 {
		replies = append(replies, f.ask(0, 1, 0))
	}
	urgent := f.ask(0, 0, 0)
	refused := 0
	for _, r := range replies {
		if answered(r) {
			refused++
		}
	}
	must.Eq(t, 11, refused)
	must.False(t, answered(urgent))
}
