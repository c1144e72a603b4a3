package quarantine

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// maxTrialMessages bounds the traits of a trial that others are told of. Requests with a trait in
// common with the trial mostly have several in common.
const maxTrialMessages = 32

// Set holds the quarantines of all services. What it returns as messages is meant for all
// other processes that send requests to the servers; they pass it to Handle. It is owned by
// one task and not safe for concurrent use.
type Set struct {
	byService map[ident.ServiceName]*Quarantine
	observe   func(ident.ServiceName, Transition)
}

// NewSet returns a set without evidence. Observe is called after each transition of an
// accused trait.
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
func (s *Set) Check(now time.Time, service ident.ServiceName, traits Traits) Decision {
	return s.of(service).Check(now, traits)
}

// BeginTrial records that this process sends a request to try the traits.
func (s *Set) BeginTrial(now time.Time, service ident.ServiceName, traits Traits) []message.Message {
	s.of(service).BeginTrial(now, traits)
	all := traits.all()
	var list []message.Message
	for _, t := range all[:min(len(all), maxTrialMessages)] {
		list = append(list, &message.TraitTrial{Service: service, Part: t.Part, Request: t.Request})
	}
	return list
}

// Refused records that a request was refused because Check did not allow it.
func (s *Set) Refused(now time.Time, service ident.ServiceName, traits Traits) []message.Message {
	q := s.of(service)
	q.Refused(now, traits)
	if !q.Recurred(now, traits.Request) {
		return nil
	}
	return []message.Message{&message.RequestRecurred{Service: service, Request: traits.Request}}
}

// Output records that a server has begun to write an answer to a request.
func (s *Set) Output(now time.Time, service ident.ServiceName, traits Traits) []message.Message {
	return proofMessages(now, service, s.of(service).Output(now, traits))
}

// AttemptEnded records the end of an attempt that did not crash its server.
func (s *Set) AttemptEnded(now time.Time, service ident.ServiceName, traits Traits) {
	s.of(service).AttemptEnded(now, traits)
}

// Crashed records that a server crashed before the first output of a request.
func (s *Set) Crashed(now time.Time, service ident.ServiceName, server ident.ServerID, suspect Suspect) []message.Message {
	q := s.of(service)
	c := Crash{Server: server, At: now, Suspects: []Suspect{q.reported(suspect)}}
	report := crashReport(now, service, c)
	return append([]message.Message{report}, proofMessages(now, service, q.AddCrash(now, c))...)
}

// Handle adds what another process reports to the evidence. Messages of other kinds are
// ignored. News reports whether the message told something new, so that a process whose
// peers are not all linked to each other passes it on.
func (s *Set) Handle(now time.Time, m message.Message) (replies []message.Message, news bool) {
	switch m := m.(type) {
	case *message.CrashReport:
		c := Crash{Server: m.Server, At: now.Add(-m.Age)}
		for _, one := range m.Suspects {
			c.Suspects = append(c.Suspects, Suspect{
				Traits: Traits{Request: one.Request, Parts: one.Parts}, Began: one.Began, Silent: one.Silent, Repeated: one.Repeated,
			})
		}
		q := s.of(m.Service)
		news = !q.knowsCrash(c)
		return proofMessages(now, m.Service, q.AddCrash(now, c)), news
	case *message.TraitsProven:
		var proofs []Proof
		for _, p := range m.Traits {
			proofs = append(proofs, Proof{Trait: Trait{Part: p.Part, Request: p.Request}, At: now.Add(-p.Age)})
		}
		q := s.of(m.Service)
		news = slices.ContainsFunc(proofs, func(p Proof) bool { return !q.knowsProof(p) })
		q.AddProofs(now, proofs)
	case *message.TraitTrial:
		t := Trait{Part: m.Part, Request: m.Request}
		q := s.of(m.Service)
		news = !q.onTrial(t)
		q.PeerTrial(now, t)
		news = news && q.onTrial(t)
	case *message.RequestRecurred:
		// The message has no number by which a copy could be told from another recurrence, so
		// it is not passed on.
		s.of(m.Service).Recurred(now, m.Request)
	}
	return nil, news
}

// Handles reports whether Handle takes messages of this kind.
func Handles(m message.Message) bool {
	switch m.(type) {
	case *message.CrashReport, *message.TraitsProven, *message.TraitTrial, *message.RequestRecurred:
		return true
	default:
		return false
	}
}

// State returns what a process needs to know that has just started.
func (s *Set) State(now time.Time) []message.Message {
	var state []message.Message
	for service, q := range s.byService {
		for _, c := range q.Crashes() {
			// The proofs come first, so that no sound trait is ever accused.
			state = append(state, proofMessages(now, service, q.proofsAbout(c))...)
			state = append(state, crashReport(now, service, c))
		}
	}
	return state
}

// Held returns the numbers of prompt parts and of whole requests that are held, over all
// services.
func (s *Set) Held(now time.Time) (parts, requests int) {
	for _, q := range s.byService {
		p, r := q.Held(now)
		parts, requests = parts+p, requests+r
	}
	return parts, requests
}

func crashReport(now time.Time, service ident.ServiceName, c Crash) *message.CrashReport {
	m := &message.CrashReport{Service: service, Server: c.Server, Age: now.Sub(c.At)}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, message.CrashSuspect{Parts: s.Parts, Began: s.Began, Repeated: s.Repeated, Request: s.Request, Silent: s.Silent})
	}
	return m
}

func proofMessages(now time.Time, service ident.ServiceName, proofs []Proof) []message.Message {
	if len(proofs) == 0 {
		return nil
	}
	m := &message.TraitsProven{Service: service}
	for _, p := range proofs {
		m.Traits = append(m.Traits, message.ProvenTrait{Part: p.Trait.Part, Age: now.Sub(p.At), Request: p.Trait.Request})
	}
	return []message.Message{m}
}
