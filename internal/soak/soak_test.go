package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/task"
)

// Flags for longer runs by hand:
//
//	go test ./internal/soak -run TestSoak -soak.first 100 -soak.seeds 50 -soak.timed -timeout 60m -v
var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Uint64("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 5*time.Second, "time in which faults are injected, for each seed")
	checkTime = flag.Bool("soak.timed", false, "check bounds on time, for a machine that is not busy")
	logFolder = flag.String("soak.logs", "", "folder that keeps the processes' logs; without it they go with the test")
)

// Guards against broken promises under faults that come from outside the processes:
// answers that are changed or cut off, calls that run twice, refusals that are not
// true, two maps in one pass, configurations that revert, and a system that does not
// serve again.
func TestSoak(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	logs := t.TempDir()
	if *logFolder != "" {
		logs = filepath.Join(*logFolder, fmt.Sprint("seed-", seed))
		must.NoError(t, os.MkdirAll(logs, 0o700))
	}
	w := newWorld(t, seed, logs)
	w.eventually("every entry is ready", w.allReady)
	clients, stopClients := context.WithCancel(context.Background())
	group := task.NewGroup(context.Background())
	for n := range workerCount {
		group.Go("client", func(context.Context) error {
			w.worker(clients, n, rand.New(rand.NewPCG(seed, uint64(n)+2)))
			return nil
		})
	}
	must.NoError(t, newFaults(w).run(*length))
	w.recovers()
	stopClients()
	must.NoError(t, group.Stop(2*patience))
	w.stop()
	c := &checks{record: w.history.close()}
	c.safety()
	if *checkTime {
		c.timed()
	}
	if _, mixed := w.engines.Map(); mixed {
		c.failf("a pass began with two maps")
	}
	t.Logf("seed %d: %d requests, %d runs, %d events, map %d", seed, len(c.record.results), len(c.record.runs), len(c.record.events), w.mapVersion())
	for _, one := range c.faults {
		t.Errorf("seed %d: %s", seed, one)
	}
}

func (w *world) allReady() bool {
	for _, e := range w.entries {
		if !e.isReady() {
			return false
		}
	}
	return true
}

func (w *world) mapVersion() uint64 {
	version, _ := w.engines.Map()
	return version
}

// recovers waits until the system serves again after the last fault.
func (w *world) recovers() {
	w.eventually("every entry is ready again", w.allReady)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range w.entries {
		for _, kind := range kinds {
			n := 0
			w.eventually(fmt.Sprintf("entry %d serves %s requests again", e.number, kind), func() bool {
				n++
				x := w.ask(client, e, kind, fmt.Sprintf("%d-%s-%d", e.number, kind, n))
				return x.err == nil && x.status == http.StatusOK
			})
		}
	}
	step, version, hot := w.engines.Step(), w.mapVersion(), 0
	w.eventually("the group begins passes again", func() bool { return w.engines.Step() > step+10 })
	w.eventually("the group changes its map again", func() bool {
		// Another expert is in demand until the map has followed.
		hot++
		w.engines.SetHotExpert(hot / 20 % expertCount)
		return w.mapVersion() > version
	})
}
