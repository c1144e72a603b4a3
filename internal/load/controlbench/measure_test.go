package controlbench_test

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/load/controlbench"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/record/recordtest"
)

var (
	measure   = flag.Bool("control.measure", false, "run the measurements")
	processes = flag.Int("control.processes", 0, "measure one size instead of 25, 100 and 400")
)

// publisher publishes records that differ in one account's weight.
type publisher struct {
	sim      *controlbench.Simulation
	snapshot *record.Snapshot
	revision ident.Revision
}

func (p *publisher) publish(t testing.TB) message.Digest {
	p.revision++
	a := p.snapshot.Accounts["account-0"]
	a.Weight = float64(p.revision)
	p.snapshot.Accounts["account-0"] = a
	value, err := record.Encode(2, p.snapshot)
	must.NoError(t, err)
	value, err = record.SetRevision(value, p.revision)
	must.NoError(t, err)
	return p.sim.Service.Publish(value)
}

// publishAndWait publishes a record and returns the time until it is in force in all processes.
func (p *publisher) publishAndWait(t testing.TB, step time.Duration) time.Duration {
	d := p.publish(t)
	took, ok := p.sim.RunUntil(time.Minute, step, func() bool {
		holding, running := p.sim.CountInForce(d)
		return holding == running && running == len(p.sim.Processes)
	})
	must.True(t, ok)
	return took
}

// percentile returns the given percentile, as a share from 0 to 1.
func percentile(all []time.Duration, share float64) time.Duration {
	slices.Sort(all)
	return all[min(len(all)-1, int(share*float64(len(all))))]
}

// Measures the time until a published record is in force in all of 22 processes while 20%
// of the messages are lost.
func TestMeasurePublish(t *testing.T) {
	if !*measure {
		t.Skip("run with -control.measure")
	}
	var all []time.Duration
	for seed := range int64(50) {
		w, err := controlbench.New(controlbench.Config{Seed: seed + 1, Domains: 3, Entries: 3, Sidecars: 19, LossShare: 0.2})
		must.NoError(t, err)
		p := &publisher{sim: w, snapshot: recordtest.Snapshot(recordtest.Size{Accounts: 10, Models: 2, Replicas: 19, Domains: 3})}
		p.publishAndWait(t, 10*time.Millisecond)
		for range 40 {
			w.Run(time.Duration(w.Random.Int63n(int64(10 * time.Second))))
			all = append(all, p.publishAndWait(t, 5*time.Millisecond))
		}
	}
	t.Logf("%d publishes, seeds 1 to 50: p50 %s, p90 %s, p99 %s, most %s", len(all),
		percentile(all, 0.5), percentile(all, 0.9), percentile(all, 0.99), percentile(all, 1))
}

// Measures the control traffic, CPU time and memory per process by number of processes.
func TestMeasureScale(t *testing.T) {
	if !*measure {
		t.Skip("run with -control.measure")
	}
	sizes := []int{25, 100, 400}
	if *processes > 0 {
		sizes = []int{*processes}
	}
	for _, n := range sizes {
		t.Log(measureScale(t, n))
	}
}

func measureScale(t testing.TB, n int) string {
	// The share of entries is that of the largest measurement, 370 of 3070 processes.
	entries := max(3, n*370/3070)
	sidecars := n - entries
	before := heapInUse()
	config := controlbench.Config{Seed: 1, Domains: 4, Entries: entries, Sidecars: sidecars, Encode: true, RealHistory: true}
	if sidecars > 64 {
		config.Subset = 7
	}
	w, err := controlbench.New(config)
	must.NoError(t, err)
	p := &publisher{sim: w, snapshot: recordtest.Snapshot(recordtest.Size{Accounts: 280, Models: 4, Replicas: sidecars, Services: 1, ServiceReplicas: 3, Domains: 4})}
	first := p.publishAndWait(t, 10*time.Millisecond)
	w.Run(20 * time.Second)
	traffic := w.Traffic
	w.Traffic.BytesByKind, w.Traffic.BytesByRole = make(map[message.Kind]uint64), make(map[message.Role]uint64)
	begin := w.Now
	var all []time.Duration
	for range 5 {
		all = append(all, p.publishAndWait(t, 10*time.Millisecond))
		w.Run(12 * time.Second)
	}
	seconds := w.Now.Sub(begin).Seconds()
	bytes := float64(w.Traffic.Bytes-traffic.Bytes) / seconds
	frames := float64(w.Traffic.FrameBytes-traffic.FrameBytes) / seconds
	messages := float64(w.Traffic.Messages-traffic.Messages) / seconds
	busy := (w.Traffic.ProcessingTime - traffic.ProcessingTime).Seconds() / seconds
	worst, steady := reads(w, begin)
	out := fmt.Sprintf("%d processes (%d entries): first record everywhere %s, later ones at most %s; %.0f B/s sent per process; on the links of an entry %.1f messages/s and %.0f B/s of frames each way; with the headers of idle links an entry sends %.0f B/s and a sidecar %.0f; %.3f%% of a core and %.2f MB per process; configuration service %.2f reads/s, worst second %d;",
		n, entries, first, percentile(all, 1), bytes/float64(n), messages/2/float64(entries), frames/2/float64(entries),
		float64(w.Traffic.BytesByRole[message.RoleEntry])/seconds/float64(entries), float64(w.Traffic.BytesByRole[message.RoleSidecar])/seconds/float64(sidecars), 100*busy/float64(n), float64(heapInUse()-before)/1e6/float64(n), steady, worst)
	for kind, b := range w.Traffic.BytesByKind {
		out += fmt.Sprintf(" kind %d %.0f B/s", kind, float64(b)/seconds/float64(n))
	}
	return out
}

// reads returns the most reads of the configuration service in one second since the start
// of the simulation, and the mean per second since begin.
func reads(w *controlbench.Simulation, begin time.Time) (worst int, mean float64) {
	from := int(begin.Sub(controlbench.Start) / time.Second)
	total := 0
	for second, count := range w.Service.ReadsBySecond {
		worst = max(worst, count)
		if second >= from {
			total += count
		}
	}
	return worst, float64(total) / w.Now.Sub(begin).Seconds()
}

// heapInUse returns the bytes in use on the heap.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
