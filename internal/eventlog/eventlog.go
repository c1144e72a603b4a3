// Package eventlog records what a process decides, one JSON line per event.
// The lines of many processes merge into one time line by their clock stamps.
package eventlog

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// mailboxCapacity bounds the events that wait for the writer.
const mailboxCapacity = 8192

// flushInterval bounds how long a written event stays in the buffer.
const flushInterval = 200 * time.Millisecond

// Event is one transition or decision. Empty fields are left out. It holds no
// prompt, answer or API key.
type Event struct {
	// Name is "subject.verb", for example "request.admitted".
	Name     string
	Request  ident.RequestID
	Revision ident.Revision
	Group    ident.GroupID
	// Server is the backend server that the event concerns.
	Server ident.ServerID
	// Instance is the instance that the event concerns, if it is not the writer's own.
	Instance ident.InstanceID
	Account  ident.ClientAccount
	Class    ident.PriorityClass
	// Chart, From and To describe a transition.
	Chart string
	From  string
	To    string
	// Reason is an outcome's reason code.
	Reason string
	// Detail is free text for people.
	Detail string
}

// Log is the handle through which tasks record events.
type Log struct {
	process     string
	incarnation ident.Incarnation
	clock       *hlc.Clock
	mailbox     *task.Mailbox[stamped]
}

type stamped struct {
	stamp hlc.Stamp
	event Event
	log   *Log
	// line is a finished log line, which takes the place of an event.
	line []byte
}

// Writer is the task that owns the output.
type Writer struct {
	mailbox *task.Mailbox[stamped]
	out     io.Writer
}

// NewWriter returns a writer of JSON lines.
func NewWriter(out io.Writer) *Writer {
	return &Writer{mailbox: task.NewMailbox[stamped](mailboxCapacity, task.RejectNew), out: out}
}

// Discard returns a log without a writer, for tests and library use.
func Discard(clock *hlc.Clock) *Log { return &Log{clock: clock} }

// Log returns a handle for one process. Several processes that share an
// operating-system process, as in the dev command, each get their own.
func (w *Writer) Log(process string, incarnation ident.Incarnation, clock *hlc.Clock) *Log {
	return &Log{process: process, incarnation: incarnation, clock: clock, mailbox: w.mailbox}
}

// Lines returns an output for log lines that shares the writer's output. It never
// blocks: a line is dropped if the writer falls behind.
func (w *Writer) Lines() io.Writer { return lines{mailbox: w.mailbox} }

type lines struct{ mailbox *task.Mailbox[stamped] }

// Write implements io.Writer.
func (l lines) Write(line []byte) (int, error) {
	l.mailbox.Send(context.Background(), stamped{line: bytes.Clone(line)})
	return len(line), nil
}

// Clock returns the clock that stamps the events of this process.
func (l *Log) Clock() *hlc.Clock { return l.clock }

// Emit records an event. It never blocks; false means that the event was lost
// because the writer fell behind, and the caller counts it.
func (l *Log) Emit(e Event) bool {
	stamp := l.clock.Now()
	if l.mailbox == nil {
		return true
	}
	return l.mailbox.Send(context.Background(), stamped{stamp: stamp, event: e, log: l}).Accepted()
}

// Run writes events until the context ends, then writes what waits.
func (w *Writer) Run(ctx context.Context) error {
	buffer := bufio.NewWriter(w.out)
	logger := output{buffer: buffer, logger: zerolog.New(buffer)}
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	for {
		select {
		case s := <-w.mailbox.Receive():
			write(logger, s)
		case <-flush.C:
			if err := buffer.Flush(); err != nil {
				return err
			}
		case <-ctx.Done():
			w.drain(logger)
			return buffer.Flush()
		}
	}
}

func (w *Writer) drain(logger output) {
	for {
		select {
		case s := <-w.mailbox.Receive():
			write(logger, s)
		default:
			return
		}
	}
}

// output is where the writer puts events and log lines.
type output struct {
	buffer *bufio.Writer
	logger zerolog.Logger
}

func write(o output, s stamped) {
	if s.line != nil {
		// A failed write shows at the next flush.
		_, _ = o.buffer.Write(s.line)
		return
	}
	e := s.event
	line := o.logger.Log().
		Str("t", s.stamp.Wall().UTC().Format(time.RFC3339Nano)).
		Stringer("hlc", s.stamp).
		Str("process", s.log.process).
		Uint64("incarnation", uint64(s.log.incarnation)).
		Str("event", e.Name)
	text := func(key, value string) {
		if value != "" {
			line = line.Str(key, value)
		}
	}
	text("request", string(e.Request))
	if e.Revision != 0 {
		line = line.Uint64("record", uint64(e.Revision))
	}
	text("group", string(e.Group))
	text("server", string(e.Server))
	text("instance", string(e.Instance))
	text("account", string(e.Account))
	text("class", string(e.Class))
	text("chart", e.Chart)
	text("from", e.From)
	text("to", e.To)
	text("reason", e.Reason)
	text("detail", e.Detail)
	line.Send()
}
