package controlbench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/load/controlbench"
)

// newScenario returns a simulation without loss in which a record is in force in all
// processes.
func newScenario(t *testing.T) *run {
	w, err := controlbench.New(controlbench.Config{Seed: 7, Domains: 3, Entries: 3, Sidecars: 6})
	must.NoError(t, err)
	r := &run{t: t, sim: w, values: encodings(t), blocked: make(map[[2]ident.InstanceID]bool)}
	w.Blocked = func(from, to *controlbench.Process) bool { return r.blocked[[2]ident.InstanceID{from.ID, to.ID}] }
	r.publishNext()
	w.Run(10 * time.Second)
	return r
}

// Guards against a process that is believed dead although only its messages to one other
// process are lost.
func TestOneWayPartitionDeclaresNobodyDead(t *testing.T) {
	r := newScenario(t)
	r.blocked[[2]ident.InstanceID{"entry-0", "entry-1"}] = true
	for range 300 {
		r.sim.Run(100 * time.Millisecond)
		for _, p := range r.sim.Processes {
			for id, state := range p.Node.Members().States() {
				must.NotEq(t, "dead", state, must.Sprintf("%s at %s", id, p.ID))
			}
		}
	}
}

// Guards against an isolated process that the others keep believing alive.
func TestIsolatedProcessIsDeclaredDead(t *testing.T) {
	r := newScenario(t)
	for _, other := range []ident.InstanceID{"entry-0", "entry-1", "sidecar-0", "sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4", "sidecar-5"} {
		r.blocked[[2]ident.InstanceID{"entry-2", other}] = true
		r.blocked[[2]ident.InstanceID{other, "entry-2"}] = true
	}
	took, ok := r.sim.RunUntil(15*time.Second, 100*time.Millisecond, func() bool {
		return r.sim.Processes[0].Node.PeerState("entry-2") == "dead" && r.sim.Processes[1].Node.PeerState("entry-2") == "dead"
	})
	must.True(t, ok)
	t.Logf("declared dead after %s", took)
}

// Guards against a restarted process that needs the configuration service to become ready
// although its peers hold the record.
func TestRestartedProcessGetsRecordFromPeers(t *testing.T) {
	r := newScenario(t)
	r.publishNext()
	r.sim.Run(5 * time.Second)
	newest := r.sim.Processes[0].Node.Digest()
	must.Eq(t, r.revision, newest.Revision)
	r.sim.Service.Down = true
	p := r.sim.Processes[1]
	p.Crash()
	p.Start()
	_, ok := r.sim.RunUntil(10*time.Second, time.Millisecond, func() bool { return !p.ReadyAt.IsZero() })
	must.True(t, ok)
	must.Eq(t, newest, p.Node.Digest())
}
