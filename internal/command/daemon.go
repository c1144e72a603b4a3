package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/task"
)

// eventWriterTimeout bounds the time in which the event writer writes its last events.
const eventWriterTimeout = 2 * time.Second

// daemon holds the settings and the logs of an entry or a sidecar.
type daemon struct {
	settings *settings.Settings
	logger   zerolog.Logger
	events   *eventlog.Log
}

// runDaemon loads the settings, starts the event log, and runs the process
// until SIGTERM or SIGINT asks it to drain.
func runDaemon(env *environment, role message.Role, file string, run func(ctx context.Context, d daemon) error) error {
	s, err := settings.Load(file)
	if err != nil {
		return &usageError{err: err}
	}
	if s.Role != role {
		return badInputf("%s: role: the settings are for %q, the command is %q", file, s.Role, role)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return errors.Wrapf(err, "%s: log_level", file)
	}
	logger := zerolog.New(env.err).Level(level).With().Timestamp().Str("process", string(s.Instance)).Logger()
	if err := limitMemory(&s.Limits); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return withEvents(env, s, func(events *eventlog.Log) error {
		return run(ctx, daemon{settings: s, logger: logger, events: events})
	})
}

// withEvents runs the process with the event log that the settings select.
func withEvents(env *environment, s *settings.Settings, run func(*eventlog.Log) error) error {
	clock := hlc.New(time.Now)
	out, closeOut, err := eventOutput(env, s.Events)
	if err != nil {
		return err
	}
	defer closeOut()
	if out == nil {
		return run(eventlog.Discard(clock))
	}
	writer := eventlog.NewWriter(out)
	group := task.NewGroup(context.Background())
	ctx, cancel := context.WithCancel(group.Context())
	group.Go("event writer", func(context.Context) error { return writer.Run(ctx) })
	err = run(writer.Log(string(s.Instance), ident.NewIncarnation(time.Now()), clock))
	cancel()
	if stopErr := group.Stop(eventWriterTimeout); err == nil {
		err = stopErr
	}
	return err
}

// eventOutput opens the file for events. A dash is standard output, and without a
// name the output is nil.
func eventOutput(env *environment, name string) (io.Writer, func(), error) {
	switch name {
	case "":
		return nil, func() {}, nil
	case "-":
		return env.out, func() {}, nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the event file")
	}
	return file, func() { _ = file.Close() }, nil
}
