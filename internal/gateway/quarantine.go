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
	// outputBegan reports the first output to a request.
	outputBegan struct {
		service ident.ServiceName
		traits  quarantine.Traits
	}
	// peerNotice is a message of another entry's quarantine.
	peerNotice struct{ message message.Message }
	// getQuarantineState asks for what an entry needs to know that has just started.
	getQuarantineState struct {
		reply chan<- []message.Message
	}
)

func (outputBegan) isDispatchMessage()        {}
func (peerNotice) isDispatchMessage()         {}
func (getQuarantineState) isDispatchMessage() {}

// initQuarantine creates the quarantine of all services.
func (d *dispatch) initQuarantine() {
	d.quarantine = quarantine.NewSet(func(service ident.ServiceName, t quarantine.Transition) {
		line := d.logger.Warn().Str("service", string(service))
		if t.Trait.Request != 0 {
			line = line.Str("fingerprint", d.requestTags.Of(t.Trait.Request))
		} else {
			line = line.Str("part", string(t.Trait.Part))
		}
		line.Str("from", t.From).Str("to", t.To).Dur("hold", t.Hold).Msg("quarantine changed")
	})
}

// noteEvidence counts what is held after a change of the evidence, and sends the messages
// of the quarantine to all other entries.
func (d *dispatch) noteEvidence(now time.Time, messages []message.Message) {
	for _, m := range messages {
		// The mailbox drops the oldest message if it is full, so Send does not wait.
		d.notices.Send(context.Background(), m)
	}
	parts, requests := d.quarantine.Held(now)
	d.metrics.quarantined.Set(float64(parts))
	d.metrics.quarantinedRequests.Set(float64(requests))
}

// recordCrash records that a server crashed before the first output of an attempt.
func (d *dispatch) recordCrash(now time.Time, m attemptEnded) {
	d.metrics.crashes.Inc()
	d.noteEvidence(now, d.quarantine.Crashed(now, m.service, m.server, quarantine.Suspect{
		Traits: m.traits, Began: m.began, Silent: m.silent, Repeated: m.crashedBefore,
	}))
}

// mayRetry reports whether a further attempt may be sent, and if not, the choice to return.
// A request that may have crashed a server is never a trial.
func (d *dispatch) mayRetry(now time.Time, m choose) (choice, bool) {
	decision := d.quarantine.Check(now, m.service, m.traits)
	if decision.Send && decision.Trial.Empty() {
		return choice{}, true
	}
	return choice{reason: outcome.ReasonQuarantined, retryAfter: d.quarantineRetryAfter(decision), unsettled: decision.Unsettled}, false
}

// quarantineRetryAfter returns when a client may send a request that is held back again.
func (d *dispatch) quarantineRetryAfter(decision quarantine.Decision) time.Duration {
	return max(decision.Wait, 0) + d.retryAfter()
}
