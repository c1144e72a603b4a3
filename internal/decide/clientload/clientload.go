// Package clientload bounds what the clients of a process can make it hold: open
// connections, and memory for request heads, bodies and answers. When a limit is reached,
// the client that makes the least progress gives way, not the one that comes next.
//
// A connection holds a fixed allowance without a claim (see package clientconn), so that
// small requests never wait. All further memory is claimed before it is used.
package clientload

import (
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/invariant"
)

const (
	// TickInterval is the time between two ticks while claims wait.
	TickInterval = 50 * time.Millisecond
	// stallTime is the time without progress after which a connection gives way to one that
	// needs memory. A client with 1 Mbit/s sends a part of its body in less.
	stallTime = 600 * time.Millisecond
	// requestWait is how long a claim for a request waits. Clients abandon a request that is
	// not read within a second.
	requestWait = 800 * time.Millisecond
	// answerWait is how long a claim for an answer waits. The request has run, so that
	// denying it is worse than waiting.
	answerWait = 5 * time.Second
	// smallBytes is the largest total of a connection that counts as small.
	smallBytes = 256 << 10
	// largeShare is the share of the memory that large requests may use. The rest is left to
	// small requests and to answers.
	largeShare = 0.75
)

// Config holds the limits.
type Config struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Memory is the maximum number of bytes that all connections together may claim.
	Memory int64
	// HeadBytes and BodyBytes are the maximum sizes of the head and the body of a request.
	HeadBytes, BodyBytes int64
}

// connection is one connection and what it holds.
type connection struct {
	id        ConnectionID
	lifecycle *chart.Lifecycle[*connection]
	// claimed is the number of bytes that the connection holds beyond its allowance.
	claimed int64
	// progressed is when the client last made progress: when it connected, completed the
	// head of a request, sent a part of a body, took a part of an answer, or got its answer.
	progressed time.Time
	// waiting is the number of its claims that wait.
	waiting int
}

// waitingClaim is a claim that waits for memory.
type waitingClaim struct {
	Claim
	holder   *connection
	deadline time.Time
}

// Limiter decides which connections may hold what. It is not safe for concurrent use.
type Limiter struct {
	config      Config
	connections map[ConnectionID]*connection
	// used is the sum of the claimed bytes, leaving the part of it that belongs to evicted
	// connections.
	used, leaving int64
	// evicted is the number of evicted connections that have not closed yet.
	evicted int
	// queue holds the waiting claims, oldest first.
	queue   []*waitingClaim
	actions []Action
}

var machine = chart.MustBind(charts.Must("client-connection"), chart.Binding[*connection]{})

// New returns a limiter without connections.
func New(c Config) *Limiter {
	return &Limiter{config: c, connections: make(map[ConnectionID]*connection)}
}

// Waiting reports whether claims wait, so that ticks are due.
func (l *Limiter) Waiting() bool { return len(l.queue) > 0 }

// Used returns the number of claimed bytes and of open connections.
func (l *Limiter) Used() (memory int64, connections int) { return l.used, len(l.connections) }

// Step takes a message and returns what is to be done. Messages about a connection that has
// closed have no effect.
func (l *Limiter) Step(now time.Time, m Message) []Action {
	l.actions = nil
	switch m := m.(type) {
	case Opened:
		l.open(now, m.Connection)
	case HeadReceived:
		if c := l.progress(now, m.Connection); c != nil {
			c.lifecycle.Fire(now, "headReceived")
			if m.Whole {
				c.lifecycle.Fire(now, "requestReceived")
			}
		}
	case RequestReceived:
		if c := l.progress(now, m.Connection); c != nil {
			c.lifecycle.Fire(now, "requestReceived")
		}
	case Progressed:
		l.progress(now, m.Connection)
	case WriteBegan:
		if c := l.progress(now, m.Connection); c != nil {
			c.lifecycle.Fire(now, "writeBegan")
		}
	case WriteEnded:
		if c := l.progress(now, m.Connection); c != nil {
			c.lifecycle.Fire(now, "writeEnded")
		}
	case Claim:
		l.claim(now, m)
	case SetLimits:
		l.config.HeadBytes, l.config.BodyBytes = m.HeadBytes, m.BodyBytes
	case RequestEnded:
		if c := l.progress(now, m.Connection); c != nil {
			c.lifecycle.Fire(now, "requestEnded")
			l.giveBack(now, c)
		}
	case Closed:
		l.remove(now, m.Connection)
	case Tick:
		l.serveQueue(now)
	}
	invariant.Check(l.used >= 0 && l.used <= l.config.Memory, "clients hold no more memory than the limit allows",
		"%d of %d bytes", l.used, l.config.Memory)
	return l.actions
}

func (l *Limiter) act(a Action) { l.actions = append(l.actions, a) }

func (l *Limiter) open(now time.Time, id ConnectionID) {
	c := &connection{id: id, progressed: now}
	c.lifecycle = machine.New(now, c)
	l.connections[id] = c
	if len(l.connections)-l.evicted <= l.config.Connections {
		return
	}
	if victim := l.connectionToClose(now, c); victim != nil {
		l.evict(now, victim)
	}
}

// connectionToClose returns the connection that gives way when there are too many: the
// oldest that never sent a request, else the one that has sent no part of its request for
// longest, else the one that has been idle for longest, else the newest.
func (l *Limiter) connectionToClose(now time.Time, newest *connection) *connection {
	if c := l.leastProgress(func(c *connection) bool { return c.lifecycle.In("new") }); c != nil && c != newest {
		return c
	}
	if c := l.leastProgress(func(c *connection) bool { return c.stalled(now) }); c != nil {
		return c
	}
	if c := l.leastProgress(func(c *connection) bool { return c.lifecycle.In("idle") }); c != nil {
		return c
	}
	return newest
}

// leastProgress returns the connection that meets the condition and made progress least
// recently, or nil. Of connections that progressed at the same time it is the oldest.
func (l *Limiter) leastProgress(condition func(c *connection) bool) *connection {
	var least *connection
	for _, c := range l.connections {
		if !condition(c) {
			continue
		}
		if least == nil || c.progressed.Before(least.progressed) || c.progressed.Equal(least.progressed) && c.id < least.id {
			least = c
		}
	}
	return least
}

// stalled reports whether the client has long kept the process waiting: for the rest of a
// request, or to take a part of an answer. A connection that waits for a head and holds
// memory has a part of one.
func (c *connection) stalled(now time.Time) bool {
	unfinished := c.lifecycle.In("receiving") || c.lifecycle.In("waiting") && c.claimed > 0
	awaited := unfinished && c.waiting == 0 || c.lifecycle.In("writing")
	return awaited && now.Sub(c.progressed) >= stallTime
}

func (l *Limiter) evict(now time.Time, c *connection) {
	c.lifecycle.Fire(now, "evicted")
	l.evicted++
	l.leaving += c.claimed
	l.act(Close{Connection: c.id})
}

// progress notes that the client made progress. It returns nil if the connection has closed.
func (l *Limiter) progress(now time.Time, id ConnectionID) *connection {
	c := l.connections[id]
	if c != nil {
		c.progressed = now
	}
	return c
}

func (l *Limiter) claim(now time.Time, m Claim) {
	c := l.connections[m.Connection]
	if c == nil || c.lifecycle.In("evicted") {
		l.act(Deny{Claim: m.ID})
		return
	}
	if l.tooLarge(m) || c.claimed+m.Bytes > l.limit(c, m) {
		l.act(Deny{Claim: m.ID, Never: true})
		return
	}
	c.waiting++
	l.queue = append(l.queue, &waitingClaim{Claim: m, holder: c, deadline: now.Add(m.Use.maxWait())})
	l.serveQueue(now)
}

// maxWait returns how long a claim waits.
func (u Use) maxWait() time.Duration {
	switch u {
	case ForAnswer:
		return answerWait
	case ForHeldAnswer:
		return 0
	default:
		return requestWait
	}
}

// tooLarge reports whether a head or a body exceeds its own limit.
func (l *Limiter) tooLarge(m Claim) bool {
	return m.Use == ForHead && m.Size > l.config.HeadBytes || m.Use == ForBody && m.Size > l.config.BodyBytes
}

// limit returns how many bytes may be in use after the claim.
func (l *Limiter) limit(c *connection, m Claim) int64 {
	if (m.Use == ForHead || m.Use == ForBody) && c.claimed+m.Bytes > smallBytes {
		return int64(largeShare * float64(l.config.Memory))
	}
	return l.config.Memory
}

// serveQueue grants the claims for which there is memory, oldest first among those with the
// same limit, denies those that have waited too long, and evicts stalled connections for
// the others.
func (l *Limiter) serveQueue(now time.Time) {
	// blocked is the lowest limit of which a claim has found no memory. Later claims of that
	// limit wait behind it, but those of a higher one do not.
	blocked := int64(-1)
	missing := int64(0)
	l.queue = slices.DeleteFunc(l.queue, func(w *waitingClaim) bool {
		limit := l.limit(w.holder, w.Claim)
		switch {
		case w.holder.lifecycle.In("evicted"):
			l.settle(now, w, Deny{Claim: w.ID})
		case limit > blocked && l.used+w.Bytes <= limit:
			l.used += w.Bytes
			w.holder.claimed += w.Bytes
			l.settle(now, w, Grant{Claim: w.ID})
		default:
			missing = max(missing, l.used+w.Bytes-limit)
			if now.Before(w.deadline) {
				blocked = max(blocked, limit)
				return false
			}
			l.settle(now, w, Deny{Claim: w.ID})
		}
		return true
	})
	l.evictStalled(now, missing)
}

// settle ends the wait of a claim.
func (l *Limiter) settle(now time.Time, w *waitingClaim, a Action) {
	w.holder.waiting--
	if !w.holder.lifecycle.In("writing") {
		w.holder.progressed = now
	}
	l.act(a)
}

// evictStalled evicts stalled connections until the number of missing bytes will be free.
func (l *Limiter) evictStalled(now time.Time, missing int64) {
	for l.leaving < missing {
		victim := l.leastProgress(func(c *connection) bool { return c.claimed > 0 && c.stalled(now) })
		if victim == nil {
			return
		}
		l.evict(now, victim)
	}
}

// giveBack frees what the connection has claimed.
func (l *Limiter) giveBack(now time.Time, c *connection) {
	if c.claimed == 0 {
		return
	}
	l.used -= c.claimed
	if c.lifecycle.In("evicted") {
		l.leaving -= c.claimed
	}
	c.claimed = 0
	l.serveQueue(now)
}

func (l *Limiter) remove(now time.Time, id ConnectionID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	l.queue = slices.DeleteFunc(l.queue, func(w *waitingClaim) bool {
		if w.holder == c {
			l.act(Deny{Claim: w.ID})
		}
		return w.holder == c
	})
	l.giveBack(now, c)
	if c.lifecycle.In("evicted") {
		l.evicted--
	}
	c.lifecycle.Fire(now, "closed")
	delete(l.connections, id)
}
