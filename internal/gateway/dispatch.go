package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	dispatchCapacity = 1024
	// leastEntries is the least number of entries among which the slack of the retry
	// budget is shared. An entry that has heard of few others may be cut off from them.
	leastEntries = 14
	// comeBack is when a refused client may try again. It has waited for a place
	// before, so that the crowd that took it should have passed first.
	comeBack = time.Second
	// comeBackSpread spreads the clients that are refused together.
	comeBackSpread = 1400 * time.Millisecond
)

// dispatchMessage is a message to the dispatch task.
type dispatchMessage interface{ isDispatchMessage() }

type (
	// admit asks whether a request may go on, and to which service.
	admit struct {
		host, path string
		key        record.KeyHash
		hasKey     bool
		// timeLeft is what the client states; zero if it does not.
		timeLeft time.Duration
		reply    chan<- admission
	}
	// choose asks for a backend server for one attempt.
	choose struct {
		service ident.ServiceName
		tried   []ident.ServerID
		// again says that the request was sent to a server before.
		again bool
		reply chan<- choice
	}
	// settle says that an attempt is over.
	settle struct {
		service ident.ServiceName
		server  ident.ServerID
		failed  bool
		// elsewhere says that another server has the address.
		elsewhere bool
	}
	// paced reports the gap between events of a stream.
	paced struct {
		service ident.ServiceName
		gap     time.Duration
	}
	setRoutes  struct{ routes *record.Routes }
	setServers struct{ servers []registry.Server }
	heardWork  struct {
		from ident.InstanceID
		work *message.EntryReport
	}
	// heardSlow are the slow servers of a group.
	heardSlow struct{ slow []message.ServerPace }
	// askWork asks what this entry has at each server.
	askWork struct {
		reply chan<- *message.EntryReport
	}
)

func (admit) isDispatchMessage()      {}
func (choose) isDispatchMessage()     {}
func (settle) isDispatchMessage()     {}
func (paced) isDispatchMessage()      {}
func (setRoutes) isDispatchMessage()  {}
func (setServers) isDispatchMessage() {}
func (heardWork) isDispatchMessage()  {}
func (askWork) isDispatchMessage()    {}
func (heardSlow) isDispatchMessage()  {}

// admission answers admit. A zero status admits the request.
type admission struct {
	status     int
	outcome    outcome.Outcome
	retryAfter time.Duration
	route      *record.Route
	service    ident.ServiceName
	account    ident.ClientAccount
	priority   int
	version    ident.Revision
	state      intake.State
	// server is the backend server for the first attempt. The request is counted
	// there from now on.
	server registry.Server
	// waited is how long the request waited for a place.
	waited time.Duration
}

// choice answers choose.
type choice struct {
	server registry.Server
	ok     bool
	reason outcome.Reason
}

// dispatch is the task that owns what the choice of backend servers depends on.
type dispatch struct {
	mailbox *task.Mailbox[dispatchMessage]
	domain  ident.FailureDomain
	random  *rand.Rand
	routes  *record.Routes
	// tags are the known backend servers by the tags that entries use among themselves.
	tags     map[message.ServerTag]ident.ServerID
	services map[ident.ServiceName]*intake.Service
	budgets  map[ident.ServiceName]*routing.WindowBudget
	budget   routing.WindowConfig
	// entries are the other entries and when each was last heard of.
	entries map[ident.InstanceID]time.Time
	metrics *metrics
	// waiting are the requests without a place, the next one first.
	waiting []*waiter
}

func newDispatch(domain ident.FailureDomain, random *rand.Rand, budget routing.WindowConfig, m *metrics) *dispatch {
	return &dispatch{
		mailbox: task.NewMailbox[dispatchMessage](dispatchCapacity, task.Block),
		domain:  domain, random: random, budget: budget, metrics: m,
		services: make(map[ident.ServiceName]*intake.Service),
		budgets:  make(map[ident.ServiceName]*routing.WindowBudget),
		entries:  make(map[ident.InstanceID]time.Time),
	}
}

// run is the task.
func (d *dispatch) run(ctx context.Context) error {
	defer d.mailbox.Close()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(d.untilDue(time.Now()))
		select {
		case m := <-d.mailbox.Receive():
			d.step(time.Now(), m)
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		d.serveWaiting(time.Now())
	}
}

func (d *dispatch) step(now time.Time, m dispatchMessage) {
	switch m := m.(type) {
	case admit:
		d.admit(now, m)
	case choose:
		m.reply <- d.choose(now, m)
	case settle:
		d.settle(now, m)
	case paced:
		d.service(m.service).ObserveGap(now, m.gap)
	case setRoutes:
		d.setRoutes(now, m.routes)
	case setServers:
		d.setServers(now, m.servers)
	case heardWork:
		d.heard(now, m)
		d.heardSlow(now, m.work.Slow)
	case heardSlow:
		d.heardSlow(now, m.slow)
	case askWork:
		m.reply <- d.work(now)
	}
}

// admit answers a request, or lets it wait for a place.
func (d *dispatch) admit(now time.Time, m admit) {
	if d.routes == nil {
		m.reply <- refusal(http.StatusServiceUnavailable, outcome.ReasonConfiguration, d.wait())
		return
	}
	a := admission{version: d.routes.Version()}
	route, ok := d.routes.Match(m.host, m.path)
	if !ok {
		a.status, a.outcome = http.StatusNotFound, outcome.DidNotRun(outcome.ReasonNotFound, "no route")
		m.reply <- a
		return
	}
	a.route, a.priority = route, route.Priority
	if !d.identify(m, &a) {
		a.status, a.outcome = http.StatusUnauthorized, outcome.DidNotRun(outcome.ReasonUnauthenticated, "the key is not known")
		m.reply <- a
		return
	}
	a.service = d.split(route)
	d.budgetOf(a.service).Request(now)
	d.service(a.service).Arrived(now)
	d.enqueue(now, m, a)
}

func refusal(status int, reason outcome.Reason, wait time.Duration) admission {
	return admission{status: status, outcome: outcome.DidNotRun(reason, ""), retryAfter: wait}
}

func (d *dispatch) wait() time.Duration {
	return comeBack + time.Duration(d.random.Int64N(int64(comeBackSpread)))
}

// identify finds the account of the key. An anonymous route needs none.
func (d *dispatch) identify(m admit, a *admission) bool {
	if m.hasKey {
		if account, known := d.routes.Account(m.key); known {
			a.account = account.ID
			if account.Priority != record.NoPriority {
				a.priority = account.Priority
			}
			return true
		}
	}
	return a.route.Anonymous || !d.routes.RequiresKey()
}

// split draws one of the route's services by weight.
func (d *dispatch) split(route *record.Route) ident.ServiceName {
	sum := 0.0
	for _, s := range route.Split {
		sum += s.Weight
	}
	at := d.random.Float64() * sum
	for _, s := range route.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return route.Split[0].Service
}

func (d *dispatch) service(name ident.ServiceName) *intake.Service {
	s := d.services[name]
	if s == nil {
		var engine *record.EngineProfile
		if d.routes != nil {
			engine = d.routes.Services()[name].Engine
		}
		s = intake.New(intake.Config{Domain: d.domain, Engine: engine}, d.random)
		d.services[name] = s
	}
	return s
}

func (d *dispatch) budgetOf(name ident.ServiceName) *routing.WindowBudget {
	b := d.budgets[name]
	if b == nil {
		b = routing.NewWindowBudget(d.budget)
		d.budgets[name] = b
	}
	return b
}

func (d *dispatch) choose(now time.Time, m choose) choice {
	if m.again && !d.budgetOf(m.service).Take(now, d.sharers(now)) {
		return choice{reason: outcome.ReasonRetryBudget}
	}
	server, ok := d.start(now, m.service, m.tried)
	if !ok {
		return choice{reason: outcome.ReasonNoServer}
	}
	return choice{server: server, ok: true}
}

// sharers is the number of entries that share the retry budget: those of which
// retries may lie in its window.
func (d *dispatch) sharers(now time.Time) int {
	n := 1
	for id, heard := range d.entries {
		if now.Sub(heard) > 2*d.budget.Window {
			delete(d.entries, id)
			continue
		}
		n++
	}
	return max(n, leastEntries)
}

// start picks a backend server and counts a request there.
func (d *dispatch) start(now time.Time, service ident.ServiceName, tried []ident.ServerID) (registry.Server, bool) {
	server, ok := d.service(service).Pick(now, tried)
	if ok {
		d.service(service).Started(server.ID)
	}
	return server, ok
}

func (d *dispatch) settle(now time.Time, m settle) {
	s := d.service(m.service)
	s.Ended(now, m.server, m.failed)
	if m.elsewhere {
		s.Drain(now, m.server)
	}
}

func (d *dispatch) setRoutes(now time.Time, r *record.Routes) {
	d.routes = r
	for name, s := range r.Services() {
		d.service(name).Configure(s.Engine)
	}
	d.metrics.version.Set(float64(r.Version()))
}

func (d *dispatch) setServers(now time.Time, servers []registry.Server) {
	d.tags = make(map[message.ServerTag]ident.ServerID, len(servers))
	for _, s := range servers {
		tag := message.TagOf(s.ID)
		if _, taken := d.tags[tag]; taken {
			// Nobody can tell which of the two is meant. Without an owner the counts of
			// the tag are left out.
			d.tags[tag] = ""
			continue
		}
		d.tags[tag] = s.ID
	}
	byService := make(map[ident.ServiceName][]registry.Server)
	for _, s := range servers {
		byService[s.Service] = append(byService[s.Service], s)
	}
	for name := range byService {
		d.service(name)
	}
	for name, s := range d.services {
		s.SetServers(now, byService[name])
	}
}

func (d *dispatch) heard(now time.Time, m heardWork) {
	d.entries[m.from] = now
	byServer := make(map[ident.ServerID]int, len(m.work.Servers))
	for _, w := range m.work.Servers {
		if id, known := d.tags[w.Server]; known {
			byServer[id] = w.Running
		}
	}
	demand := make(map[ident.ServiceName]float64, len(m.work.Demand))
	for _, one := range m.work.Demand {
		demand[one.Service] = one.PerSecond
	}
	for name, s := range d.services {
		s.UpdatePeer(now, m.from, byServer, demand[name])
	}
}

// heardSlow takes the slow servers that a group told of.
func (d *dispatch) heardSlow(now time.Time, slow []message.ServerPace) {
	if len(slow) == 0 {
		return
	}
	paces := make(map[string]float64, len(slow))
	for _, one := range slow {
		paces[one.Address] = one.Pace
	}
	for _, s := range d.services {
		s.UpdateSlowdowns(now, paces)
	}
}

// work tells what this entry has at each server, and the demand it sees.
func (d *dispatch) work(now time.Time) *message.EntryReport {
	w := new(message.EntryReport)
	for name, s := range d.services {
		w.Demand = append(w.Demand, message.ServiceDemand{Service: name, PerSecond: s.Demand(now)})
		for id, n := range s.Running() {
			w.Servers = append(w.Servers, message.ServerWork{Server: message.TagOf(id), Running: n})
		}
	}
	return w
}
