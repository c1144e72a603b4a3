package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertbalance"
	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
)

// groupMetrics are the Prometheus metrics of this rank in its group.
type groupMetrics struct {
	formed          prometheus.Gauge
	epoch           prometheus.Gauge
	stepSeconds     prometheus.Gauge
	rankBusySeconds prometheus.Gauge
	events          *prometheus.CounterVec
	sentBytes       prometheus.Counter
	skew            prometheus.Gauge
	skewExpected    prometheus.Gauge
	copiesPlanned   prometheus.Counter
}

func newGroupMetrics(registry *prometheus.Registry) *groupMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "anvilpoint_group_" + name, Help: help})
		registry.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "anvilpoint_group_" + name, Help: help})
		registry.MustRegister(c)
		return c
	}
	m := &groupMetrics{
		formed:          gauge("formed", "1 while this rank is in a formation that runs."),
		epoch:           gauge("epoch", "Epoch of the expert map that this rank adopted last."),
		stepSeconds:     gauge("step_seconds", "Recent mean step time of the group."),
		rankBusySeconds: gauge("rank_busy_seconds", "Part of a step in which this rank works instead of waiting for others."),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "anvilpoint_group_events_total", Help: "Prepared, adopted and aborted switches and formations, by event.",
		}, []string{"event"}),
		sentBytes:     counter("sent_bytes_total", "Bytes of protocol messages sent to other ranks."),
		skew:          gauge("skew", "Leader only: slowest rank over the best possible, mean over the layers, as last planned from."),
		skewExpected:  gauge("skew_expected", "Leader only: the skew expected after the last plan."),
		copiesPlanned: counter("copies_planned_total", "Leader only: expert copies that plans asked to move."),
	}
	registry.MustRegister(m.events)
	return m
}

func (m *groupMetrics) update(r groupReport, rank *expertmap.Rank, s engine.GroupState) {
	m.formed.Set(0)
	if r.state == groupFormed {
		m.formed.Set(1)
	}
	m.stepSeconds.Set(s.StepMicros / 1e6)
	m.rankBusySeconds.Set(s.RankMicros / 1e6)
	if rank != nil {
		epoch, _ := rank.Map()
		m.epoch.Set(float64(epoch))
	}
}

func (m *groupMetrics) recordPlan(p expertbalance.Plan) {
	m.skew.Set(p.SkewBefore)
	m.skewExpected.Set(p.SkewAfter)
	m.copiesPlanned.Add(float64(p.Copies))
}
