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

// variants returns the settings that operators switch between.
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
	world    *controlbench.World
	values   [][]byte
	revision ident.Revision
	cut      map[[2]ident.InstanceID]bool
	log      []string
}

func newRun(t testing.TB, seed int64, values [][]byte) *run {
	w, err := controlbench.New(controlbench.Config{Seed: seed, Domains: 3, Entries: 3, Sidecars: 6, Loss: 0.2, Delayed: 0.2})
	must.NoError(t, err)
	r := &run{t: t, world: w, values: values, cut: make(map[[2]ident.InstanceID]bool)}
	w.Blocked = func(from, to *controlbench.Process) bool { return r.cut[[2]ident.InstanceID{from.ID, to.ID}] }
	return r
}

func (r *run) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf("%8.3fs ", r.world.Now.Sub(controlbench.Start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *run) publish(revision ident.Revision, n int) {
	value, err := record.SetRevision(r.values[n], revision)
	must.NoError(r.t, err)
	d := r.world.Service.Publish(value)
	r.note("publish value %d as %v", n, d)
}

func (r *run) publishNext() {
	r.revision++
	r.publish(r.revision, r.world.Random.Intn(len(r.values)))
}

func (r *run) anyProcess() *controlbench.Process {
	return r.world.Processes[r.world.Random.Intn(len(r.world.Processes))]
}

func (r *run) disturb() {
	s, random := r.world.Service, r.world.Random
	p, q := r.anyProcess(), r.anyProcess()
	switch random.Intn(16) {
	case 0, 1, 2:
		r.publishNext()
	case 3:
		r.publishNext()
		r.publish(r.revision, random.Intn(len(r.values)))
	case 4:
		s.Publish([]byte(`{"schema": 1, "revision": 999999, "booking_share": 7}`))
		r.note("publish an invalid record")
	case 5:
		s.Stale = !s.Stale
		if !s.Stale {
			s.Fresh()
		}
		r.note("service stale %v", s.Stale)
	case 6:
		s.Down = !s.Down
		r.note("service down %v", s.Down)
	case 7:
		s.Restart()
		r.note("service restarted")
	case 8:
		r.note("pause %s", p.ID)
		p.Pause()
	case 9:
		r.note("wake %s", p.ID)
		p.Wake()
	case 10:
		r.note("crash %s", p.ID)
		p.Crash()
	case 11:
		r.note("start %s", p.ID)
		p.Start()
	case 12:
		r.note("cut %s from %s, one way", p.ID, q.ID)
		r.cut[[2]ident.InstanceID{p.ID, q.ID}] = true
	case 13:
		r.replaceWhileOrdering()
	case 14:
		r.pauseWhileOrdering()
	case 15:
		r.note("isolate domain of %s", p.ID)
		for _, a := range r.world.Processes {
			for _, b := range r.world.Processes {
				if (a.Domain == p.Domain) != (b.Domain == p.Domain) {
					r.cut[[2]ident.InstanceID{a.ID, b.ID}] = true
				}
			}
		}
	}
}

// replaceWhileOrdering replaces every sidecar at a moment when orders are on
// their way to the engines.
func (r *run) replaceWhileOrdering() {
	r.publishNext()
	r.world.Run(time.Duration(r.world.Random.Int63n(int64(2 * time.Second))))
	r.note("replace all sidecars")
	for _, p := range r.world.Processes {
		if p.Role == message.RoleSidecar {
			p.Crash()
			p.Start()
		}
	}
}

// pauseWhileOrdering pauses every sidecar between decisions and their writes.
func (r *run) pauseWhileOrdering() {
	r.publishNext()
	r.world.Run(time.Duration(r.world.Random.Int63n(int64(2 * time.Second))))
	r.note("pause all sidecars")
	for _, p := range r.world.Processes {
		if p.Role == message.RoleSidecar {
			p.Pause()
		}
	}
	r.world.Run(5 * time.Second)
	for _, p := range r.world.Processes {
		p.Wake()
	}
}

func (r *run) heal() {
	r.note("heal")
	clear(r.cut)
	r.world.Service.Down = false
	r.world.Service.Fresh()
	for _, p := range r.world.Processes {
		p.Wake()
		p.Start()
	}
}

// agreed reports whether all processes hold one record. They hold none only if
// no process kept one and the service has no valid one.
func (r *run) agreed() bool {
	d := r.world.Processes[0].Node.Digest()
	holding, running := r.world.InForce(d)
	return holding == running && (d != message.Digest{} || r.published() == message.Digest{})
}

// published returns the digest of the service's value, or zero if the value is
// not valid.
func (r *run) published() message.Digest {
	snapshot, faults := record.Parse("published", r.world.Service.Value())
	if len(faults) > 0 {
		return message.Digest{}
	}
	return snapshot.Digest
}

func (r *run) settled() bool {
	if !r.agreed() || r.world.Processes[0].Node.Digest().Less(r.published()) {
		return false
	}
	want := r.world.Processes[0].Node.Snapshot()
	if want == nil {
		return true
	}
	for _, e := range r.world.Engines {
		if e.State.Version != want.Models[e.State.Model].Version || e.State.Role == "" {
			return false
		}
	}
	for _, p := range r.world.Processes {
		for _, q := range r.world.Processes {
			if state := p.Node.PeerState(q.ID); state == "dead" {
				return false
			}
		}
	}
	return true
}

func (r *run) do() (failure string) {
	defer func() {
		if caught := recover(); caught != nil {
			failure = fmt.Sprint(caught)
		}
	}()
	r.publishNext()
	r.world.Run(4 * time.Second)
	for range 12 {
		r.disturb()
		r.world.Run(time.Duration(r.world.Random.Int63n(int64(3 * time.Second))))
	}
	if r.world.Random.Intn(2) == 0 {
		// The last publish of some runs is valid, whatever came before.
		r.publishNext()
	}
	r.heal()
	if _, ok := r.world.RunUntil(8*time.Second, 10*time.Millisecond, r.agreed); !ok {
		return "processes are left behind 8 s after the heal: " + r.digests()
	}
	if _, ok := r.world.RunUntil(3*time.Minute, 100*time.Millisecond, r.settled); !ok {
		return "not settled 3 min after the heal: " + r.digests()
	}
	if len(r.world.Violations) > 0 {
		return r.world.Violations[0]
	}
	return ""
}

func (r *run) digests() string {
	out := fmt.Sprintf("published %v;", r.published())
	for _, p := range r.world.Processes {
		out += fmt.Sprintf(" %s %v", p.ID, p.Node.Digest())
		if o := p.Node.Orders(); o != nil {
			out += " " + o.State()
		}
		for _, q := range r.world.Processes {
			if state := p.Node.PeerState(q.ID); state == "dead" || state == "suspected" {
				out += fmt.Sprintf(" (%s %s)", q.ID, state)
			}
		}
	}
	return out
}

// Guards against records that revert, processes that stay behind after a heal,
// orders obeyed from a superseded process, and live peers believed dead.
func TestRandomisedRuns(t *testing.T) {
	values := encodings(t)
	results := pool.NewWithResults[string]().WithMaxGoroutines(max(1, runtime.GOMAXPROCS(0)/2))
	for i := range *runs {
		seed := *first + int64(i)
		results.Go(func() string {
			r := newRun(t, seed, values)
			failure := r.do()
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
