package upstream

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	poolCapacity = 256
	// maxIdle is the maximum number of idle connections to one backend server.
	maxIdle = 8
	// sweepInterval is the time between two removals of expired connections.
	sweepInterval = time.Second
)

type poolMessage interface{ isPoolMessage() }

type (
	// acquire asks for an idle connection. The answer is nil if there is none.
	acquire struct {
		server ident.ServerID
		// recentlyUsed excludes connections that were idle for more than half their idle
		// timeout.
		recentlyUsed bool
		reply        chan<- *conn
	}
	// release returns a connection whose answer was read to its end.
	release struct {
		server ident.ServerID
		conn   *conn
	}
	// retainServers closes the connections to all other servers.
	retainServers struct{ servers map[ident.ServerID]bool }
)

func (acquire) isPoolMessage()       {}
func (release) isPoolMessage()       {}
func (retainServers) isPoolMessage() {}

// Pool is the task that owns the idle connections.
type Pool struct {
	mailbox *task.Mailbox[poolMessage]
	idle    map[ident.ServerID][]*conn
}

// NewPool returns a pool that is not running yet.
func NewPool() *Pool {
	return &Pool{
		mailbox: task.NewMailbox[poolMessage](poolCapacity, task.Block),
		idle:    make(map[ident.ServerID][]*conn),
	}
}

// Retain closes the connections to servers that are not in the set.
func (p *Pool) Retain(ctx context.Context, servers map[ident.ServerID]bool) {
	p.mailbox.Send(ctx, retainServers{servers: servers})
}

// Run is the main loop of the task.
func (p *Pool) Run(ctx context.Context) error {
	defer p.close()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case m := <-p.mailbox.Receive():
			p.step(time.Now(), m)
		case now := <-sweep.C:
			p.sweep(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Pool) close() {
	p.mailbox.Close()
	p.retain(time.Now(), func(ident.ServerID, *conn) bool { return false })
}

func (p *Pool) step(now time.Time, m poolMessage) {
	switch m := m.(type) {
	case acquire:
		m.reply <- p.acquire(now, m)
	case release:
		p.release(now, m)
	case retainServers:
		p.retain(now, func(id ident.ServerID, _ *conn) bool { return m.servers[id] })
	}
}

// acquire returns the most recently used connection that is still usable.
func (p *Pool) acquire(now time.Time, m acquire) *conn {
	list := p.idle[m.server]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[m.server] = list
		c.lifecycle.Tick(now)
		stale := m.recentlyUsed && now.Sub(c.idleSince) > c.idleTimeout()/2
		if stale || !c.lifecycle.In("idle") || !c.noPendingInput() {
			c.close(now)
			continue
		}
		c.lifecycle.Fire(now, "acquired")
		c.reused = true
		return c
	}
	return nil
}

func (p *Pool) release(now time.Time, m release) {
	m.conn.lifecycle.Fire(now, "released")
	m.conn.idleSince = now
	list := append(p.idle[m.server], m.conn)
	if len(list) > maxIdle {
		list[0].close(now)
		list = list[1:]
	}
	p.idle[m.server] = list
}

func (p *Pool) sweep(now time.Time) {
	p.retain(now, func(_ ident.ServerID, c *conn) bool {
		c.lifecycle.Tick(now)
		return c.lifecycle.In("idle")
	})
}

func (p *Pool) retain(now time.Time, wanted func(ident.ServerID, *conn) bool) {
	for id, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(id, c) {
				kept = append(kept, c)
				continue
			}
			c.close(now)
		}
		p.idle[id] = kept
		if len(kept) == 0 {
			delete(p.idle, id)
		}
	}
}
