package command

import (
	"context"

	"github.com/jessevdk/go-flags"

	"github.com/anvilpoint/anvilpoint/internal/entry"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
)

func init() {
	register(spec{
		name:  "entry",
		short: "Run an entry, the process that callers connect to",
		long:  "entry runs until SIGTERM. It then takes no new requests, finishes those in flight within the grace period of the settings, and ends with exit code 0.",
		make:  func(env *environment) flags.Commander { return &entryCommand{env: env} },
	})
}

type entryCommand struct {
	env      *environment
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"file with the settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute(args []string) error {
	if len(args) > 0 {
		return badInputf("usage: anvilpoint entry --settings FILE")
	}
	return runDaemon(c.env, message.RoleEntry, c.Settings, func(ctx context.Context, d daemon) error {
		return entry.Run(ctx, entry.Options{Settings: d.settings, Logger: d.logger, Events: d.events, Network: network.System{}})
	})
}
