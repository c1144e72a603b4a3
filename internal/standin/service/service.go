package service

import (
	"context"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// DefaultTime is the service time of one call.
const DefaultTime = 5 * time.Millisecond

const mailboxCapacity = 1024

// Config describes one service process.
type Config struct {
	Service ident.ServiceName
	Server  ident.ServerID
	// Time is the service time of one call.
	Time time.Duration
	// DieAt makes the process die in the middle of the call with this number,
	// from 1, after the work is done and before it is answered. Zero is never.
	DieAt int
	// Ledger counts the executions.
	Ledger *Ledger
}

// Server is one service process. Its task owns what changes during the run.
type Server struct {
	config  Config
	mailbox *task.Mailbox[serverRequest]
	// died is closed when DieAt is reached.
	died  chan struct{}
	calls int
	slow  float64
}

// New returns a service process. Run serves it.
func New(c Config) *Server {
	return &Server{
		config:  c,
		mailbox: task.NewMailbox[serverRequest](mailboxCapacity, task.Block),
		died:    make(chan struct{}),
		slow:    1,
	}
}

// Run owns the state until the context ends.
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

// Died is closed when the process is to die in the middle of a call.
func (s *Server) Died() <-chan struct{} { return s.died }

// Slow multiplies the service time from now on; 1 is the normal speed.
func (s *Server) Slow(ctx context.Context, factor float64) error {
	_, ok := task.Ask(ctx, s.mailbox, func(reply chan<- struct{}) serverRequest {
		return &slowDown{factor: factor, reply: reply}
	})
	if !ok {
		return ErrStopped
	}
	return nil
}

// plan is what the task decides about one call.
type plan struct {
	time time.Duration
	die  bool
}

// serverRequest is a message to the server's task.
type serverRequest interface{ serve(s *Server) }

type begin struct{ reply chan<- plan }

type slowDown struct {
	factor float64
	reply  chan<- struct{}
}

type die struct{}

func (b *begin) serve(s *Server) {
	s.calls++
	b.reply <- plan{
		time: time.Duration(float64(s.config.Time) * s.slow),
		die:  s.calls == s.config.DieAt,
	}
}

func (d *slowDown) serve(s *Server) {
	s.slow = d.factor
	d.reply <- struct{}{}
}

func (*die) serve(s *Server) { close(s.died) }
