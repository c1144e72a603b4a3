// Package service is the stand-in of a plain service. It answers calls on any path
// after a service time and counts executions by idempotency key. The counts outlive
// the service process; tests compare with them what clients were told.
package service

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// counterCapacity is the number of requests that wait for the counter's task before
// senders block.
const counterCapacity = 4096

// Execution holds the counts of one idempotency key of a service. Calls without a
// key are counted under the empty key.
type Execution struct {
	Service ident.ServiceName `json:"service"`
	Key     string            `json:"key"`
	// Executions is how often the key's call was executed, over all servers.
	Executions int `json:"executions"`
	// Answered is how many of these executions were answered in full.
	Answered int `json:"answered"`
	// Servers are the backend servers of the executions, in order; for the empty
	// key only the first one.
	Servers []ident.ServerID `json:"servers"`
}

type executionID struct {
	service ident.ServiceName
	key     string
}

// ExecutionCounter counts the executions on all servers of a test. Its task, Run, owns the
// counts.
type ExecutionCounter struct {
	mailbox *task.Mailbox[counterRequest]
	counts  map[executionID]*Execution
}

// ErrStopped means that the task of a Server or of its ExecutionCounter has ended.
var ErrStopped = errors.New("the stand-in service or its count of executions has stopped")

// NewExecutionCounter returns a counter without executions. Run must be running for its
// other methods to answer.
func NewExecutionCounter() *ExecutionCounter {
	return &ExecutionCounter{
		mailbox: task.NewMailbox[counterRequest](counterCapacity, task.Block),
		counts:  make(map[executionID]*Execution),
	}
}

// Run serves requests until the context ends.
func (c *ExecutionCounter) Run(ctx context.Context) error {
	defer c.mailbox.Close()
	for {
		select {
		case r := <-c.mailbox.Receive():
			r.serve(c)
		case <-ctx.Done():
			return nil
		}
	}
}

// CountExecution counts an execution of a key and returns its number, from 1. The error
// is ErrStopped.
func (c *ExecutionCounter) CountExecution(ctx context.Context, service ident.ServiceName, key string, server ident.ServerID) (int, error) {
	n, ok := task.Ask(ctx, c.mailbox, func(reply chan<- int) counterRequest {
		return &recordExecution{id: executionID{service: service, key: key}, server: server, reply: reply}
	})
	if !ok {
		return 0, ErrStopped
	}
	return n, nil
}

// CountAnswer counts an execution that was answered in full.
func (c *ExecutionCounter) CountAnswer(ctx context.Context, service ident.ServiceName, key string) {
	c.mailbox.Send(ctx, &recordAnswer{id: executionID{service: service, key: key}})
}

// Executions returns the counts of all keys, sorted by service and key. The error
// is ErrStopped.
func (c *ExecutionCounter) Executions(ctx context.Context) ([]Execution, error) {
	list, ok := task.Ask(ctx, c.mailbox, func(reply chan<- []Execution) counterRequest { return &listExecutions{reply: reply} })
	if !ok {
		return nil, ErrStopped
	}
	return list, nil
}

// counterRequest is a message to the counter's task.
type counterRequest interface{ serve(c *ExecutionCounter) }

type recordExecution struct {
	id     executionID
	server ident.ServerID
	reply  chan<- int
}

type recordAnswer struct{ id executionID }

type listExecutions struct{ reply chan<- []Execution }

func (e *recordExecution) serve(c *ExecutionCounter) {
	count := c.counts[e.id]
	if count == nil {
		count = &Execution{Service: e.id.service, Key: e.id.key}
		c.counts[e.id] = count
	}
	count.Executions++
	if e.id.key != "" || len(count.Servers) == 0 {
		count.Servers = append(count.Servers, e.server)
	}
	e.reply <- count.Executions
}

func (a *recordAnswer) serve(c *ExecutionCounter) {
	if count := c.counts[a.id]; count != nil {
		count.Answered++
	}
}

func (r *listExecutions) serve(c *ExecutionCounter) {
	list := make([]Execution, 0, len(c.counts))
	for _, count := range c.counts {
		execution := *count
		execution.Servers = append([]ident.ServerID(nil), count.Servers...)
		list = append(list, execution)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].Service != list[b].Service {
			return list[a].Service < list[b].Service
		}
		return list[a].Key < list[b].Key
	})
	r.reply <- list
}
