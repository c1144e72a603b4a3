package quarantine

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Set holds the quarantines of all services. What it returns as messages is meant for all
// other processes that send requests to the servers; they pass it to Handle. It is owned by
// one task and not safe for concurrent use.
type Set struct {
	byService map[ident.ServiceName]*Quarantine
	observe   func(ident.ServiceName, Transition)
}

// NewSet returns a set without evidence. Observe is called after each transition of an
// accused part.
func NewSet(observe func(ident.ServiceName, Transition)) *Set {
	return &Set{byService: make(map[ident.ServiceName]*Quarantine), observe: observe}
}

func (s *Set) of(service ident.ServiceName) *Quarantine {
	q := s.byService[service]
	if q == nil {
		q = New(func(t Transition) { s.observe(service, t) })
		s.byService[service] = q
	}
	return q
}

// Check decides whether a request for the service may be sent now.
func (s *Set) Check(now time.Time, service ident.ServiceName, parts []ident.PromptPart) Decision {
	return s.of(service).Check(now, parts)
}

// BeginTrial records that this process sends a request to try the part.
func (s *Set) BeginTrial(now time.Time, service ident.ServiceName, part ident.PromptPart) []message.Message {
	s.of(service).BeginTrial(now, part)
	return []message.Message{&message.PartTrial{Service: service, Part: part}}
}

// Output records that a server has begun to write an answer to a request.
func (s *Set) Output(now time.Time, service ident.ServiceName, parts []ident.PromptPart) []message.Message {
	return proofMessages(now, service, s.of(service).Output(now, parts))
}

// AttemptEnded records the end of an attempt that did not crash its server.
func (s *Set) AttemptEnded(now time.Time, service ident.ServiceName, parts []ident.PromptPart) {
	s.of(service).AttemptEnded(now, parts)
}

// Crashed records that a server crashed before the first output of a request.
func (s *Set) Crashed(now time.Time, service ident.ServiceName, server ident.ServerID, suspect Suspect) []message.Message {
	c := Crash{Server: server, At: now, Suspects: []Suspect{suspect}}
	report := crashReport(now, service, c)
	return append([]message.Message{report}, proofMessages(now, service, s.of(service).AddCrash(now, c))...)
}

// Handle adds what another process reports to the evidence. Messages of other kinds are
// ignored.
func (s *Set) Handle(now time.Time, m message.Message) []message.Message {
	switch m := m.(type) {
	case *message.CrashReport:
		c := Crash{Server: m.Server, At: now.Add(-m.Age)}
		for _, one := range m.Suspects {
			c.Suspects = append(c.Suspects, Suspect{Parts: one.Parts, Began: one.Began, Repeated: one.Repeated})
		}
		return proofMessages(now, m.Service, s.of(m.Service).AddCrash(now, c))
	case *message.PartsProven:
		var proofs []Proof
		for _, p := range m.Parts {
			proofs = append(proofs, Proof{Part: p.Part, At: now.Add(-p.Age)})
		}
		s.of(m.Service).AddProofs(now, proofs)
	case *message.PartTrial:
		s.of(m.Service).PeerTrial(now, m.Part)
	}
	return nil
}

// State returns what a process needs to know that has just started.
func (s *Set) State(now time.Time) []message.Message {
	var state []message.Message
	for service, q := range s.byService {
		for _, c := range q.Crashes() {
			state = append(state, crashReport(now, service, c))
		}
	}
	return state
}

// Accused returns the number of parts under suspicion over all services.
func (s *Set) Accused() int {
	accused := 0
	for _, q := range s.byService {
		accused += q.Accused()
	}
	return accused
}

func crashReport(now time.Time, service ident.ServiceName, c Crash) *message.CrashReport {
	m := &message.CrashReport{Service: service, Server: c.Server, Age: now.Sub(c.At)}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, message.CrashSuspect{Parts: s.Parts, Began: s.Began, Repeated: s.Repeated})
	}
	return m
}

func proofMessages(now time.Time, service ident.ServiceName, proofs []Proof) []message.Message {
	if len(proofs) == 0 {
		return nil
	}
	m := &message.PartsProven{Service: service}
	for _, p := range proofs {
		m.Parts = append(m.Parts, message.ProvenPart{Part: p.Part, Age: now.Sub(p.At)})
	}
	return []message.Message{m}
}
