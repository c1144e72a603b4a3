package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
	"github.com/anvilpoint/anvilpoint/task"
)

// noticeCapacity is the capacity of the mailbox for messages to the other entries. If it is
// full the oldest are dropped: the other entries then learn from their own crashes.
const noticeCapacity = 256

type (
	// quarantineNotice is a message of another entry's quarantine.
	quarantineNotice struct{ message message.Message }
	// askQuarantine asks for what an entry needs to know that has just started.
	askQuarantine struct{ reply chan<- []message.Message }
)

func (quarantineNotice) isDispatchMessage() {}
func (askQuarantine) isDispatchMessage()    {}

// initQuarantine creates the quarantine of all models and services.
func (d *dispatch) initQuarantine() {
	d.quarantine = quarantine.NewSet(func(service ident.ServiceName, t quarantine.Transition) {
		d.events.Emit(eventlog.Event{
			Name: "quarantine.changed", Chart: "crash-trait", From: t.From, To: t.To, Revision: d.record.Revision,
			Detail: fmt.Sprintf("%s, fingerprint %s, held for %d ms", service, d.requestTags.Of(t.Trait.Request), t.Hold.Milliseconds()),
		})
	})
}

// traitsOf returns the traits of a request. Its prompt has no named parts.
func traitsOf(account ident.ClientAccount, method, path string, body []byte) quarantine.Traits {
	return quarantine.TraitsOf(quarantine.ContentOf(method, path, body).Fingerprint(account), nil)
}

// quarantineKey names the model or the plain service of a request at the quarantine.
func (r *activeRequest) quarantineKey() ident.ServiceName {
	return ident.ServiceName(r.query.request("").Model)
}

// noteEvidence counts the held requests after a change of the evidence, and sends the
// messages of the quarantine to the linked entries.
func (d *dispatch) noteEvidence(now time.Time, messages []message.Message) {
	_, requests := d.quarantine.Held(now)
	d.metrics.quarantined.Set(float64(requests))
	for _, m := range messages {
		// The mailbox drops the oldest message if it is full, so Send does not wait.
		d.notices.Send(context.Background(), m)
	}
}

// mayOffer reports whether the request may be offered to a server, and if not, the input
// that says so. A request that may have crashed a server is never a trial.
func (d *dispatch) mayOffer(now time.Time, r *activeRequest) (request.NoServer, bool) {
	decision := d.quarantine.Check(now, r.quarantineKey(), r.traits)
	if decision.Send && (decision.Trial.Empty() || r.crashes == 0) {
		r.trial = decision.Trial
		return request.NoServer{}, true
	}
	if !decision.Unsettled {
		d.noteEvidence(now, d.quarantine.Refused(now, r.quarantineKey(), r.traits))
	}
	return request.NoServer{
		Outcome:    outcome.DidNotRun(outcome.ReasonQuarantined, "the request may crash backend servers"),
		RetryAfter: max(decision.Wait, 0), Final: !decision.Unsettled,
	}, false
}

// recordCrash records that the server of the current attempt crashed before any output.
func (d *dispatch) recordCrash(now time.Time, r *activeRequest, server ident.ServerID) {
	d.metrics.crashes.Inc()
	d.noteEvidence(now, d.quarantine.Crashed(now, r.quarantineKey(), server, quarantine.Suspect{
		Traits: r.traits, Silent: true, Repeated: r.crashes > 1,
	}))
}

// handleNotice adds what another entry reports to the evidence. Entries are not all linked
// to each other, so each passes on what is new to it.
func (d *dispatch) handleNotice(now time.Time, m message.Message) {
	messages, news := d.quarantine.Handle(now, m)
	if news {
		messages = append(messages, m)
	}
	d.noteEvidence(now, messages)
}

// sendToEntries sends a message to the linked entries, once to each.
func (c *control) sendToEntries(m message.Message) {
	sent := make(map[ident.InstanceID]bool)
	for l := range c.links {
		if peer := l.Peer(); peer.Role == message.RoleEntry && !sent[peer.Instance] {
			sent[peer.Instance] = l.Send(m)
		}
	}
}

// sendQuarantine tells an entry, which may have been restarted, what is known of crashes.
func (c *control) sendQuarantine(ctx context.Context, to *link.Link) {
	state, _ := task.Ask(ctx, c.dispatch, func(reply chan<- []message.Message) dispatchMessage { return askQuarantine{reply: reply} })
	for _, m := range state {
		to.Send(m)
	}
}
