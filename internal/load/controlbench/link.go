package controlbench

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

const (
	// latency is the minimum one-way latency between processes. A random part of up to
	// the same time is added.
	latency = time.Millisecond
	// silenceTimeout is the time without a message after which a link is closed, in
	// heartbeat intervals of the sender.
	silenceTimeout = 3.5
	// frameOverhead is the size in bytes of what one small write adds to a message: the
	// frame's length prefix, the WebSocket header, the TLS record header and tag, and
	// the TCP/IP headers.
	frameOverhead = 4 + 6 + 22 + 40
	// redialInterval is the time between two tries of a process to open its missing
	// links. A random delay of up to a quarter of it is added to each.
	redialInterval = time.Second
)

// link connects two incarnations of processes. Messages in one direction stay in order.
// The arrays are indexed by side: 0 is the process that opened the link.
type link struct {
	sim          *Simulation
	ends         [2]*Process
	incarnations [2]ident.Incarnation
	// lastReceived is when the last message arrived at the side.
	lastReceived [2]time.Time
	// lastArrival is when the last message that the side sent arrives.
	lastArrival [2]time.Time
	// sequence is the sequence number of the last heartbeat that the side sent.
	sequence [2]uint64
	closed   bool
}

// dial opens a link after a random delay, unless there is one or one direction is
// blocked.
func (p *Process) dial(to *Process) {
	if to == nil || to == p || p.links[to.ID] != nil {
		return
	}
	p.after(time.Duration(p.sim.Random.Int63n(int64(redialInterval/4))), func() {
		w := p.sim
		if p.links[to.ID] != nil || !to.Running() || to.links[p.ID] != nil || w.Blocked(p, to) || w.Blocked(to, p) {
			return
		}
		l := &link{sim: w, ends: [2]*Process{p, to}, incarnations: [2]ident.Incarnation{p.Incarnation, to.Incarnation}}
		l.lastReceived[0], l.lastReceived[1] = w.Now, w.Now
		p.links[to.ID], to.links[p.ID] = l, l
		for side := range l.ends {
			l.sendHello(side)
			l.scheduleHeartbeat(side)
		}
	})
}

// sendHello sends the message that opens a link. It is not lost.
func (l *link) sendHello(side int) {
	from, to := l.ends[side], l.ends[1-side]
	hello := message.Hello{
		Version: message.ProtocolVersion, Role: from.Role, Instance: from.ID, Server: from.Server,
		Domain: from.Domain, Incarnation: from.Incarnation, Record: from.Node.Digest(),
	}
	l.encodeAndCount(from, &hello)
	l.transmit(side, func() { l.sim.step(to, control.LinkUp{Hello: hello}) })
}

// scheduleHeartbeat sends a heartbeat every interval until the link closes. It closes
// the link when nothing has arrived for silenceTimeout.
func (l *link) scheduleHeartbeat(side int) {
	p := l.ends[side]
	other := l.ends[1-side]
	l.sim.After(l.sim.interval(p.Role, other.Role), func() {
		if l.closed {
			return
		}
		l.scheduleHeartbeat(side)
		p.runOrDefer(func() {
			if l.closed {
				return
			}
			if l.sim.Now.Sub(l.lastReceived[side]) > time.Duration(silenceTimeout*float64(l.sim.interval(other.Role, p.Role))) {
				l.close()
				return
			}
			l.sendHeartbeat(p)
		})
	})
}

func (l *link) sendHeartbeat(p *Process) {
	side := l.side(p)
	l.sequence[side]++
	h := &message.Heartbeat{Sequence: l.sequence[side], Echo: l.sequence[1-side], Record: p.Node.Digest()}
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

// send sends a message, which may be lost.
func (l *link) send(p *Process, m message.Message) {
	side := l.side(p)
	to := l.ends[1-side]
	m = l.encodeAndCount(p, m)
	if l.sim.Random.Float64() < l.sim.Config.LossShare {
		l.sim.Traffic.Lost++
		return
	}
	l.transmit(side, func() {
		l.sim.step(to, control.PeerMessage{From: p.ID, Message: m})
	})
}

// transmit calls deliver at the receiver after the latency, in the order of the calls,
// unless the direction is blocked then.
func (l *link) transmit(side int, deliver func()) {
	w := l.sim
	at := w.Now.Add(latency + time.Duration(w.Random.Int63n(int64(latency))))
	if at.Before(l.lastArrival[side]) {
		at = l.lastArrival[side]
	}
	l.lastArrival[side] = at
	to := l.ends[1-side]
	w.After(at.Sub(w.Now), func() {
		if l.closed || w.Blocked(l.ends[side], to) {
			return
		}
		to.runOrDefer(func() {
			if l.closed {
				return
			}
			l.lastReceived[1-side] = w.Now
			deliver()
		})
	})
}

// encodeAndCount counts a sent message. With Config.Encode it also counts the bytes and
// returns the message as the codec decodes it.
func (l *link) encodeAndCount(from *Process, m message.Message) message.Message {
	t := &l.sim.Traffic
	t.Messages++
	if !l.sim.Config.Encode {
		return m
	}
	begin := time.Now()
	frame, err := l.sim.codec.Encode(message.Envelope{Message: m})
	if err != nil {
		panic(err)
	}
	decoded, err := l.sim.codec.Decode(frame)
	if err != nil {
		panic(err)
	}
	t.ProcessingTime += time.Since(begin)
	size := uint64(len(frame) + frameOverhead)
	t.Bytes += size
	t.FrameBytes += uint64(len(frame) + 4)
	t.BytesByRole[from.Role] += size
	t.BytesByKind[message.KindOf(m)] += size
	return decoded.Message
}

// close closes the link. Both ends are told if they still have the incarnations and the
// process has not crashed.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	for side, p := range l.ends {
		other := l.ends[1-side]
		if p.Incarnation != l.incarnations[side] || p.links[other.ID] != l {
			continue
		}
		delete(p.links, other.ID)
		p.runOrDefer(func() {
			l.sim.step(p, control.LinkDown{Peer: other.ID})
		})
	}
}
