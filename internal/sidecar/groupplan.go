package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
)

// planner holds the leader's input for plans. Only the leader's own engine counts the
// tokens by expert: tokens are spread over the ranks without regard to their experts,
// so its counts are a representative sample and other ranks need not send theirs.
type planner struct {
	load     *expertbalance.LoadEstimator
	speeds   *expertbalance.SpeedEstimator
	config   expertbalance.Config
	interval time.Duration
	nextPlan time.Time
	// lastWork are the tokens by layer and expert when they were last read, counted
	// since the start of the engine that lastBoot identifies.
	lastWork [][]float64
	lastBoot uint64
	// hasSample is set if the load estimate has a new sample since the last plan.
	hasSample bool
}

// smoothingIntervals is the time constant of the load estimate, in plan intervals. It
// keeps the noise of one sample from moving experts.
const smoothingIntervals = 3

func newPlanner(m membership, now time.Time) planner {
	interval := max(minPlanInterval, time.Duration(len(m.group.Ranks))*planIntervalPerRank)
	return planner{
		load:     expertbalance.NewLoadEstimator(m.group.Layers, m.group.Experts, smoothingIntervals*interval),
		interval: interval,
		speeds:   expertbalance.NewSpeedEstimator(len(m.group.Ranks), speedRecoveryTime),
		config:   expertbalance.DefaultConfig(), nextPlan: now.Add(interval),
	}
}

func (p *planner) due(now time.Time) bool { return !now.Before(p.nextPlan) }

// observe adds the growth of the engine's counters since the last read to the load
// estimate.
func (p *planner) observe(now time.Time, s engine.GroupState) {
	if s.Work == nil {
		return
	}
	if s.Boot == p.lastBoot && len(p.lastWork) == len(s.Work) {
		if sample, grown := counterGrowth(p.lastWork, s.Work); grown {
			p.hasSample = p.load.Observe(now, sample) || p.hasSample
		}
	}
	p.lastBoot, p.lastWork = s.Boot, s.Work
}

// counterGrowth returns the growth of each counter. The second result is false if a
// counter decreased or none grew.
func counterGrowth(before, after [][]float64) ([][]float64, bool) {
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

// relativeSpeeds converts the ranks' times for the same work, in microseconds, into
// speeds relative to the fastest rank. A time of 0 is unknown and gives -1.
func relativeSpeeds(micros []uint32) []float64 {
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

// plan proposes the next moves if a plan is due and there is a new sample.
func (t *groupTask) plan(ctx context.Context, now time.Time) {
	p := &t.planner
	if !p.due(now) || !p.hasSample {
		return
	}
	p.nextPlan, p.hasSample = now.Add(p.interval), false
	p.speeds.Observe(now, relativeSpeeds(t.rank.ComputeMicros()))
	_, content := t.rank.Map()
	plan := expertbalance.ComputePlan(expertbalance.Input{Config: p.config, Map: content, Load: p.load.Load(),
		Speeds: p.speeds.Speeds(), Domains: t.membership.domains})
	t.metrics.recordPlan(plan)
	if len(plan.Moves) > 0 {
		t.step(ctx, now, expertmap.Propose{Changes: plan.Changes()})
	}
}

// epochDetail formats an epoch for the event log.
func epochDetail(e expertmap.Epoch) string {
	return fmt.Sprintf("epoch %d proposed by rank %d", uint64(e), e.Proposer())
}
