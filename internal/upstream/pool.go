package upstream

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

const (
	poolCapacity = 256
	// maxIdle bounds the idle connections to one backend server.
	maxIdle = 8
	// sweepInterval is the time between two looks for expired connections.
	sweepInterval = time.Second
)

type poolMessage interface{ isPoolMessage() }

type (
	// take asks for an idle connection; the answer is nil if there is none.
	take struct {
		server ident.ServerID
		// fresh refuses a connection that was idle for more than half its limit.
		fresh bool
		reply chan<- *conn
	}
	give struct {
		server ident.ServerID
		conn   *conn
	}
	// keep closes the connections to all servers but these.
	keep struct{ servers map[ident.ServerID]bool }
)

func (take) isPoolMessage() {}
func (give) isPoolMessage() {}
func (keep) isPoolMessage() {}

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

// Keep closes the connections to servers that are not in the set.
func (p *Pool) Keep(ctx context.Context, servers map[ident.ServerID]bool) {
	p.mailbox.Send(ctx, keep{servers: servers})
}

// Run is the task.
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
	case take:
		m.reply <- p.take(now, m)
	case give:
		p.give(now, m)
	case keep:
		p.retain(now, func(id ident.ServerID, _ *conn) bool { return m.servers[id] })
	}
}

// take returns the connection that was used last and is still usable.
func (p *Pool) take(now time.Time, m take) *conn {
	list := p.idle[m.server]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[m.server] = list
		c.life.Tick(now)
		stale := m.fresh && now.Sub(c.idleSince) > c.idleLimit()/2
		if stale || !c.life.In("idle") || !c.quiet() {
			c.close(now)
			continue
		}
		c.life.Fire(now, "taken")
		c.reused = true
		return c
	}
	return nil
}

func (p *Pool) give(now time.Time, m give) {
	m.conn.life.Fire(now, "answered")
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
		c.life.Tick(now)
		return c.life.In("idle")
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
