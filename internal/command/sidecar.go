package command

import (
	"context"

	"github.com/jessevdk/go-flags"

	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/sidecar"
)

func init() {
	register(spec{
		name:  "sidecar",
		short: "Run a sidecar beside one backend server",
		long:  "sidecar runs until SIGTERM. It then refuses new offers, finishes the work in flight within the grace period of the settings, and ends with exit code 0.",
		make:  func(env *environment) flags.Commander { return &sidecarCommand{env: env} },
	})
}

type sidecarCommand struct {
	env      *environment
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"file with the settings, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *sidecarCommand) Execute(args []string) error {
	if len(args) > 0 {
		return badInputf("usage: anvilpoint sidecar --settings FILE")
	}
	return runDaemon(c.env, message.RoleSidecar, c.Settings, func(ctx context.Context, d daemon) error {
		return sidecar.Run(ctx, sidecar.Options{Settings: d.settings, Logger: d.logger, Events: d.events, Network: network.System{}})
	})
}
