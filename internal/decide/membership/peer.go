package membership

import (
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// peer is one known process. Its life cycle is the chart "peer".
type peer struct {
	owner       *Membership
	id          ident.InstanceID
	role        message.Role
	domain      ident.FailureDomain
	address     string
	incarnation ident.Incarnation
	belief      *chart.Instance[*peer]
	// evidence says that this process itself missed the peer's heartbeats.
	evidence bool
	// onList says that the latest instance list showed the peer.
	onList bool
	// vouched is when this process last refuted a suspicion of the peer.
	vouched  time.Time
	opinions map[ident.InstanceID]opinion
}

// opinion is what another process said of the peer.
type opinion struct {
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
			"announce":       (*peer).announce,
			"announceAlive":  (*peer).announceAlive,
			"noteEvidence":   func(p *peer) { p.evidence = true },
			"forgetEvidence": func(p *peer) { p.evidence = false },
		},
		Delays: map[string]func(*peer) time.Duration{
			"suspectAfter": func(p *peer) time.Duration { return missedLimit * p.owner.config.Interval },
			"confirmTime":  func(p *peer) time.Duration { return p.owner.config.ConfirmTime },
		},
		Observe: func(p *peer, t chart.Transition) {
			if t.From != t.To {
				p.owner.act(Changed{Peer: p.id, Domain: p.domain, Role: p.role, Transition: t})
			}
		},
	}
}

// doubters counts the processes that recently missed the peer. A verdict of
// death already rests on two of them.
func (p *peer) doubters() int {
	count := 0
	if p.evidence {
		count++
	}
	for _, o := range p.opinions {
		switch {
		case !p.fresh(o):
		case o.state == message.MemberSuspected:
			count++
		case o.state == message.MemberDead:
			count += quorum
		}
	}
	return count
}

// vouchers counts the processes that recently heard the peer.
func (p *peer) vouchers() int {
	count := 0
	for _, o := range p.opinions {
		if p.fresh(o) && o.state == message.MemberAlive {
			count++
		}
	}
	return count
}

func (p *peer) fresh(o opinion) bool {
	return o.incarnation >= p.incarnation && p.owner.now.Sub(o.at) <= p.owner.config.OpinionTime
}

func (p *peer) confirmed() bool { return p.doubters() >= quorum && p.vouchers() == 0 }

func (p *peer) unsupported() bool {
	return !p.evidence && (p.vouchers() > 0 || p.doubters() == 0)
}

// announce spreads the suspicion or the verdict, if it rests on what this
// process itself missed.
func (p *peer) announce() {
	if !p.evidence {
		return
	}
	state := message.MemberSuspected
	if p.confirmed() {
		state = message.MemberDead
	}
	p.owner.spread("", p.opinionOf(state))
}

// vouch refutes a suspicion of a peer whose heartbeats arrive here, at most
// once per interval, since many processes can suspect it at the same time.
func (p *peer) vouch() {
	if p.owner.now.Sub(p.vouched) < p.owner.config.Interval {
		return
	}
	p.vouched = p.owner.now
	p.owner.spread("", p.opinionOf(message.MemberAlive))
}

func (p *peer) announceAlive() {
	p.evidence = false
	p.owner.spread("", p.opinionOf(message.MemberAlive))
}

func (p *peer) opinionOf(state message.MemberState) message.Member {
	return message.Member{
		Instance: p.id, Role: p.role, Domain: p.domain, Address: p.address, Incarnation: p.incarnation,
		State: state, Observer: p.owner.config.Self, Sequence: p.owner.nextSequence(),
	}
}
