// Package controlbench runs the control part of many processes in virtual time:
// the same decisions as the product, with a network that loses messages, a
// configuration service, an instance list and engines that are models. The
// randomised runs and the measurements at sizes beyond one machine use it.
package controlbench

import (
	"container/heap"
	"math/rand"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/codec"
	"github.com/anvilpoint/anvilpoint/internal/control"
	"github.com/anvilpoint/anvilpoint/internal/decide/orders"
	"github.com/anvilpoint/anvilpoint/internal/decide/spread"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Config describes a world.
type Config struct {
	Seed     int64
	Domains  int
	Entries  int
	Sidecars int
	// Subset is the number of entries that link to one sidecar; 0 is all.
	Subset int
	// Loss is the share of messages that are lost, on links and on answers of the
	// configuration service.
	Loss float64
	// Delayed is the share of calls to engines that take up to 2 s.
	Delayed float64
	// Heartbeat is the time between heartbeats on a link.
	Heartbeat time.Duration
	// Tick is the time between ticks of a process.
	Tick time.Duration
	// Encode passes each message through the codec and counts its bytes.
	Encode bool
	// Spread and Orders change the constants of the processes; they may be nil.
	Spread func(*spread.Config)
	Orders func(*orders.Config)
	// RealHistory makes patches with the product's compression. Otherwise pushes
	// only name the value, which is much faster.
	RealHistory bool
}

// Start is the virtual time at which every world begins.
var Start = time.Unix(1_800_000_000, 0).UTC()

// World is one run. It is used from one goroutine.
type World struct {
	Config    Config
	Now       time.Time
	Random    *rand.Rand
	Service   *Service
	Processes []*Process
	Engines   map[ident.ServerID]*Engine
	// Violations are broken promises that the run found.
	Violations []string
	Traffic    Traffic
	// Blocked tells whether messages from one process to another are cut off.
	Blocked func(from, to *Process) bool
	byID    map[ident.InstanceID]*Process
	values  *valueStore
	chosen  map[ident.InstanceID][]ident.ServerID
	codec   *codec.Codec
	queue   eventQueue
	serial  uint64
}

// Traffic counts the messages of the whole world.
type Traffic struct {
	Messages, Lost uint64
	// Frames are the bytes of the encoded messages. Bytes adds the headers of a
	// link that carries nothing else.
	Frames, Bytes uint64
	// Sent are the bytes by role of the sender.
	Sent map[message.Role]uint64
	// ByKind are the bytes by kind of message.
	ByKind map[message.Kind]uint64
	// Busy is the processor time spent in decisions and encoding.
	Busy time.Duration
}

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

// New returns a world whose processes start within the first second.
func New(config Config) (*World, error) {
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
	w := &World{
		Config: config, Now: Start, Random: rand.New(rand.NewSource(config.Seed)),
		Engines: make(map[ident.ServerID]*Engine), byID: make(map[ident.InstanceID]*Process),
		Blocked: func(_, _ *Process) bool { return false },
		values:  newValueStore(), codec: frames,
		Traffic: Traffic{ByKind: make(map[message.Kind]uint64), Sent: make(map[message.Role]uint64)},
	}
	w.Service = &Service{world: w}
	w.addProcesses()
	return w, nil
}

// After runs a function later in virtual time.
func (w *World) After(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.Now.Add(d), serial: w.serial, run: run})
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = end
}

// RunUntil lets time pass until the condition holds, at most for the limit. It
// returns the time that passed and whether the condition holds.
func (w *World) RunUntil(limit, step time.Duration, holds func() bool) (time.Duration, bool) {
	begin := w.Now
	for !holds() {
		if w.Now.Sub(begin) >= limit {
			return w.Now.Sub(begin), false
		}
		w.Run(step)
	}
	return w.Now.Sub(begin), true
}

// InForce returns how many running processes hold the digest, and how many run.
func (w *World) InForce(d message.Digest) (holding, running int) {
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

func (w *World) step(p *Process, in control.Input) {
	begin := time.Now()
	out := p.Node.Step(w.Now, in)
	w.Traffic.Busy += time.Since(begin)
	for _, o := range out {
		p.carryOut(o)
	}
}
