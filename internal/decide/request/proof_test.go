package request_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/decide/execution"
	"github.com/anvilpoint/anvilpoint/internal/decide/request"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/outcome"
)

const requestID = ident.RequestID("r-x.s")

// frame is a frame in transit to a sidecar.
type frame struct {
	attempt  ident.Attempt
	withdraw bool
	// deadline is the offer's deadline on the sidecar's clock.
	deadline time.Time
}

// reply is a frame in transit to the entry.
type reply struct {
	link    int
	message request.Input
}

// server is a sidecar: a ledger and a queue of waiting attempts.
type server struct {
	ledger  *execution.Ledger
	waiting []ident.Attempt
	running []ident.Attempt
	arrived []frame
	replies []reply
	// link is the number of the current link; replies on an earlier one are dropped.
	link int
	up   bool
}

// simulation is one request at an entry, connected to sidecars by links that
// break. Frames written before a break may still arrive.
type simulation struct {
	t       *rapid.T
	now     time.Time
	request *request.Request
	servers map[ident.ServerID]*server
	names   []ident.ServerID
	started []ident.Attempt
	sentTo  map[ident.Attempt]ident.ServerID
	end     *request.EndRequest
}

func (s *simulation) carryOut(actions []request.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case request.ChooseServer:
			s.choose(a)
		case request.Offer:
			s.send(a.Server, frame{attempt: a.Attempt, deadline: s.now.Add(a.Remaining)})
		case request.Withdraw:
			s.send(a.Server, frame{attempt: a.Attempt, withdraw: true})
		case request.EndRequest:
			must.Nil(s.t, s.end)
			s.end = &a
		}
	}
}

func (s *simulation) choose(a request.ChooseServer) {
	var free []ident.ServerID
	for _, n := range s.names {
		if !slices.Contains(a.Excluded, n) {
			free = append(free, n)
		}
	}
	if len(free) == 0 || rapid.IntRange(0, 9).Draw(s.t, "no server") == 0 {
		s.carryOut(s.request.Step(s.now, request.NoServer{Final: rapid.Bool().Draw(s.t, "final")}))
		return
	}
	s.carryOut(s.request.Step(s.now, request.Picked{Server: rapid.SampledFrom(free).Draw(s.t, "server")}))
}

func (s *simulation) send(name ident.ServerID, f frame) {
	v := s.servers[name]
	if f.withdraw {
		if v.up {
			v.arrived = append(v.arrived, f)
		}
		return
	}
	s.sentTo[f.attempt] = name
	if !v.up {
		s.carryOut(s.request.Step(s.now, request.NotSent{Attempt: f.attempt}))
		return
	}
	v.arrived = append(v.arrived, f)
}

func (v *server) answer(m request.Input) {
	v.replies = append(v.replies, reply{link: v.link, message: m})
}

// receive delivers one frame, chosen at random, to the sidecar.
func (s *simulation) receive(v *server) {
	if len(v.arrived) == 0 {
		return
	}
	n := rapid.IntRange(0, len(v.arrived)-1).Draw(s.t, "frame")
	f := v.arrived[n]
	// A frame may arrive twice.
	if rapid.IntRange(0, 4).Draw(s.t, "again") > 0 {
		v.arrived = slices.Delete(v.arrived, n, n+1)
	}
	key := execution.Key{Request: requestID, Attempt: f.attempt}
	if f.withdraw {
		s.withdraw(v, key)
		return
	}
	switch v.ledger.Arrive(s.now, key, f.deadline) {
	case execution.Duplicate:
	case execution.Refused, execution.PastDeadline:
		v.answer(request.Refused{Attempt: f.attempt})
	case execution.FirstSeen:
		if rapid.IntRange(0, 3).Draw(s.t, "refuse") == 0 {
			v.ledger.Refuse(s.now, key)
			v.answer(request.Refused{Attempt: f.attempt, Reason: outcome.ReasonQueueFull})
			return
		}
		v.ledger.Queue(s.now, key)
		v.waiting = append(v.waiting, f.attempt)
		v.answer(request.Accepted{Attempt: f.attempt})
	}
}

func (s *simulation) withdraw(v *server, key execution.Key) {
	if !v.ledger.Withdraw(s.now, key) {
		v.answer(request.TooLate{Attempt: key.Attempt})
		return
	}
	if n := slices.Index(v.waiting, key.Attempt); n >= 0 {
		v.waiting = slices.Delete(v.waiting, n, n+1)
	}
	v.answer(request.Withdrawn{Attempt: key.Attempt})
}

func (s *simulation) startNext(v *server) {
	if len(v.waiting) == 0 {
		return
	}
	attempt := v.waiting[0]
	v.waiting = v.waiting[1:]
	if !v.ledger.Start(s.now, execution.Key{Request: requestID, Attempt: attempt}) {
		v.answer(request.Refused{Attempt: attempt, Reason: outcome.ReasonDeadline})
		return
	}
	s.started = append(s.started, attempt)
	v.running = append(v.running, attempt)
}

func (s *simulation) workOnce(v *server) {
	if len(v.running) == 0 {
		return
	}
	attempt := v.running[0]
	switch rapid.IntRange(0, 3).Draw(s.t, "work") {
	case 0:
		v.answer(request.Progress{Attempt: attempt})
		return
	case 1:
		v.answer(request.Completed{Attempt: attempt})
	default:
		v.answer(request.Failed{Attempt: attempt, Reason: outcome.ReasonServerFailed})
	}
	v.running = v.running[1:]
	v.ledger.End(s.now, execution.Key{Request: requestID, Attempt: attempt})
}

func (s *simulation) deliverReply(v *server) {
	if len(v.replies) == 0 {
		return
	}
	r := v.replies[0]
	v.replies = v.replies[1:]
	if v.up && r.link == v.link {
		s.carryOut(s.request.Step(s.now, r.message))
	}
}

// breakLink breaks a link, or restores a broken one. Replies in transit are lost;
// frames in transit to the sidecar still arrive.
func (s *simulation) breakLink(name ident.ServerID, v *server) {
	if !v.up {
		v.up = true
		v.link++
		return
	}
	v.up = false
	for attempt, at := range s.sentTo {
		if at == name && attempt == s.request.LatestAttempt() {
			s.carryOut(s.request.Step(s.now, request.LinkLost{Attempt: attempt}))
			return
		}
	}
}

func (s *simulation) advanceTime(d time.Duration) {
	s.now = s.now.Add(d)
	s.carryOut(s.request.Tick(s.now))
	for _, v := range s.servers {
		v.ledger.Tick(s.now)
	}
}

func runSimulation(t *rapid.T, machines *request.Machines, steps int) {
	s := &simulation{t: t, now: time.Unix(1_000_000, 0), servers: map[ident.ServerID]*server{}, sentTo: map[ident.Attempt]ident.ServerID{}}
	for _, n := range []ident.ServerID{"a", "b", "c"} {
		ledger, err := execution.New()
		must.NoError(t, err)
		s.names = append(s.names, n)
		s.servers[n] = &server{ledger: ledger, up: true}
	}
	repeatable := rapid.Bool().Draw(t, "repeatable")
	r, actions := machines.New(s.now, request.Plan{FirstOutputTimeout: 5 * time.Second, Repeatable: repeatable})
	s.request = r
	s.carryOut(actions)
	for range steps {
		name := rapid.SampledFrom(s.names).Draw(t, "at")
		v := s.servers[name]
		switch rapid.IntRange(0, 13).Draw(t, "step") {
		case 0, 1, 2:
			s.receive(v)
		case 3, 4:
			s.startNext(v)
		case 5, 6:
			s.workOnce(v)
		case 7, 8, 9, 10:
			s.deliverReply(v)
		case 11:
			s.breakLink(name, v)
		case 12:
			s.advanceTime(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		case 13:
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				s.carryOut(s.request.Step(s.now, request.ClientLeft{}))
			}
		}
		s.check(repeatable)
	}
}

func (s *simulation) check(repeatable bool) {
	if !repeatable {
		must.LessEq(s.t, 1, len(s.started))
	}
	if s.end == nil {
		return
	}
	must.True(s.t, s.request.Done())
	if s.end.Outcome.Kind == outcome.NotRun {
		must.SliceEmpty(s.t, s.started)
	}
}

// Guards against a request that is answered not-run although one of its attempts
// starts, before or after the answer, and against a request that runs twice
// although it is not repeatable. Frames arrive late, twice and out of order, links
// break, and time jumps past deadlines.
func TestNotRunIsOnlySaidWithProof(t *testing.T) {
	machines, err := request.NewMachines(nil)
	must.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) { runSimulation(t, machines, 120) })
}
