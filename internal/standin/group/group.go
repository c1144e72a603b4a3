package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/anvilpoint/anvilpoint/internal/decide/balance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/task"
)

// Config describes a group of engines.
type Config struct {
	ID ident.GroupID
	// ChecksFencing says, for each rank, whether its engine refuses orders with an
	// old token. Its length is the number of ranks.
	ChecksFencing []bool
	Layers        int
	Experts       int
	// Step is the time of a step with a perfect map.
	Step time.Duration
	// LoadTime is how long the weights of a map take to load.
	LoadTime time.Duration
	// Tokens is the number of tokens of a step, for the counts of work.
	Tokens int
	// Exponent and Spread shape the popularity of the experts, and Wander is the
	// time in which it changes.
	Exponent float64
	Spread   float64
	Wander   time.Duration
	Seed     uint64
}

// Defaults returns the configuration of the dev command's group, whose
// popularity drifts within minutes so that an operator can watch it.
func Defaults() Config {
	return Config{Step: 20 * time.Millisecond, LoadTime: 200 * time.Millisecond, Tokens: 4096, Exponent: 0.7, Spread: 0.7, Wander: 5 * time.Minute, Seed: 1}
}

// mailboxCapacity bounds the calls that wait for the group's task.
const mailboxCapacity = 1024

// retryEntry is how often a rank that cannot enter its step tries again.
const retryEntry = 2 * time.Millisecond

// ErrStopped means that the group's task has ended.
var ErrStopped = errors.New("the group has stopped")

// Group is the task that owns the engines of a group.
type Group struct {
	config     Config
	mailbox    *task.Mailbox[request]
	ranks      *Ranks
	popularity *Popularity
	speeds     []float64
	work       [][]float64
	// step and busy are smoothed times of the group and of each rank.
	step float64
	busy []float64
	next time.Time
}

// New returns a group whose engines have just started. Run must follow.
func New(c Config) *Group {
	g := &Group{config: c, mailbox: task.NewMailbox[request](mailboxCapacity, task.Block),
		ranks:      NewRanks(c.ChecksFencing),
		popularity: NewPopularity(rand.New(rand.NewPCG(c.Seed, 5)), c.Layers, c.Experts, c.Exponent, c.Spread, c.Wander),
		speeds:     make([]float64, len(c.ChecksFencing)), busy: make([]float64, len(c.ChecksFencing))}
	for r := range g.speeds {
		g.speeds[r] = 1
	}
	for range c.Layers {
		g.work = append(g.work, make([]float64, c.Experts))
	}
	return g
}

// Truth is the record of a group's steps.
type Truth struct {
	Group ident.GroupID `json:"group"`
	// Steps is the number of steps that all ranks ran.
	Steps uint64 `json:"steps"`
	// TwoMaps are the steps in which two ranks used different maps.
	TwoMaps []Two `json:"two_maps"`
	// StepMicros is the recent mean step time; BestMicros is that of a perfect map.
	StepMicros float64 `json:"step_micros"`
	BestMicros float64 `json:"best_micros"`
}

type request interface{ serve(g *Group) }

type (
	giveOrder struct {
		rank  ident.Rank
		order expertmap.Order
		reply chan<- engine.GroupAnswer
	}
	askState struct {
		rank   ident.Rank
		detail bool
		reply  chan<- engine.GroupState
	}
	askTruth struct{ reply chan<- Truth }
	crash    struct{ rank ident.Rank }
	stall    struct {
		rank    ident.Rank
		stalled bool
	}
	setSpeed struct {
		rank  ident.Rank
		speed float64
	}
)

// Run runs the steps until the context ends.
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

// advance lets the ranks enter the next step and returns when to try again.
func (g *Group) advance(now time.Time) time.Duration {
	if wait := g.next.Sub(now); wait > 0 {
		return wait
	}
	before := g.ranks.Completed()
	for r := range g.speeds {
		g.ranks.Enter(ident.Rank(r))
	}
	if g.ranks.Completed() == before {
		return retryEntry
	}
	took := g.account()
	g.popularity.Advance(took)
	g.next = now.Add(took)
	return took
}

// smoothing is the weight of one step in the smoothed times.
const smoothing = 0.05

// account counts the work of a step and returns how long it takes: in each layer
// all ranks wait for the slowest.
func (g *Group) account() time.Duration {
	m := g.ranks.Map()
	best := float64(g.config.Step) / float64(len(g.work)) * float64(len(g.speeds))
	step := 0.0
	busy := make([]float64, len(g.speeds))
	for l := range g.work {
		shares := g.popularity.Shares(l)
		for e, s := range shares {
			g.work[l][e] += s * float64(g.config.Tokens)
		}
		slowest := 0.0
		for r, t := range balance.RankTimes(m.Layers[l], shares, g.speeds) {
			busy[r] += t * best
			slowest = max(slowest, t*best)
		}
		step += slowest
	}
	g.step += smoothing * (step - g.step)
	for r := range busy {
		g.busy[r] += smoothing * (busy[r] - g.busy[r])
	}
	return time.Duration(step)
}

func (r giveOrder) serve(g *Group) {
	a := engine.GroupAnswer{}
	switch g.ranks.Order(r.rank, r.order) {
	case expertmap.ResultTooLate:
		a.Refused = engine.RefusedTooLate
	case expertmap.ResultFenced:
		a.Refused = engine.RefusedFenced
	case expertmap.ResultMapMissing:
		a.Refused = engine.RefusedMapMissing
	}
	// Only the answer to a hold is read for the map.
	a.State = g.state(r.rank, r.order.Kind == expertmap.OrderHold)
	r.reply <- a
}

func (r askState) serve(g *Group) { r.reply <- g.state(r.rank, r.detail) }

func (g *Group) state(r ident.Rank, detail bool) engine.GroupState {
	s := g.ranks.State(r)
	state := engine.GroupState{Boot: s.Boot, Current: s.Current, Next: s.Next, Entered: s.Entered, Armed: s.Armed, Held: s.Held,
		HighestToken: s.HighestToken, ComputeMicros: uint32(1000 / g.speeds[r]), StepMicros: g.step / 1e3, RankMicros: g.busy[r] / 1e3}
	if detail {
		if s.Map != nil {
			state.Map = s.Map.Layers
		}
		for _, layer := range g.work {
			state.Work = append(state.Work, append([]float64(nil), layer...))
		}
	}
	return state
}

func (r askTruth) serve(g *Group) {
	r.reply <- Truth{Group: g.config.ID, Steps: g.ranks.Completed(), TwoMaps: append([]Two{}, g.ranks.TwoMaps()...),
		StepMicros: g.step / 1e3, BestMicros: float64(g.config.Step.Microseconds())}
}

func (r crash) serve(g *Group)    { g.ranks.Crash(r.rank) }
func (r stall) serve(g *Group)    { g.ranks.Stall(r.rank, r.stalled) }
func (r setSpeed) serve(g *Group) { g.speeds[r.rank] = r.speed }

// Truth returns the record of the steps. The error means that the task ended.
func (g *Group) Truth(ctx context.Context) (Truth, error) {
	t, ok := task.Ask(ctx, g.mailbox, func(reply chan<- Truth) request { return askTruth{reply: reply} })
	if !ok {
		return Truth{}, ErrStopped
	}
	return t, nil
}

// Crash restarts a rank without its map.
func (g *Group) Crash(ctx context.Context, r ident.Rank) { g.mailbox.Send(ctx, crash{rank: r}) }

// Stall stops a rank from entering steps, or lets it go on.
func (g *Group) Stall(ctx context.Context, r ident.Rank, stalled bool) {
	g.mailbox.Send(ctx, stall{rank: r, stalled: stalled})
}

// SetSpeed sets a rank's speed relative to a healthy rank. It must be positive.
func (g *Group) SetSpeed(ctx context.Context, r ident.Rank, speed float64) {
	g.mailbox.Send(ctx, setSpeed{rank: r, speed: speed})
}
