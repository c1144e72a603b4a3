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

// Flags for longer runs, which are started by hand:
//
//	go test ./internal/soak -run TestSoak -soak.first 100 -soak.seeds 50 -soak.timed -timeout 60m -v
var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Uint64("soak.seeds", 1, "number of seeds")
	length    = flag.Duration("soak.length", 5*time.Second, "time in which faults are injected, for each seed")
	checkTime = flag.Bool("soak.timed", false, "check bounds on time, for a machine that is not busy")
	logFolder = flag.String("soak.logs", "", "folder that keeps the processes' logs; without it they go with the test")
)

// Guards against violated guarantees under faults from outside the processes: answers
// that are changed or cut off, requests that run twice, requests that are answered with
// not run but ran, two expert maps in one step, configurations that revert, and a system
// that does not recover after the last fault.
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
	system := newCluster(t, seed, logs)
	system.eventually("every entry is ready", system.allReady)
	clients, stopClients := context.WithCancel(context.Background())
	group := task.NewGroup(context.Background())
	for n := range workerCount {
		group.Go("client", func(context.Context) error {
			system.worker(clients, n, rand.New(rand.NewPCG(seed, uint64(n)+2)))
			return nil
		})
	}
	must.NoError(t, newInjector(system).run(*length))
	system.awaitRecovery()
	stopClients()
	must.NoError(t, group.Stop(2*clientTimeout))
	system.stop()
	c := &checks{record: system.recorder.close()}
	c.safety()
	if *checkTime {
		c.timed()
	}
	if _, mixed := system.engines.Map(); mixed {
		c.failf("a step began with two expert maps")
	}
	t.Logf("seed %d: %d requests, %d executions, %d events, expert map version %d",
		seed, len(c.record.results), len(c.record.executions), len(c.record.events), system.mapVersion())
	for _, violation := range c.violations {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

func (c *cluster) allReady() bool {
	for _, e := range c.entries {
		if !e.isReady() {
			return false
		}
	}
	return true
}

func (c *cluster) mapVersion() uint64 {
	version, _ := c.engines.Map()
	return version
}

// awaitRecovery waits until the system serves again after the last fault: every entry
// answers every kind of request, and the group runs steps and switches its expert map. Every
// second request has a content of its own: one that was in flight when a server crashed under
// a new name of the account may be held for 60 s (decide/quarantine), and all clients of the
// soak send the same.
func (c *cluster) awaitRecovery() {
	c.eventually("every entry is ready again", c.allReady)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range c.entries {
		for _, kind := range kinds {
			n := 0
			c.eventually(fmt.Sprintf("entry %d serves %s requests again", e.number, kind), func() bool {
				n++
				id := fmt.Sprintf("%d-%s-%d", e.number, kind, n)
				path := pathOf(kind, id)
				if n%2 == 0 {
					path = fmt.Sprintf("/%s/recovery-%s", kind, id)
				}
				x := c.sendTo(client, e, kind, id, path)
				return x.err == nil && x.status == http.StatusOK
			})
		}
	}
	step, version, tries := c.engines.Step(), c.mapVersion(), 0
	c.eventually("the group runs steps again", func() bool { return c.engines.Step() > step+10 })
	c.eventually("the group switches its expert map again", func() bool {
		// Makes another expert the most loaded one on every 20th try, until the group
		// has switched to a map for it.
		tries++
		c.engines.SetHotExpert(tries / 20 % expertCount)
		return c.mapVersion() > version
	})
}
