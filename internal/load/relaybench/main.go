// Command relaybench measures the relay of streamed responses: the latency that entry
// and sidecar add to the first token, and their CPU time per relayed token. It starts
// one entry and one sidecar as processes of the given anvilpoint binary, and simulates
// the engine, the configuration service, the instance list and the callers itself.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/e2etest"
)

// options are the command-line flags.
type options struct {
	Binary  string        `long:"binary" required:"true" description:"the anvilpoint binary to measure"`
	Streams int           `long:"streams" default:"1080" description:"streams at once in the relay measurement"`
	Pause   time.Duration `long:"pause" default:"40ms" description:"time between two tokens of a stream"`
	Free    bool          `long:"free-running" description:"let each stream keep its own time instead of emitting in steps"`
	Seconds int           `long:"seconds" default:"5" description:"length of the relay measurement"`
	Firsts  int           `long:"firsts" default:"400" description:"pairs of requests in the first-token measurement"`
	Settle  time.Duration `long:"settle" default:"2s" description:"time between the start of the streams and the measurement"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "relaybench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The engine of the first-token measurement answers at once; that of the relay
	// measurement emits one token per pause, for longer than the measurement takes.
	fast := e2etest.NewEngine(e2etest.Behavior{Tokens: 20, Slots: 4096})
	defer fast.Close()
	paced := e2etest.NewEngine(e2etest.Behavior{
		Tokens: int((time.Duration(o.Seconds)*time.Second + 2*o.Settle) / o.Pause * 2), TokenInterval: o.Pause, SharedSteps: !o.Free, Slots: 4096,
	})
	defer paced.Close()
	if err := withDeployment(ctx, o, fast, func(p *deployment) error { return firstTokens(ctx, o, p) }); err != nil {
		return err
	}
	return withDeployment(ctx, o, paced, func(p *deployment) error { return relay(ctx, o, p) })
}

// deployment is one running entry and sidecar in front of an engine.
type deployment struct {
	// engine and entry are base URLs.
	engine         string
	entry          string
	entryProcess   *process
	sidecarProcess *process
}

// withDeployment starts an entry and a sidecar in front of the engine, calls measure and
// stops them.
func withDeployment(ctx context.Context, o options, e *e2etest.Engine, measure func(*deployment) error) (err error) {
	backend := e2etest.Backend{Server: "e0", Kind: "engine", URL: e.URL}
	world, addresses, err := e2etest.NewCluster(ctx, e2etest.Config{Backends: []e2etest.Backend{backend}, Deadline: time.Minute})
	if err != nil {
		return err
	}
	defer world.Close()
	dir, err := os.MkdirTemp("", "relaybench")
	if err != nil {
		return errors.Wrap(err, "create directory for settings")
	}
	defer os.RemoveAll(dir)
	sidecar, err := startSidecar(o.Binary, dir, world, backend, addresses[0])
	if err != nil {
		return err
	}
	defer sidecar.kill()
	entry, address, err := startEntry(o.Binary, dir, world)
	if err != nil {
		return err
	}
	defer entry.kill()
	return measure(&deployment{engine: e.URL, entry: "http://" + address, entryProcess: entry, sidecarProcess: sidecar})
}
