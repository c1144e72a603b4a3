package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// Config describes a group of engines.
type Config struct {
	ID ident.GroupID
	// ChecksFencing tells for each rank whether its engine refuses orders with an old
	// fencing token. Its length is the number of ranks.
	ChecksFencing []bool
	Layers        int
	Experts       int
	// StepTime is the duration of a step with a perfectly balanced map.
	StepTime time.Duration
	// LoadTime is the time that loading the weights of a map takes.
	LoadTime time.Duration
	// TokensPerStep is the number of tokens that each step adds to the work by expert.
	TokensPerStep int
	// ZipfExponent, Spread and DriftTime are the parameters of NewPopularity.
	ZipfExponent float64
	Spread       float64
	DriftTime    time.Duration
	Seed         uint64
}

// Defaults returns the configuration of the dev command's group, whose
// popularity drifts within minutes so that an operator can watch it.
func Defaults() Config {
	return Config{
		StepTime: 20 * time.Millisecond, LoadTime: 200 * time.Millisecond, TokensPerStep: 4096,
		ZipfExponent: 0.7, Spread: 0.7, DriftTime: 5 * time.Minute, Seed: 1,
	}
}

// mailboxCapacity is the number of messages that may wait for the group's task.
const mailboxCapacity = 1024

// retryInterval is the time after which ranks that could not enter their step retry.
const retryInterval = 2 * time.Millisecond

// ErrStopped means that the group's task has ended.
var ErrStopped = errors.New("the group has stopped")

// Group is the task that owns the engines of a group.
type Group struct {
	config     Config
	mailbox    *task.Mailbox[request]
	ranks      *Ranks
	popularity *Popularity
	// speeds holds the speed of each rank relative to a healthy one.
	speeds []float64
	// workByExpert counts the tokens of each layer and expert since the start.
	workByExpert [][]float64
	// meanStep is the smoothed duration of a step and meanBusy the smoothed time that each
	// rank computes in it, both in nanoseconds.
	meanStep float64
	meanBusy []float64
	nextStep time.Time
}

// New returns a group whose engines have just started. They work once Run is called.
func New(c Config) *Group {
	g := &Group{config: c, mailbox: task.NewMailbox[request](mailboxCapacity, task.Block),
		ranks:      NewRanks(c.ChecksFencing),
		popularity: NewPopularity(rand.New(rand.NewPCG(c.Seed, 5)), c.Layers, c.Experts, c.ZipfExponent, c.Spread, c.DriftTime),
		speeds:     make([]float64, len(c.ChecksFencing)), meanBusy: make([]float64, len(c.ChecksFencing))}
	for r := range g.speeds {
		g.speeds[r] = 1
	}
	for range c.Layers {
		g.workByExpert = append(g.workByExpert, make([]float64, c.Experts))
	}
	return g
}

// Truth is the ground truth about the steps of a group.
type Truth struct {
	Group ident.GroupID `json:"group"`
	// Steps is the number of steps that all ranks have run.
	Steps uint64 `json:"steps"`
	// MapMismatches are the steps in which two ranks used different maps.
	MapMismatches []MapMismatch `json:"two_maps"`
	// StepMicros is the smoothed step time; BestMicros is that of a perfectly balanced map.
	StepMicros float64 `json:"step_micros"`
	BestMicros float64 `json:"best_micros"`
}

// request is a message to the group's task.
type request interface{ serve(g *Group) }

type (
	submitOrder struct {
		rank  ident.Rank
		order expertmap.Order
		reply chan<- engine.GroupAnswer
	}
	askState struct {
		rank   ident.Rank
		detail bool
		reply  chan<- engine.GroupState
	}
	askTruth  struct{ reply chan<- Truth }
	crashRank struct{ rank ident.Rank }
	stallRank struct {
		rank    ident.Rank
		stalled bool
	}
	setSpeed struct {
		rank  ident.Rank
		speed float64
	}
)

// Run runs the group until the context ends.
func (g *Group) Run(ctx context.Context) error {
	defer g.mailbox.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case r := <-g.mailbox.Receive():
			r.serve(g)
		case now := <-timer.C:
			timer.Reset(g.advance(now))
		case <-ctx.Done():
			return nil
		}
	}
}

// advance makes the ranks enter their next step once it is due. It returns the time to
// wait before the next call.
func (g *Group) advance(now time.Time) time.Duration {
	if wait := g.nextStep.Sub(now); wait > 0 {
		return wait
	}
	before := g.ranks.CompletedSteps()
	for r := range g.speeds {
		g.ranks.EnterStep(ident.Rank(r))
	}
	if g.ranks.CompletedSteps() == before {
		return retryInterval
	}
	duration := g.accountStep()
	g.popularity.Advance(duration)
	g.nextStep = now.Add(duration)
	return duration
}

// smoothingWeight is the weight of one step in the smoothed times.
const smoothingWeight = 0.05

// accountStep counts the work of a step and returns its duration. In each layer all ranks
// wait for the slowest one.
func (g *Group) accountStep() time.Duration {
	m := g.ranks.Map()
	// layerTime is the time of one healthy rank for all the work of a layer.
	layerTime := float64(g.config.StepTime) / float64(len(g.workByExpert)) * float64(len(g.speeds))
	step := 0.0
	busy := make([]float64, len(g.speeds))
	for l := range g.workByExpert {
		shares := g.popularity.Shares(l)
		for e, s := range shares {
			g.workByExpert[l][e] += s * float64(g.config.TokensPerStep)
		}
		slowest := 0.0
		for r, t := range expertbalance.RankTimes(m.Layers[l], shares, g.speeds) {
			busy[r] += t * layerTime
			slowest = max(slowest, t*layerTime)
		}
		step += slowest
	}
	g.meanStep += smoothingWeight * (step - g.meanStep)
	for r := range busy {
		g.meanBusy[r] += smoothingWeight * (busy[r] - g.meanBusy[r])
	}
	return time.Duration(step)
}

func (r submitOrder) serve(g *Group) {
	a := engine.GroupAnswer{}
	switch g.ranks.Execute(r.rank, r.order) {
	case expertmap.ResultTooLate:
		a.Refused = engine.RefusedTooLate
	case expertmap.ResultFenced:
		a.Refused = engine.RefusedFenced
	case expertmap.ResultMapMissing:
		a.Refused = engine.RefusedMapMissing
	}
	// The sidecar needs the map only in the answer to a hold.
	a.State = g.state(r.rank, r.order.Kind == expertmap.OrderHold)
	r.reply <- a
}

func (r askState) serve(g *Group) { r.reply <- g.state(r.rank, r.detail) }

func (g *Group) state(r ident.Rank, detail bool) engine.GroupState {
	s := g.ranks.State(r)
	state := engine.GroupState{Boot: s.Boot, Current: s.Current, Next: s.Next, Entered: s.Entered, Armed: s.Armed, Held: s.Held,
		HighestToken: s.HighestToken, ComputeMicros: uint32(1000 / g.speeds[r]), StepMicros: g.meanStep / 1e3, RankMicros: g.meanBusy[r] / 1e3}
	if detail {
		if s.Map != nil {
			state.Map = s.Map.Layers
		}
		for _, layer := range g.workByExpert {
			state.Work = append(state.Work, append([]float64(nil), layer...))
		}
	}
	return state
}

func (r askTruth) serve(g *Group) {
	r.reply <- Truth{Group: g.config.ID, Steps: g.ranks.CompletedSteps(), MapMismatches: append([]MapMismatch{}, g.ranks.MapMismatches()...),
		StepMicros: g.meanStep / 1e3, BestMicros: float64(g.config.StepTime.Microseconds())}
}

func (r crashRank) serve(g *Group) { g.ranks.Crash(r.rank) }
func (r stallRank) serve(g *Group) { g.ranks.Stall(r.rank, r.stalled) }
func (r setSpeed) serve(g *Group)  { g.speeds[r.rank] = r.speed }

// Truth returns the ground truth, or ErrStopped if the task has ended.
func (g *Group) Truth(ctx context.Context) (Truth, error) {
	t, ok := task.Ask(ctx, g.mailbox, func(reply chan<- Truth) request { return askTruth{reply: reply} })
	if !ok {
		return Truth{}, ErrStopped
	}
	return t, nil
}

// Crash replaces the engine of a rank by one that has just started and has no map.
func (g *Group) Crash(ctx context.Context, r ident.Rank) { g.mailbox.Send(ctx, crashRank{rank: r}) }

// Stall sets whether a rank is prevented from entering steps.
func (g *Group) Stall(ctx context.Context, r ident.Rank, stalled bool) {
	g.mailbox.Send(ctx, stallRank{rank: r, stalled: stalled})
}

// SetSpeed sets the speed of a rank relative to a healthy one. It must be positive.
func (g *Group) SetSpeed(ctx context.Context, r ident.Rank, speed float64) {
	g.mailbox.Send(ctx, setSpeed{rank: r, speed: speed})
}
