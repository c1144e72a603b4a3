package controlbench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

const (
	// latency is the one-way latency between processes, with as much jitter.
	latency = time.Millisecond
	// silence closes a link on which nothing arrived, counted in heartbeats.
	silence = 3.5
	// frameOverhead is the length before a frame, the WebSocket header, the TLS
	// record and the TCP/IP headers of one small write.
	frameOverhead = 4 + 6 + 22 + 40
	// redialTime is the mean pause of a dialler.
	redialTime = time.Second
)

// link connects two incarnations. Messages in one direction keep their order.
type link struct {
	world  *World
	ends   [2]*Process
	born   [2]ident.Incarnation
	heard  [2]time.Time
	free   [2]time.Time
	number [2]uint64
	closed bool
}

// dial opens a link unless there is one. It needs both directions.
func (p *Process) dial(to *Process) {
	if to == nil || to == p || p.links[to.ID] != nil {
		return
	}
	p.later(time.Duration(p.world.Random.Int63n(int64(redialTime/4))), func() {
		w := p.world
		if p.links[to.ID] != nil || !to.Running() || to.links[p.ID] != nil || w.Blocked(p, to) || w.Blocked(to, p) {
			return
		}
		l := &link{world: w, ends: [2]*Process{p, to}, born: [2]ident.Incarnation{p.Incarnation, to.Incarnation}}
		l.heard[0], l.heard[1] = w.Now, w.Now
		p.links[to.ID], to.links[p.ID] = l, l
		for side := range l.ends {
			l.sendHello(side)
			l.pulse(side)
		}
	})
}

func (l *link) sendHello(side int) {
	from, to := l.ends[side], l.ends[1-side]
	hello := message.Hello{
		Version: message.ProtocolVersion, Role: from.Role, Instance: from.ID, Server: from.Server,
		Domain: from.Domain, Incarnation: from.Incarnation, Record: from.Node.Digest(),
	}
	l.count(from, &hello)
	l.transmit(side, func() { l.world.step(to, control.LinkUp{Hello: hello}) })
}

// pulse sends heartbeats until the link closes, and closes it after silence.
func (l *link) pulse(side int) {
	p := l.ends[side]
	other := l.ends[1-side]
	l.world.After(l.world.interval(p.Role, other.Role), func() {
		if l.closed {
			return
		}
		l.pulse(side)
		p.do(func() {
			if l.closed {
				return
			}
			if l.world.Now.Sub(l.heard[side]) > time.Duration(silence*float64(l.world.interval(other.Role, p.Role))) {
				l.close()
				return
			}
			l.beat(p)
		})
	})
}

func (l *link) beat(p *Process) {
	side := l.side(p)
	l.number[side]++
	h := &message.Heartbeat{Sequence: l.number[side], Echo: l.number[1-side], Record: p.Node.Digest()}
	if p.Role == message.RoleSidecar {
		h.Load = message.Load{Running: 7, QueuedCost: [3]int64{1200, 0, 50000}, Slots: 16, TokensPerSecond: 3210.5, AgeMS: 120, Window: [3]int64{4000, 4000, 4000}}
	}
	l.send(p, h)
}

func (l *link) side(p *Process) int {
	if l.ends[0] == p {
		return 0
	}
	return 1
}

func (l *link) send(p *Process, m message.Message) {
	side := l.side(p)
	to := l.ends[1-side]
	m = l.count(p, m)
	if l.world.Random.Float64() < l.world.Config.Loss {
		l.world.Traffic.Lost++
		return
	}
	l.transmit(side, func() {
		l.world.step(to, control.PeerMessage{From: p.ID, Message: m})
	})
}

// transmit delivers in order after the latency, unless the direction is cut.
func (l *link) transmit(side int, deliver func()) {
	w := l.world
	at := w.Now.Add(latency + time.Duration(w.Random.Int63n(int64(latency))))
	if at.Before(l.free[side]) {
		at = l.free[side]
	}
	l.free[side] = at
	to := l.ends[1-side]
	w.After(at.Sub(w.Now), func() {
		if l.closed || w.Blocked(l.ends[side], to) {
			return
		}
		to.do(func() {
			if l.closed {
				return
			}
			l.heard[1-side] = w.Now
			deliver()
		})
	})
}

// count passes the message through the codec, as it would travel.
func (l *link) count(from *Process, m message.Message) message.Message {
	t := &l.world.Traffic
	t.Messages++
	if !l.world.Config.Encode {
		return m
	}
	begin := time.Now()
	frame, err := l.world.codec.Encode(message.Envelope{Message: m})
	if err != nil {
		panic(err)
	}
	decoded, err := l.world.codec.Decode(frame)
	if err != nil {
		panic(err)
	}
	t.Busy += time.Since(begin)
	size := uint64(len(frame) + frameOverhead)
	t.Bytes += size
	t.Frames += uint64(len(frame) + 4)
	t.Sent[from.Role] += size
	t.ByKind[message.KindOf(m)] += size
	return decoded.Message
}

// close ends the link; both ends hear of it if they run.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	for side, p := range l.ends {
		other := l.ends[1-side]
		if p.Incarnation != l.born[side] || p.links[other.ID] != l {
			continue
		}
		delete(p.links, other.ID)
		p.do(func() {
			l.world.step(p, control.LinkDown{Peer: other.ID})
		})
	}
}
