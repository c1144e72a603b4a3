package gateway

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

// noticeCapacity is the capacity of the mailbox for messages to the other entries. If it is
// full the oldest are dropped: the other entries then learn from their own crashes.
const noticeCapacity = 256

type (
	// outputBegan reports the first output to a request with shared prompt parts.
	outputBegan struct {
		service ident.ServiceName
		parts   []ident.PromptPart
	}
	// peerNotice is a crash report, proof or trial of another entry.
	peerNotice struct{ message message.Message }
	// getCrashes asks for the reports of the crashes whose cause is open.
	getCrashes struct {
		reply chan<- []message.Message
	}
)

func (outputBegan) isDispatchMessage() {}
func (peerNotice) isDispatchMessage()  {}
func (getCrashes) isDispatchMessage()  {}

// quarantine returns the quarantine of the prompt parts of a service.
func (d *dispatch) quarantine(name ident.ServiceName) *quarantine.Quarantine {
	q := d.quarantines[name]
	if q == nil {
		q = quarantine.New(func(t quarantine.Transition) {
			d.logger.Warn().Str("service", string(name)).Str("part", string(t.Part)).Str("from", t.From).Str("to", t.To).
				Dur("hold", t.Hold).Msg("quarantine of a prompt part changed")
		})
		d.quarantines[name] = q
	}
	return q
}

// notify sends a message to all other entries.
func (d *dispatch) notify(m message.Message) {
	// The mailbox drops the oldest message if it is full, so Send does not wait.
	d.notices.Send(context.Background(), m)
}

// recordOutput records that the parts did not crash the server.
func (d *dispatch) recordOutput(now time.Time, m outputBegan) {
	d.notifyProofs(now, m.service, d.quarantine(m.service).Output(now, m.parts))
	d.countAccused()
}

func (d *dispatch) notifyProofs(now time.Time, service ident.ServiceName, proofs []quarantine.Proof) {
	if len(proofs) == 0 {
		return
	}
	m := &message.PartsProven{Service: service}
	for _, p := range proofs {
		m.Parts = append(m.Parts, message.ProvenPart{Part: p.Part, Age: now.Sub(p.At)})
	}
	d.notify(m)
}

// recordCrash records that a server crashed before the first output of an attempt.
func (d *dispatch) recordCrash(now time.Time, m attemptEnded) {
	c := quarantine.Crash{Server: m.server, At: now, Suspects: []quarantine.Suspect{{Parts: m.parts, Began: m.answerBegan, Repeated: m.crashedBefore}}}
	d.notify(crashReport(now, m.service, c))
	d.addCrash(now, m.service, c)
	d.metrics.crashes.Inc()
}

func (d *dispatch) addCrash(now time.Time, service ident.ServiceName, c quarantine.Crash) {
	d.notifyProofs(now, service, d.quarantine(service).AddCrash(now, c))
	d.countAccused()
}

func (d *dispatch) countAccused() {
	accused := 0
	for _, q := range d.quarantines {
		accused += q.Accused()
	}
	d.metrics.quarantined.Set(float64(accused))
}

func crashReport(now time.Time, service ident.ServiceName, c quarantine.Crash) *message.CrashReport {
	m := &message.CrashReport{Service: service, Server: c.Server, Age: now.Sub(c.At)}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, message.CrashSuspect{Parts: s.Parts, Began: s.Began, Repeated: s.Repeated})
	}
	return m
}

// crashReports returns reports of all crashes whose cause is open.
func (d *dispatch) crashReports(now time.Time) []message.Message {
	var reports []message.Message
	for name, q := range d.quarantines {
		for _, c := range q.Crashes() {
			reports = append(reports, crashReport(now, name, c))
		}
	}
	return reports
}

// handleNotice adds what another entry reports to the evidence.
func (d *dispatch) handleNotice(now time.Time, m message.Message) {
	switch m := m.(type) {
	case *message.CrashReport:
		c := quarantine.Crash{Server: m.Server, At: now.Add(-m.Age)}
		for _, s := range m.Suspects {
			c.Suspects = append(c.Suspects, quarantine.Suspect{Parts: s.Parts, Began: s.Began, Repeated: s.Repeated})
		}
		d.addCrash(now, m.Service, c)
	case *message.PartsProven:
		var proofs []quarantine.Proof
		for _, p := range m.Parts {
			proofs = append(proofs, quarantine.Proof{Part: p.Part, At: now.Add(-p.Age)})
		}
		d.quarantine(m.Service).AddProofs(now, proofs)
		d.countAccused()
	case *message.PartTrial:
		d.quarantine(m.Service).PeerTrial(now, m.Part)
	}
}

// mayRetry reports whether a further attempt may be sent, and if not, the choice to return.
// A request that may have crashed a server is never a trial.
func (d *dispatch) mayRetry(now time.Time, m choose) (choice, bool) {
	decision := d.quarantine(m.service).Check(now, m.parts)
	if decision.Send && decision.Trial == "" {
		return choice{}, true
	}
	return choice{reason: outcome.ReasonQuarantined, retryAfter: d.quarantineRetryAfter(decision), unsettled: decision.Unsettled}, false
}

// quarantineRetryAfter returns when a client may send a request with a held part again.
func (d *dispatch) quarantineRetryAfter(decision quarantine.Decision) time.Duration {
	return max(decision.Wait, 0) + d.retryAfter()
}

// beginTrial records a trial and tells the other entries, so that they begin none.
func (d *dispatch) beginTrial(now time.Time, service ident.ServiceName, part ident.PromptPart) {
	d.quarantine(service).BeginTrial(now, part)
	d.notify(&message.PartTrial{Service: service, Part: part})
}
