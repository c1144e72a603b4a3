package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/anvilpoint/anvilpoint/internal/entry"
	"github.com/anvilpoint/anvilpoint/internal/settings"
	"github.com/anvilpoint/anvilpoint/internal/sidecar"
	"github.com/anvilpoint/anvilpoint/internal/standin/dev"
	"github.com/anvilpoint/anvilpoint/task"
)

func init() {
	register(spec{
		name:  "dev",
		short: "Run a whole installation on one machine",
		long:  "Runs entries, sidecars, stand-in engines and services and the platform's stand-ins in one process over loopback TCP. The admin listener publishes records, injects faults and shows the ground truth. It runs until it receives SIGTERM or SIGINT.",
		make:  func(env *environment) flags.Commander { return &devCommand{env: env} },
	})
}

type devCommand struct {
	env      *environment
	Listen   string         `long:"listen" default:"127.0.0.1:8080" description:"IP address and port of the first entry; entry k listens on the port plus k"`
	Entries  int            `long:"entries" default:"3" description:"Number of entries"`
	Replicas int            `long:"replicas" default:"16" description:"Number of model replicas, each with a sidecar"`
	Services int            `long:"services" default:"3" description:"Number of replicas of the plain service, each with a sidecar"`
	Domains  int            `long:"domains" default:"3" description:"Number of failure domains"`
	Record   flags.Filename `long:"record" description:"File with the record to publish first; the default fits the other options"`
	Admin    string         `long:"admin" default:"127.0.0.1:8090" description:"IP address and port of the admin listener"`
	Events   flags.Filename `long:"events" description:"File for the events of all processes, one JSON line each"`
	LogLevel string         `long:"log-level" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least severe log level that is written to standard error"`
}

// Execute implements flags.Commander.
func (c *devCommand) Execute(args []string) error {
	if len(args) > 0 {
		return badInputf("unexpected argument %q", args[0])
	}
	o, err := c.options()
	if err != nil {
		return err
	}
	if c.Events != "" {
		file, err := os.Create(string(c.Events))
		if err != nil {
			return errors.Wrap(err, "create the event file")
		}
		defer func() { _ = file.Close() }()
		o.Events = file
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cluster, err := dev.New(o)
	if err != nil {
		return err
	}
	return c.run(ctx, cluster)
}

func (c *devCommand) options() (dev.Options, error) {
	o := dev.Defaults()
	o.Listen, o.Admin = c.Listen, c.Admin
	o.Entries, o.Replicas, o.Services = c.Entries, c.Replicas, c.Services
	o.Programs = productPrograms(settings.PolicyShares)
	if c.Domains < 1 || c.Domains > dev.MaxDomains {
		return o, badInputf("domains must be from 1 to %d, not %d", dev.MaxDomains, c.Domains)
	}
	o.Domains = dev.DomainNames(c.Domains)
	if err := o.Validate(); err != nil {
		return o, badInputf("%v", err)
	}
	if c.Record != "" {
		value, err := os.ReadFile(string(c.Record))
		if err != nil {
			return o, badInputf("%v", err)
		}
		o.Record, o.RecordName = value, string(c.Record)
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return o, badInputf("%v", err)
	}
	o.Logger = zerolog.New(c.env.err).Level(level).With().Timestamp().Logger()
	return o, nil
}

// productPrograms returns the entry and the sidecar for the dev environment. They
// distribute work by the policy.
func productPrograms(policy settings.Policy) dev.Programs {
	return dev.Programs{
		Entry: func(ctx context.Context, o dev.ProcessOptions) error {
			o.Settings.Policy = policy
			return entry.Run(ctx, entry.Options(o))
		},
		Sidecar: func(ctx context.Context, o dev.ProcessOptions) error {
			o.Settings.Policy = policy
			return sidecar.Run(ctx, sidecar.Options(o))
		},
	}
}

// run runs the installation and prints its addresses once it is ready.
func (c *devCommand) run(ctx context.Context, cluster *dev.Cluster) error {
	group := task.NewGroup(ctx)
	ended := make(chan error, 1)
	group.Go("installation", func(ctx context.Context) error {
		ended <- cluster.Run(ctx)
		return nil
	})
	select {
	case <-cluster.Ready():
		c.printReady(cluster)
	case err := <-ended:
		return errors.Wrap(recordUsageError(err), "dev environment ended before it was ready")
	}
	return recordUsageError(<-ended)
}

// recordUsageError turns the error for an invalid --record file into a usage error.
func recordUsageError(err error) error {
	var invalid *dev.RecordError
	if errors.As(err, &invalid) {
		return badInputf("%v", err)
	}
	return err
}

func (c *devCommand) printReady(cluster *dev.Cluster) {
	entries := cluster.EntryURLs()
	// The dev environment keeps running if standard output is closed.
	_, _ = fmt.Fprintf(c.env.out, "ready: entries %s; admin %s; API key %s; try: curl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '%s'\n",
		strings.Join(entries, " "), cluster.AdminURL(), dev.DemoKey, entries[0], dev.DemoKey,
		`{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Summarise the delivery note of truck 17."}]}`)
}
