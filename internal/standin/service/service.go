package service

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// DefaultServiceTime is the default service time of a call.
const DefaultServiceTime = 5 * time.Millisecond

// mailboxCapacity is the number of requests that wait for the server's task before
// senders block.
const mailboxCapacity = 1024

// Config describes one service process.
type Config struct {
	Service ident.ServiceName
	Server  ident.ServerID
	// ServiceTime is the time that one call takes.
	ServiceTime time.Duration
	// CrashAt makes the process crash in the call with this number, from 1, after the
	// execution is counted and before the answer. Zero means never.
	CrashAt int
	// Counter counts the executions. Several servers may share it.
	Counter *ExecutionCounter
}

// Server is one service process. Its task, Run, owns the number of calls and the
// slowdown.
type Server struct {
	config  Config
	mailbox *task.Mailbox[serverRequest]
	// crashed is closed when the process is to crash.
	crashed chan struct{}
	calls   int
	// slowdown is the factor by which calls take longer than the service time.
	slowdown float64
}

// New returns a service process. Run must be running for its handler to answer.
func New(c Config) *Server {
	return &Server{
		config:   c,
		mailbox:  task.NewMailbox[serverRequest](mailboxCapacity, task.Block),
		crashed:  make(chan struct{}),
		slowdown: 1,
	}
}

// Run serves requests until the context ends.
func (s *Server) Run(ctx context.Context) error {
	defer s.mailbox.Close()
	for {
		select {
		case r := <-s.mailbox.Receive():
			r.serve(s)
		case <-ctx.Done():
			return nil
		}
	}
}

// Crashed returns a channel that is closed when the process is to crash. The owner of
// the server then has to stop it.
func (s *Server) Crashed() <-chan struct{} { return s.crashed }

// Slow sets the factor by which later calls take longer than the service time; 1
// ends the slowdown. The error is ErrStopped.
func (s *Server) Slow(ctx context.Context, factor float64) error {
	_, ok := task.Ask(ctx, s.mailbox, func(reply chan<- struct{}) serverRequest {
		return &setSlowdown{factor: factor, reply: reply}
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// callPlan says how the server handles one call.
type callPlan struct {
	time time.Duration
	// crash makes the process crash before the answer.
	crash bool
}

// serverRequest is a message to the server's task.
type serverRequest interface{ serve(s *Server) }

// beginCall counts a call and asks how to handle it.
type beginCall struct{ reply chan<- callPlan }

type setSlowdown struct {
	factor float64
	reply  chan<- struct{}
}

// crash reports that the process is to crash.
type crash struct{}

func (b *beginCall) serve(s *Server) {
	s.calls++
	b.reply <- callPlan{
		time:  time.Duration(float64(s.config.ServiceTime) * s.slowdown),
		crash: s.calls == s.config.CrashAt,
	}
}

func (r *setSlowdown) serve(s *Server) {
	s.slowdown = r.factor
	r.reply <- struct{}{}
}

func (*crash) serve(s *Server) { close(s.crashed) }
