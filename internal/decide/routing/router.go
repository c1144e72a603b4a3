package routing

import (
	"math/rand/v2"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// Router chooses backend servers for one entry. One task owns it.
type Router struct {
	config   Config
	machine  *chart.Machine[*replica]
	replicas []*replica
	byServer map[ident.ServerID]*replica
	hints    hints
	random   *rand.Rand
	turn     int
	// busy is the recent share of no-wait requests that found no free slot.
	busy float64
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

// Step takes in what the entry has learned.
func (r *Router) Step(now time.Time, m Message) {
	switch m := m.(type) {
	case Membership:
		r.setMembers(now, m.Servers)
	case Report:
		r.on(m.Server, func(p *replica) { p.takeReport(now, m) })
	case Started:
		r.on(m.Server, func(p *replica) { p.start(now, m) })
		r.hints.sent(now, m.Server, m.Request.Prefix)
	case FirstToken:
		r.on(m.Server, func(p *replica) { r.firstToken(now, p, m) })
	case Ended:
		r.on(m.Server, func(p *replica) { p.finish(now, m) })
	case Stalled:
		r.on(m.Server, func(p *replica) { p.life.Fire(now, "stalled") })
	case Draining:
		r.on(m.Server, func(p *replica) { p.life.Fire(now, drainEvent(m.On)) })
	case Link:
		r.on(m.Server, func(p *replica) { p.setLink(now, m) })
	case CacheEvent:
		r.hints.event(now, m)
	case Answered:
		r.answered(m)
	}
}

func drainEvent(on bool) string {
	if on {
		return "drain"
	}
	return "undrain"
}

func (r *Router) on(server ident.ServerID, do func(*replica)) {
	if p := r.byServer[server]; p != nil {
		do(p)
	}
}

// setMembers keeps what is known about replicas that stay.
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
			p = &replica{name: replicaName(s), pending: make(map[ident.RequestID]started), down: make(map[ident.ServerID]bool),
				reports: make(map[ident.ServerID]Report), at: make(map[ident.ServerID]int),
			}
			p.life = r.machine.New(now, p)
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
	p.report = p.sum()
	p.reported = now.Add(-m.Age)
	if m.Server == p.members[0].ID {
		p.spent = [3]spending{}
	}
	p.peak = max(peakDecay*p.peak, p.report.Rate)
	p.ownRunning, p.sentSince = 0, 0
	for _, w := range p.pending {
		if w.at.After(p.reported) {
			p.sentSince += w.cost
		} else {
			p.ownRunning++
		}
	}
}

func (p *replica) start(now time.Time, m Started) {
	request := m.Request
	if old, again := p.pending[request.ID]; again {
		p.forget(request.ID, old)
	}
	p.at[m.Server]++
	p.pending[request.ID] = started{server: m.Server, cost: request.Cost, at: now, class: request.Class, prompt: request.PromptTokens}
	p.prompts += request.PromptTokens
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
		p.life.Fire(now, "failed")
	case p.life.In("trial"):
		p.life.Fire(now, "recovered")
	}
}

// forget removes a request from the counts.
func (p *replica) forget(id ident.RequestID, work started) {
	delete(p.pending, id)
	p.at[work.server]--
	p.prompts -= work.prompt
	if work.at.After(p.reported) {
		p.sentSince -= work.cost
	}
}

func (p *replica) setLink(now time.Time, m Link) {
	p.down[m.Server] = !m.Up
	_, linked := p.member(nil)
	switch {
	case linked && p.life.In("unlinked"):
		p.life.Fire(now, "linkUp")
	case !linked:
		p.life.Fire(now, "linkLost")
	}
}

// firstToken compares a replica with the mean over all replicas.
func (r *Router) firstToken(now time.Time, p *replica, m FirstToken) {
	if work, known := p.pending[m.Request]; known {
		p.prompts -= work.prompt
		work.prompt = 0
		p.pending[m.Request] = work
	}
	p.observeFirstToken(m.After)
	sum, n := 0.0, 0
	for _, other := range r.replicas {
		if other != p && other.firstToken > 0 {
			sum += other.firstToken
			n++
		}
	}
	if n > 0 && p.firstToken > slowFactor*sum/float64(n) {
		p.life.Fire(now, "slow")
	}
}

// usable returns the replicas that may get the request, best group first: with
// credit and untried if there are any.
func (r *Router) usable(now time.Time, q Request) []*replica {
	var fit []*replica
	for _, p := range r.replicas {
		if p.members[0].Model != q.Model || !p.usable(now) || p.tried(q.Tried) {
			continue
		}
		if p.credit(q) {
			fit = append(fit, p)
		}
	}
	return fit
}

// lastResort returns the replicas that get no work because of their failures, if
// all that could take the request are such. Then the fault may lie elsewhere,
// and a doubtful replica is better than none.
func (r *Router) lastResort(now time.Time, q Request) []*replica {
	var list []*replica
	for _, p := range r.replicas {
		if p.members[0].Model != q.Model || !p.life.In("eligible") || p.tried(q.Tried) {
			continue
		}
		if p.usable(now) {
			return nil
		}
		if p.credit(q) {
			list = append(list, p)
		}
	}
	return list
}

// tried reports whether no member is left that the request has not tried.
func (p *replica) tried(servers []ident.ServerID) bool {
	_, left := p.member(servers)
	return !left
}

// Explain returns the state and the number of this entry's running requests at
// a server, for the status page.
func (r *Router) Explain(server ident.ServerID) (state string, pending int, known bool) {
	p := r.byServer[server]
	if p == nil {
		return "", 0, false
	}
	return p.life.State(), len(p.pending), true
}
