package entry

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/routing"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/settings"
)

// query describes the request for which a server is wanted.
type query struct {
	model   ident.ModelName
	service ident.ServiceName
	account ident.ClientAccount
	class   ident.PriorityClass
	prefix  uint64
	cost    int64
	// prompt and prefixTokens are estimates in tokens.
	prompt       int64
	prefixTokens int64
	// creditWait is how long the request may wait at the entry for credit.
	creditWait time.Duration
	excluded   []ident.ServerID
}

// picker chooses backend servers with package routing. The dispatch task owns it.
type picker struct {
	router   *routing.Router
	snapshot *record.Snapshot
	linked   map[ident.ServerID]bool
	draining map[ident.ServerID]bool
	// baseline, if not nil, replaces the router's choice.
	baseline *baseline
}

func newPicker(seed uint64, s *settings.Settings) *picker {
	var b *baseline
	if s.Policy.Baseline() {
		b = &baseline{policy: s.Policy}
	}
	return &picker{
		router:   routing.New(seed, routing.Config{Domain: s.Domain, Region: s.Region}),
		baseline: b,
		linked:   make(map[ident.ServerID]bool), draining: make(map[ident.ServerID]bool),
	}
}

// serviceModel returns the model name that stands for a plain service at the router.
// It differs from all names of models, which have no slash.
func serviceModel(s ident.ServiceName) ident.ModelName { return ident.ModelName("service/" + s) }

// configure puts a record in force. Servers without a link get no work.
func (p *picker) configure(now time.Time, s *record.Snapshot) {
	p.snapshot = s
	servers := routingServers(s)
	p.router.Step(now, routing.Membership{Servers: servers})
	for _, server := range servers {
		if !p.linked[server.ID] {
			p.router.Step(now, routing.Link{Server: server.ID})
		}
	}
}

func routingServers(s *record.Snapshot) []routing.Server {
	groups := make(map[ident.ServerID]ident.GroupID)
	for id, g := range s.Groups {
		for _, rank := range g.Ranks {
			groups[rank] = id
		}
	}
	var list []routing.Server
	for id, r := range s.Replicas {
		if r.Role != record.RoleStandby {
			list = append(list, routing.Server{ID: id, Domain: r.Domain, Model: r.Model, Group: groups[id]})
		}
	}
	for name, service := range s.Services {
		for _, r := range service.Replicas {
			list = append(list, routing.Server{ID: r.ID, Domain: r.Domain, Model: serviceModel(name)})
		}
	}
	return list
}

// linkChanged reports to the router that the link to the server is up or down.
func (p *picker) linkChanged(now time.Time, server ident.ServerID, up bool) {
	p.linked[server] = up
	delete(p.draining, server)
	p.router.Step(now, routing.Link{Server: server, Up: up})
}

// reportAge is the mean age of the load report in a heartbeat.
const reportAge = 50 * time.Millisecond

// heartbeat reports a heartbeat of the server to the router.
func (p *picker) heartbeat(now time.Time, server ident.ServerID, h *message.Heartbeat) {
	l := h.Load
	p.router.Step(now, routing.Report{
		Server: server, Running: l.Running, QueuedCost: l.QueuedCost, Slots: l.Slots, Rate: l.TokensPerSecond,
		Age: reportAge, Window: l.Window, UsesCredit: l.Slots > 0, Impaired: impaired(l.GroupState),
	})
	if h.Draining != p.draining[server] {
		p.draining[server] = h.Draining
		p.router.Step(now, routing.Draining{Server: server, On: h.Draining})
	}
}

// impaired reports whether a group in this state runs slowly or not at all.
func impaired(groupState string) bool {
	return groupState != "" && groupState != "formed" && groupState != "apart"
}

// started reports the start of an attempt at the server to the router.
func (p *picker) started(now time.Time, server ident.ServerID, id ident.RequestID, q query) {
	p.router.Step(now, routing.Started{Server: server, Request: q.request(id)})
}

// firstOutput reports the first output of an attempt and the time since its offer.
func (p *picker) firstOutput(now time.Time, server ident.ServerID, id ident.RequestID, after time.Duration) {
	p.router.Step(now, routing.FirstOutput{Server: server, Request: id, After: after})
}

// ended reports the end of an attempt that started.
func (p *picker) ended(now time.Time, server ident.ServerID, id ident.RequestID, failed bool) {
	p.router.Step(now, routing.Ended{Server: server, Request: id, Failed: failed})
}

// noWaitAnswer reports whether a server was too busy for a no-wait request.
func (p *picker) noWaitAnswer(now time.Time, busy bool) {
	p.router.Step(now, routing.NoWaitAnswer{Busy: busy})
}

// pick returns a server, or the reason why there is none now.
func (p *picker) pick(now time.Time, q query) (ident.ServerID, outcome.Outcome, bool) {
	if p.snapshot == nil {
		return "", outcome.DidNotRun(outcome.ReasonConfiguration, ""), false
	}
	if p.baseline != nil {
		return p.baseline.pick(p, q)
	}
	return p.router.Pick(now, q.request(""))
}

// noWait reports whether a server without a free slot should refuse.
func (p *picker) noWait(now time.Time, q query) bool {
	return p.baseline == nil && p.router.NoWait(now, q.request(""))
}

func (q query) request(id ident.RequestID) routing.Request {
	model := q.model
	if q.service != "" {
		model = serviceModel(q.service)
	}
	return routing.Request{
		ID: id, Model: model, Class: q.class, Account: q.account, Cost: q.cost, PromptTokens: q.prompt,
		Prefix: q.prefix, PrefixTokens: q.prefixTokens, Tried: q.excluded,
	}
}
