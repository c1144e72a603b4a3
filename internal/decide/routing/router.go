package routing

import (
	"math/rand/v2"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Router chooses backend servers for one entry. It is owned by one task and not
// safe for concurrent use.
type Router struct {
	config   Config
	machine  *chart.Machine[*replica]
	replicas []*replica
	byServer map[ident.ServerID]*replica
	hints    hints
	random   *rand.Rand
	// turn counts the picks of the round-robin baseline.
	turn int
	// busyShare is the smoothed share of no-wait requests that found no free slot.
	busyShare float64
}

// New returns a router without servers.
func New(seed uint64, c Config) *Router {
	return &Router{
		config:   c.withDefaults(),
		machine:  replicaMachine(),
		byServer: make(map[ident.ServerID]*replica),
		hints:    newHints(),
		random:   rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
	}
}

// Step updates the router with a message.
func (r *Router) Step(now time.Time, m Message) {
	switch m := m.(type) {
	case Membership:
		r.setMembers(now, m.Servers)
	case Report:
		r.on(m.Server, func(p *replica) { p.takeReport(now, m) })
	case Started:
		r.on(m.Server, func(p *replica) { p.start(now, m) })
		r.hints.sent(now, m.Server, m.Request.Prefix)
	case FirstOutput:
		r.on(m.Server, func(p *replica) { r.recordFirstOutput(now, p, m) })
	case Ended:
		r.on(m.Server, func(p *replica) { p.finish(now, m) })
	case Stalled:
		r.on(m.Server, func(p *replica) { p.lifecycle.Fire(now, "stalled") })
	case Draining:
		r.on(m.Server, func(p *replica) { p.lifecycle.Fire(now, drainEvent(m.On)) })
	case Link:
		r.on(m.Server, func(p *replica) { p.setLink(now, m) })
	case CacheEvent:
		r.hints.event(now, m)
	case NoWaitAnswer:
		r.answered(m)
	}
}

func drainEvent(on bool) string {
	if on {
		return "drain"
	}
	return "undrain"
}

// on calls do with the server's replica, if the server is known.
func (r *Router) on(server ident.ServerID, do func(*replica)) {
	if p := r.byServer[server]; p != nil {
		do(p)
	}
}

// setMembers replaces the servers and keeps the state of replicas that remain.
func (r *Router) setMembers(now time.Time, servers []Server) {
	known := make(map[string]*replica, len(r.replicas))
	for _, p := range r.replicas {
		p.members = nil
		known[p.name] = p
	}
	r.replicas, r.byServer = nil, make(map[ident.ServerID]*replica, len(servers))
	for _, s := range servers {
		p := known[replicaName(s)]
		if p == nil {
			p = &replica{name: replicaName(s), pending: make(map[ident.RequestID]runningRequest), linkDown: make(map[ident.ServerID]bool),
				reports: make(map[ident.ServerID]Report), runningAt: make(map[ident.ServerID]int),
			}
			p.lifecycle = r.machine.New(now, p)
			known[p.name] = p
		}
		if len(p.members) == 0 {
			r.replicas = append(r.replicas, p)
		}
		p.members = append(p.members, s)
		r.byServer[s.ID] = p
	}
}

func replicaName(s Server) string {
	if s.Group != "" {
		return "group " + string(s.Group)
	}
	return "server " + string(s.ID)
}

func (p *replica) takeReport(now time.Time, m Report) {
	p.reports[m.Server] = m
	p.report = p.sumReports()
	p.reportedAt = now.Add(-m.Age)
	// A group's credit starts anew with the report of its first member only.
	if m.Server == p.members[0].ID {
		p.spent = [3]creditUse{}
	}
	p.peakRate = max(peakDecay*p.peakRate, p.report.Rate)
	p.ownReported, p.sentSince = 0, 0
	for _, w := range p.pending {
		if w.sentAt.After(p.reportedAt) {
			p.sentSince += w.cost
		} else {
			p.ownReported++
		}
	}
}

func (p *replica) start(now time.Time, m Started) {
	request := m.Request
	if old, again := p.pending[request.ID]; again {
		p.forget(request.ID, old)
	}
	p.runningAt[m.Server]++
	p.pending[request.ID] = runningRequest{server: m.Server, cost: request.Cost, sentAt: now, class: request.Class, prefillTokens: request.PromptTokens}
	p.prefillTokens += request.PromptTokens
	p.sentSince += request.Cost
	p.spent[classIndex(request.Class)].add(request.Account, request.Cost)
}

func (p *replica) finish(now time.Time, m Ended) {
	work, known := p.pending[m.Request]
	if !known {
		return
	}
	p.forget(m.Request, work)
	switch {
	case m.Failed:
		p.lifecycle.Fire(now, "failed")
	case p.lifecycle.In("trial"):
		p.lifecycle.Fire(now, "recovered")
	}
}

// forget removes a request from all counts.
func (p *replica) forget(id ident.RequestID, work runningRequest) {
	delete(p.pending, id)
	p.runningAt[work.server]--
	p.prefillTokens -= work.prefillTokens
	if work.sentAt.After(p.reportedAt) {
		p.sentSince -= work.cost
	}
}

func (p *replica) setLink(now time.Time, m Link) {
	p.linkDown[m.Server] = !m.Up
	_, linked := p.member(nil)
	switch {
	case linked && p.lifecycle.In("unlinked"):
		p.lifecycle.Fire(now, "linkUp")
	case !linked:
		p.lifecycle.Fire(now, "linkLost")
	}
}

// recordFirstOutput records a first-output time, and whether it makes the replica slow
// compared with the mean of the other replicas.
func (r *Router) recordFirstOutput(now time.Time, p *replica, m FirstOutput) {
	if work, known := p.pending[m.Request]; known {
		p.prefillTokens -= work.prefillTokens
		work.prefillTokens = 0
		p.pending[m.Request] = work
	}
	p.observeFirstOutput(m.After)
	sum, n := 0.0, 0
	for _, other := range r.replicas {
		if other != p && other.firstOutputTime > 0 {
			sum += other.firstOutputTime
			n++
		}
	}
	if n > 0 && p.firstOutputTime > slowFactor*sum/float64(n) {
		p.lifecycle.Fire(now, "slow")
	}
}

// usable returns the model's replicas that may get the request: they take work,
// have credit for it and a member that it has not tried.
func (r *Router) usable(now time.Time, q Request) []*replica {
	var usable []*replica
	for _, p := range r.replicas {
		if p.members[0].Model != q.Model || !p.usable(now) || p.tried(q.Tried) {
			continue
		}
		if p.hasCredit(q) {
			usable = append(usable, p)
		}
	}
	return usable
}

// fallback returns the replicas with credit that get no work because of failures or
// a trial, if no other replica could take the request: the fault may lie elsewhere,
// and a failing replica is better than none.
func (r *Router) fallback(now time.Time, q Request) []*replica {
	var list []*replica
	for _, p := range r.replicas {
		if p.members[0].Model != q.Model || !p.lifecycle.In("eligible") || p.tried(q.Tried) {
			continue
		}
		if p.usable(now) {
			return nil
		}
		if p.hasCredit(q) {
			list = append(list, p)
		}
	}
	return list
}

// tried reports whether the request has tried every linked member.
func (p *replica) tried(servers []ident.ServerID) bool {
	_, left := p.member(servers)
	return !left
}

// ServerState returns, for the status page, the state of a server's replica and the
// number of this entry's running requests there.
func (r *Router) ServerState(server ident.ServerID) (state string, pending int, known bool) {
	p := r.byServer[server]
	if p == nil {
		return "", 0, false
	}
	return p.lifecycle.State(), len(p.pending), true
}
