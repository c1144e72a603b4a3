// Package service is the stand-in of a plain service: it answers any path after
// a service time and counts executions by idempotency key in a Ledger, which
// outlives the service and is the ground truth of tests.
package service

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

const ledgerCapacity = 4096

// Execution is the ground truth about one idempotency key. Calls without a key
// are counted under the empty key.
type Execution struct {
	Service ident.ServiceName `json:"service"`
	Key     string            `json:"key"`
	// Executions is how often the key's work was run, over all servers.
	Executions int `json:"executions"`
	// Answered is how many of these runs were answered in full.
	Answered int `json:"answered"`
	// Servers are the backend servers that ran it, in order.
	Servers []ident.ServerID `json:"servers"`
}

type executionID struct {
	service ident.ServiceName
	key     string
}

// Ledger is the task that owns the counts of all servers of a test.
type Ledger struct {
	mailbox *task.Mailbox[ledgerRequest]
	counts  map[executionID]*Execution
}

// ErrStopped means that the ledger's task has ended.
var ErrStopped = errors.New("the ledger of executions has stopped")

// NewLedger returns an empty ledger. Run serves it.
func NewLedger() *Ledger {
	return &Ledger{
		mailbox: task.NewMailbox[ledgerRequest](ledgerCapacity, task.Block),
		counts:  make(map[executionID]*Execution),
	}
}

// Run owns the counts until the context ends.
func (l *Ledger) Run(ctx context.Context) error {
	defer l.mailbox.Close()
	for {
		select {
		case r := <-l.mailbox.Receive():
			r.serve(l)
		case <-ctx.Done():
			return nil
		}
	}
}

// Executed counts a run of a key and returns its number, from 1.
func (l *Ledger) Executed(ctx context.Context, service ident.ServiceName, key string, server ident.ServerID) (int, error) {
	n, ok := task.Ask(ctx, l.mailbox, func(reply chan<- int) ledgerRequest {
		return &executed{id: executionID{service: service, key: key}, server: server, reply: reply}
	})
	if !ok {
		return 0, ErrStopped
	}
	return n, nil
}

// Answered notes that a run was answered in full.
func (l *Ledger) Answered(ctx context.Context, service ident.ServiceName, key string) {
	l.mailbox.Send(ctx, &answered{id: executionID{service: service, key: key}})
}

// Executions lists the keys by service and key.
func (l *Ledger) Executions(ctx context.Context) ([]Execution, error) {
	list, ok := task.Ask(ctx, l.mailbox, func(reply chan<- []Execution) ledgerRequest { return &listing{reply: reply} })
	if !ok {
		return nil, ErrStopped
	}
	return list, nil
}

// ledgerRequest is a message to the ledger's task.
type ledgerRequest interface{ serve(l *Ledger) }

type executed struct {
	id     executionID
	server ident.ServerID
	reply  chan<- int
}

type answered struct{ id executionID }

type listing struct{ reply chan<- []Execution }

func (e *executed) serve(l *Ledger) {
	count := l.counts[e.id]
	if count == nil {
		count = &Execution{Service: e.id.service, Key: e.id.key}
		l.counts[e.id] = count
	}
	count.Executions++
	if e.id.key != "" || len(count.Servers) == 0 {
		count.Servers = append(count.Servers, e.server)
	}
	e.reply <- count.Executions
}

func (a *answered) serve(l *Ledger) {
	if count := l.counts[a.id]; count != nil {
		count.Answered++
	}
}

func (q *listing) serve(l *Ledger) {
	list := make([]Execution, 0, len(l.counts))
	for _, count := range l.counts {
		one := *count
		one.Servers = append([]ident.ServerID(nil), count.Servers...)
		list = append(list, one)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Service != list[b].Service {
			return list[a].Service < list[b].Service
		}
		return list[a].Key < list[b].Key
	})
	q.reply <- list
}
