// Command relaybench measures the relay of streamed answers: the time that
// entry and sidecar add to the first token, and their processor time per
// relayed token. It starts one entry and one sidecar as processes of the given
// anvilpoint binary and plays engine, platform and callers itself.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/pathtest"
)

// options are the flags of the program.
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
	// One engine answers at once for first tokens; the other paces its tokens.
	quick := pathtest.NewEngine(pathtest.Behavior{Tokens: 20, Slots: 4096})
	defer quick.Close()
	paced := pathtest.NewEngine(pathtest.Behavior{
		Tokens: int((time.Duration(o.Seconds)*time.Second + 2*o.Settle) / o.Pause * 2), Pause: o.Pause, Step: !o.Free, Slots: 4096,
	})
	defer paced.Close()
	if err := withPath(ctx, o, quick, func(p *path) error { return firstTokens(ctx, o, p) }); err != nil {
		return err
	}
	return withPath(ctx, o, paced, func(p *path) error { return relay(ctx, o, p) })
}

// path is one running entry and sidecar in front of an engine.
type path struct {
	engine         string
	entry          string
	entryProcess   *process
	sidecarProcess *process
}

func withPath(ctx context.Context, o options, e *pathtest.Engine, measure func(*path) error) (err error) {
	backend := pathtest.Backend{Server: "e0", Kind: "engine", URL: e.URL}
	world, addresses, err := pathtest.NewWorld(ctx, pathtest.Config{Backends: []pathtest.Backend{backend}, Deadline: time.Minute})
	if err != nil {
		return err
	}
	defer world.Close()
	dir, err := os.MkdirTemp("", "relaybench")
	if err != nil {
		return errors.Wrap(err, "settings directory")
	}
	defer os.RemoveAll(dir)
	sidecar, err := startSidecar(o.Binary, dir, world, backend, addresses[0])
	if err != nil {
		return err
	}
	defer sidecar.end()
	entry, address, err := startEntry(o.Binary, dir, world)
	if err != nil {
		return err
	}
	defer entry.end()
	return measure(&path{engine: e.URL, entry: "http://" + address, entryProcess: entry, sidecarProcess: sidecar})
}
