// Package controlbench simulates the control plane of many processes in virtual time.
// The nodes of package control are the real ones; the network, which loses messages,
// the configuration service, the instance list and the engines are models. Randomised
// tests use it, and measurements with more processes than one machine can run.
package controlbench

import (
	"container/heap"
	"math/rand"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/recordsync"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Config configures a simulation.
type Config struct {
	Seed     int64
	Domains  int
	Entries  int
	Sidecars int
	// Subset is the number of entries that link to one sidecar; 0 is all.
	Subset int
	// LossShare is the share of lost messages, on links and among the answers of the
	// configuration service, from 0 to 1.
	LossShare float64
	// DelayShare is the share of calls to engines that take up to maxDelay, from 0 to 1.
	DelayShare float64
	// Heartbeat is the time between heartbeats on a link. Zero means 1 s.
	Heartbeat time.Duration
	// Tick is the time between ticks of a process. Zero means 100 ms.
	Tick time.Duration
	// Encode passes each message through the codec and counts its bytes.
	Encode bool
	// RecordSync and Orders change the configuration of the processes; they may be nil.
	RecordSync func(*recordsync.Config)
	Orders     func(*orders.Config)
	// RealHistory makes record pushes with record.History, which compresses patches.
	// Otherwise pushes only name the value, which is much faster.
	RealHistory bool
}

// Start is the virtual time at which every simulation begins.
var Start = time.Unix(1_800_000_000, 0).UTC()

// Simulation is one simulation. It is not safe for concurrent use.
type Simulation struct {
	Config    Config
	Now       time.Time
	Random    *rand.Rand
	Service   *Service
	Processes []*Process
	Engines   map[ident.ServerID]*Engine
	// Violations describes the guarantees that were found violated.
	Violations []string
	Traffic    Traffic
	// Blocked reports whether messages from one process to another are dropped.
	Blocked func(from, to *Process) bool
	byID    map[ident.InstanceID]*Process
	values  *valueStore
	// subsets holds the servers of each entry, once computed.
	subsets map[ident.InstanceID][]ident.ServerID
	codec   *codec.Codec
	queue   eventQueue
	serial  uint64
}

// Traffic counts the messages of all processes.
type Traffic struct {
	Messages, Lost uint64
	// FrameBytes is the size of the encoded messages in bytes. Bytes adds the headers of
	// frameOverhead, as on a link that sends each message in a packet of its own.
	FrameBytes, Bytes uint64
	// BytesByRole is Bytes by role of the sender.
	BytesByRole map[message.Role]uint64
	// BytesByKind is Bytes by kind of message.
	BytesByKind map[message.Kind]uint64
	// ProcessingTime is the time spent in control.Node.Step and, with Config.Encode, in the
	// codec, in real time.
	ProcessingTime time.Duration
}

// event is a call at a point in virtual time. serial orders events with the same time.
type event struct {
	at     time.Time
	serial uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// New returns a simulation whose processes start within the first second.
func New(config Config) (*Simulation, error) {
	if config.Heartbeat == 0 {
		config.Heartbeat = time.Second
	}
	if config.Tick == 0 {
		config.Tick = 100 * time.Millisecond
	}
	frames, err := codec.New()
	if err != nil {
		return nil, err
	}
	w := &Simulation{
		Config: config, Now: Start, Random: rand.New(rand.NewSource(config.Seed)),
		Engines: make(map[ident.ServerID]*Engine), byID: make(map[ident.InstanceID]*Process),
		Blocked: func(_, _ *Process) bool { return false },
		values:  newValueStore(), codec: frames,
		Traffic: Traffic{BytesByKind: make(map[message.Kind]uint64), BytesByRole: make(map[message.Role]uint64)},
	}
	w.Service = &Service{sim: w}
	w.addProcesses()
	return w, nil
}

// After schedules a call in virtual time.
func (w *Simulation) After(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.Now.Add(d), serial: w.serial, run: run})
}

// Run advances virtual time and runs the events that are due.
func (w *Simulation) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = end
}

// RunUntil advances virtual time in steps until the condition holds, at most by the
// limit. It returns the time that passed and whether the condition holds.
func (w *Simulation) RunUntil(limit, step time.Duration, holds func() bool) (time.Duration, bool) {
	begin := w.Now
	for !holds() {
		if w.Now.Sub(begin) >= limit {
			return w.Now.Sub(begin), false
		}
		w.Run(step)
	}
	return w.Now.Sub(begin), true
}

// CountInForce returns the number of running processes whose record in force has the digest,
// and the number of running processes.
func (w *Simulation) CountInForce(d message.Digest) (holding, running int) {
	for _, p := range w.Processes {
		if !p.Running() {
			continue
		}
		running++
		if p.Node.Digest() == d {
			holding++
		}
	}
	return holding, running
}

// step calls the process's node and executes the outputs.
func (w *Simulation) step(p *Process, in control.Input) {
	begin := time.Now()
	out := p.Node.Step(w.Now, in)
	w.Traffic.ProcessingTime += time.Since(begin)
	for _, o := range out {
		p.execute(o)
	}
}
