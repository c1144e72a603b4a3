package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/decide/intake"
	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/decide/registry"
	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	dispatchCapacity = 1024
	// minBudgetEntries is the minimum number of entries among which the slack of the retry
	// budget is divided. An entry that knows few others may be partitioned from them.
	minBudgetEntries = 14
	// minRetryAfter is the minimum time after which a refused client may retry. The client
	// has waited for a slot already, so the burst that took the slots should end first.
	minRetryAfter = time.Second
	// retryAfterJitter is the range of the random time that is added to minRetryAfter, so
	// that clients that are refused together do not retry together.
	retryAfterJitter = 1400 * time.Millisecond
)

// dispatchMessage is a message to the dispatch task.
type dispatchMessage interface{ isDispatchMessage() }

type (
	// admit asks for the admission of a request.
	admit struct {
		host, path string
		key        record.KeyHash
		hasKey     bool
		// timeLeft is how long the client waits for the answer; zero if not given.
		timeLeft time.Duration
		// parts are the shared parts of the prompt.
		parts   []ident.PromptPart
		content quarantine.Content
		reply   chan<- admission
	}
	// choose asks for a backend server for one attempt.
	choose struct {
		service ident.ServiceName
		tried   []ident.ServerID
		// retry reports whether the request has been sent to a server before.
		retry  bool
		traits quarantine.Traits
		reply  chan<- choice
	}
	// attemptEnded reports the end of an attempt.
	attemptEnded struct {
		service ident.ServiceName
		server  ident.ServerID
		failed  bool
		// misdirected reports whether the address now belongs to another server.
		misdirected bool
		traits      quarantine.Traits
		// crashed reports whether the server crashed before the first output, began whether
		// the head of a stream had arrived by then, silent whether the answer is no stream.
		crashed, began, silent bool
		// crashedBefore reports whether the request had crashed another server before.
		crashedBefore bool
		// answeredAt is when an answer arrived that announces no rate, zero without one.
		answeredAt time.Time
	}
	// rateObserved reports an answer in which a server announces a rate.
	rateObserved struct {
		service   ident.ServiceName
		server    ident.ServerID
		perSecond float64
	}
	// pauseRequested reports that a server, with the start time, turned a request away and
	// wants none for a time.
	pauseRequested struct {
		service ident.ServiceName
		server  ident.ServerID
		started time.Time
		length  time.Duration
	}
	// maySend asks whether a request may still be sent to the server picked for it.
	maySend struct {
		service ident.ServiceName
		server  ident.ServerID
		reply   chan<- bool
	}
	// gapObserved reports the mean time between two events of a stream.
	gapObserved struct {
		service ident.ServiceName
		gap     time.Duration
	}
	setRoutes  struct{ routes *record.Routes }
	setServers struct{ servers []registry.Server }
	// peerReport is the report of another entry.
	peerReport struct {
		from   ident.InstanceID
		report *message.EntryReport
	}
	// updateSlowdowns is a group's report of its slow servers.
	updateSlowdowns struct{ slow []message.ServerSlowdown }
	// getReport asks for the report of this entry's requests.
	getReport struct {
		reply chan<- ownReport
	}
	// peerRates holds the announced rates of another entry, of whom a report follows.
	peerRates struct {
		from  ident.InstanceID
		rates []message.AnnouncedRate
	}
)

func (admit) isDispatchMessage()           {}
func (choose) isDispatchMessage()          {}
func (attemptEnded) isDispatchMessage()    {}
func (rateObserved) isDispatchMessage()    {}
func (gapObserved) isDispatchMessage()     {}
func (pauseRequested) isDispatchMessage()  {}
func (maySend) isDispatchMessage()         {}
func (setRoutes) isDispatchMessage()       {}
func (setServers) isDispatchMessage()      {}
func (peerReport) isDispatchMessage()      {}
func (getReport) isDispatchMessage()       {}
func (updateSlowdowns) isDispatchMessage() {}
func (peerRates) isDispatchMessage()       {}

// admission answers admit. The request is admitted if the status is zero.
type admission struct {
	status     int
	outcome    outcome.Outcome
	retryAfter time.Duration
	route      *record.Route
	service    ident.ServiceName
	account    ident.ClientAccount
	// traits are what the request may have in common with one that crashes servers.
	traits   quarantine.Traits
	priority int
	version  ident.Revision
	state    intake.State
	// server is the backend server for the first attempt. The request already counts
	// towards its load.
	server registry.Server
	// waited is how long the request waited for a slot.
	waited time.Duration
}

// choice answers choose.
type choice struct {
	server registry.Server
	ok     bool
	reason outcome.Reason
	// retryAfter is when the client may come back, zero if not known.
	retryAfter time.Duration
	// unsettled reports whether another choice may be possible within a few milliseconds.
	unsettled bool
}

// dispatch is the task that admits requests and picks their backend servers. It owns
// the state on which both depend.
type dispatch struct {
	mailbox *task.Mailbox[dispatchMessage]
	domain  ident.FailureDomain
	random  *rand.Rand
	routes  *record.Routes
	// tags are the ids of the known backend servers by the tags that entries use in
	// their reports to each other.
	tags     map[message.ServerTag]ident.ServerID
	services map[ident.ServiceName]*intake.Service
	budgets  map[ident.ServiceName]*routing.WindowBudget
	budget   routing.WindowConfig
	// entries holds when each of the other entries last sent a report.
	entries map[ident.InstanceID]time.Time
	// rates holds the announced rates of other entries until their report arrives.
	rates   map[ident.InstanceID][]message.AnnouncedRate
	metrics *metrics
	logger  zerolog.Logger
	// requestTags name the fingerprints of requests in the log.
	requestTags eventlog.RequestTags
	// quarantine holds what may crash servers.
	quarantine *quarantine.Set
	// notices are messages that the control task sends to all other entries.
	notices *task.Mailbox[message.Message]
	// waiting are the requests that wait for a slot, in the order in which they get one.
	waiting []*waiter
}

func newDispatch(domain ident.FailureDomain, random *rand.Rand, budget routing.WindowConfig, m *metrics) *dispatch {
	d := &dispatch{
		mailbox: task.NewMailbox[dispatchMessage](dispatchCapacity, task.Block),
		domain:  domain, random: random, budget: budget, metrics: m,
		services: make(map[ident.ServiceName]*intake.Service),
		budgets:  make(map[ident.ServiceName]*routing.WindowBudget),
		entries:  make(map[ident.InstanceID]time.Time),

		rates:   make(map[ident.InstanceID][]message.AnnouncedRate),
		notices: task.NewMailbox[message.Message](noticeCapacity, task.DropOldest),
	}
	d.initQuarantine()
	return d
}

// run is the main loop of the task.
func (d *dispatch) run(ctx context.Context) error {
	defer d.mailbox.Close()
	timer := time.NewTimer(emptyQueueInterval)
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
	case attemptEnded:
		d.endAttempt(now, m)
	case rateObserved:
		d.observeRate(now, m)
	case pauseRequested:
		d.service(m.service).Pause(now, m.server, m.started, m.length)
		d.logger.Info().Str("server", string(m.server)).Dur("pause", m.length).Msg("backend server turned a request away and asked for a pause")
	case maySend:
		m.reply <- d.service(m.service).MaySend(now, m.server)
	case gapObserved:
		d.service(m.service).ObserveGap(now, m.gap)
	case setRoutes:
		d.setRoutes(now, m.routes)
	case setServers:
		d.setServers(now, m.servers)
	case peerRates:
		d.rates[m.from] = m.rates
	case peerReport:
		d.updatePeer(now, m)
		d.updateSlowdowns(now, m.report.Slow)
	case updateSlowdowns:
		d.updateSlowdowns(now, m.slow)
	case getReport:
		m.reply <- d.report(now)
	case outputBegan:
		d.noteEvidence(now, d.quarantine.Output(now, m.service, m.traits))
	case peerNotice:
		// Entries are linked to each other, so nothing is passed on.
		replies, _ := d.quarantine.Handle(now, m.message)
		d.noteEvidence(now, replies)
	case getQuarantineState:
		m.reply <- d.quarantine.State(now)
	}
}

// admit refuses a request, or lets it wait for a slot.
func (d *dispatch) admit(now time.Time, m admit) {
	if d.routes == nil {
		m.reply <- refusal(http.StatusServiceUnavailable, outcome.ReasonConfiguration, d.retryAfter())
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
		a.status, a.outcome = http.StatusUnauthorized, outcome.DidNotRun(outcome.ReasonUnauthenticated, "unknown API key")
		m.reply <- a
		return
	}
	a.traits = quarantine.TraitsOf(m.content.Fingerprint(a.account), m.parts)
	a.service = d.pickService(route)
	d.budgetOf(a.service).Request(now)
	d.service(a.service).Arrived(now)
	if decision := d.quarantine.Check(now, a.service, a.traits); !decision.Send && !decision.Unsettled {
		m.reply <- d.refuseQuarantined(now, a, decision)
		return
	}
	d.enqueue(now, m, a)
}

// refuseQuarantined returns the refusal of a request that may crash a server.
func (d *dispatch) refuseQuarantined(now time.Time, a admission, decision quarantine.Decision) admission {
	d.noteEvidence(now, d.quarantine.Refused(now, a.service, a.traits))
	a.status, a.retryAfter = http.StatusServiceUnavailable, d.quarantineRetryAfter(decision)
	a.outcome = outcome.DidNotRun(outcome.ReasonQuarantined, "the request may crash backend servers")
	return a
}

func refusal(status int, reason outcome.Reason, wait time.Duration) admission {
	return admission{status: status, outcome: outcome.DidNotRun(reason, ""), retryAfter: wait}
}

func (d *dispatch) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(d.random.Int64N(int64(retryAfterJitter)))
}

// identify sets the account of the API key. It reports whether the request may proceed:
// an anonymous route needs no key.
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

// pickService picks one of the route's services at random by weight.
func (d *dispatch) pickService(route *record.Route) ident.ServiceName {
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
	if refused, ok := d.mayRetry(now, m); !ok {
		return refused
	}
	if m.retry && !d.budgetOf(m.service).Take(now, d.budgetEntries(now)) {
		return choice{reason: outcome.ReasonRetryBudget}
	}
	server, ok := d.pickServer(now, m.service, m.tried)
	if !ok {
		return choice{reason: outcome.ReasonNoServer, retryAfter: d.resumeRetryAfter(now, m.service)}
	}
	return choice{server: server, ok: true}
}

// budgetEntries returns the number of entries that share the retry budget: those that
// may have made retries within its window.
func (d *dispatch) budgetEntries(now time.Time) int {
	n := 1
	for id, lastReport := range d.entries {
		if now.Sub(lastReport) > 2*d.budget.Window {
			delete(d.entries, id)
			continue
		}
		n++
	}
	return max(n, minBudgetEntries)
}

// pickServer picks a backend server and counts a request towards its load.
func (d *dispatch) pickServer(now time.Time, service ident.ServiceName, tried []ident.ServerID) (registry.Server, bool) {
	server, ok := d.service(service).Pick(now, tried)
	if ok {
		d.service(service).Started(now, server.ID)
	}
	return server, ok
}

func (d *dispatch) endAttempt(now time.Time, m attemptEnded) {
	s := d.service(m.service)
	s.Ended(now, m.server, m.failed)
	if !m.answeredAt.IsZero() && s.ObserveRate(now, m.answeredAt, m.server, 0, false) {
		d.logger.Info().Str("server", string(m.server)).Msg("backend server no longer announces a rate")
	}
	if m.crashed {
		d.recordCrash(now, m)
	} else {
		d.quarantine.AttemptEnded(now, m.service, m.traits)
	}
	if m.misdirected {
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
			// The tag is ambiguous. Counts that are reported under it are ignored.
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
