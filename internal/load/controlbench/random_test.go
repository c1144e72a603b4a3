package controlbench_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/load/controlbench"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/record/recordtest"
)

var (
	runs  = flag.Int("control.runs", 40, "number of randomised runs of the control part")
	first = flag.Int64("control.seed", 1, "seed of the first run; the others follow")
)

// variants returns the two records that operators switch between.
func variants() []*record.Snapshot {
	var out []*record.Snapshot
	for i, version := range []string{"v1", "v2"} {
		s := recordtest.Snapshot(recordtest.Size{Accounts: 2, Models: 2, Replicas: 6, Services: 1, ServiceReplicas: 3, Domains: 3})
		m := s.Models["model-0"]
		m.Version, m.Bytes = version, 1<<28
		s.Models["model-0"] = m
		if i == 1 {
			service := s.Services["service-0"]
			service.Replicas = service.Replicas[:2]
			s.Services["service-0"] = service
		}
		out = append(out, s)
	}
	return out
}

// encodings returns each variant in both schemas and as a bundle.
func encodings(t testing.TB) [][]byte {
	var out [][]byte
	for _, s := range variants() {
		for schema := 1; schema <= 2; schema++ {
			value, err := record.Encode(schema, s)
			must.NoError(t, err)
			out = append(out, value)
		}
		value, err := record.EncodeBundle(s)
		must.NoError(t, err)
		out = append(out, value)
	}
	return out
}

// run is one randomised run.
type run struct {
	t        testing.TB
	sim      *controlbench.Simulation
	values   [][]byte
	revision ident.Revision
	// blocked holds the pairs of sender and receiver whose messages are dropped.
	blocked map[[2]ident.InstanceID]bool
	log     []string
}

func newRun(t testing.TB, seed int64, values [][]byte) *run {
	w, err := controlbench.New(controlbench.Config{Seed: seed, Domains: 3, Entries: 3, Sidecars: 6, LossShare: 0.2, DelayShare: 0.2})
	must.NoError(t, err)
	r := &run{t: t, sim: w, values: values, blocked: make(map[[2]ident.InstanceID]bool)}
	w.Blocked = func(from, to *controlbench.Process) bool { return r.blocked[[2]ident.InstanceID{from.ID, to.ID}] }
	return r
}

// logf logs an event with its virtual time.
func (r *run) logf(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf("%8.3fs ", r.sim.Now.Sub(controlbench.Start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) publish(revision ident.Revision, n int) {
	value, err := record.SetRevision(r.values[n], revision)
	must.NoError(r.t, err)
	d := r.sim.Service.Publish(value)
	r.logf("publish value %d as %v", n, d)
}

func (r *run) publishNext() {
	r.revision++
	r.publish(r.revision, r.sim.Random.Intn(len(r.values)))
}

func (r *run) anyProcess() *controlbench.Process {
	return r.sim.Processes[r.sim.Random.Intn(len(r.sim.Processes))]
}

// injectEvent publishes a value or injects a fault, at random.
func (r *run) injectEvent() {
	s, random := r.sim.Service, r.sim.Random
	p, q := r.anyProcess(), r.anyProcess()
	switch random.Intn(16) {
	case 0, 1, 2:
		r.publishNext()
	case 3:
		r.publishNext()
		r.publish(r.revision, random.Intn(len(r.values)))
	case 4:
		s.Publish([]byte(`{"schema": 1, "revision": 999999, "booking_share": 7}`))
		r.logf("publish an invalid record")
	case 5:
		s.Stale = !s.Stale
		if !s.Stale {
			s.EndStale()
		}
		r.logf("service stale %v", s.Stale)
	case 6:
		s.Down = !s.Down
		r.logf("service down %v", s.Down)
	case 7:
		s.Restart()
		r.logf("service restarted")
	case 8:
		r.logf("pause %s", p.ID)
		p.Pause()
	case 9:
		r.logf("wake %s", p.ID)
		p.Resume()
	case 10:
		r.logf("crash %s", p.ID)
		p.Crash()
	case 11:
		r.logf("start %s", p.ID)
		p.Start()
	case 12:
		r.logf("cut %s from %s, one way", p.ID, q.ID)
		r.blocked[[2]ident.InstanceID{p.ID, q.ID}] = true
	case 13:
		r.replaceWhileOrdering()
	case 14:
		r.pauseWhileOrdering()
	case 15:
		r.logf("isolate domain of %s", p.ID)
		for _, a := range r.sim.Processes {
			for _, b := range r.sim.Processes {
				if (a.Domain == p.Domain) != (b.Domain == p.Domain) {
					r.blocked[[2]ident.InstanceID{a.ID, b.ID}] = true
				}
			}
		}
	}
}

// replaceWhileOrdering replaces every sidecar while orders to the engines may be in
// flight.
func (r *run) replaceWhileOrdering() {
	r.publishNext()
	r.sim.Run(time.Duration(r.sim.Random.Int63n(int64(2 * time.Second))))
	r.logf("replace all sidecars")
	for _, p := range r.sim.Processes {
		if p.Role == message.RoleSidecar {
			p.Crash()
			p.Start()
		}
	}
}

// pauseWhileOrdering pauses every sidecar for 5 s, at a time when orders may have been
// decided but not sent.
func (r *run) pauseWhileOrdering() {
	r.publishNext()
	r.sim.Run(time.Duration(r.sim.Random.Int63n(int64(2 * time.Second))))
	r.logf("pause all sidecars")
	for _, p := range r.sim.Processes {
		if p.Role == message.RoleSidecar {
			p.Pause()
		}
	}
	r.sim.Run(5 * time.Second)
	for _, p := range r.sim.Processes {
		p.Resume()
	}
}

// heal ends all faults and starts all processes.
func (r *run) heal() {
	r.logf("heal")
	clear(r.blocked)
	r.sim.Service.Down = false
	r.sim.Service.EndStale()
	for _, p := range r.sim.Processes {
		p.Resume()
		p.Start()
	}
}

// agreed reports whether all processes hold the same record. They may all hold none only
// if the service has no valid one.
func (r *run) agreed() bool {
	d := r.sim.Processes[0].Node.Digest()
	holding, running := r.sim.CountInForce(d)
	return holding == running && (d != message.Digest{} || r.published() == message.Digest{})
}

// published returns the digest of the service's value, or zero if the value is
// not valid.
func (r *run) published() message.Digest {
	snapshot, faults := record.Parse("published", r.sim.Service.Value())
	if len(faults) > 0 {
		return message.Digest{}
	}
	return snapshot.Digest
}

// converged reports whether all processes hold the same record, no older than the
// published one, the engines are in the state that it specifies, and no process is
// believed dead.
func (r *run) converged() bool {
	if !r.agreed() || r.sim.Processes[0].Node.Digest().Less(r.published()) {
		return false
	}
	want := r.sim.Processes[0].Node.Snapshot()
	if want == nil {
		return true
	}
	for _, e := range r.sim.Engines {
		if e.State.Version != want.Models[e.State.Model].Version || e.State.Role == "" {
			return false
		}
	}
	for _, p := range r.sim.Processes {
		for _, q := range r.sim.Processes {
			if state := p.Node.PeerState(q.ID); state == "dead" {
				return false
			}
		}
	}
	return true
}

// execute executes the run and returns what failed, or nothing.
func (r *run) execute() (failure string) {
	defer func() {
		if caught := recover(); caught != nil {
			failure = fmt.Sprint(caught)
		}
	}()
	r.publishNext()
	r.sim.Run(4 * time.Second)
	for range 12 {
		r.injectEvent()
		r.sim.Run(time.Duration(r.sim.Random.Int63n(int64(3 * time.Second))))
	}
	if r.sim.Random.Intn(2) == 0 {
		// In about half of the runs the last publish is certainly valid.
		r.publishNext()
	}
	r.heal()
	if _, ok := r.sim.RunUntil(8*time.Second, 10*time.Millisecond, r.agreed); !ok {
		return "processes do not hold the same record 8 s after the heal: " + r.describeProcesses()
	}
	if _, ok := r.sim.RunUntil(3*time.Minute, 100*time.Millisecond, r.converged); !ok {
		return "not converged 3 min after the heal: " + r.describeProcesses()
	}
	if len(r.sim.Violations) > 0 {
		return r.sim.Violations[0]
	}
	return ""
}

// describeProcesses describes the record, the orders and the suspected peers of each process.
func (r *run) describeProcesses() string {
	out := fmt.Sprintf("published %v;", r.published())
	for _, p := range r.sim.Processes {
		out += fmt.Sprintf(" %s %v", p.ID, p.Node.Digest())
		if o := p.Node.Orders(); o != nil {
			out += " " + o.State()
		}
		for _, q := range r.sim.Processes {
			if state := p.Node.PeerState(q.ID); state == "dead" || state == "suspected" {
				out += fmt.Sprintf(" (%s %s)", q.ID, state)
			}
		}
	}
	return out
}

// Guards, in runs with random faults, against records that revert, processes without the
// newest record after the faults end, engines that execute the orders of a superseded
// process, and live peers that are believed dead.
func TestRandomisedRuns(t *testing.T) {
	values := encodings(t)
	results := pool.NewWithResults[string]().WithMaxGoroutines(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range *runs {
		seed := *first + int64(i)
		results.Go(func() string {
			r := newRun(t, seed, values)
			failure := r.execute()
			if failure == "" {
				return ""
			}
			return fmt.Sprintf("seed %d: %s (%d events)", seed, failure, len(r.log))
		})
	}
	failed := 0
	for _, failure := range results.Wait() {
		if failure == "" {
			continue
		}
		if failed++; failed <= 10 {
			t.Error(failure)
		}
	}
	t.Logf("%d runs from seed %d, %d failed", *runs, *first, failed)
}
