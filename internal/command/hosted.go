package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/hlc"
	"github.com/anvilpoint/anvilpoint/internal/eventlog"
	"github.com/anvilpoint/anvilpoint/internal/gateway"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/rank"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/platform"
	"github.com/anvilpoint/anvilpoint/task"
)

func init() {
	register(spec{
		name:  "gateway",
		short: "Run an entry that calls backend servers over HTTP by published routes",
		long:  "gateway runs until SIGTERM. It then finishes the requests in flight within the grace time of its settings. Without --settings it reads the file that the platform names.",
		make:  func(env *environment) flags.Commander { return &gatewayCommand{env: env} },
	})
}

func init() {
	register(spec{
		name:  "rank",
		short: "Run the agent beside one rank of a group that its engines form",
		long:  "rank keeps the experts of a group balanced, together with the agents of the other ranks. Without --settings it reads the file that the platform names.",
		make:  func(env *environment) flags.Commander { return &rankCommand{env: env} },
	})
}

type rankCommand struct {
	env      *environment
	Settings string `long:"settings" value-name:"FILE" description:"file with the settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *rankCommand) Execute(args []string) error {
	if len(args) > 0 {
		return badInputf("usage: anvilpoint rank [--settings FILE]")
	}
	return runHosted(c.env, message.RoleSidecar, c.Settings, func(ctx context.Context, h hosted) error {
		return rank.Run(ctx, rank.Options{Settings: h.settings, Logger: h.logger, Events: h.events, Network: network.System{}})
	})
}

type gatewayCommand struct {
	env      *environment
	Settings string `long:"settings" value-name:"FILE" description:"file with the settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute(args []string) error {
	if len(args) > 0 {
		return badInputf("usage: anvilpoint gateway [--settings FILE]")
	}
	return runHosted(c.env, message.RoleEntry, c.Settings, func(ctx context.Context, h hosted) error {
		return gateway.Run(ctx, gateway.Options{Settings: h.settings, Logger: h.logger, Events: h.events, Network: network.System{}})
	})
}

// hosted holds the settings and the logs of a process that the platform hosts.
type hosted struct {
	settings *settings.Hosted
	logger   zerolog.Logger
	events   *eventlog.Log
}

// runHosted loads the settings and runs the process until SIGTERM or SIGINT. Log and
// events go to standard output.
func runHosted(env *environment, role message.Role, file string, run func(ctx context.Context, h hosted) error) error {
	if file == "" {
		file = platform.SettingsFile()
	}
	if file == "" {
		return badInputf("--settings is required where no platform names a file")
	}
	s, err := settings.LoadHosted(file)
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
	if err := limitMemory(&s.Limits); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	writer := eventlog.NewWriter(env.out)
	logger := zerolog.New(writer.Lines()).Level(level).With().Timestamp().Str("process", string(s.Instance)).Logger()
	group := task.NewGroup(context.Background())
	writerCtx, cancel := context.WithCancel(group.Context())
	group.Go("log writer", func(context.Context) error { return writer.Run(writerCtx) })
	group.Go("reload", func(context.Context) error { return logReloads(writerCtx, reloads, file, logger) })
	logger.Info().Str("role", string(role)).Msg("process starting")
	err = run(ctx, hosted{settings: s, logger: logger, events: writer.Log(string(s.Instance), ident.NewIncarnation(time.Now()), hlc.New(time.Now))})
	logger.Info().AnErr("cause", err).Msg("process stopped")
	cancel()
	if stopErr := group.Stop(eventWriterTimeout); err == nil {
		err = stopErr
	}
	return err
}

// logReloads checks the settings file on each SIGHUP and logs the result. What a
// hosted process reads from it (its own addresses, limits and first peers) is fixed
// while it runs; changes take effect at the next start.
func logReloads(ctx context.Context, reloads <-chan os.Signal, file string, logger zerolog.Logger) error {
	for {
		select {
		case <-reloads:
			_, err := settings.LoadHosted(file)
			logger.Info().AnErr("fault", err).Msg("checked the settings file on SIGHUP; changes take effect at the next start")
		case <-ctx.Done():
			return nil
		}
	}
}
