package membership

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peer is one known process. Its states are those of the chart "peer".
type peer struct {
	owner       *Membership
	id          ident.InstanceID
	role        message.Role
	domain      ident.FailureDomain
	address     string
	incarnation ident.Incarnation
	lifecycle   *chart.Lifecycle[*peer]
	// missed reports whether this process itself missed the peer's heartbeats.
	missed bool
	// listed reports whether an instance list has shown the peer.
	listed bool
	// refuted is when this process last refuted a suspicion of the peer.
	refuted time.Time
	// reports holds the latest report of each observer.
	reports map[ident.InstanceID]report
}

// report is the state of the peer as another process last reported it.
type report struct {
	state       message.MemberState
	incarnation ident.Incarnation
	sequence    uint64
	at          time.Time
}

func peerBinding() chart.Binding[*peer] {
	return chart.Binding[*peer]{
		Guards: map[string]func(*peer) bool{
			"confirmed":   (*peer).confirmed,
			"unsupported": (*peer).unsupported,
		},
		Actions: map[string]func(*peer){
			"announce":      (*peer).announce,
			"announceAlive": (*peer).announceAlive,
			"noteMissed":    func(p *peer) { p.missed = true },
			"clearMissed":   func(p *peer) { p.missed = false },
		},
		Delays: map[string]func(*peer) time.Duration{
			"suspectTimeout": func(p *peer) time.Duration { return maxMissedHeartbeats * p.owner.config.HeartbeatInterval },
			"confirmTimeout": func(p *peer) time.Duration { return p.owner.config.ConfirmTimeout },
		},
		Observe: func(p *peer, t chart.Transition) {
			if t.From != t.To {
				p.owner.emit(StateChanged{Peer: p.id, Domain: p.domain, Role: p.role, Transition: t})
			}
		},
	}
}

// missedCount counts the processes that recently missed the peer. A report of its
// death counts as a whole quorum, since it already rests on one.
func (p *peer) missedCount() int {
	count := 0
	if p.missed {
		count++
	}
	for _, r := range p.reports {
		switch {
		case !p.fresh(r):
		case r.state == message.MemberSuspected:
			count++
		case r.state == message.MemberDead:
			count += quorum
		}
	}
	return count
}

// aliveCount counts the processes that recently reported the peer alive.
func (p *peer) aliveCount() int {
	count := 0
	for _, r := range p.reports {
		if p.fresh(r) && r.state == message.MemberAlive {
			count++
		}
	}
	return count
}

// fresh reports whether a report is not older than ReportTTL and not about an earlier
// incarnation.
func (p *peer) fresh(r report) bool {
	return r.incarnation >= p.incarnation && p.owner.now.Sub(r.at) <= p.owner.config.ReportTTL
}

// confirmed reports whether a quorum missed the peer and nobody reports it alive.
func (p *peer) confirmed() bool { return p.missedCount() >= quorum && p.aliveCount() == 0 }

// unsupported reports whether nothing supports the suspicion any more: this process
// did not miss the peer itself, and another reports it alive or none suspects it.
func (p *peer) unsupported() bool {
	return !p.missed && (p.aliveCount() > 0 || p.missedCount() == 0)
}

// announce reports the peer suspected or dead to the linked entries, if this process
// itself missed its heartbeats.
func (p *peer) announce() {
	if !p.missed {
		return
	}
	state := message.MemberSuspected
	if p.confirmed() {
		state = message.MemberDead
	}
	p.owner.queueReport("", p.newReport(state))
}

// refute refutes a suspicion of a peer whose heartbeats arrive here, at most once
// per heartbeat interval, since many processes can suspect it at the same time.
func (p *peer) refute() {
	if p.owner.now.Sub(p.refuted) < p.owner.config.HeartbeatInterval {
		return
	}
	p.refuted = p.owner.now
	p.owner.queueReport("", p.newReport(message.MemberAlive))
}

// announceAlive reports the peer alive to the linked entries.
func (p *peer) announceAlive() {
	p.missed = false
	p.owner.queueReport("", p.newReport(message.MemberAlive))
}

// newReport returns a report by this process about the peer.
func (p *peer) newReport(state message.MemberState) message.Member {
	return message.Member{
		Instance: p.id, Role: p.role, Domain: p.domain, Address: p.address, Incarnation: p.incarnation,
		State: state, Observer: p.owner.config.Self, Sequence: p.owner.nextSequence(),
	}
}
