package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/network"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/internal/standin/config"
	"github.com/anvilpoint/anvilpoint/internal/standin/engine"
	"github.com/anvilpoint/anvilpoint/internal/standin/instances"
	"github.com/anvilpoint/anvilpoint/internal/standin/service"
	"github.com/anvilpoint/anvilpoint/internal/standin/weights"
	"github.com/anvilpoint/anvilpoint/task"
)

func init() {
	register(spec{
		name:  "standin",
		short: "Run a stand-in of an outside system",
		long:  "Runs a small program in the place of an outside system, for tests on one machine. It runs until it receives SIGTERM or SIGINT.",
		make: func(env *environment) flags.Commander {
			return &standinCommand{
				Engine:    engineCommand{env: env},
				Service:   serviceCommand{env: env},
				Config:    configCommand{env: env},
				Instances: instancesCommand{env: env},
				Weights:   weightsCommand{env: env},
			}
		},
	})
}

type standinCommand struct {
	Engine    engineCommand    `command:"engine" description:"Model engine: completions, load reports, cache events, orders"`
	Service   serviceCommand   `command:"service" description:"Plain service that counts executions by idempotency key"`
	Config    configCommand    `command:"config" description:"Configuration service: reads, watches and the operators' PUT"`
	Instances instancesCommand `command:"instances" description:"Instance list that shows changes after a lag"`
	Weights   weightsCommand   `command:"weights" description:"Weight store with a limited rate"`
}

// Execute implements flags.Commander. It is never called without a subcommand, because
// the parser requires one.
func (c *standinCommand) Execute([]string) error { return nil }

type engineCommand struct {
	env            *environment
	Listen         string        `long:"listen" default:"127.0.0.1:9300" description:"IP address and port"`
	Server         string        `long:"server" default:"replica-0" description:"Id of the backend server in the record"`
	Model          []string      `long:"model" default:"assistant=v1" description:"Loaded model as NAME=VERSION; may be repeated"`
	Slots          int           `long:"slots" default:"32" description:"Requests in one batch"`
	Queue          int           `long:"queue" default:"1024" description:"Requests that wait before further ones are refused with 429"`
	PrefillRate    float64       `long:"prefill-rate" default:"8000" description:"Prompt tokens per second"`
	PrefillChunk   int           `long:"prefill-chunk" default:"512" description:"Prompt tokens per step"`
	StepBase       time.Duration `long:"step-base" default:"20ms" description:"Time of a step with an empty batch"`
	StepPerRequest time.Duration `long:"step-per-request" default:"150us" description:"Time that each decoding request adds to a step"`
	CacheBlocks    int           `long:"cache-blocks" default:"4096" description:"Prefix cache in blocks of 64 tokens"`
	LoadLag        time.Duration `long:"load-lag" default:"250ms" description:"Time between two refreshes of the load report"`
	EventLag       time.Duration `long:"event-lag" default:"1s" description:"How late a cache event is published"`
	EventLoss      float64       `long:"event-loss" default:"0.05" description:"Share of cache events that are lost, from 0 to 1"`
	Fencing        string        `long:"fencing" default:"check" choice:"check" choice:"ignore" description:"Refuse orders with an old fencing token, or obey them"`
	Weights        string        `long:"weights" description:"Base URL of the weight store; without it a load takes --load-time"`
	LoadTime       time.Duration `long:"load-time" default:"2s" description:"Time of a load without a weight store"`
	Seed           uint64        `long:"seed" default:"1" description:"Seed of the loss of cache events"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute(args []string) error {
	models, err := parseModels(c.Model)
	if err != nil {
		return err
	}
	if c.Slots < 1 || c.Queue < 1 || c.PrefillRate <= 0 || c.PrefillChunk < 1 || c.StepBase <= 0 || c.CacheBlocks < 1 || c.LoadLag <= 0 {
		return badInputf("--slots, --queue, --prefill-rate, --prefill-chunk, --step-base, --cache-blocks and --load-lag must be greater than 0")
	}
	if c.EventLoss < 0 || c.EventLoss > 1 {
		return badInputf("--event-loss must be from 0 to 1")
	}
	e := engine.New(engine.Config{
		Server: ident.ServerID(c.Server), Models: models, Slots: c.Slots, QueueLimit: c.Queue,
		PrefillRate: c.PrefillRate, PrefillChunk: c.PrefillChunk, StepBase: c.StepBase, StepPerRequest: c.StepPerRequest,
		CacheBlocks: c.CacheBlocks, LoadReportLag: c.LoadLag, EventLag: c.EventLag, EventLoss: c.EventLoss,
		ChecksFencing: c.Fencing == "check", WeightStore: c.Weights, LoadTime: c.LoadTime, Seed: c.Seed,
	})
	return runStandin(c.env, args, "engine "+c.Server, c.Listen, e.Handler(), nil, e.Run)
}

func parseModels(texts []string) ([]engine.Model, error) {
	models := make([]engine.Model, 0, len(texts))
	for _, text := range texts {
		name, version, found := strings.Cut(text, "=")
		if !found || name == "" || version == "" {
			return nil, badInputf("--model %q is not NAME=VERSION", text)
		}
		models = append(models, engine.Model{Name: ident.ModelName(name), Version: version})
	}
	return models, nil
}

type serviceCommand struct {
	env    *environment
	Listen string        `long:"listen" default:"127.0.0.1:9400" description:"IP address and port"`
	Name   string        `long:"name" default:"ledger" description:"Name of the service in the record"`
	Server string        `long:"server" default:"service-0" description:"Id of the backend server in the record"`
	Time   time.Duration `long:"time" default:"5ms" description:"Service time of one call"`
	DieAt  int           `long:"die-at" default:"0" description:"Die in the middle of the call with this number, from 1; 0 is never"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute(args []string) error {
	if c.Time < 0 || c.DieAt < 0 {
		return badInputf("--time and --die-at must not be negative")
	}
	ledger := service.NewExecutionCounter()
	s := service.New(service.Config{
		Service: ident.ServiceName(c.Name), Server: ident.ServerID(c.Server), ServiceTime: c.Time, CrashAt: c.DieAt, Counter: ledger,
	})
	return runStandin(c.env, args, "service "+c.Server, c.Listen, s.Handler(), s.Crashed(), ledger.Run, s.Run)
}

type configCommand struct {
	env    *environment
	Listen string         `long:"listen" default:"127.0.0.1:9100" description:"IP address and port"`
	Record flags.Filename `long:"record" description:"File with the record to start with"`
	Reads  float64        `long:"reads" default:"2000" description:"Reads per second over all readers"`
}

// Execute implements flags.Commander.
func (c *configCommand) Execute(args []string) error {
	if c.Reads <= 0 {
		return badInputf("--reads must be greater than 0")
	}
	store := config.New(config.Options{ReadsPerSecond: c.Reads})
	tasks := []func(context.Context) error{store.Run}
	if c.Record != "" {
		value, err := os.ReadFile(string(c.Record))
		if err != nil {
			return badInputf("%v", err)
		}
		tasks = append(tasks, func(ctx context.Context) error {
			_, err := store.Put(ctx, config.RecordKey, value)
			return err
		})
	}
	return runStandin(c.env, args, "configuration service", c.Listen, store.Handler(), nil, tasks...)
}

type instancesCommand struct {
	env    *environment
	Listen string         `long:"listen" default:"127.0.0.1:9110" description:"IP address and port"`
	File   flags.Filename `long:"file" description:"File with the instances to start with, a JSON array"`
	Lag    time.Duration  `long:"lag" default:"1s" description:"How late a change shows"`
}

// Execute implements flags.Commander.
func (c *instancesCommand) Execute(args []string) error {
	if c.Lag < 0 {
		return badInputf("--lag must not be negative")
	}
	var start []instances.Instance
	if c.File != "" {
		data, err := os.ReadFile(string(c.File))
		if err != nil {
			return badInputf("%v", err)
		}
		if err := json.Unmarshal(data, &start); err != nil {
			return badInputf("%s: %v", c.File, err)
		}
	}
	list := instances.New(c.Lag, start)
	return runStandin(c.env, args, "instance list", c.Listen, list.Handler(), nil, list.Run)
}

type weightsCommand struct {
	env    *environment
	Listen string  `long:"listen" default:"127.0.0.1:9120" description:"IP address and port"`
	Rate   float64 `long:"rate" default:"268435456" description:"Bytes per second over all readers"`
	Burst  float64 `long:"burst" default:"268435456" description:"Bytes beyond the rate after a quiet time"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute(args []string) error {
	if c.Rate <= 0 || c.Burst <= 0 {
		return badInputf("--rate and --burst must be greater than 0")
	}
	store := weights.New(weights.Config{BytesPerSecond: c.Rate, Burst: c.Burst})
	return runStandin(c.env, args, "weight store", c.Listen, store.Handler(), nil, store.Run)
}

// runStandin serves a stand-in until SIGTERM or SIGINT. It returns an error as soon as
// died is closed.
func runStandin(env *environment, args []string, name, address string, handler http.Handler, died <-chan struct{}, tasks ...func(context.Context) error) error {
	if len(args) > 0 {
		return badInputf("unexpected argument %q", args[0])
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := network.System{}.Listen(ctx, address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	group := task.NewGroup(ctx)
	for _, run := range tasks {
		group.Go(name, run)
	}
	group.Go("HTTP", func(ctx context.Context) error { return standin.Serve(ctx, listener, handler) })
	if _, err := fmt.Fprintf(env.out, "ready: %s on http://%s\n", name, listener.Addr()); err != nil {
		return errors.Wrapf(err, "print the address of %s", name)
	}
	for {
		select {
		case <-ctx.Done():
			return group.Stop(0)
		case <-died:
			return errors.Errorf("%s ended in the middle of a call, as requested by --die-at", name)
		case end := <-group.Ends():
			if end.Err != nil {
				return errors.Wrapf(end.Err, "run %s", name)
			}
		}
	}
}
