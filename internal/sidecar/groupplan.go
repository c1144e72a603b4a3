package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/balance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
)

// planner keeps what the leader plans from. The leader's own engine counts the
// tokens by expert; since tokens are spread over the ranks without regard to
// their experts, its counts are a fair sample and no rank sends its own.
type planner struct {
	estimate *balance.LoadEstimator
	speeds   *balance.SpeedEstimator
	config   balance.Config
	interval time.Duration
	at       time.Time
	// last are the counters of the last sample, of the engine's start boot.
	boot    uint64
	last    [][]float64
	sampled bool
}

// windowPlans is the number of plan intervals over which the work is smoothed, so
// that the noise of one sample moves no expert.
const windowPlans = 3

func newPlanner(m membership, now time.Time) planner {
	interval := max(minPlanInterval, time.Duration(len(m.group.Ranks))*planIntervalPerRank)
	return planner{
		estimate: balance.NewLoadEstimator(m.group.Layers, m.group.Experts, windowPlans*interval),
		interval: interval,
		speeds:   balance.NewSpeedEstimator(len(m.group.Ranks), speedRecovery),
		config:   balance.DefaultConfig(), at: now.Add(interval),
	}
}

func (p *planner) due(now time.Time) bool { return !now.Before(p.at) }

// observe takes the difference between two readings of the engine's counters.
func (p *planner) observe(now time.Time, s engine.GroupState) {
	if s.Work == nil {
		return
	}
	if s.Boot == p.boot && len(p.last) == len(s.Work) {
		if sample, grown := difference(p.last, s.Work); grown {
			p.sampled = p.estimate.Observe(now, sample) || p.sampled
		}
	}
	p.boot, p.last = s.Boot, s.Work
}

// difference returns the growth of the counters. The second result is false if
// they were reset or did not grow.
func difference(before, after [][]float64) ([][]float64, bool) {
	sample := make([][]float64, len(after))
	total := 0.0
	for l := range after {
		sample[l] = make([]float64, len(after[l]))
		for e := range after[l] {
			grown := after[l][e] - before[l][e]
			if grown < 0 {
				return nil, false
			}
			sample[l][e] = grown
			total += grown
		}
	}
	return sample, total > 0
}

// relative turns times for the same work into speeds relative to the fastest
// rank; unknown times give -1.
func relative(micros []uint32) []float64 {
	fastest := uint32(0)
	for _, m := range micros {
		if m > 0 && (fastest == 0 || m < fastest) {
			fastest = m
		}
	}
	speeds := make([]float64, len(micros))
	for r, m := range micros {
		speeds[r] = -1
		if m > 0 {
			speeds[r] = float64(fastest) / float64(m)
		}
	}
	return speeds
}

// plan proposes the next portion of moves once a sample is there.
func (t *groupTask) plan(ctx context.Context, now time.Time) {
	p := &t.planner
	if !p.due(now) || !p.sampled {
		return
	}
	p.at, p.sampled = now.Add(p.interval), false
	p.speeds.Observe(now, relative(t.rank.ComputeMicros()))
	_, content := t.rank.Map()
	plan := balance.ComputePlan(balance.Input{Config: p.config, Map: content, Load: p.estimate.Load(),
		Speeds: p.speeds.Speeds(), Domains: t.membership.domains})
	t.metrics.planned(plan)
	if len(plan.Moves) > 0 {
		t.step(ctx, now, expertmap.Propose{Changes: plan.Changes()})
	}
}

func epochText(e expertmap.Epoch) string {
	return fmt.Sprintf("epoch %d proposed by rank %d", uint64(e), e.Proposer())
}
