// Package eventlog writes the state transitions and decisions of a process, one
// JSON line per event. Package timeline merges the lines of several processes by
// the stamps of their hybrid logical clocks.
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

// mailboxCapacity is the number of events and log lines that wait for the writer.
// Further ones are dropped.
const mailboxCapacity = 8192

// flushInterval is the longest time that an event stays in the output buffer.
const flushInterval = 200 * time.Millisecond

// Event is one state transition or decision. Empty fields are not written. It must
// not hold a prompt, an answer or an API key.
type Event struct {
	// Name is "subject.verb", for example "request.admitted".
	Name     string
	Request  ident.RequestID
	Revision ident.Revision
	Group    ident.GroupID
	// Server is the backend server that the event is about.
	Server ident.ServerID
	// Instance is the instance that the event is about, unless it is the process's own.
	Instance ident.InstanceID
	Account  ident.ClientAccount
	Class    ident.PriorityClass
	// Chart, From and To describe a transition of a state chart.
	Chart string
	From  string
	To    string
	// Reason is an outcome's reason code.
	Reason string
	// Detail is free text.
	Detail string
}

// Log is the handle through which the tasks of one process record events.
type Log struct {
	process     string
	incarnation ident.Incarnation
	clock       *hlc.Clock
	mailbox     *task.Mailbox[item]
}

// item is an event or a log line that waits for the writer.
type item struct {
	stamp hlc.Stamp
	event Event
	log   *Log
	// line is a complete log line. If it is set, the item is no event.
	line []byte
}

// Writer owns the output and writes to it in its Run task.
type Writer struct {
	mailbox *task.Mailbox[item]
	out     io.Writer
}

// NewWriter returns a writer of JSON lines. It writes nothing before Run.
func NewWriter(out io.Writer) *Writer {
	return &Writer{mailbox: task.NewMailbox[item](mailboxCapacity, task.RejectNew), out: out}
}

// Discard returns a log that drops all events, for tests and library use.
func Discard(clock *hlc.Clock) *Log { return &Log{clock: clock} }

// Log returns the handle of one entry or sidecar. If several run in one
// operating-system process, as in the dev command, each has its own.
func (w *Writer) Log(process string, incarnation ident.Incarnation, clock *hlc.Clock) *Log {
	return &Log{process: process, incarnation: incarnation, clock: clock, mailbox: w.mailbox}
}

// Lines returns a writer for log lines, which go to the same output as the events.
// It never blocks: a line is dropped if the mailbox is full.
func (w *Writer) Lines() io.Writer { return lineWriter{mailbox: w.mailbox} }

type lineWriter struct{ mailbox *task.Mailbox[item] }

// Write implements io.Writer.
func (l lineWriter) Write(line []byte) (int, error) {
	l.mailbox.Send(context.Background(), item{line: bytes.Clone(line)})
	return len(line), nil
}

// Clock returns the clock that stamps the events of this process.
func (l *Log) Clock() *hlc.Clock { return l.clock }

// Emit records an event. It never blocks; false means that the event was dropped
// because the mailbox is full. The caller counts the dropped events.
func (l *Log) Emit(e Event) bool {
	stamp := l.clock.Now()
	if l.mailbox == nil {
		return true
	}
	return l.mailbox.Send(context.Background(), item{stamp: stamp, event: e, log: l}).Accepted()
}

// Run writes events and log lines until the context ends, then those still queued.
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

// output is the buffer to which log lines are written directly and events through
// the logger.
type output struct {
	buffer *bufio.Writer
	logger zerolog.Logger
}

func write(o output, i item) {
	if i.line != nil {
		// The next flush returns the error of a failed write.
		_, _ = o.buffer.Write(i.line)
		return
	}
	e := i.event
	line := o.logger.Log().
		Str("t", i.stamp.Wall().UTC().Format(time.RFC3339Nano)).
		Stringer("hlc", i.stamp).
		Str("process", i.log.process).
		Uint64("incarnation", uint64(i.log.incarnation)).
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
