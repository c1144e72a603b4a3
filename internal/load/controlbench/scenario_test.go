package controlbench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/load/controlbench"
)

func newScenario(t *testing.T) *run {
	w, err := controlbench.New(controlbench.Config{Seed: 7, Domains: 3, Entries: 3, Sidecars: 6})
	must.NoError(t, err)
	r := &run{t: t, world: w, values: encodings(t), cut: make(map[[2]ident.InstanceID]bool)}
	w.Blocked = func(from, to *controlbench.Process) bool { return r.cut[[2]ident.InstanceID{from.ID, to.ID}] }
	r.publishNext()
	w.Run(10 * time.Second)
	return r
}

// Guards against a one-way cut between two processes that makes one of them
// dead in the eyes of all.
func TestOneWayCutDeclaresNobodyDead(t *testing.T) {
	r := newScenario(t)
	r.cut[[2]ident.InstanceID{"entry-0", "entry-1"}] = true
	for range 300 {
		r.world.Run(100 * time.Millisecond)
		for _, p := range r.world.Processes {
			for id, state := range p.Node.Members().States() {
				must.NotEq(t, "dead", state, must.Sprintf("%s at %s", id, p.ID))
			}
		}
	}
}

// Guards against a lost process that stays alive in the eyes of the others.
func TestLostProcessIsDeclaredDead(t *testing.T) {
	r := newScenario(t)
	for _, other := range []ident.InstanceID{"entry-0", "entry-1", "sidecar-0", "sidecar-1", "sidecar-2", "sidecar-3", "sidecar-4", "sidecar-5"} {
		r.cut[[2]ident.InstanceID{"entry-2", other}] = true
		r.cut[[2]ident.InstanceID{other, "entry-2"}] = true
	}
	took, ok := r.world.RunUntil(15*time.Second, 100*time.Millisecond, func() bool {
		return r.world.Processes[0].Node.PeerState("entry-2") == "dead" && r.world.Processes[1].Node.PeerState("entry-2") == "dead"
	})
	must.True(t, ok)
	t.Logf("declared dead after %s", took)
}

// Guards against a new process that needs the configuration service although
// its peers hold the record.
func TestNewProcessLearnsFromPeers(t *testing.T) {
	r := newScenario(t)
	r.publishNext()
	r.world.Run(5 * time.Second)
	newest := r.world.Processes[0].Node.Digest()
	must.Eq(t, r.revision, newest.Revision)
	r.world.Service.Down = true
	p := r.world.Processes[1]
	p.Crash()
	p.Start()
	_, ok := r.world.RunUntil(10*time.Second, time.Millisecond, func() bool { return !p.ReadyAt.IsZero() })
	must.True(t, ok)
	must.Eq(t, newest, p.Node.Digest())
}
